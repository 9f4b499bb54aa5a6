"""The dispatcher of one entry host: places the tasks of callers' jobs on upstreams.

An entry host accepts jobs and exchanges messages with the upstreams of its failure domain, each in
a session that the upstream opens (see `sessions`). The dispatcher performs no I/O. The embedding
program passes in messages and the time, calls `dispatch` after each batch of messages, delivers the
replies that it returns and calls `pop_ended_jobs` to learn which jobs ended.
"""

from __future__ import annotations

import heapq
from contextlib import closing
from datetime import timedelta

from msgspec import Raw
from returns.result import Failure as Err
from returns.result import Result, Success

from . import sessions
from .estimates import RunTimeEstimates
from .ids import SubmissionId, TaskKey, UpstreamId
from .invariants import require
from .jobs import (
    Job,
    build_status,
    fail_job,
    is_current_attempt,
    record_not_started,
    record_success,
    record_task_failure,
    retry_task,
    send_next_task,
)
from .limits import Limits
from .messages import ExchangeRequest, JobStatus, Refusal, TaskResult
from .notices import Counters, Notice, NoticeKind
from .placement import Placement
from .policy import Policy
from .queues import JobQueue, Turn
from .retries import RetryBudget
from .session_table import Delivery, QueueState, SessionTable
from .sessions import Session
from .states import FailureReason, RefusalCode, ResultStatus, RunOutcome, TaskState
from .submissions import SubmissionStore

OVERLOAD_RETRY_AFTER_MS = 500
DEFAULT_POLICY = Policy()
SCAN_INTERVAL = timedelta(milliseconds=250)
"""Interval of the scan of all sessions for expired leases and parked requests that are due."""


