"""Timers that say when each upstream must be processed again.

Load pattern that this is made for: hundreds of upstreams, most of which need nothing at the moment.
Processing all of them every 20 ms, for what is due at a few, takes a fifth of the time of a leader
of 270 upstreams.
"""

from __future__ import annotations

import heapq
from datetime import timedelta

from ..ids import UpstreamId


class UpstreamTimers:
    """The next timer of each upstream, the soonest first."""

    def __init__(self) -> None:
        self._heap: list[tuple[timedelta, UpstreamId]] = []
        """Also has timers that were cleared or set anew; only those in `_due_at` count."""
        self._due_at: dict[UpstreamId, timedelta] = {}

    def has(self, upstream: UpstreamId) -> bool:
        """Whether a timer is set."""
        return upstream in self._due_at

    def set(self, upstream: UpstreamId, at: timedelta | None) -> None:
        """Set the timer of an upstream, in place of the one set before; None clears it."""
        if at is None:
            self._due_at.pop(upstream, None)
        elif self._due_at.get(upstream) != at:
            self._due_at[upstream] = at
            heapq.heappush(self._heap, (at, upstream))

    def pop_due(self, now: timedelta) -> list[UpstreamId]:
        """Return the upstreams whose timers are due, and clear these."""
        due: list[UpstreamId] = []
        while self._heap and self._heap[0][0] <= now:
            at, upstream = heapq.heappop(self._heap)
            if self._due_at.get(upstream) == at:
                del self._due_at[upstream]
                due.append(upstream)
        return due
