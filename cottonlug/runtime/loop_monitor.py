"""Measures how late the event loop of a process is, and logs what has held it up.

Nothing else runs while one callback does: a request, a heartbeat or a lease that falls due then
waits. The kinds of work and the decisions since the last check tell which job it was about.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from .events import Event, log_event
from .work_meter import WorkMeter

CHECK_INTERVAL = timedelta(milliseconds=100)
LONG_DELAY = timedelta(milliseconds=50)
"""Delays from this one on are logged: a leader's lease outlasts five of them."""
LOG_INTERVAL = timedelta(seconds=1)
"""Shortest time between two log lines: a host with little processor time is late all the time."""


class LoopMonitor:
    """Checks at intervals how much later than due the event loop runs a callback."""

    def __init__(self, *, work: WorkMeter, clock: Clock) -> None:
        self.record_delay: Callable[[float], object] = lambda delay_ms: None
        """Called with each measured delay in milliseconds."""
        self._work = work
        self._clock = clock
        self._log_due = timedelta()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Check the current event loop until `stop`."""
        self._task = asyncio.create_task(self._check_forever())

    def stop(self) -> None:
        """End the checks."""
        if self._task is not None:
            self._task.cancel()

    async def _check_forever(self) -> None:
        while True:
            self._work.begin_check()
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self._record(self._clock.monotonic() - due_at)

    def _record(self, delay: timedelta) -> None:
        self.record_delay(max(delay, timedelta()) / timedelta(milliseconds=1))
        now = self._clock.monotonic()
        if delay < LONG_DELAY or now < self._log_due:
            return
        self._log_due = now + LOG_INTERVAL
        work, seconds = self._work.find_longest_work()
        decision, job, count = self._work.find_most_frequent_decision()
        log_event(
            Event.LOOP_DELAYED,
            held_up_ms=to_milliseconds(delay),
            work=work.value,
            work_ms=round(seconds * 1_000),
            decision=decision,
            job=job,
            decisions=count,
        )
