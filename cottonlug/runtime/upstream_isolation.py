"""Upstreams whose messages have ended a term of this host, and are not handled for a while.

The term's state was dropped with it, as it may have been changed in part. The next term begins with
the same records and polls the same upstreams, so the same message would end it again. To this host
such an upstream is unreachable instead: nothing is started there, its leases run out, and its tasks
start elsewhere.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock
from ..core.ids import UpstreamId

ISOLATION_TIME = timedelta(minutes=1)
"""How long an upstream stays isolated."""
MAX_ISOLATED = 1_000
"""Most upstreams that are isolated at a time; the first ones are dropped first."""


class UpstreamIsolation:
    """The isolated upstreams of one process; they outlast its terms."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[UpstreamId, timedelta] = {}

    def add(self, upstream: UpstreamId) -> None:
        """Isolate an upstream from now on."""
        self._until.pop(upstream, None)
        self._until[upstream] = self._clock.monotonic() + ISOLATION_TIME
        while len(self._until) > MAX_ISOLATED:
            del self._until[next(iter(self._until))]

    def __contains__(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is isolated now."""
        until = self._until.get(upstream)
        return until is not None and self._clock.monotonic() < until
