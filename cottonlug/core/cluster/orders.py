"""Orders that a leader sends to upstreams, and the outcomes that it derives from their answers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Needs, RunNumber, TaskRef, UpstreamInfo
from .response_timeout import MAX_RESPONSE_TIMEOUT


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Starts a run; the upstream refuses it once its own clock has passed `expires_ms`."""

    upstream: UpstreamInfo
    task: TaskRef
    run: RunNumber
    payload: str
    checkpoint: str
    expires_ms: int
    response_timeout: timedelta = MAX_RESPONSE_TIMEOUT
    """How long to wait for the answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stops a run; if the run has not arrived yet, the upstream refuses it from then on."""

    upstream: UpstreamInfo
    task: TaskRef
    run: RunNumber
    response_timeout: timedelta = MAX_RESPONSE_TIMEOUT


@dataclass(frozen=True, slots=True, kw_only=True)
class PollOrder:
    """Lists all runs and run ends, renews the lease, and confirms ends up to `last_seen`.

    The upstream may hold the answer for up to `wait` until a run ends. Without `expires_ms` the
    lease stays as it is.
    """

    upstream: UpstreamInfo
    last_seen: int
    expires_ms: int | None
    wait: timedelta
    first_end: timedelta = timedelta()
    """Time until a run there is expected to end; zero if one should have ended already."""
    is_probe: bool = False
    """Whether it is sent beside a long poll, to learn at once what became of a run."""
    response_timeout: timedelta = MAX_RESPONSE_TIMEOUT
    """How long to wait for the answer, beyond `wait`."""


Order = StartOrder | StopOrder | PollOrder


class StartOutcome(Enum):
    """Outcomes of a start; only `UNKNOWN` leaves open whether the run may be active."""

    STARTED = "started"
    FENCED = "fenced"
    """Refused: the upstream has seen a higher token than ours."""
    OUTDATED = "outdated"
    """Refused: this run of the task, or a later one, has already ended or been stopped there."""
    LATE = "late"
    """Refused: it arrived after `expires_ms`."""
    NO_ROOM = "no_room"
    """Refused for lack of capacity."""
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    INSTANCE_ENDED = "life_ended"
    """Another instance answered."""
    IGNORED = "ignored"
    """Received but not carried out, for an unknown reason."""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class CallFailure(Enum):
    """Reasons why a stop or a poll failed."""

    INSTANCE_ENDED = "life_ended"
    """Another instance answered."""
    NO_ANSWER = "no_answer"
    FENCED = "fenced"
    """The upstream has seen a higher token than ours."""
    REFUSED = "refused"


class RunPhase(Enum):
    """How certain the leader is that a run is active."""

    STARTING = "starting"
    """Its start is awaiting an answer."""
    RUNNING = "running"
    UNSURE = "unsure"
    """Its start was not answered, so that it may be active or may still begin."""


@dataclass(slots=True, kw_only=True)
class Run:
    """One run as the leader knows it."""

    task: TaskRef
    run: RunNumber
    needs: Needs
    phase: RunPhase
    since: timedelta
    """When this leader sent its start, or first saw it listed."""
    percent: int = 0
    """Progress reported by its upstream, as of `seen_at`."""
    first_percent: int = 0
    """Progress when this leader first learned of the run."""
    seen_at: timedelta | None = None
    """When its upstream last listed it as running."""
    advanced_at: timedelta = timedelta()
    """When it was last seen to make progress, or first known to be active."""
    resumes: bool = False
    """Whether it resumed from a checkpoint, so that it makes no progress at first."""
    is_exclusive: bool = False
    """Whether nothing else may be started beside it, because it may crash its upstream."""
    is_orphaned: bool = False
    """Whether its job is unknown but may still be submitted again."""
    is_disputed: bool = False
    """Whether, in addition, an unreachable host may rely on its lease running out."""
    unsure_at: timedelta = timedelta()
    """When its start was found to have no answer."""
    stop_requested: bool = False
    stop_due: timedelta = timedelta()
    is_stop_pending: bool = False
    stopped_at: timedelta | None = None
    """When the upstream acknowledged the stop."""
