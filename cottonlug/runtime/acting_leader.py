"""A gateway that acts as leader while none can be reached, so that best-effort jobs are served.

Used when all control hosts are down for seconds, or when a failure domain is cut off together with
its gateways and upstreams. Best-effort jobs need no log, so any single host may schedule them, as
long as no task can run twice:

- upstreams accept only orders with the highest fencing token that they have seen, and the token of
  an acting leader (that of the last leader plus a level) lies between those of two leaders;
- the coordinator abandons the jobs of a gateway after `GATEWAY_TIMEOUT` without contact, and a
  gateway moves its jobs to another coordinator only after the longer `ACT_AS_LEADER_AFTER_SILENCE`;
- a job that may have started waits until its leases have expired, since neither an acting leader
  nor the leader after it can know all upstreams that the other has used.

Among the gateways that reach no leader, the first one (`host_sizes`) acts as leader. It knows
the upstreams and the configuration from the failover state, which the last leader has sent to all
gateways. It accepts no new configuration and stores nothing.

A gateway is a small host: with many upstreams, the first gateway of each failure domain acts as
leader for that domain only. Upstreams of other domains then count as unreachable: jobs that may
have started there wait until the leases of these upstreams have expired.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..core.clock import Clock
from ..core.cluster.calls import FailoverState
from ..core.cluster.capacity_reports import ReportTerms
from ..core.cluster.commands import decode_commands
from ..core.cluster.evacuations import Evacuations
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.speed_records import SpeedRecords
from ..core.ids import DomainName
from .gateway_registry import GATEWAY_TIMEOUT
from .leadership import Leadership, LeadershipSettings
from .ports import OnFailure, UpstreamPort
from .replicated import ReplicatedRecords
from .upstream_isolation import UpstreamIsolation
from .work_meter import WorkMeter

ACT_AS_LEADER_AFTER = timedelta(milliseconds=900)
"""A gateway acts as leader after this time without a leader, if control hosts answer.

Longer than an election takes (0.35 to 0.7 s).
"""
ACT_AS_LEADER_AFTER_SILENCE = timedelta(milliseconds=520)
"""The same if no majority of control hosts answers, so that no leader can be elected.

Longer than `GATEWAY_TIMEOUT`, with a margin.
"""


class ActingLeaderAuthority:
    """The authority of an acting leader, which ends when an upstream reports a higher token.

    `is_check_overdue` returns whether this process was delayed since its last failover check, so
    that another coordinator may have replaced it.
    """

    def __init__(
        self,
        *,
        term: int,
        replicated: ReplicatedRecords,
        is_check_overdue: Callable[[], bool] = lambda: False,
    ) -> None:
        self._term = term
        self._replicated = replicated
        self._is_check_overdue = is_check_overdue
        self.is_over = False

    @property
    def term(self) -> int:
        """The term of the last known leader."""
        return self._term

    def has_lease(self) -> bool:
        """Return whether orders may be sent: no other coordinator is known to have taken over."""
        return not self.is_over and not self._is_check_overdue()

    def propose(self, data: str) -> bool:
        """Apply commands at once, in memory only; False if the authority has ended."""
        if self.is_over:
            return False
        for command in decode_commands(data):
            self._replicated.records.apply(command)
            if self._replicated.listener is not None:
                self._replicated.listener(command)
        return True

    def start_new_term(self) -> None:
        """End this authority: an acting leader cannot begin a later term."""
        self.is_over = True


class ActingLeader:
    """One period in which this gateway acts as leader.

    Its fencing token is that of the last leader plus `level`. `reports` are the terms of upstreams'
    capacity reports. `confirmed_at` is when a leader last sent or confirmed the failover state.
    `remote_factor` is how many times as long a task takes outside the rack of its data. For
    `is_check_overdue`, see `ActingLeaderAuthority`. `on_failure` is called with an unexpected error
    that has ended its authority.
    """

    def __init__(
        self,
        *,
        failover_state: FailoverState,
        level: int,
        domain: DomainName | None,
        port: UpstreamPort,
        clock: Clock,
        longest_lease: timedelta,
        caller_retry: timedelta,
        reports: ReportTerms,
        confirmed_at: timedelta,
        remote_factor: float,
        is_check_overdue: Callable[[], bool],
        work: WorkMeter,
        isolation: UpstreamIsolation,
        on_failure: OnFailure,
    ) -> None:
        self.domain = domain
        """The failure domain that it acts as leader for; None for all."""
        self._on_failure = on_failure
        replicated = ReplicatedRecords()
        records = replicated.records
        records.activate_configuration(failover_state.configuration)
        records.upstreams = {record.info.id: record for record in failover_state.upstreams}
        records.suspects = {suspect.task: suspect for suspect in failover_state.suspects}
        records.evacuations = Evacuations(failover_state.evacuations)
        records.speeds = SpeedRecords(failover_state.speeds or ())
        self.authority = ActingLeaderAuthority(
            term=failover_state.term, replicated=replicated, is_check_overdue=is_check_overdue
        )
        self.leadership = Leadership(
            authority=self.authority,
            replicated=replicated,
            port=port,
            clock=clock,
            on_failure=self._fail,
            work=work,
            isolation=isolation,
            settings=LeadershipSettings(
                lease_terms=choose_lease_terms(longest_lease, caller_retry, GATEWAY_TIMEOUT),
                keep_ended=timedelta(),
                caller_retry=caller_retry,
                control_address=None,
                keeps_log=False,
                domain=domain,
                level=level,
                reports=reports,
                # Upstreams send heartbeats to control hosts only, so none will confirm capacities.
                known_until=reports.find_valid_until(confirmed_at),
                remote_factor=remote_factor,
            ),
        )

    def _fail(self, error: BaseException) -> None:
        """End the authority; the next failover check then replaces this acting leader."""
        self.authority.start_new_term()
        self._on_failure(error)

    def stop(self) -> None:
        """Stop scheduling."""
        self.authority.start_new_term()
        self.leadership.stop()
