"""Probation for upstreams that fail every task they start.

An upstream whose last two results are failures is put on probation: after a pause without any
start it gets one at a time. The pause doubles with each further failure; each success doubles the
limit of concurrent starts. The share of upstreams on probation at once is bounded, so that one bad
job cannot exclude all of them.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from .ids import UpstreamId

FAILURES_TO_PROBATION = 2
"""Number of consecutive failures at which probation begins."""
FIRST_PAUSE = timedelta(seconds=2)
LONGEST_PAUSE = timedelta(seconds=60)
PROBATION_EXIT_LIMIT = 8
"""Probation ends once the limit of concurrent starts has doubled to this."""
MAX_PROBATION_SHARE = 0.34
"""Share of the connected upstreams that may be on probation; one always may."""


@dataclass(slots=True, kw_only=True)
class _FailureRecord:
    """`failures` in a row; `start_limit` is None unless on probation; `pause` is the next one."""

    failures: int = 0
    start_limit: int | None = None
    pause: timedelta = FIRST_PAUSE
    paused_until: timedelta = timedelta()


class FailureGuard:
    """Tracks consecutive failures of each upstream and limits its concurrent starts."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _FailureRecord] = {}

    def record_success(self, upstream: UpstreamId) -> None:
        """Record a success; on probation it doubles the limit or, at the exit limit, lifts it."""
        record = self._records.get(upstream)
        if record is None:
            return
        record.failures = 0
        if record.start_limit is None:
            return
        record.start_limit *= 2
        if record.start_limit >= PROBATION_EXIT_LIMIT:
            record.start_limit = None
            record.pause = FIRST_PAUSE

    def record_failure(self, upstream: UpstreamId, now: timedelta) -> bool:
        """Record a failure; True if it puts the upstream on probation.

        On probation it restarts the pause, now doubled, and sets the limit back to one start.
        """
        record = self._records.setdefault(upstream, _FailureRecord())
        record.failures += 1
        if record.start_limit is not None:
            self._pause(record, now)
            return False
        if record.failures < FAILURES_TO_PROBATION or self._is_probation_share_reached():
            return False
        self._pause(record, now)
        return True

    def get_start_limit(self, upstream: UpstreamId, now: timedelta) -> int | None:
        """Return how many concurrent starts the upstream may have, or None for no limit."""
        record = self._records.get(upstream)
        if record is None or record.start_limit is None:
            return None
        return record.start_limit if now >= record.paused_until else 0

    def is_on_probation(self, upstream: UpstreamId) -> bool:
        """Whether the upstream is on probation."""
        record = self._records.get(upstream)
        return record is not None and record.start_limit is not None

    def add(self, upstream: UpstreamId) -> None:
        """Count an upstream as connected; a record that it has is kept."""
        self._records.setdefault(upstream, _FailureRecord())

    def remove(self, upstream: UpstreamId) -> None:
        """Drop the record of an upstream that has disconnected."""
        self._records.pop(upstream, None)

    def _pause(self, record: _FailureRecord, now: timedelta) -> None:
        record.start_limit = 1
        record.paused_until = now + record.pause
        record.pause = min(2 * record.pause, LONGEST_PAUSE)

    def _is_probation_share_reached(self) -> bool:
        limited = sum(1 for record in self._records.values() if record.start_limit is not None)
        return limited + 1 > max(1.0, MAX_PROBATION_SHARE * len(self._records))
