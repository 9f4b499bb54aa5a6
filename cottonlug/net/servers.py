"""Uvicorn servers that share the loop of the process and leave its signals alone."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import uvicorn

from ..config.options import Address

if TYPE_CHECKING:
    from litestar import Litestar

_START_CHECK_SECONDS = 0.005


class _QuietServer(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        # Uvicorn would wake up ten times a second, for limits and dates that are not used here.
        self.server_state.default_headers = self.config.encoded_headers
        await self._stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """One application on one address."""

    def __init__(self, *, app: Litestar | Any, address: Address) -> None:
        config = uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            http="httptools",
            ws="none",
            lifespan="off",
            loop="none",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=4096,
            timeout_keep_alive=75,
        )
        self._address = address
        self._server = _QuietServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> str | None:
        """Begin to listen; return why that failed, or None."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                return f"cannot listen on {self._address}"
            await asyncio.sleep(_START_CHECK_SECONDS)
        return None

    async def stop(self) -> None:
        """Stop listening and finish what is being answered."""
        self._server.stop()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        with contextlib.suppress(SystemExit):
            await self._server.serve()
