"""Typed messages between callers, entry hosts and upstreams.

Times are whole milliseconds. Payloads and results stay as the JSON bytes that came in.
Unknown fields are errors, so that a misspelt field is never silently ignored.
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
    """What one task takes up at an upstream; memory in megabytes."""

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class SubmitRequest(Message):
    """A job: one payload for each task, and what is known about them."""

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
    """One task, answered in the same call."""

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
    """Ask for submission ids."""

    count: int = 1


class MintReply(Message):
    """Fresh submission ids; `lifetime_ms` is how long each may be used."""

    ids: list[SubmissionId]
    lifetime_ms: int


class JobStatus(Message, omit_defaults=False, tag_field="type", tag="status"):
    """How far a job has come."""

    id: SubmissionId
    state: JobState
    total: int
    queued: int
    sent: int
    succeeded: int


class Failure(Message):
    """Why a job failed; every task not in `may_have_run` truly did not run."""

    reason: FailureReason
    detail: str
    task: int | None = None
    may_have_run: list[int] = []
    all_may_have_run: bool = False


class JobAnswer(Message, tag_field="type", tag="answer"):
    """The whole answer: every result in task order, or the failure; never both."""

    id: SubmissionId
    state: JobState
    results: list[Raw] | None = None
    failure: Failure | None = None


JobView = JobStatus | JobAnswer
"""What a question about a job gets: how far it has come, or its whole answer."""


class Refusal(Message):
    """A typed error. `outcome` says whether the work may have run; NOT_RUN is always the truth."""

    code: RefusalCode
    message: str
    outcome: RunOutcome | None = None
    path: str | None = None
    retry_after_ms: int | None = None


class Announcement(Message):
    """What an upstream offers; sent when a session opens."""

    slots: int
    labels: dict[str, str] = {}
    rack: str = ""
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


class TaskStart(msgspec.Struct, array_like=True):
    """One task to start: its place in the job, the attempt, and its payload."""

    index: int
    attempt: int
    payload: Raw


class StartGroup(Message):
    """Tasks of one submission to start together.

    `rank_ms` orders groups that wait for a slot, the lowest first; it is relative to the sending.
    """

    submission: SubmissionId
    kind: KindName
    timeout_ms: int
    tasks: list[TaskStart]
    rank_ms: int = 0


class TaskResult(msgspec.Struct, array_like=True):
    """What became of one start; `ran_us` is its run time in microseconds."""

    index: int
    attempt: int
    status: ResultStatus
    value: Raw
    ran_us: int


class ResultGroup(Message):
    """Results of tasks of one submission."""

    submission: SubmissionId
    results: list[TaskResult]


class TaskName(msgspec.Struct, array_like=True):
    """One attempt, as named on the wire."""

    submission: SubmissionId
    index: int
    attempt: int


class ExchangeRequest(Message):
    """An upstream's message to an entry host: lease renewal, credit, results and leave in one.

    `credit` is how many unfinished starts of this session the upstream takes in all.
    A new session number says that no reply to an older one will ever be acted on.
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
    """An entry host's reply: starts, stops and its wish for more credit."""

    seq: int
    lease_ms: int
    starts: list[StartGroup] = []
    stops: list[TaskName] = []
    backlog: int = 0
    draining: bool = False


class Health(Enum):
    """Answers of the health and readiness pages."""

    OK = "ok"
    DRAINING = "draining"
    NOT_READY = "not_ready"


class HealthReply(Message, omit_defaults=False):
    """Whether the process lives, or is ready for new work."""

    status: Health
