"""Writes what a coordinator did in each second in which it was behind with its work."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import timedelta

from ..core.clock import to_milliseconds
from ..core.cluster.dispatch import Dispatch
from .events import Event, log_event
from .work_meter import MS_PER_SECOND, WorkMeter

REPORT_INTERVAL = timedelta(seconds=1)
"""Interval of the reports, and the time that each of them covers."""
REPORTED_GAP = timedelta(milliseconds=45)
"""A report is written only after a longer gap between two decisions, where 20 ms are usual."""


class WorkReport:
    """The work of the last second, and whether it was late."""

    def __init__(self, *, meter: WorkMeter, now: timedelta) -> None:
        self._meter = meter
        self._due = now + REPORT_INTERVAL
        self._longest_gap = timedelta()
        self._busy_seconds = time.thread_time()
        self._starts = 0
        self.describe_queue: Callable[[], tuple[int, timedelta]] = lambda: (0, timedelta())
        """Returns how many jobs have arrived that were not looked at yet, and for how long the
        oldest of them has waited."""

    def record_gap(self, gap: timedelta) -> None:
        """Record the time between two decisions."""
        self._longest_gap = max(self._longest_gap, gap)

    def log_if_due(self, dispatch: Dispatch, now: timedelta) -> None:
        """Once a second, log what took the time if a decision was late."""
        if now < self._due:
            return
        self._due = now + REPORT_INTERVAL
        fields = self._meter.take_interval()
        gap, self._longest_gap = self._longest_gap, timedelta()
        began, self._busy_seconds = self._busy_seconds, time.thread_time()
        earlier_starts, self._starts = self._starts, dispatch.counts.starts
        if gap < REPORTED_GAP:
            return
        queued, queued_for = self.describe_queue()
        log_event(
            Event.LEADER_BEHIND,
            longest_gap_ms=to_milliseconds(gap),
            busy_ms=round((self._busy_seconds - began) * MS_PER_SECOND),
            starts=self._starts - earlier_starts,
            queued_jobs=queued,
            queued_for_ms=to_milliseconds(queued_for),
            waiting=len(dispatch.jobs.backlog),
            open_jobs=dispatch.jobs.count_jobs(),
            **fields,
        )
