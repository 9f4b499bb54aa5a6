"""The dispatcher of one entry host: jobs on one side, upstream sessions on the other.

It does no input or output. The program round it passes in messages and the time, calls `dispatch`
after a round of them, delivers the replies it gets back and asks `take_ended` which jobs ended.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from contextlib import closing
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from itertools import count

from msgspec import Raw
from returns.result import Failure as Err
from returns.result import Result, Success

from . import sessions
from .clock import to_milliseconds
from .estimates import RunTimes
from .guards import FailureGuard
from .ids import SessionNumber, SubmissionId, TaskKey, UpstreamId
from .invariants import require
from .jobs import (
    Job,
    build_status,
    fail_job,
    is_current,
    record_end,
    record_not_started,
    record_success,
    retry_task,
    send_next_task,
)
from .messages import (
    ExchangeReply,
    ExchangeRequest,
    JobStatus,
    Refusal,
    StartGroup,
    TaskName,
    TaskResult,
    TaskStart,
)
from .placement import Placement, ReadySessions
from .policy import Policy
from .queues import JobQueue, Turn
from .retries import RetryBudget
from .sessions import Session
from .states import (
    FailureReason,
    RefusalCode,
    ResultStatus,
    RunOutcome,
    SessionState,
    TaskState,
)
from .submissions import SubmissionStore

OVERLOAD_RETRY_AFTER_MS = 500
DEFAULT_POLICY = Policy()
PRIORITY_RANK_MS = 86_400_000
"""More than any difference of rank within one priority: deadlines are a day at most."""
SWEEP_INTERVAL = timedelta(milliseconds=250)
"""How often all sessions are looked at for leases and parked requests that are due."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits of one dispatcher; spans of time as such, counts in tasks."""

    max_queued_tasks: int = 200_000
    idle_lease: timedelta = timedelta(seconds=45)
    busy_lease: timedelta = timedelta(seconds=4)
    suspect_grace: timedelta = timedelta(seconds=2)
    idle_park: timedelta = timedelta(seconds=30)
    busy_park: timedelta = timedelta(seconds=1)
    unrunnable_grace: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Delivery:
    """A reply for the request of that upstream, session and number."""

    upstream: UpstreamId
    session: SessionNumber
    reply: ExchangeReply


