"""Heartbeats that name no upstream to use: counted, and logged without filling the log."""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock
from .events import Event, log_event

LINE_EVERY = timedelta(seconds=1)
"""A writer that is wrong is so with each heartbeat; the count tells how often."""
MOST_TEXT = 200
"""Characters of a line that another writer may fill."""


class RefusedHeartbeats:
    """What other writers sent in place of a heartbeat."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._line_due = clock.monotonic()
        self.count = 0

    def note(self, name: str, reason: str) -> None:
        """Count one, and log why it was refused unless another was logged just before."""
        self.count += 1
        now = self._clock.monotonic()
        if now < self._line_due:
            return
        self._line_due = now + LINE_EVERY
        log_event(
            Event.HEARTBEAT_REFUSED,
            upstream=name[:MOST_TEXT],
            reason=reason[:MOST_TEXT],
            refused=self.count,
        )
