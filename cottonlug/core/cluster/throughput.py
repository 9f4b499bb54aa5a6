"""Measures how fast runs end: under load, the tasks of a job start one by one as capacity is freed.

So a job with many tasks must start earlier to end in time.
"""

from __future__ import annotations

from datetime import timedelta

LEARNING_RATE = 0.05
"""Weight of the newest run end: the mean follows a burst within some twenty ends."""
MAX_INTERVAL = timedelta(milliseconds=5)
"""Upper bound of each interval: a longer one means that little runs, not that capacity is freed
slowly. Also assumed at first."""


class Throughput:
    """Mean interval between the ends of runs, at all upstreams together, while there is work."""

    def __init__(self) -> None:
        self._last_end: timedelta | None = None
        self._interval = MAX_INTERVAL

    def record_run_ends(self, count: int, now: timedelta) -> None:
        """Update the mean interval after `count` runs have ended."""
        if self._last_end is not None:
            newest = min((now - self._last_end) / count, MAX_INTERVAL)
            for _ in range(count):
                self._interval += (newest - self._interval) * LEARNING_RATE
        self._last_end = now

    def estimate_start_delay(self, tasks: int) -> timedelta:
        """Return how long it takes until that many tasks have been started, one after the other."""
        return self._interval * tasks