class NoticeKind(Enum):
    """What the program round the dispatcher may want to log."""

    OPENED = "opened"
    GONE = "gone"
    LEAVING = "leaving"
    PROBATION = "probation"


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that happened to an upstream."""

    kind: NoticeKind
    upstream: UpstreamId
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Counters:
    """What the dispatcher has counted since it began."""

    jobs_accepted: int = 0
    jobs_attached: int = 0
    jobs_complete: int = 0
    jobs_failed: int = 0
    refused: int = 0
    starts: int = 0
    results: int = 0
    stale_results: int = 0
    returned_unstarted: int = 0
    unknown_tasks: int = 0
    exchanges: int = 0
    empty_replies: int = 0
    probations: int = 0
    retries: int = 0


class Dispatcher:
    """State of one entry host's dispatching."""

    def __init__(
        self,
        *,
        store: SubmissionStore,
        limits: Limits,
        retry_budget: RetryBudget,
        policy: Policy = DEFAULT_POLICY,
    ) -> None:
        self.store = store
        self.counters = Counters()
        self.sessions: dict[UpstreamId, Session] = {}
        self.queue = JobQueue(work_factor=policy.work_factor, fair_teams=policy.fair_teams)
        self.policy = policy
        self.draining = False
        self.queued_tasks = 0
        self._limits = limits
        self._retry_budget = retry_budget
        self._run_times = RunTimes()
        self._guard = FailureGuard()
        self._deadlines: list[tuple[timedelta, SubmissionId]] = []
        self._ended: list[Job] = []
        self._notices: list[Notice] = []
        self._farewells: list[Delivery] = []
        self._ready = ReadySessions(order=policy.placement, get_room=self._get_room)
        self._touched: dict[UpstreamId, None] = {}
        self._next_sweep = timedelta()
        self._ordinals = count()
        self._now = timedelta()
        self._active: dict[SubmissionId, Job] = {}

    # Callers' side

    def submit(self, job: Job, run_time: timedelta | None) -> Result[JobStatus, Refusal]:
        """Accept a job, or attach to the one that has its id already."""
        known = self.store.jobs.get(job.id)
        if known is not None:
            return self.attach(known, job.digest)
        refusal = self.store.check_new(job.id, job.accepted_at) or self._check_admission(job)
        if refusal is not None:
            self.counters.refused += 1
            return Err(refusal)
        self.store.add(job)
        self._active[job.id] = job
        self.counters.jobs_accepted += 1
        self.queued_tasks += len(job.payloads)
        heapq.heappush(self._deadlines, (job.deadline_at, job.id))
        self._enqueue(job, run_time)
        return Success(build_status(job))

    def attach(self, known: Job, digest: bytes) -> Result[JobStatus, Refusal]:
        """Answer a resend with the job that has its id, if the content is the same."""
        if known.digest != digest:
            self.counters.refused += 1
            message = f"submission id {known.id} was used for other content"
            return Err(Refusal(code=RefusalCode.ID_CONFLICT, message=message))
        self.counters.jobs_attached += 1
        return Success(build_status(known))

    def cancel(self, job: Job, now: timedelta) -> JobStatus:
        """End an active job as cancelled; an ended one keeps its end."""
        if not job.ended:
            self._fail(job, FailureReason.CANCELLED, "cancelled by request", now)
        return build_status(job)

    def take_ended(self) -> list[Job]:
        """Return the jobs that ended since the last call."""
        ended = self._ended
        self._ended = []
        return ended

    def take_notices(self) -> list[Notice]:
        """Return what happened to upstreams since the last call."""
        notices = self._notices
        self._notices = []
        return notices

    @property
    def active_jobs(self) -> int:
        """How many jobs have no final state yet."""
        return len(self._active)

    def get_probation_limit(self, upstream: UpstreamId) -> int | None:
        """Return how many starts an upstream on probation may have, or None where it is not."""
        return self._guard.get_limit(upstream, self._now)

    # Upstreams' side

    def exchange(self, request: ExchangeRequest, now: timedelta) -> Refusal | None:
        """Take in one upstream's message; `dispatch` answers it."""
        self._now = now
        self.counters.exchanges += 1
        session = self._find_session(request, now)
        if isinstance(session, Refusal):
            return session
        session.last_heard = now
        session.credit = request.credit
        session.open_requests.append(request.seq)
        for group in request.results:
            for result in group.results:
                key = TaskKey(group.submission, result.index, result.attempt)
                self._take_result(session, key, result, now)
        if request.closing:
            self._close(session, "the upstream left", now)
        elif request.leaving:
            self._note_leaving(session)
        else:
            session.state = SessionState.ACTIVE
        session.expires_at = now + self._get_lease(session)
        self._ready.update(session)
        self._touched[session.upstream] = None
        return None

    def disconnect(self, upstream: UpstreamId, number: int, seq: int, now: timedelta) -> None:
        """Note that the connection of an open request is gone; no new starts until it is back."""
        session = self.sessions.get(upstream)
        if session is None or session.number != number or seq not in session.open_requests:
            return
        session.open_requests.remove(seq)
        if session.state is not SessionState.LEAVING:
            session.state = SessionState.SUSPECT
        session.expires_at = min(session.expires_at, now + self._limits.suspect_grace)

    def dispatch(self, now: timedelta) -> list[Delivery]:
        """Start what can be started and return every reply that is due."""
        self._now = now
        starts = self._place_tasks(now)
        deliveries = self._farewells
        self._farewells = []
        touched = self._take_touched()
        for session in touched:
            while session.open_requests:
                reply = self._build_reply(session, starts.pop(session.upstream, []), now)
                if reply is None:
                    break
                deliveries.append(Delivery(session.upstream, session.number, reply))
        require(not starts, "every start goes out in a reply")
        return deliveries

    def tick(self, now: timedelta) -> None:
        """Act on everything whose time has come."""
        self._now = now
        self._end_overdue_jobs(now)
        self._fail_unrunnable_jobs(now)
        self.store.expire(now)
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_INTERVAL
            self._sweep_sessions(now)

    def _sweep_sessions(self, now: timedelta) -> None:
        """Close sessions whose lease ran out, and look for parked requests that are due."""
        for session in list(self.sessions.values()):
            if now > session.expires_at:
                self._close(session, "the upstream's lease ran out", now)
            elif session.open_requests:
                self._touched[session.upstream] = None
                if self._guard.is_limited(session.upstream):
                    self._ready.update(session)

    def _take_touched(self) -> list[Session]:
        touched = [self.sessions[name] for name in self._touched if name in self.sessions]
        self._touched = {}
        return touched

    # Jobs

    def _check_admission(self, job: Job) -> Refusal | None:
        if self.draining:
            return Refusal(
                code=RefusalCode.DRAINING,
                message="this entry host is shutting down",
                outcome=RunOutcome.NOT_RUN,
                retry_after_ms=0,
            )
        if self.queued_tasks + len(job.payloads) > self._limits.max_queued_tasks:
            return Refusal(
                code=RefusalCode.OVERLOADED,
                message=f"{self.queued_tasks} tasks are queued already",
                outcome=RunOutcome.NOT_RUN,
                retry_after_ms=OVERLOAD_RETRY_AFTER_MS,
            )
        return None

    def _enqueue(self, job: Job, run_time: timedelta | None = None) -> None:
        expected = self._run_times.expect(job.spec.team, job.spec.kind, run_time)
        self.queue.push(job, expected * len(job.queued))

    def _fail(self, job: Job, reason: FailureReason, detail: str, now: timedelta) -> None:
        self.queued_tasks -= len(job.queued)
        fail_job(job, reason, detail, now)
        self._finish(job)

    def _finish(self, job: Job) -> None:
        require(job.ended, "only an ended job is finished")
        self._active.pop(job.id)
        if job.spec.idempotent:
            self.store.forget(job)
        else:
            self.store.note_ended(job)
        self._ended.append(job)
        if job.failure is None:
            self.counters.jobs_complete += 1
            return
        self.counters.jobs_failed += 1
        self._stop_outstanding(job)

    def _stop_outstanding(self, job: Job) -> None:
        for task, upstream in job.sent_to.items():
            session = self.sessions.get(upstream)
            key = TaskKey(job.id, task, job.attempts[task])
            if session is not None and key in session.outstanding:
                session.stops.append(TaskName(job.id, task, key.attempt))
                self._touched[upstream] = None
        job.sent_to.clear()

    def _end_overdue_jobs(self, now: timedelta) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, id = heapq.heappop(self._deadlines)
            job = self._active.get(id)
            if job is not None:
                self._fail(job, FailureReason.DEADLINE, "the deadline passed", now)

    def _fail_unrunnable_jobs(self, now: timedelta) -> None:
        announcements = [session.announcement for session in self.sessions.values()]
        if not announcements:
            return
        for job in list(self._active.values()):
            if job.succeeded or job.sent or now - job.accepted_at < self._limits.unrunnable_grace:
                continue
            if not any(sessions.could_ever_fit(offer, job.spec) for offer in announcements):
                detail = "no upstream has what a task of this job needs"
                self._fail(job, FailureReason.NEVER_RUNNABLE, detail, now)

    # Results

    def _take_result(
        self, session: Session, key: TaskKey, result: TaskResult, now: timedelta
    ) -> None:
        if not sessions.remove_outstanding(session, key):
            self.counters.stale_results += 1
            return
        self.counters.results += 1
        job = self._active.get(key.submission)
        if result.status is ResultStatus.SUCCEEDED:
            self._guard.record_success(session.upstream)
        if job is None or not is_current(job, key):
            return
        if result.status is ResultStatus.SUCCEEDED:
            ran = timedelta(microseconds=result.ran_us)
            self._run_times.observe(job.spec.team, job.spec.kind, ran)
            record_success(job, key, result.value, now)
            if job.ended:
                self._finish(job)
        elif result.status is ResultStatus.NOT_STARTED:
            self._return_unstarted(job, key)
        elif result.status is ResultStatus.FAILED:
            if self._guard.record_failure(session.upstream, now):
                self.counters.probations += 1
                self._notices.append(Notice(NoticeKind.PROBATION, session.upstream))
            detail = f"the task failed at {session.upstream}: {_describe(result.value)}"
            self._end_task(job, key, TaskState.FAILED, detail, now)
        else:
            detail = f"the task was stopped at {session.upstream}"
            self._end_task(job, key, TaskState.UNKNOWN, detail, now)

    def _return_unstarted(self, job: Job, key: TaskKey) -> None:
        record_not_started(job, key)
        self.counters.returned_unstarted += 1
        self.queued_tasks += 1
        self._enqueue(job)

    def _end_task(
        self, job: Job, key: TaskKey, state: TaskState, detail: str, now: timedelta
    ) -> None:
        if state is TaskState.UNKNOWN:
            self.counters.unknown_tasks += 1
        may_retry = job.spec.idempotent and key.attempt < job.spec.max_attempts
        if may_retry and self._retry_budget.take():
            retry_task(job, key)
            self.counters.retries += 1
            self.queued_tasks += 1
            self._enqueue(job)
            return
        self.queued_tasks -= len(job.queued)
        record_end(job, key, state, detail, now)
        self._finish(job)

    # Sessions

    def _find_session(self, request: ExchangeRequest, now: timedelta) -> Session | Refusal:
        session = self.sessions.get(request.upstream)
        same_incarnation = session is not None and session.incarnation == request.incarnation
        if session is not None and same_incarnation and session.number == request.session:
            if request.seq in session.open_requests:
                return _refuse_stale(request)
            return session
        if session is not None and same_incarnation and request.session < session.number:
            return _refuse_stale(request)
        if request.announce is None:
            return _refuse_stale(request)
        fresh = Session(
            upstream=request.upstream,
            incarnation=request.incarnation,
            number=request.session,
            announcement=request.announce,
            last_heard=now,
            expires_at=now,
            ordinal=next(self._ordinals),
        )
        if session is not None:
            self._replace_session(session, fresh, request, now)
        self._hold_reported(fresh, request)
        self.sessions[request.upstream] = fresh
        self._guard.add(request.upstream)
        self._notices.append(Notice(NoticeKind.OPENED, request.upstream))
        return fresh

    def _replace_session(
        self, old: Session, fresh: Session, request: ExchangeRequest, now: timedelta
    ) -> None:
        if old.incarnation != fresh.incarnation:
            self._close(old, "the upstream restarted", now)
            return
        self._answer_all(old)
        reported = {TaskKey(name.submission, name.index, name.attempt) for name in request.held}
        for group in request.results:
            for result in group.results:
                reported.add(TaskKey(group.submission, result.index, result.attempt))
        for key, needs in list(old.outstanding.items()):
            sessions.remove_outstanding(old, key)
            if key in reported:
                sessions.add_outstanding(fresh, key, needs)
                continue
            job = self._active.get(key.submission)
            if job is not None and is_current(job, key):
                self._return_unstarted(job, key)

    def _hold_reported(self, fresh: Session, request: ExchangeRequest) -> None:
        """Stop whatever the upstream holds that this host no longer waits for."""
        for name in request.held:
            key = TaskKey(name.submission, name.index, name.attempt)
            job = self._active.get(key.submission)
            if job is None or not is_current(job, key) or key not in fresh.outstanding:
                fresh.stops.append(name)

    def _close(self, session: Session, why: str, now: timedelta) -> None:
        session.state = SessionState.CLOSED
        self._notices.append(Notice(NoticeKind.GONE, session.upstream, why))
        self.sessions.pop(session.upstream, None)
        self._guard.remove(session.upstream)
        self._answer_all(session)
        for key in list(session.outstanding):
            sessions.remove_outstanding(session, key)
            job = self._active.get(key.submission)
            if job is not None and is_current(job, key):
                detail = f"{why} ({session.upstream}) while the task may have been running"
                self._end_task(job, key, TaskState.UNKNOWN, detail, now)

    def _answer_all(self, session: Session) -> None:
        while session.open_requests:
            reply = self._make_reply(session, [])
            self._farewells.append(Delivery(session.upstream, session.number, reply))

    def _get_lease(self, session: Session) -> timedelta:
        return self._limits.busy_lease if session.outstanding else self._limits.idle_lease

    def _note_leaving(self, session: Session) -> None:
        if session.state is not SessionState.LEAVING:
            session.state = SessionState.LEAVING
            self._notices.append(Notice(NoticeKind.LEAVING, session.upstream))

    # Starts

    def _place_tasks(self, now: timedelta) -> dict[UpstreamId, list[Placement]]:
        starts: dict[UpstreamId, list[Placement]] = {}
        if self.queued_tasks == 0 or self._ready.is_empty():
            return starts
        with closing(self.queue.iterate()) as turns:
            for turn in turns:
                self._place_job(turn, starts)
                if self._ready.is_empty():
                    break
        return starts

    def _place_job(self, turn: Turn, starts: dict[UpstreamId, list[Placement]]) -> None:
        job = turn.job
        expected = self._run_times.expect(job.spec.team, job.spec.kind)
        for _ in range(turn.tasks):
            session = self._ready.choose(job.spec)
            if session is None:
                return
            key = send_next_task(job)
            if key.attempt == 1:
                self._retry_budget.record_first_attempt()
            sessions.add_outstanding(session, key, job.spec.needs)
            job.sent_to[key.task] = session.upstream
            self._ready.update(session)
            self._touched[session.upstream] = None
            starts.setdefault(session.upstream, []).append(Placement(job, key))
            self.queue.charge(job, expected)
            self.queued_tasks -= 1
            self.counters.starts += 1

    def _get_room(self, session: Session) -> int:
        limit = self._guard.get_limit(session.upstream, self._now) if self.policy.guards else None
        if limit is None:
            return session.free
        return min(session.free, limit - len(session.outstanding))

    def _build_reply(
        self, session: Session, placed: list[Placement], now: timedelta
    ) -> ExchangeReply | None:
        limits = self._limits
        park = limits.busy_park if session.outstanding else limits.idle_park
        parked_too_long = now - session.last_heard >= park
        is_spare = len(session.open_requests) > 1
        leaves = session.state is SessionState.LEAVING
        due = placed or session.stops or parked_too_long or is_spare or leaves
        due = due or self._has_nothing_more()
        if not due:
            return None
        reply = self._make_reply(session, placed)
        # With no request left open the upstream should be heard again at once.
        lease = self._get_lease(session) if session.open_requests else limits.busy_lease
        session.expires_at = now + lease
        return reply

    def _has_nothing_more(self) -> bool:
        return self.draining and self.queued_tasks == 0

    def _make_reply(self, session: Session, placed: list[Placement]) -> ExchangeReply:
        if not placed and not session.stops:
            self.counters.empty_replies += 1
        reply = ExchangeReply(
            seq=session.open_requests.popleft(),
            lease_ms=to_milliseconds(self._limits.busy_lease),
            starts=_group_starts(placed, self._now),
            stops=session.stops,
            backlog=self.queued_tasks,
            draining=self._has_nothing_more(),
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
                rank_ms=_compute_rank(job, now),
                tasks=[],
            )
            groups[job.id] = group
        payload = job.payloads[start.key.task]
        group.tasks.append(TaskStart(start.key.task, start.key.attempt, payload))
    return list(groups.values())


def _compute_rank(job: Job, now: timedelta) -> int:
    """Return the job's place in the queue, its priority first, in milliseconds from now."""
    return int((job.rank - now.total_seconds()) * 1000) + job.spec.priority * PRIORITY_RANK_MS


def _describe(value: Raw) -> str:
    return bytes(value)[:200].decode("utf-8", "replace")


def _refuse_stale(request: ExchangeRequest) -> Refusal:
    return Refusal(
        code=RefusalCode.STALE_SESSION,
        message=f"session {request.session} of {request.upstream} is not open here; announce again",
    )
