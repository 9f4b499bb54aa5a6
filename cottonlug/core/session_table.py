"""All upstream sessions of one entry host: leases, parked requests, credit and replies.

A session is described in `sessions`; a parked request is one whose reply waits until there is
something to send. The table does not change jobs. When a session ends, it returns the starts (tasks
sent) that provably did not happen and must be queued again, and those whose outcome is unknown.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count

from . import sessions
from .clock import to_milliseconds
from .guards import FailureGuard
from .ids import SessionNumber, SubmissionId, TaskKey, UpstreamId
from .jobs import Job
from .limits import Limits
from .messages import (
    ExchangeReply,
    ExchangeRequest,
    Refusal,
    StartGroup,
    TaskName,
    TaskStart,
)
from .notices import Counters, Notice, NoticeKind
from .placement import Placement, ReadySessions
from .policy import Policy
from .sessions import Session
from .states import RefusalCode, SessionState

PRIORITY_RANK_MS = 86_400_000
"""Offset of rank between two priorities: one day, the longest deadline of a job, so that it exceeds
the difference of rank within one priority."""


@dataclass(frozen=True, slots=True)
class Delivery:
    """A reply and where it goes: to the session's open (unanswered) request with its `seq`."""

    upstream: UpstreamId
    session: SessionNumber
    reply: ExchangeReply


@dataclass(slots=True)
class OpenedSession:
    """The session of a request, and the starts of the session that it replaced, if any.

    `unstarted` provably did not start; the outcome of `lost` is unknown.
    """

    session: Session
    unstarted: list[TaskKey] = field(default_factory=list)
    lost: list[TaskKey] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class QueueState:
    """What replies report about the queue: its length in tasks, and whether it is drained.

    It is drained if it is empty and the host is shutting down.
    """

    backlog: int
    drained: bool


