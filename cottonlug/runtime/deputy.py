"""A gateway that decides for want of a leader: jobs that need not be kept go on being served.

Pattern: all control hosts are off for seconds, or a failure domain is cut off with its gateways and
upstreams. Such jobs need no log, so any one host may decide, if two can never run a task at once:

- upstreams take orders under the highest token only, and a deputy's lies between two leaders';
- whoever decides gives up the jobs of a gateway that it does not hear (`GATEWAY_SILENT`), and a
  gateway takes its jobs elsewhere only after a longer silence (`DEPUTY_AFTER_SILENCE`);
- a job that may have begun waits until every upstream was seen, or its leases have lapsed.

Among gateways that reach no leader, the one with the lowest address stands in. A roster from the
last leader tells it the upstreams and the configuration. It takes no configuration, keeps nothing.

A gateway is a small host: with many upstreams the lowest of each failure domain stands in for that
domain alone. Upstreams of other domains then count as out of sight: what may have begun waits until
their leases have lapsed.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock
from ..core.cluster.calls import Roster
from ..core.cluster.commands import decode_commands
from ..core.cluster.evacuations import Evacuations
from ..core.cluster.lives import choose_terms
from ..core.cluster.reports import ReportTerms
from ..core.ids import DomainName
from .gateways import GATEWAY_SILENT
from .leadership import Leadership, LeadershipSettings
from .ports import OnFailure, UpstreamPort
from .replicated import ReplicatedRecords

DEPUTY_AFTER = timedelta(milliseconds=900)
"""Where control hosts answer that have no leader: longer than an election takes (0.35 to 0.7 s)."""
DEPUTY_AFTER_SILENCE = timedelta(milliseconds=520)
"""Where no majority of them answers, nobody can be elected; longer than `GATEWAY_SILENT` with a
margin."""


class DeputyAuthority:
    """The right of a deputy to decide: until an upstream shows a higher token."""

    def __init__(self, *, term: int, replicated: ReplicatedRecords) -> None:
        self._term = term
        self._replicated = replicated
        self.is_over = False

    @property
    def term(self) -> int:
        """The term of the last known leader."""
        return self._term

    def has_lease(self) -> bool:
        """Whether nobody has taken over."""
        return not self.is_over

    def propose(self, data: str) -> bool:
        """Carry out commands here at once; nothing is kept."""
        if self.is_over:
            return False
        for command in decode_commands(data):
            self._replicated.records.apply(command)
            if self._replicated.listener is not None:
                self._replicated.listener(command)
        return True

    def renew(self) -> None:
        """Stand down: another host has a higher token."""
        self.is_over = True


class Deputy:
    """One time of standing in."""

    def __init__(
        self,
        *,
        roster: Roster,
        level: int,
        domain: DomainName | None,
        port: UpstreamPort,
        clock: Clock,
        longest_lease: timedelta,
        caller_retry: timedelta,
        reports: ReportTerms,
        known_at: timedelta,
        on_failure: OnFailure,
    ) -> None:
        self.domain = domain
        """The failure domain that it stands in for; None for all."""
        replicated = ReplicatedRecords()
        records = replicated.records
        records.put_in_force(roster.configuration)
        records.upstreams = {record.info.id: record for record in roster.upstreams}
        records.suspects = {suspect.task: suspect for suspect in roster.suspects}
        records.evacuations = Evacuations(roster.evacuations)
        self.authority = DeputyAuthority(term=roster.term, replicated=replicated)
        self.leadership = Leadership(
            authority=self.authority,
            replicated=replicated,
            port=port,
            clock=clock,
            on_failure=on_failure,
            settings=LeadershipSettings(
                lease_terms=choose_terms(longest_lease, caller_retry, GATEWAY_SILENT),
                keep_ended=timedelta(),
                caller_retry=caller_retry,
                control_address=None,
                keeps_log=False,
                domain=domain,
                level=level,
                reports=reports,
                # Heartbeats go to control hosts only.
                known_until=reports.find_known_until(known_at),
            ),
        )

    def stop(self) -> None:
        """Decide nothing more."""
        self.authority.renew()
        self.leadership.stop()
