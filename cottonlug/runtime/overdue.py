"""Whether whoever decides owes an answer for so long that jobs had better not be sent there.

Pattern: a leader is lost, frozen or cut off. It takes 0.35 s to leave it, and what was sent there
meanwhile may have begun: it can be begun elsewhere only once all upstreams were seen, and its
caller can never be told that it has not run. What is held back here begins with the next leader at
once, or is refused truthfully. A leader that is only late would have got to it no sooner.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock

OVERDUE_AFTER = timedelta(milliseconds=40)
"""A greeting is answered within some milliseconds, and within 30 by a leader that takes in hundreds
of answers in one turn of its loop, or waits for its disk (9 ms a sync)."""


class Overdue:
    """The greetings of one gateway that were not answered yet."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._asked_at: dict[str, timedelta] = {}
        """When each host was first greeted since it last answered."""

    def note_asked(self, host: str) -> None:
        """Count from now on, unless that host owes an answer already."""
        self._asked_at.setdefault(host, self._clock.monotonic())

    def note_answered(self, host: str) -> bool:
        """Count no more; return whether the answer was overdue."""
        was_overdue = self.is_overdue(host)
        self._asked_at.pop(host, None)
        return was_overdue

    def is_overdue(self, host: str) -> bool:
        """Whether a host owes an answer for too long."""
        asked_at = self._asked_at.get(host)
        return asked_at is not None and self._clock.monotonic() - asked_at >= OVERDUE_AFTER
