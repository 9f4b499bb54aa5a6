"""State that the parts of a coordinator share during one term.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). Each has a fencing token, which rises from one
coordinator to the next: an upstream refuses orders with a lower token than it has seen. A run is
one try to carry out a task.
"""

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
from .run_numbers import find_token, is_durable_run
from .speeds import Speeds

DecisionLog = Callable[[str, dict[str, str | int]], None]
"""Called for each decision that is logged, with its name and inputs."""
WallTime = Callable[[], int]
"""Returns the wall-clock time in milliseconds."""

TOKENS_PER_TERM = 1_000_000
"""The token of a leader is its term in the replicated log times this; acting leaders use the tokens
in between."""


@dataclass(slots=True, kw_only=True)
class DispatchCounts:
    """What a coordinator has done in this term, for metrics and the dump."""

    starts: int = 0
    started: int = 0
    """Starts that upstreams have confirmed."""
    refused_starts: int = 0
    unknown_starts: int = 0
    """Starts that were not answered, so that the run may be active."""
    stops: int = 0
    looks: int = 0
    """Polls, which list the runs and ended runs of an upstream and renew its lease."""
    failed_looks: int = 0
    """Polls without a usable answer."""
    lapsed_runs: int = 0
    """Runs abandoned because the lease of their upstream, or the upstream itself, has ended."""
    ends: int = 0
    """Run ends that upstreams have listed."""
    forgotten_upstreams: int = 0
    """Upstreams dropped because they were silent, without evidence that they had ended."""
    released_tasks: int = 0
    """Tasks queued since their wait for leases was over, not since all upstreams had answered."""
    doubled_runs: int = 0
    """Runs that an upstream listed while another run of their task was active."""
    rejected_jobs: int = 0
    refused_early: int = 0
    """Rejected jobs that were refused by an estimate of their wait, under overload."""
    given_up_jobs: int = 0
    """Jobs abandoned after they may have begun, since going on would be of no use."""
    moved_runs: int = 0
    """Runs stopped as stalled or slow, so that their tasks start elsewhere."""
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
    """Time from the start of the term until no unknown run of an earlier leader could be active; 0
    before that."""


@dataclass(slots=True, kw_only=True)
class Term:
    """One term of a coordinator: its parameters, pending orders and proposals, and counts."""

    token: int
    """The fencing token of all its orders."""
    began_at: timedelta
    """On the host's monotonic clock, like all times here except `wall_ms`."""
    records: Records
    """The replicated state; an acting leader has a copy, which it changes by itself."""
    lease: LeaseTerms
    """How long upstreams may run tasks without hearing from this coordinator."""
    wall_ms: WallTime
    log_decision: DecisionLog
    on_job_end: Callable[[JobId], None]
    """Called with each job that has ended or was abandoned."""
    domain: DomainName | None = None
    """The only failure domain whose upstreams this term may send orders to; None for all."""
    keeps_log: bool = True
    """Whether proposals reach later leaders through the log; those of an acting leader do not."""
    speeds: Speeds = field(default_factory=Speeds)
    """Factors of run times by kind of upstream."""
    counts: DispatchCounts = field(default_factory=DispatchCounts)
    orders: list[Order] = field(default_factory=list)
    """Orders that are yet to be sent to upstreams."""
    proposals: list[Command] = field(default_factory=list)
    """Commands that are yet to be proposed to the log, or applied here without one."""
    reports: ReportTerms = DEFAULT_REPORT_TERMS
    """How long the capacities that upstreams report can be relied on."""
    known_until: timedelta = timedelta()
    """Until then the recorded capacities can be relied on without a report to this host."""
    remote_factor: float = 1.0
    """How many times as long a task takes outside the rack of its data. At 1 the rack is only
    preferred."""
    begun_earlier: frozenset[JobId] | None = None
    """Best-effort jobs of which the last leader may have active runs; None if that is unknown."""
    is_busy: bool = False
    """Whether this host has hardly enough processor time for its work."""
    is_superseded: bool = False
    """Whether an upstream is known to have accepted a higher token, which ends this term there."""

    @property
    def may_start(self) -> bool:
        """Whether tasks may be started at all.

        An acting leader has been replaced once an upstream shows a higher token. A leader may have
        met the token of an acting leader in a failure domain that is cut off: it goes on at all
        other upstreams, until it has a later term.
        """
        return self.keeps_log or not self.is_superseded

    def may_be_coordinated_elsewhere(self, run: RunNumber) -> bool:
        """Return whether the host that started a run of another term may still coordinate its job.

        An earlier leader does not, because it has lost its own lease among the control hosts. An
        acting leader may, in a failure domain that is cut off, and so may the leader that an acting
        leader does not reach. The run number contains the token of the host that started the run.
        """
        return not self.keeps_log or find_token(run) % TOKENS_PER_TERM != 0

    def is_left_to_leader(self, run: RunNumber) -> bool:
        """Return whether only a leader may stop a run that is listed, or confirm its end.

        An acting leader knows no durable job: its failover state contains none, and may be older
        than the job. Only the log tells whether the task has to run again.
        """
        return not self.keeps_log and is_durable_run(run)

    def may_have_begun_earlier(self, job: JobId) -> bool:
        """Return whether an earlier leader may have active runs of a best-effort job."""
        if not self.keeps_log:
            return False
        return self.begun_earlier is None or job in self.begun_earlier

    @property
    def earlier_leases_lapsed_at(self) -> timedelta:
        """When all leases of earlier terms have certainly ended that this one has not renewed."""
        return self.began_at + self.lease.lapse_after
