"""Limit of the calls that wait at a gateway, by the memory and descriptors that it may use.

Load pattern: no coordinator can be reached, or it is overloaded, and callers go on sending. A
gateway that ran out of memory would be ended with all the calls that wait at it, and one without
descriptors would answer neither callers nor keep-alives. So it refuses what is beyond its limit at
once. Without a size in its settings it has no limit.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Answer, Call, Cancel, Outcome, Submit
from ..core.cluster.host_sizes import HostSize
from .events import Event, log_event

BASE_MEMORY_MB = 64.0
"""Memory for everything but waiting calls: an idle gateway takes 37 MB, and may act as leader."""
MIN_MEMORY_SHARE = 0.25
"""Part of the memory that waiting calls may take in any case."""
DESCRIPTOR_SHARE = 0.5
"""Part of the descriptors that waiting calls may take, one each for its connection. The others are
for idle connections of callers, for hosts of the cluster, and for upstreams while acting as leader.
"""
BYTES_PER_CALL = 24_000
"""Measured 17,200 with 1,000 calls that waited for a coordinator, and a reserve for sending."""
BYTES_PER_PAYLOAD_CHARACTER = 4
"""Measured 2.7 with payloads of 20 KB and 2.3 with 200 KB, and a copy for sending."""
BYTES_PER_STEP = 600
"""Measured 274 for a decoded step of a job, and 65 to 74 for each copy of its text."""
BYTES_PER_DEPENDENCY = 40
"""Measured 12 for a decoded dependency of a step, and 4 to 5 for each copy of its text."""
RETRY_AFTER = timedelta(seconds=1)
"""When a refused caller should retry: calls wait for 1.5 s at most as a rule."""
LOG_INTERVAL = timedelta(seconds=1)
AT_LIMIT = "too many calls wait at this gateway"
"""Detail of the answer to a call that was refused for the limit."""

_BYTES_PER_MB = 1_000_000


class CallLimit:
    """The calls that wait at a gateway now, and how many may."""

    def __init__(self, *, size: HostSize, clock: Clock) -> None:
        self.max_calls = _find_max_calls(size)
        self.max_bytes = _find_max_bytes(size)
        self.waiting_calls = 0
        self.waiting_bytes = 0
        """Memory that the waiting calls are estimated to take."""
        self.refused_count = 0
        self._clock = clock
        self._log_due = timedelta()

    def refuse(self, call: Call) -> Answer | None:
        """Return the answer to a call that is beyond the limit, or None if it may wait.

        A cancel is never refused, since it ends work.
        """
        if isinstance(call, Cancel) or self._has_room(_estimate_bytes(call)):
            return None
        self.refused_count += 1
        self._log_refusal()
        return Answer(
            outcome=Outcome.REJECTED,
            detail=AT_LIMIT,
            retry_after_ms=to_milliseconds(RETRY_AFTER),
        )

    def is_out_of_connections(self) -> bool:
        """Return whether as many calls wait as there are descriptors for their connections.

        A caller that keeps its connection after a refusal would go on to take one.
        """
        return self.waiting_calls >= self.max_calls

    @contextlib.contextmanager
    def hold(self, call: Call) -> Iterator[None]:
        """Count a call as waiting until the context ends."""
        size = _estimate_bytes(call)
        self.waiting_calls += 1
        self.waiting_bytes += size
        try:
            yield
        finally:
            self.waiting_calls -= 1
            self.waiting_bytes -= size

    def _has_room(self, size: int) -> bool:
        if not self.waiting_calls:
            return True
        return self.waiting_calls < self.max_calls and self.waiting_bytes + size <= self.max_bytes

    def _log_refusal(self) -> None:
        """Log that calls are refused, once in a while: each one is logged as a failed call, too."""
        now = self._clock.monotonic()
        if now < self._log_due:
            return
        self._log_due = now + LOG_INTERVAL
        log_event(
            Event.CALL_LIMIT_REACHED,
            waiting=self.waiting_calls,
            waiting_kb=self.waiting_bytes // 1_000,
            refused=self.refused_count,
        )


def _find_max_calls(size: HostSize) -> float:
    return size.descriptors * DESCRIPTOR_SHARE if size.descriptors else float("inf")


def _find_max_bytes(size: HostSize) -> float:
    if not size.memory:
        return float("inf")
    left = max(size.memory - BASE_MEMORY_MB, size.memory * MIN_MEMORY_SHARE)
    return left * _BYTES_PER_MB


def _estimate_bytes(call: Call) -> int:
    """Return how much memory a call takes while it waits."""
    if not isinstance(call, Submit):
        return BYTES_PER_CALL
    payload = len(call.spec.payload) * BYTES_PER_PAYLOAD_CHARACTER
    steps = call.spec.steps
    dependencies = sum(len(step.depends_on) for step in steps) * BYTES_PER_DEPENDENCY
    return BYTES_PER_CALL + payload + len(steps) * BYTES_PER_STEP + dependencies