class Dispatcher:
    """Accepts jobs, places their tasks on upstreams and records the results.

    `draining` is set while the host shuts down: it refuses new jobs and finishes the others.
    """

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
        self.session_table = SessionTable(limits=limits, policy=policy, counters=self.counters)
        self.queue = JobQueue(work_factor=policy.work_factor, fair_teams=policy.fair_teams)
        self.draining = False
        self.queued_tasks = 0
        self._limits = limits
        self._retry_budget = retry_budget
        self._run_times = RunTimeEstimates()
        self._deadlines: list[tuple[timedelta, SubmissionId]] = []
        self._ended: list[Job] = []
        self._next_scan_at = timedelta()
        self._active: dict[SubmissionId, Job] = {}

    @property
    def sessions(self) -> dict[UpstreamId, Session]:
        """The sessions of all connected upstreams."""
        return self.session_table.by_upstream

    # Calls from callers

    def submit(self, job: Job, run_time: timedelta | None) -> Result[JobStatus, Refusal]:
        """Accept a job, or attach to the existing job with the same id.

        `run_time` is the run time of one task as declared by the caller.
        """
        known = self.store.jobs.get(job.id)
        if known is not None:
            return self.attach(known, job.digest)
        refusal = self.store.check_new_id(job.id, job.accepted_at) or self._check_admission(job)
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
        """Answer a resend with the status of the known job, if its content has the same digest."""
        if known.digest != digest:
            self.counters.refused += 1
            message = f"submission id {known.id} was used for other content"
            return Err(Refusal(code=RefusalCode.ID_CONFLICT, message=message))
        self.counters.jobs_attached += 1
        return Success(build_status(known))

    def cancel(self, job: Job, now: timedelta) -> JobStatus:
        """End an active job as cancelled; a job that has ended keeps its final state."""
        if not job.ended:
            self._fail_job(job, FailureReason.CANCELLED, "cancelled by request", now)
        return build_status(job)

    def pop_ended_jobs(self) -> list[Job]:
        """Return the jobs that ended since the previous call."""
        ended = self._ended
        self._ended = []
        return ended

    def pop_notices(self) -> list[Notice]:
        """Return the notices about upstreams that arose since the previous call."""
        notices = self.session_table.notices
        self.session_table.notices = []
        return notices

    @property
    def active_job_count(self) -> int:
        """Number of jobs without a final state."""
        return len(self._active)

    def get_probation_limit(self, upstream: UpstreamId) -> int | None:
        """Return an upstream's limit of concurrent starts, or None if it is not on probation."""
        return self.session_table.guard.get_start_limit(upstream, self.session_table.now)

    # Calls from upstreams

    def exchange(self, request: ExchangeRequest, now: timedelta) -> Refusal | None:
        """Process an upstream's request or refuse it; the reply is returned by `dispatch`."""
        self.session_table.now = now
        self.counters.exchanges += 1
        opened = self.session_table.open_session(request, now)
        if isinstance(opened, Refusal):
            return opened
        session = opened.session
        for key in opened.unstarted:
            self._return_unstarted(key)
        self._end_tasks_as_unknown(opened.lost, session.upstream, "the upstream restarted", now)
        self._stop_unwanted_tasks(session, request)
        session.last_heard = now
        session.credit = request.credit
        session.open_requests.append(request.seq)
        for group in request.results:
            for result in group.results:
                key = TaskKey(group.submission, result.index, result.attempt)
                self._handle_result(session, key, result, now)
        if request.closing:
            lost = self.session_table.close_session(session, "the upstream left")
            self._end_tasks_as_unknown(lost, session.upstream, "the upstream left", now)
        self.session_table.renew_lease(session, request, now)
        return None

    def handle_disconnect(
        self, upstream: UpstreamId, number: int, seq: int, now: timedelta
    ) -> None:
        """Handle the loss of the connection on which an open request waited for its reply.

        `number` is the number of the request's session.
        """
        self.session_table.handle_disconnect(upstream, number, seq, now)

    def dispatch(self, now: timedelta) -> list[Delivery]:
        """Place the tasks that can start now and return every reply that is due."""
        self.session_table.now = now
        starts = self._place_tasks()
        queue = QueueState(
            backlog=self.queued_tasks, drained=self.draining and self.queued_tasks == 0
        )
        deliveries = self.session_table.build_due_replies(starts, queue)
        require(not starts, "every placed task must be part of a reply")
        return deliveries

    def tick(self, now: timedelta) -> None:
        """End overdue jobs, expire records and, every `SCAN_INTERVAL`, scan sessions and jobs."""
        self.session_table.now = now
        self._end_overdue_jobs(now)
        self.store.expire(now)
        if now < self._next_scan_at:
            return
        self._next_scan_at = now + SCAN_INTERVAL
        self._fail_unrunnable_jobs(now)
        for session in self.session_table.scan_sessions(now):
            lost = self.session_table.close_session(session, "the upstream's lease ran out")
            self._end_tasks_as_unknown(lost, session.upstream, "the upstream's lease ran out", now)

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
                message=f"the queue limit is reached: {self.queued_tasks} tasks are queued",
                outcome=RunOutcome.NOT_RUN,
                retry_after_ms=OVERLOAD_RETRY_AFTER_MS,
            )
        return None

    def _enqueue(self, job: Job, run_time: timedelta | None = None) -> None:
        expected = self._run_times.estimate(job.spec.team, job.spec.kind, run_time)
        self.queue.push(job, expected * len(job.queued))

    def _fail_job(self, job: Job, reason: FailureReason, detail: str, now: timedelta) -> None:
        self.queued_tasks -= len(job.queued)
        fail_job(job, reason, detail, now)
        self._finish_job(job)

    def _finish_job(self, job: Job) -> None:
        require(job.ended, "only a job with a final state can be finished")
        self._active.pop(job.id)
        if job.spec.idempotent:
            # It is answered in its own call, and a resend may run again.
            self.store.forget(job)
        else:
            self.store.start_retention(job)
        self._ended.append(job)
        if job.failure is None:
            self.counters.jobs_complete += 1
            return
        self.counters.jobs_failed += 1
        self._stop_outstanding(job)

    def _stop_outstanding(self, job: Job) -> None:
        """Stop the sent tasks of an ended job at their upstreams."""
        for task, upstream in job.sent_to.items():
            self.session_table.stop_task(upstream, TaskKey(job.id, task, job.attempts[task]))
        job.sent_to.clear()

    def _end_overdue_jobs(self, now: timedelta) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            _, id = heapq.heappop(self._deadlines)
            job = self._active.get(id)
            if job is not None:
                self._fail_job(job, FailureReason.DEADLINE, "the deadline passed", now)

    def _fail_unrunnable_jobs(self, now: timedelta) -> None:
        announcements = [session.announcement for session in self.sessions.values()]
        if not announcements:
            # Without any upstream nothing is known of those that may connect.
            return
        for job in list(self._active.values()):
            if job.succeeded or job.sent or now - job.accepted_at < self._limits.unrunnable_grace:
                continue
            if not any(
                sessions.could_ever_fit(announcement, job.spec) for announcement in announcements
            ):
                detail = "no upstream has what a task of this job needs"
                self._fail_job(job, FailureReason.NEVER_RUNNABLE, detail, now)

    # Results

    def _handle_result(
        self, session: Session, key: TaskKey, result: TaskResult, now: timedelta
    ) -> None:
        if not sessions.remove_outstanding(session, key):
            # Reported before, or its outcome was already recorded as unknown.
            self.counters.stale_results += 1
            return
        self.counters.results += 1
        job = self._active.get(key.submission)
        if result.status is ResultStatus.SUCCEEDED:
            self.session_table.guard.record_success(session.upstream)
        if job is None or not is_current_attempt(job, key):
            # The job no longer waits for this attempt, usually since it has ended.
            return
        if result.status is ResultStatus.SUCCEEDED:
            ran = timedelta(microseconds=result.ran_us)
            self._run_times.observe(job.spec.team, job.spec.kind, ran)
            record_success(job, key, result.value, now)
            if job.ended:
                self._finish_job(job)
        elif result.status is ResultStatus.NOT_STARTED:
            self._return_unstarted(key)
        elif result.status is ResultStatus.FAILED:
            if self.session_table.guard.record_failure(session.upstream, now):
                self.counters.probations += 1
                self.session_table.notices.append(Notice(NoticeKind.PROBATION, session.upstream))
            detail = f"the task failed at {session.upstream}: {_describe(result.value)}"
            self._retry_or_fail(job, key, TaskState.FAILED, detail, now)
        else:
            detail = f"the task was stopped at {session.upstream}"
            self._retry_or_fail(job, key, TaskState.UNKNOWN, detail, now)

    def _find_job_awaiting(self, key: TaskKey) -> Job | None:
        """Return the active job that still waits for this attempt, or None."""
        job = self._active.get(key.submission)
        return job if job is not None and is_current_attempt(job, key) else None

    def _return_unstarted(self, key: TaskKey) -> None:
        job = self._find_job_awaiting(key)
        if job is None:
            return
        record_not_started(job, key)
        self.counters.returned_unstarted += 1
        self.queued_tasks += 1
        self._enqueue(job)

    def _end_tasks_as_unknown(
        self, keys: list[TaskKey], upstream: UpstreamId, cause: str, now: timedelta
    ) -> None:
        """Record that the outcome of these attempts is unknown; their tasks may be retried."""
        for key in keys:
            job = self._find_job_awaiting(key)
            if job is not None:
                detail = f"{cause} ({upstream}) while the task may have been running"
                self._retry_or_fail(job, key, TaskState.UNKNOWN, detail, now)

    def _stop_unwanted_tasks(self, session: Session, request: ExchangeRequest) -> None:
        """Stop the tasks that the upstream reports to hold and this host no longer waits for."""
        for name in request.held:
            key = TaskKey(name.submission, name.index, name.attempt)
            if self._find_job_awaiting(key) is None or key not in session.outstanding:
                session.stops.append(name)

    def _retry_or_fail(
        self, job: Job, key: TaskKey, state: TaskState, detail: str, now: timedelta
    ) -> None:
        """Queue a failed or unknown task again if that is allowed, or fail its job."""
        if state is TaskState.UNKNOWN:
            self.counters.unknown_tasks += 1
        may_retry = job.spec.idempotent and key.attempt < job.spec.max_attempts
        if may_retry and self._retry_budget.try_spend():
            retry_task(job, key)
            self.counters.retries += 1
            self.queued_tasks += 1
            self._enqueue(job)
            return
        self.queued_tasks -= len(job.queued)
        record_task_failure(job, key, state, detail, now)
        self._finish_job(job)

    # Starts

    def _place_tasks(self) -> dict[UpstreamId, list[Placement]]:
        starts: dict[UpstreamId, list[Placement]] = {}
        if self.queued_tasks == 0 or self.session_table.ready.is_empty():
            return starts
        # Closing the iterator puts the jobs that it skipped back into the queue.
        with closing(self.queue.iterate_turns()) as turns:
            for turn in turns:
                self._place_job(turn, starts)
                if self.session_table.ready.is_empty():
                    break
        return starts

    def _place_job(self, turn: Turn, starts: dict[UpstreamId, list[Placement]]) -> None:
        job = turn.job
        expected = self._run_times.estimate(job.spec.team, job.spec.kind)
        for _ in range(turn.tasks):
            session = self.session_table.ready.choose_session(job.spec)
            if session is None:
                return
            key = send_next_task(job)
            if key.attempt == 1:
                self._retry_budget.record_first_attempt()
            job.sent_to[key.task] = session.upstream
            placement = Placement(job, key)
            self.session_table.add_start(session, placement)
            starts.setdefault(session.upstream, []).append(placement)
            self.queue.charge(job, expected)
            self.queued_tasks -= 1
            self.counters.starts += 1


def _describe(value: Raw) -> str:
    return bytes(value)[:200].decode("utf-8", "replace")
