"""The state of a process as typed messages, for `cottonlug dump` and the dump signal."""

from __future__ import annotations

from ..core.consensus.types import MemberId, Role
from ..core.execution import Executor
from ..core.ids import DomainName, HostId, SubmissionId, UpstreamId
from ..core.jobs import build_status
from ..core.messages import JobStatus, Message, TaskName
from ..core.states import SessionState
from .entry import EntryHost
from .voter import Voter

MAX_DUMPED_JOBS = 200
"""Maximum number of active jobs in the dump of an entry host."""


class SessionDump(Message, omit_defaults=False):
    """The session of one upstream at an entry host.

    `outstanding` counts the starts that were sent and may be active; `credit` is their maximum.
    `open_requests` counts the upstream's exchange requests that are parked here.
    """

    upstream: UpstreamId
    state: SessionState
    session: int
    credit: int
    outstanding: int
    open_requests: int
    probation_limit: int | None


class ConsensusDump(Message, omit_defaults=False):
    """State of a voter as a member of the replicated log."""

    member: MemberId
    role: Role
    term: int
    leader: MemberId | None
    commit: int
    last_index: int
    voters: list[MemberId]
    learners: list[MemberId]


class EntryDump(Message, omit_defaults=False):
    """State of an entry host; `jobs` holds the newest active ones."""

    host: HostId
    domain: DomainName
    generation: str
    draining: bool
    rules_version: int
    rules_stale: bool
    consensus: ConsensusDump | None
    gauges: dict[str, float]
    counters: dict[str, float]
    sessions: list[SessionDump]
    jobs: list[JobStatus]


class LinkDump(Message, omit_defaults=False):
    """One link of an upstream to an entry host."""

    host: HostId
    session: int
    open_requests: int
    credit: int
    backlog: int
    draining: bool


class UpstreamDump(Message, omit_defaults=False):
    """State of a simulated upstream; `duplicate_starts` must be zero."""

    upstream: UpstreamId
    leaving: bool
    slots: int
    waiting: int
    running: list[TaskName]
    links: list[LinkDump]
    started: int
    duplicate_starts: int
    started_by_submission: dict[SubmissionId, int]


def build_entry_dump(host: EntryHost) -> EntryDump:
    """Return the state of an entry host."""
    dispatcher = host.dispatcher
    active = [job for job in dispatcher.store.jobs.values() if not job.ended]
    return EntryDump(
        host=host.settings.host,
        domain=host.settings.domain,
        generation=dispatcher.store.generation,
        draining=dispatcher.draining,
        rules_version=host.rulebook.version,
        rules_stale=host.control.is_stale(),
        consensus=_build_consensus_dump(host),
        gauges=host.get_gauges(),
        counters=host.get_counters(),
        sessions=[
            SessionDump(
                upstream=session.upstream,
                state=session.state,
                session=session.number,
                credit=session.credit,
                outstanding=len(session.outstanding),
                open_requests=len(session.open_requests),
                probation_limit=dispatcher.get_probation_limit(session.upstream),
            )
            for session in dispatcher.sessions.values()
        ],
        jobs=[build_status(job) for job in active[-MAX_DUMPED_JOBS:]],
    )


def _build_consensus_dump(host: EntryHost) -> ConsensusDump | None:
    member = host.control.member if isinstance(host.control, Voter) else None
    if member is None:
        return None
    return ConsensusDump(
        member=member.id,
        role=member.role,
        term=member.term,
        leader=member.leader,
        commit=member.commit,
        last_index=member.log.last_index,
        voters=list(member.members.voters),
        learners=list(member.members.learners),
    )


def build_links_dump(executor: Executor) -> list[LinkDump]:
    """Return the state of an upstream's links."""
    return [
        LinkDump(
            host=link.host,
            session=link.session,
            open_requests=link.open_requests,
            credit=link.reported_credit,
            backlog=link.backlog,
            draining=link.draining,
        )
        for link in executor.links.values()
    ]
