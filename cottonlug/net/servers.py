"""Uvicorn servers that share the event loop of the process and install no signal handlers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

import uvicorn

from ..config.options import Address
from .asgi import ImmediateHandler
from .client_protocol import ClientProtocol
from .immediate import build_immediate_protocol

if TYPE_CHECKING:
    from litestar import Litestar

_START_CHECK_SECONDS = 0.005
_MAX_ACCEPTS_PER_ITERATION = 256
MAX_IMMEDIATE_BYTES = 1024 * 1024
"""Longest body of a request that is held back until it is complete; a batch of the largest jobs
takes a third of this."""
_DESCRIPTOR_RETRY_SECONDS = 0.1
"""Pause before accepting again after the process has run out of file descriptors."""


class Acceptor:
    """Accepts all pending connections in each iteration of the event loop.

    uvloop's own server accepts one connection per iteration. When iterations are long, connections
    arrive faster than that, and each one queues behind others whose clients have long since timed
    out and reconnected.
    """

    def __init__(
        self, *, listening: socket.socket, build_protocol: Callable[[], asyncio.BaseProtocol]
    ) -> None:
        self.sockets = [listening]
        self._listening = listening
        self._build_protocol = build_protocol
        self._loop = asyncio.get_running_loop()
        self._opening_tasks: set[asyncio.Task[Any]] = set()
        self._is_closed = False
        listening.setblocking(False)
        self._start_accepting()

    def close(self) -> None:
        """Stop accepting connections."""
        if not self._is_closed:
            self._is_closed = True
            self._loop.remove_reader(self._listening.fileno())
            self._listening.close()

    async def wait_closed(self) -> None:
        """Wait until all accepted connections have their protocol."""
        await asyncio.gather(*self._opening_tasks, return_exceptions=True)

    def _start_accepting(self) -> None:
        if not self._is_closed:
            self._loop.add_reader(self._listening.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(_MAX_ACCEPTS_PER_ITERATION):
            try:
                accepted, _ = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Out of descriptors: accepting pauses, as pending connections would otherwise wake
                # the loop in each iteration.
                self._loop.remove_reader(self._listening.fileno())
                self._loop.call_later(_DESCRIPTOR_RETRY_SECONDS, self._start_accepting)
                return
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            opening = self._loop.create_task(self._open(accepted))
            self._opening_tasks.add(opening)
            opening.add_done_callback(self._opening_tasks.discard)

    async def _open(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._build_protocol, accepted)
        except OSError:
            accepted.close()


class _EmbeddedServer(uvicorn.Server):
    """Server that is stopped by a call instead of a signal; see `Listener` for `accepts_all`."""

    def __init__(self, config: uvicorn.Config, *, accepts_all: bool) -> None:
        super().__init__(config)
        self._accepts_all = accepts_all
        self._stopping = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        if not self._accepts_all:
            await super().startup(sockets)
            return
        config = self.config

        def build_protocol() -> asyncio.Protocol:
            return config.http_protocol_class(  # type: ignore[call-arg]
                config=config, server_state=self.server_state, app_state={}
            )

        family = socket.AF_INET6 if ":" in config.host else socket.AF_INET
        address = (config.host, config.port)
        try:
            listening = socket.create_server(address, family=family, backlog=config.backlog)
        except OSError as error:
            # As uvicorn does itself; `Listener.start` then returns an error message.
            raise SystemExit(1) from error
        self.servers = [Acceptor(listening=listening, build_protocol=build_protocol)]  # type: ignore[list-item]
        self.started = True

    def stop(self) -> None:
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        # Uvicorn would wake up ten times a second for limits and dates that are not used here.
        self.server_state.default_headers = self.config.encoded_headers
        await self._stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class Listener:
    """One application on one address.

    With `accepts_all` all pending connections are accepted in one iteration of the event loop,
    instead of one per iteration. It suits clients that call rarely and time out after a second:
    operators and upstreams. It does not suit gateways: when a leader is behind, connections that
    are accepted together are also late together. Under long overload, jobs earned 0.31 of their
    worth to callers, against 0.51 with one connection per iteration.

    Requests that `handle_immediately` answers do not reach `app`.
    """

    def __init__(
        self,
        *,
        app: Litestar | Any,
        address: Address,
        accepts_all: bool = False,
        handle_immediately: ImmediateHandler | None = None,
    ) -> None:
        config = uvicorn.Config(
            app,
            host=address.host,
            port=address.port,
            http=(
                build_immediate_protocol(handle_immediately, MAX_IMMEDIATE_BYTES)
                if handle_immediately is not None
                else ClientProtocol
            ),
            ws="none",
            lifespan="off",
            loop="none",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
            date_header=False,
            backlog=4096,
            timeout_keep_alive=75,
        )
        self._address = address
        self._server = _EmbeddedServer(config, accepts_all=accepts_all)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> str | None:
        """Start listening; return the reason if that fails, otherwise None."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                return f"cannot listen on {self._address}"
            await asyncio.sleep(_START_CHECK_SECONDS)
        return None

    async def stop(self) -> None:
        """Stop listening and finish the requests in progress."""
        self._server.stop()
        if self._task is not None:
            await self._task

    async def _serve(self) -> None:
        with contextlib.suppress(SystemExit):
            await self._server.serve()
