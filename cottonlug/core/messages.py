"""Typed messages between callers, entry hosts and upstreams.

An entry host accepts callers' jobs and has them run by upstreams. Times are whole milliseconds.
Payloads and results are passed through as the received JSON bytes. Unknown fields are errors, so
that a misspelt field is never silently ignored.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from msgspec import Raw

from .ids import Incarnation, KindName, SessionNumber, SubmissionId, TeamName, UpstreamId
from .states import FailureReason, JobState, RefusalCode, ResultStatus, RunOutcome

MAX_TASKS_PER_JOB = 1_100


class Message(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, omit_defaults=True):
    """Base of every message."""


class Needs(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The resources that one task needs at an upstream; memory in megabytes."""

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class SubmitRequest(Message):
    """A job: one payload for each task, and attributes that apply to all of them.

    Priority 0 comes first. `deadline_ms` is for the whole job, from its acceptance; `timeout_ms`
    and the expected `run_time_ms` are of one task.
    """

    team: TeamName
    kind: KindName
    tasks: list[Raw]
    id: SubmissionId | None = None
    labels: dict[str, str] = {}
    priority: int = 4
    deadline_ms: int = 60_000
    timeout_ms: int | None = None
    run_time_ms: int | None = None
    needs: Needs = Needs()


class SingleRequest(Message):
    """A job of one task, answered in the same call; see `SubmitRequest` for the times.

    If it is `idempotent`, the task may run more than once and be retried.
    """

    team: TeamName
    kind: KindName
    payload: Raw
    id: SubmissionId | None = None
    idempotent: bool = False
    labels: dict[str, str] = {}
    priority: int = 4
    deadline_ms: int = 10_000
    timeout_ms: int | None = None
    run_time_ms: int | None = None
    needs: Needs = Needs()


class MintRequest(Message):
    """Request new submission ids."""

    count: int = 1


class MintReply(Message):
    """New submission ids; `lifetime_ms` is how long each may be used to start a job."""

    ids: list[SubmissionId]
    lifetime_ms: int


class JobStatus(Message, omit_defaults=False, tag_field="type", tag="status"):
    """A job's state and task counts."""

    id: SubmissionId
    state: JobState
    total: int
    queued: int
    sent: int
    succeeded: int


class Failure(Message):
    """Why a job failed; every task not in `may_have_run` is guaranteed not to have run.

    With `all_may_have_run` no task is guaranteed not to have run. `task` is the index of the task
    that failed, if one did.
    """

    reason: FailureReason
    detail: str
    task: int | None = None
    may_have_run: list[int] = []
    all_may_have_run: bool = False


class JobAnswer(Message, tag_field="type", tag="answer"):
    """The complete answer: every result in task order, or the failure; never both."""

    id: SubmissionId
    state: JobState
    results: list[Raw] | None = None
    failure: Failure | None = None


JobView = JobStatus | JobAnswer
"""Reply to a query about a job: its status, or its complete answer."""


class Refusal(Message):
    """A typed error; `outcome` says whether the work may have run, and NOT_RUN is a guarantee.

    `path` is the field of the request that is wrong, as in `$.tasks[2]`.
    """

    code: RefusalCode
    message: str
    outcome: RunOutcome | None = None
    path: str | None = None
    retry_after_ms: int | None = None


class Announcement(Message):
    """What an upstream offers, sent when a session opens: slots for tasks, labels and resources.

    `slots` is the number of tasks that run at the same time.
    """

    slots: int
    labels: dict[str, str] = {}
    rack: str = ""
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class TaskStart(msgspec.Struct, array_like=True):
    """One task to start: its index in the job, the attempt number and the payload."""

    index: int
    attempt: int
    payload: Raw


class StartGroup(Message):
    """Tasks of one submission to start together.

    `rank_ms` orders groups that wait for a slot, lowest first, relative to the time of sending.
    `timeout_ms` is the timeout of each task.
    """

    submission: SubmissionId
    kind: KindName
    timeout_ms: int
    tasks: list[TaskStart]
    rank_ms: int = 0


class TaskResult(msgspec.Struct, array_like=True):
    """The result of one start; `value` says what went wrong if it failed.

    `ran_us` is its run time in microseconds.
    """

    index: int
    attempt: int
    status: ResultStatus
    value: Raw
    ran_us: int


class ResultGroup(Message):
    """Results of one submission's tasks."""

    submission: SubmissionId
    results: list[TaskResult]


class TaskName(msgspec.Struct, array_like=True):
    """One attempt at a task, as identified on the wire."""

    submission: SubmissionId
    index: int
    attempt: int


class ExchangeRequest(Message):
    """An upstream's message to an entry host: renews the lease and carries credit and results.

    `credit` is the total number of unfinished starts that the upstream accepts in this session. A
    new session number means that the upstream ignores all replies to older sessions; the first
    request of a session has `announce`, and lists as `held` the tasks of this host that are waiting
    or running. `seq` numbers the session's requests. `leaving` says that the upstream takes no new
    work, `closing` that it holds no task of this host any more.
    """

    upstream: UpstreamId
    incarnation: Incarnation
    session: SessionNumber
    seq: int
    credit: int
    announce: Announcement | None = None
    held: list[TaskName] = []
    results: list[ResultGroup] = []
    leaving: bool = False
    closing: bool = False


class ExchangeReply(Message):
    """An entry host's reply: starts, stops, and its backlog, by which upstreams divide credit.

    `seq` is that of the request, `backlog` the number of queued tasks. `draining` says that the
    host shuts down and has none left.
    """

    seq: int
    lease_ms: int
    starts: list[StartGroup] = []
    stops: list[TaskName] = []
    backlog: int = 0
    draining: bool = False


class Health(Enum):
    """Answers of the health and readiness endpoints."""

    OK = "ok"
    DRAINING = "draining"
    NOT_READY = "not_ready"


class HealthReply(Message, omit_defaults=False):
    """Whether the process is alive or, for the readiness endpoint, accepts new work."""

    status: Health
