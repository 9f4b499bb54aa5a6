"""How long the tasks of one step take at each upstream, to find those that are slow there."""

from __future__ import annotations

import bisect
from datetime import timedelta

from ..ids import UpstreamId


class SiblingRunTimes:
    """Latest run time of a task of one step at each upstream."""

    def __init__(self) -> None:
        self._by_upstream: dict[UpstreamId, timedelta] = {}
        self._fastest_first: list[tuple[timedelta, UpstreamId]] = []

    def record(self, upstream: UpstreamId, total: timedelta) -> None:
        """Replace the run time at an upstream."""
        known = self._by_upstream.get(upstream)
        if known is not None:
            del self._fastest_first[bisect.bisect_left(self._fastest_first, (known, upstream))]
        self._by_upstream[upstream] = total
        bisect.insort(self._fastest_first, (total, upstream))

    def find_fastest_other(self, upstream: UpstreamId) -> timedelta | None:
        """Return the shortest run time at any other upstream, or None if none is known."""
        others = (total for total, each in self._fastest_first[:2] if each != upstream)
        return next(others, None)
