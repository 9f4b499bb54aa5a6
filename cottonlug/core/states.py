"""States and reasons shared by the core and its messages."""

from __future__ import annotations

from enum import Enum


class TaskState(Enum):
    """State of one task of a job."""

    QUEUED = "queued"
    SENT = "sent"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNKNOWN = "unknown"


class JobState(Enum):
    """State of a job; COMPLETE and FAILED are final."""

    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"


class FailureReason(Enum):
    """Why a job failed."""

    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    NEVER_RUNNABLE = "never_runnable"
    RECORD_LOST = "record_lost"
    SHUTDOWN = "shutdown"


class ResultStatus(Enum):
    """Outcome of one start as reported by the upstream."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"


class RefusalCode(Enum):
    """Why a call was refused."""

    INVALID = "invalid"
    TOO_LARGE = "too_large"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    UNKNOWN_ID = "unknown_id"
    EXPIRED_ID = "expired_id"
    ID_CONFLICT = "id_conflict"
    REJECTED_BY_RULE = "rejected_by_rule"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    HOME_UNREACHABLE = "home_unreachable"
    STALE_SESSION = "stale_session"
    VERSION_CONFLICT = "version_conflict"
    NO_QUORUM = "no_quorum"
    STORAGE = "storage"


class RunOutcome(Enum):
    """What a refusal says about whether the work has run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SessionState(Enum):
    """State of an upstream's session at an entry host."""

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    CLOSED = "closed"
