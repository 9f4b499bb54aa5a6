"""State that the parts of one leader's scheduling share during its term."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import DomainName
from .capacity_reports import DEFAULT_REPORT_TERMS, ReportTerms
from .commands import Command
from .instances import LeaseTerms
from .model import JobId, RunNumber
from .orders import Order
from .records import Records

DecisionLog = Callable[[str, dict[str, str | int]], None]
"""Called for each decision that is logged, with its name and inputs."""
WallTime = Callable[[], int]
"""Returns the wall-clock time in milliseconds."""

TOKENS_PER_TERM = 1_000_000
"""The token of a leader is its term times this; acting leaders use the tokens in between."""
RUN_NUMBERS_PER_TOKEN = 4_096
"""Run numbers per token, so that those under a higher token are all higher."""


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
    """Upstreams that ended without leaving while tasks were active there."""
    crashing_tasks: int = 0
    """Tasks quarantined because upstreams have crashed under them."""
    resized_upstreams: int = 0
    starts_without_room: int = 0
    """Starts that upstreams refused for lack of capacity."""
    evacuated_rejections: int = 0
    """Jobs rejected because all upstreams of their service are in evacuated domains."""
    settled_after_ms: int = 0
    """Time into the term until no unknown run of an earlier leader could be active."""


@dataclass(slots=True, kw_only=True)
class Term:
    """One term: its parameters, its pending orders and proposals, and its counts.

    `token` is the fencing token of all orders, which rises from leader to leader.
    """

    token: int
    began_at: timedelta
    records: Records
    lease: LeaseTerms
    wall_ms: WallTime
    log_decision: DecisionLog
    on_job_end: Callable[[JobId], None]
    domain: DomainName | None = None
    """The only failure domain whose upstreams this term may send orders to; None for all."""
    keeps_log: bool = True
    """Whether proposals reach later leaders through the log; those of an acting leader do not."""
    counts: DispatchCounts = field(default_factory=DispatchCounts)
    orders: list[Order] = field(default_factory=list)
    proposals: list[Command] = field(default_factory=list)
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    known_until: timedelta = timedelta()
    """Until then the recorded capacities can be relied on without a report to this leader."""
    is_superseded: bool = False
    """Whether an upstream is known to have accepted a higher token, which ends this term there."""

    @property
    def may_start(self) -> bool:
        """Whether tasks may be started at all.

        An acting leader has been replaced once an upstream shows a higher token. A leader continues
        at all other upstreams until its next term, because an acting leader coordinates its own
        failure domain only.
        """
        return self.keeps_log or not self.is_superseded

    def may_be_coordinated_elsewhere(self, run: RunNumber) -> bool:
        """Return whether the host that started a run of another term may still coordinate its job.

        An earlier leader does not, because it has lost its own lease. An acting leader may, in a
        failure domain that is cut off, and so may the leader that an acting leader does not reach.
        """
        return not self.keeps_log or (run // RUN_NUMBERS_PER_TOKEN) % TOKENS_PER_TERM != 0

    @property
    def earlier_leases_lapsed_at(self) -> timedelta:
        """From then on no run of an earlier term is active at upstreams not heard from since."""
        return self.began_at + self.lease.lapse_after

    @property
    def first_run(self) -> RunNumber:
        """The lowest run number of this term."""
        return RunNumber(self.token * RUN_NUMBERS_PER_TOKEN)
