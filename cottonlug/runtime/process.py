"""Process lifecycle: signals, graceful shutdown and the state dump on request."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any

import uvloop

from ..held_signals import release_signal
from ..net.codec import encode
from .events import Event, log_event


class Lifecycle:
    """Tells the program when to stop; a second signal has no effect."""

    def __init__(self) -> None:
        self._stop = asyncio.Event()
        self.failure: BaseException | None = None
        """The error because of which the process stops, if any."""

    def watch_signals(self, build_dump: Callable[[], Any]) -> None:
        """Begin a graceful stop on SIGTERM or SIGINT, and dump the state on SIGUSR1."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGUSR1, lambda: dump_state(build_dump))
        release_signal(signal.SIGUSR1)

    def watch_reload(self, reload: Callable[[], None]) -> None:
        """Call `reload` on SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)
        release_signal(signal.SIGHUP)

    def fail(self, error: BaseException) -> None:
        """Begin to stop because of an unexpected error."""
        self.failure = error
        self._stop.set()

    async def wait_stop(self) -> None:
        """Wait until the process is to stop."""
        await self._stop.wait()


def dump_state(build_dump: Callable[[], Any]) -> None:
    """Write the state of the process to standard error as one line of JSON."""
    sys.stderr.write(encode(build_dump()).decode() + "\n")
    sys.stderr.flush()
    log_event(Event.STATE_DUMPED)


def run_loop(main: Any) -> int:
    """Run a coroutine on the only event loop of the process, and return its exit code."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        code: int = runner.run(main)
        return code
