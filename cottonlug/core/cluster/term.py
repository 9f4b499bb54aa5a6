"""What the parts of one leader's decisions share while its term lasts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import DomainName
from .commands import Command
from .lives import LeaseTerms
from .model import JobId, RunNumber
from .orders import Order
from .records import Records
from .reports import DEFAULT_REPORT_TERMS, ReportTerms

Note = Callable[[str, dict[str, str | int]], None]
"""Called for each decision worth a log line, with its name and inputs."""
WallTime = Callable[[], int]
"""Return the wall-clock time in milliseconds."""

TOKENS_PER_TERM = 1_000_000
"""Room for the tokens of deputies between those of two leaders."""
RUNS_PER_TERM = 4_096
"""Run numbers of a later term are higher than all of an earlier one."""


@dataclass(slots=True, kw_only=True)
class DispatchCounts:
    """What a leader has done, for metrics and the dump."""

    starts: int = 0
    started: int = 0
    refused_starts: int = 0
    unknown_starts: int = 0
    stops: int = 0
    looks: int = 0
    failed_looks: int = 0
    lapsed_runs: int = 0
    ends: int = 0
    rejected_jobs: int = 0
    given_up_jobs: int = 0
    moved_runs: int = 0
    crashed_upstreams: int = 0
    """Upstreams that ended without leaving, with something at work."""
    crashing_tasks: int = 0
    """Tasks given up since upstreams have crashed under them."""
    resized_upstreams: int = 0
    starts_without_room: int = 0
    """Starts that upstreams refused for want of room."""
    evacuated_rejections: int = 0
    """Jobs rejected since all upstreams of their service are in evacuated domains."""
    settled_after_ms: int = 0
    """How long it took until nothing of earlier leaders could run unknown."""


@dataclass(slots=True, kw_only=True)
class Term:
    """One term: what it may rely on, what it has to send, and what it has done.

    `number` rises from leader to leader; it is the token of all orders.
    """

    number: int
    began_at: timedelta
    records: Records
    lease: LeaseTerms
    wall_ms: WallTime
    note: Note
    on_end: Callable[[JobId], None]
    domain: DomainName | None = None
    """Failure domain whose upstreams alone it may order; None for all."""
    keeps_log: bool = True
    """Whether later leaders learn what it proposes; those of a deputy are its own affair."""
    counts: DispatchCounts = field(default_factory=DispatchCounts)
    orders: list[Order] = field(default_factory=list)
    proposals: list[Command] = field(default_factory=list)
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    known_until: timedelta = timedelta()
    """Until then the capacities in the record can be counted on without a report to this leader."""
    is_fenced_off: bool = False
    """Whether an upstream has taken orders under a higher token: this term is over there."""

    @property
    def may_start(self) -> bool:
        """Whether tasks may be started at all.

        A deputy has been replaced once an upstream shows a higher token. A leader goes on at all
        others until its next term, since a deputy decides for its own failure domain only.
        """
        return self.keeps_log or not self.is_fenced_off

    def may_be_decided_elsewhere(self, run: RunNumber) -> bool:
        """Whether whoever began a run of another term may still decide about its job.

        An earlier leader does not, since it has lost its own lease. A deputy may, in a failure
        domain that is cut off, and so may the leader that a deputy does not reach.
        """
        return not self.keeps_log or (run // RUNS_PER_TERM) % TOKENS_PER_TERM != 0

    @property
    def lapsed_at(self) -> timedelta:
        """From when on nothing of earlier terms can be at work at an upstream not heard since."""
        return self.began_at + self.lease.lapse_after

    @property
    def first_run(self) -> RunNumber:
        """The lowest run number of this term."""
        return RunNumber(self.number * RUNS_PER_TERM)
