"""Jobs that were cancelled although the log does not contain them, part of the replicated state.

These are best-effort jobs, and jobs that no host knew at the time. Their gateways or callers may
have no answer yet and submit them again, to this leader or to a later one, which must not start
them then.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from .model import JobId, Value

RETENTION_MS = 60_000
"""How long a cancel is kept at least, by the wall clocks of the leaders: callers wait for seconds,
and a clock that is set may jump by some seconds."""
MAX_CANCELLED = 4_096
"""Most cancels that are kept: 0.2 MB in a snapshot. The oldest are dropped beyond that."""


class CancelledJob(Value, frozen=True):
    """The cancel of one job, by the wall-clock time of the leader that accepted it."""

    job: JobId
    at_ms: int


class CancelledJobs:
    """Cancels by job, the oldest first."""

    def __init__(self, cancelled: Iterable[CancelledJob] = ()) -> None:
        self._at_ms = OrderedDict((each.job, each.at_ms) for each in cancelled)
        self.dropped = 0
        """How many were dropped on this host before their time, since there were too many."""

    def __contains__(self, job: JobId) -> bool:
        return job in self._at_ms

    def __len__(self) -> int:
        return len(self._at_ms)

    @property
    def records(self) -> tuple[CancelledJob, ...]:
        """All cancels, for a snapshot."""
        return tuple(CancelledJob(job=job, at_ms=at_ms) for job, at_ms in self._at_ms.items())

    def add(self, job: JobId, at_ms: int) -> None:
        """Keep a cancel, counted from its last repetition, and forget the old ones."""
        self._at_ms[job] = at_ms
        self._at_ms.move_to_end(job)
        while next(iter(self._at_ms.values())) < at_ms - RETENTION_MS:
            self._at_ms.popitem(last=False)
        if len(self._at_ms) > MAX_CANCELLED:
            self._at_ms.popitem(last=False)
            self.dropped += 1
