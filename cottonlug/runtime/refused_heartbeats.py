"""Heartbeats that do not describe a usable upstream: counted, and logged at a limited rate."""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock
from .events import Event, log_event

LOG_INTERVAL = timedelta(seconds=1)
"""Minimum time between log lines: a faulty sender fails with every heartbeat, and the logged count
says how often."""
MAX_FIELD_CHARS = 200
"""Most characters of a log field whose content comes from the sender."""


class RefusedHeartbeats:
    """Counts and logs requests that should be heartbeats but are invalid."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._next_log_at = clock.monotonic()
        self.count = 0

    def record(self, name: str, reason: str) -> None:
        """Count a refused heartbeat; log the reason at most once per second."""
        self.count += 1
        now = self._clock.monotonic()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL
        log_event(
            Event.HEARTBEAT_REFUSED,
            upstream=name[:MAX_FIELD_CHARS],
            reason=reason[:MAX_FIELD_CHARS],
            refused=self.count,
        )
