"""Tracks unanswered keep-alives, so that no jobs are sent to a coordinator whose answer is overdue.

A leader may have failed, be frozen or be cut off. A gateway follows it for another 0.35 s. A
job that is sent to it meanwhile may have started: another coordinator can start it only after all
upstreams were polled, and its caller can never be told that it has not run. A job that is withheld
instead starts at once with the next leader, or is truthfully refused as not run. A leader that is
only late would not have started it any sooner.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock

OVERDUE_AFTER = timedelta(milliseconds=40)
"""After this time the answer to a keep-alive is overdue. It arrives within some milliseconds, and
within 30 ms if the leader handles hundreds of answers in one iteration of its event loop, or waits
for its disk (9 ms per sync)."""


class KeepAliveTracker:
    """The keep-alives of one gateway that are not answered yet."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._sent_at: dict[str, timedelta] = {}
        """Time of the first keep-alive to each host since it last answered."""

    def record_sent(self, host: str) -> None:
        """Record that a keep-alive is sent, unless an earlier one is still unanswered."""
        self._sent_at.setdefault(host, self._clock.monotonic())

    def record_answered(self, host: str) -> bool:
        """Record that a host has answered; return whether the answer was overdue."""
        was_overdue = self.is_overdue(host)
        self._sent_at.pop(host, None)
        return was_overdue

    def is_overdue(self, host: str) -> bool:
        """Return whether a keep-alive to a host is unanswered for too long."""
        sent_at = self._sent_at.get(host)
        return sent_at is not None and self._clock.monotonic() - sent_at >= OVERDUE_AFTER