class SessionTable:
    """The sessions of all connected upstreams, and the replies that are due to them.

    `ready` are the sessions that can take a start now, `guard` limits failing upstreams, and `now`
    is the time of the call being handled, set by the caller.
    """

    def __init__(self, *, limits: Limits, policy: Policy, counters: Counters) -> None:
        self.by_upstream: dict[UpstreamId, Session] = {}
        self.guard = FailureGuard()
        self.ready = ReadySessions(
            order=policy.placement, get_free_capacity=self._get_free_capacity
        )
        self.notices: list[Notice] = []
        self.now = timedelta()
        self._limits = limits
        self._policy = policy
        self._counters = counters
        self._final_replies: list[Delivery] = []
        self._maybe_due: dict[UpstreamId, None] = {}
        """Upstreams to which a reply may be due, as an ordered set."""
        self._ordinals = count()

    def open_session(self, request: ExchangeRequest, now: timedelta) -> OpenedSession | Refusal:
        """Return the session of a request; a request with an announcement may open a new one.

        Refused as stale are a request that is open already, one of an older session, and one of an
        unknown session without an announcement.
        """
        session = self.by_upstream.get(request.upstream)
        same_incarnation = session is not None and session.incarnation == request.incarnation
        if session is not None and same_incarnation and session.number == request.session:
            if request.seq in session.open_requests:
                return _refuse_stale(request)
            return OpenedSession(session)
        if session is not None and same_incarnation and request.session < session.number:
            return _refuse_stale(request)
        if request.announce is None:
            return _refuse_stale(request)
        new_session = Session(
            upstream=request.upstream,
            incarnation=request.incarnation,
            number=request.session,
            announcement=request.announce,
            last_heard=now,
            expires_at=now,
            ordinal=next(self._ordinals),
        )
        opened = OpenedSession(new_session)
        if session is not None:
            self._replace_session(session, opened, request)
        self.by_upstream[request.upstream] = new_session
        self.guard.add(request.upstream)
        self.notices.append(Notice(NoticeKind.OPENED, request.upstream))
        return opened

    def renew_lease(self, session: Session, request: ExchangeRequest, now: timedelta) -> None:
        """Renew a session's lease and update its state from the request."""
        if session.state is not SessionState.CLOSED:
            self._update_state(session, request)
        session.expires_at = now + self._get_lease(session)
        self.ready.update(session)
        self.mark_reply_due(session.upstream)

    def close_session(self, session: Session, cause: str) -> list[TaskKey]:
        """End a session and return the starts whose outcome is unknown."""
        session.state = SessionState.CLOSED
        self.notices.append(Notice(NoticeKind.GONE, session.upstream, cause))
        self.by_upstream.pop(session.upstream, None)
        self.guard.remove(session.upstream)
        self._answer_open_requests(session)
        lost = list(session.outstanding)
        for key in lost:
            sessions.remove_outstanding(session, key)
        return lost

    def handle_disconnect(
        self, upstream: UpstreamId, number: int, seq: int, now: timedelta
    ) -> None:
        """Handle the loss of the connection on which an open request waited for its reply.

        The lease is shortened and, unless the upstream is leaving, its session is suspect: it gets
        no new starts until its next request.
        """
        session = self.by_upstream.get(upstream)
        if session is None or session.number != number or seq not in session.open_requests:
            return
        session.open_requests.remove(seq)
        if session.state is not SessionState.LEAVING:
            session.state = SessionState.SUSPECT
        session.expires_at = min(session.expires_at, now + self._limits.suspect_grace)

    def scan_sessions(self, now: timedelta) -> list[Session]:
        """Mark sessions with parked requests as maybe due for a reply; return the expired ones."""
        expired: list[Session] = []
        for session in self.by_upstream.values():
            if now > session.expires_at:
                expired.append(session)
            elif session.open_requests:
                self.mark_reply_due(session.upstream)
                if self.guard.is_on_probation(session.upstream):
                    self.ready.update(session)
        return expired

    def mark_reply_due(self, upstream: UpstreamId) -> None:
        """Record that a reply to this upstream may be due; `build_due_replies` finds out."""
        self._maybe_due[upstream] = None

    def add_start(self, session: Session, placement: Placement) -> None:
        """Add a start to the outstanding ones of a session, whose reply becomes due."""
        sessions.add_outstanding(session, placement.key, placement.job.spec.needs)
        self.ready.update(session)
        self.mark_reply_due(session.upstream)

    def stop_task(self, upstream: UpstreamId, key: TaskKey) -> None:
        """Have the next reply to an upstream stop a task that was sent to it."""
        session = self.by_upstream.get(upstream)
        if session is not None and key in session.outstanding:
            session.stops.append(TaskName(key.submission, key.task, key.attempt))
            self.mark_reply_due(upstream)

    def build_due_replies(
        self, starts: dict[UpstreamId, list[Placement]], queue: QueueState
    ) -> list[Delivery]:
        """Return every reply that is due; the starts that they carry are removed from `starts`."""
        deliveries = self._final_replies
        self._final_replies = []
        candidates = [name for name in self._maybe_due if name in self.by_upstream]
        self._maybe_due = {}
        for name in candidates:
            session = self.by_upstream[name]
            while session.open_requests:
                reply = self._build_reply_if_due(session, starts.pop(name, []), queue)
                if reply is None:
                    break
                deliveries.append(Delivery(name, session.number, reply))
        return deliveries

    def _update_state(self, session: Session, request: ExchangeRequest) -> None:
        if not request.leaving:
            session.state = SessionState.ACTIVE
        elif session.state is not SessionState.LEAVING:
            session.state = SessionState.LEAVING
            self.notices.append(Notice(NoticeKind.LEAVING, session.upstream))

    def _replace_session(
        self, old: Session, opened: OpenedSession, request: ExchangeRequest
    ) -> None:
        """End the old session; the new one takes over the starts that its request names.

        Of a restarted upstream none are left.
        """
        new_session = opened.session
        if old.incarnation != new_session.incarnation:
            opened.lost = self.close_session(old, "the upstream restarted")
            return
        self._answer_open_requests(old)
        reported = {TaskKey(name.submission, name.index, name.attempt) for name in request.held}
        for group in request.results:
            for result in group.results:
                reported.add(TaskKey(group.submission, result.index, result.attempt))
        for key, needs in list(old.outstanding.items()):
            sessions.remove_outstanding(old, key)
            if key in reported:
                sessions.add_outstanding(new_session, key, needs)
            else:
                opened.unstarted.append(key)

    def _answer_open_requests(self, session: Session) -> None:
        while session.open_requests:
            reply = self._build_reply(session, [], QueueState(backlog=0, drained=False))
            self._final_replies.append(Delivery(session.upstream, session.number, reply))

    def _get_lease(self, session: Session) -> timedelta:
        return self._limits.busy_lease if session.outstanding else self._limits.idle_lease

    def _get_free_capacity(self, session: Session) -> int:
        """Return how many more starts a session can take now, by its credit and its probation."""
        limit = (
            self.guard.get_start_limit(session.upstream, self.now) if self._policy.guards else None
        )
        if limit is None:
            return session.free_capacity
        return min(session.free_capacity, limit - len(session.outstanding))

    def _build_reply_if_due(
        self, session: Session, placed: list[Placement], queue: QueueState
    ) -> ExchangeReply | None:
        limits = self._limits
        park = limits.busy_park if session.outstanding else limits.idle_park
        parked_too_long = self.now - session.last_heard >= park
        # One parked request is enough; the upstream needs the other one for its next update.
        is_spare = len(session.open_requests) > 1
        leaves = session.state is SessionState.LEAVING
        due = placed or session.stops or parked_too_long or is_spare or leaves or queue.drained
        if not due:
            return None
        reply = self._build_reply(session, placed, queue)
        # With no open request left the upstream has to send the next one at once: short lease.
        lease = self._get_lease(session) if session.open_requests else limits.busy_lease
        session.expires_at = self.now + lease
        return reply

    def _build_reply(
        self, session: Session, placed: list[Placement], queue: QueueState
    ) -> ExchangeReply:
        if not placed and not session.stops:
            self._counters.empty_replies += 1
        reply = ExchangeReply(
            seq=session.open_requests.popleft(),
            lease_ms=to_milliseconds(self._limits.busy_lease),
            starts=_group_starts(placed, self.now),
            stops=session.stops,
            backlog=queue.backlog,
            draining=queue.drained,
        )
        session.stops = []
        return reply


def _group_starts(placed: Iterable[Placement], now: timedelta) -> list[StartGroup]:
    groups: dict[SubmissionId, StartGroup] = {}
    for start in placed:
        job = start.job
        group = groups.get(job.id)
        if group is None:
            group = StartGroup(
                submission=job.id,
                kind=job.spec.kind,
                timeout_ms=to_milliseconds(job.spec.timeout),
                tasks=[],
                rank_ms=_compute_rank(job, now),
            )
            groups[job.id] = group
        payload = job.payloads[start.key.task]
        group.tasks.append(TaskStart(start.key.task, start.key.attempt, payload))
    return list(groups.values())


def _compute_rank(job: Job, now: timedelta) -> int:
    """Return the job's queue rank in milliseconds from now, ordered by priority first."""
    return int((job.rank - now.total_seconds()) * 1000) + job.spec.priority * PRIORITY_RANK_MS


def _refuse_stale(request: ExchangeRequest) -> Refusal:
    return Refusal(
        code=RefusalCode.STALE_SESSION,
        message=f"session {request.session} of {request.upstream} is not open here; announce again",
    )
