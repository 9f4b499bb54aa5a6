"""States and reasons shared by the core and its messages."""

from __future__ import annotations

from enum import Enum


class TaskState(Enum):
    """State of one task of a job.

    SENT: sent to an upstream, where it may be waiting or running. UNKNOWN: it was sent,
    and its outcome can no longer be learned.
    """

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
    """Why a job failed.

    NEVER_RUNNABLE: no upstream has what its tasks need. RECORD_LOST: the host that accepted it lost
    its records.
    """

    TASK_FAILED = "task_failed"
    TASK_UNKNOWN = "task_unknown"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    NEVER_RUNNABLE = "never_runnable"
    RECORD_LOST = "record_lost"
    SHUTDOWN = "shutdown"


class ResultStatus(Enum):
    """Outcome of one start as reported by the upstream.

    NOT_STARTED: it was returned before it ran. STOPPED: it was interrupted while it ran.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"


class RefusalCode(Enum):
    """Why a call was refused.

    The home is the entry host that holds the record of a submission. EXPIRED_ID: the submission id
    is too old, and its answer, if there was one, is gone. ID_CONFLICT: it was used for other
    content. STALE_SESSION: the upstream has to open a new session.
    """

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
    """What a refusal says about whether the work has run; NOT_RUN is a guarantee."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SessionState(Enum):
    """State of an upstream's session at an entry host.

    SUSPECT: a connection was lost, so it gets no starts until its next request. LEAVING: the
    upstream is shutting down and takes no more starts.
    """

    ACTIVE = "active"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    CLOSED = "closed"
