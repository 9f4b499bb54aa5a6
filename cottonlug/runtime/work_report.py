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
REPORTED_TURN = timedelta(milliseconds=15)
"""A report is written only if a turn of the event loop took longer: an answer of an upstream, and
the start that it makes room for, then take twice as long."""


class WorkReport:
    """The work of the last second, and whether it was late."""

    def __init__(self, *, meter: WorkMeter, now: timedelta) -> None:
        self._meter = meter
        self._due = now + REPORT_INTERVAL
        self._turns = 0
        self._turn_time = timedelta()
        self._longest_turn = timedelta()
        self._busy_seconds = time.thread_time()
        self._starts = 0
        self.describe_arrivals: Callable[[], tuple[int, timedelta]] = lambda: (0, timedelta())
        """Returns how many jobs have arrived that were not taken yet, and for how long the
        oldest of them has waited."""

    def record_turn(self, turn: timedelta) -> None:
        """Record a turn of the event loop: the time from scheduling a decision to making it."""
        self._turns += 1
        self._turn_time += turn
        self._longest_turn = max(self._longest_turn, turn)

    def log_if_due(self, dispatch: Dispatch, now: timedelta) -> None:
        """Once a second, log what took the time if a turn of the event loop was long."""
        if now < self._due:
            return
        self._due = now + REPORT_INTERVAL
        fields = self._meter.take_interval()
        longest, self._longest_turn = self._longest_turn, timedelta()
        mean = self._turn_time / max(self._turns, 1)
        self._turns, self._turn_time = 0, timedelta()
        began, self._busy_seconds = self._busy_seconds, time.thread_time()
        earlier_starts, self._starts = self._starts, dispatch.counts.starts
        if longest < REPORTED_TURN:
            return
        not_taken, waited = self.describe_arrivals()
        log_event(
            Event.LEADER_BEHIND,
            turn_ms=to_milliseconds(mean),
            longest_turn_ms=to_milliseconds(longest),
            busy_ms=round((self._busy_seconds - began) * MS_PER_SECOND),
            starts=self._starts - earlier_starts,
            not_taken=not_taken,
            not_taken_for_ms=to_milliseconds(waited),
            waiting=len(dispatch.jobs.backlog),
            open_jobs=dispatch.jobs.count_jobs(),
            **fields,
        )
