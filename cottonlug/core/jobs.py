"""One job: its tasks, their states and its final state.

A task moves QUEUED -> SENT (to an upstream) -> SUCCEEDED, FAILED or UNKNOWN. It returns from SENT
to QUEUED only on proof that it did not start; a task of an idempotent request, which its caller
allows to run more than once, may also be retried after it failed or its outcome became unknown.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from msgspec import Raw

from .ids import KindName, SubmissionId, TaskKey, TeamName, UpstreamId
from .invariants import require
from .messages import Failure, JobAnswer, JobStatus, Needs
from .states import FailureReason, JobState, TaskState

_DISCARDED = Raw(b"null")
"""Replaces the payload of a task that has succeeded, to free its memory."""


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """What the caller requested, with the rules applied.

    `timeout` is of one task. `pool` are the labels that an upstream must have to run the tasks;
    `labels` describe the job itself. `max_attempts` matters only if it is `idempotent`.
    """

    team: TeamName
    kind: KindName
    labels: dict[str, str]
    priority: int
    timeout: timedelta
    needs: Needs
    pool: dict[str, str]
    idempotent: bool = False
    max_attempts: int = 1


@dataclass(slots=True, kw_only=True)
class Job:
    """State of one job; the states of its tasks change only through the functions of this module.

    Lists and dictionaries by task use the index of the task. `queued` are the tasks to be sent,
    `sent` is the number of tasks sent and not ended; `sent_to` names the upstream of each of them.
    `digest` is that of the content, which a resend must repeat. `rank`, in seconds, orders the
    jobs of a team in the queue and the tasks that wait at an upstream, lowest first.
    """

    id: SubmissionId
    spec: JobSpec
    payloads: list[Raw]
    digest: bytes
    accepted_at: timedelta
    deadline_at: timedelta
    states: list[TaskState] = field(init=False)
    attempts: list[int] = field(init=False)
    results: list[Raw | None] = field(init=False)
    queued: deque[int] = field(init=False)
    sent_to: dict[int, UpstreamId] = field(default_factory=dict)
    rank: float = 0.0
    sent: int = 0
    succeeded: int = 0
    state: JobState = JobState.ACTIVE
    failure: Failure | None = None
    ended_at: timedelta | None = None

    def __post_init__(self) -> None:
        """Queue every task."""
        total = len(self.payloads)
        self.states = [TaskState.QUEUED] * total
        self.attempts = [0] * total
        self.results = [None] * total
        self.queued = deque(range(total))

    @property
    def ended(self) -> bool:
        """Whether the job has reached its final state."""
        return self.state is not JobState.ACTIVE


def send_next_task(job: Job) -> TaskKey:
    """Mark the next queued task as sent and return its key."""
    require(not job.ended, "a task of an ended job must not be sent")
    index = job.queued.popleft()
    require(job.states[index] is TaskState.QUEUED, "only a queued task may be sent")
    retried = job.attempts[index] > 0
    require(
        not retried or job.spec.idempotent or job.results[index] is None,
        "a finished task must not be sent again",
    )
    job.states[index] = TaskState.SENT
    job.attempts[index] += 1
    job.sent += 1
    return TaskKey(job.id, index, job.attempts[index])


def is_current_attempt(job: Job, key: TaskKey) -> bool:
    """Whether this is the latest attempt at a sent task of an active job, so its result counts."""
    in_range = 0 <= key.task < len(job.states)
    return (
        in_range
        and not job.ended
        and job.states[key.task] is TaskState.SENT
        and job.attempts[key.task] == key.attempt
    )


def record_success(job: Job, key: TaskKey, value: Raw, now: timedelta) -> None:
    """Store a task's result; the last one completes the job."""
    _end_attempt(job, key, TaskState.SUCCEEDED)
    job.results[key.task] = value
    job.payloads[key.task] = _DISCARDED
    job.succeeded += 1
    if job.succeeded == len(job.payloads):
        require(all(result is not None for result in job.results), "a complete job has all results")
        job.state = JobState.COMPLETE
        job.ended_at = now


def record_not_started(job: Job, key: TaskKey) -> None:
    """Queue a task again after proof that this attempt did not start."""
    _end_attempt(job, key, TaskState.QUEUED)
    job.queued.appendleft(key.task)


def record_task_failure(
    job: Job, key: TaskKey, state: TaskState, detail: str, now: timedelta
) -> None:
    """Fail the job because a task failed or its outcome is unknown."""
    require(state in (TaskState.FAILED, TaskState.UNKNOWN), "a task failure is failed or unknown")
    _end_attempt(job, key, state)
    if state is TaskState.FAILED:
        reason = FailureReason.TASK_FAILED
    else:
        reason = FailureReason.TASK_UNKNOWN
    fail_job(job, reason, detail, now, task=key.task)


def retry_task(job: Job, key: TaskKey) -> None:
    """Queue a task of an idempotent request again, although it may have run."""
    require(job.spec.idempotent, "only an idempotent request may run again")
    _end_attempt(job, key, TaskState.QUEUED)
    job.queued.append(key.task)


def fail_job(
    job: Job, reason: FailureReason, detail: str, now: timedelta, task: int | None = None
) -> None:
    """End the job as failed and list every task that may have run.

    `task` is the one that the failure is due to, if any.
    """
    require(not job.ended, "a job must not end twice")
    may_have_run = [
        index
        for index, state in enumerate(job.states)
        if state is not TaskState.QUEUED or _may_have_run_before(job, index)
    ]
    job.failure = Failure(reason=reason, detail=detail, task=task, may_have_run=may_have_run)
    job.state = JobState.FAILED
    job.ended_at = now
    job.queued.clear()
    job.results = []
    job.payloads = []


def build_status(job: Job) -> JobStatus:
    """Return the job's state and task counts."""
    return JobStatus(
        id=job.id,
        state=job.state,
        total=len(job.states),
        queued=len(job.queued),
        sent=job.sent,
        succeeded=job.succeeded,
    )


def build_answer(job: Job) -> JobAnswer:
    """Return the complete answer of an ended job."""
    require(job.ended, "only an ended job has an answer")
    if job.state is JobState.FAILED:
        return JobAnswer(id=job.id, state=job.state, failure=job.failure)
    results = [result for result in job.results if result is not None]
    require(len(results) == len(job.states), "a complete answer must hold every result")
    return JobAnswer(id=job.id, state=job.state, results=results)


def _end_attempt(job: Job, key: TaskKey, state: TaskState) -> None:
    require(is_current_attempt(job, key), "only the current attempt of a sent task can end")
    job.states[key.task] = state
    job.sent_to.pop(key.task, None)
    job.sent -= 1


def _may_have_run_before(job: Job, index: int) -> bool:
    """Whether an earlier attempt at a queued task may have run; without retries none has."""
    return job.spec.idempotent and job.attempts[index] > 0
