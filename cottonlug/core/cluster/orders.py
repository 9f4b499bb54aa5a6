"""What a leader tells upstreams, and what it learns from their answers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Needs, RunNumber, TaskRef, UpstreamInfo
from .response_timeout import MAX_RESPONSE_TIMEOUT


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start a run; void once the upstream's clock has passed `expires_ms`."""

    upstream: UpstreamInfo
    task: TaskRef
    run: RunNumber
    payload: str
    checkpoint: str
    expires_ms: int
    patience: timedelta = MAX_RESPONSE_TIMEOUT
    """How long its answer is waited for."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop a run; one that is not there yet is refused from then on."""

    upstream: UpstreamInfo
    task: TaskRef
    run: RunNumber
    patience: timedelta = MAX_RESPONSE_TIMEOUT


@dataclass(frozen=True, slots=True, kw_only=True)
class LookOrder:
    """Ask for all runs and ends, renew the lease, and confirm ends up to `last_seen`.

    The upstream may keep the answer for up to `wait` until a run ends. Without `expires_ms` the
    lease stays as it is.
    """

    upstream: UpstreamInfo
    last_seen: int
    expires_ms: int | None
    wait: timedelta
    first_end: timedelta = timedelta()
    """How long until a run there is expected to end; zero where one should have ended."""
    is_probe: bool = False
    """Whether it is sent beside a parked one, to learn at once what became of a run."""
    patience: timedelta = MAX_RESPONSE_TIMEOUT
    """How long its answer is waited for, beyond `wait`."""


Order = StartOrder | StopOrder | LookOrder


class StartOutcome(Enum):
    """What became of a start; only `UNKNOWN` leaves open whether it may run."""

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    LATE = "late"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    LIFE_ENDED = "life_ended"
    IGNORED = "ignored"
    """Taken in and not carried out, for a reason that was not told."""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class CallFailure(Enum):
    """Why a stop or a look brought no answer."""

    LIFE_ENDED = "life_ended"
    NO_ANSWER = "no_answer"
    FENCED = "fenced"
    """The upstream has seen a higher token than ours."""
    REFUSED = "refused"


class RunPhase(Enum):
    """How sure the leader is of a run."""

    STARTING = "starting"
    RUNNING = "running"
    UNSURE = "unsure"


@dataclass(slots=True, kw_only=True)
class Run:
    """One run as the leader knows it."""

    task: TaskRef
    run: RunNumber
    needs: Needs
    phase: RunPhase
    since: timedelta
    percent: int = 0
    """How far its upstream said that it was, as of `seen_at`."""
    first_percent: int = 0
    """How far it was when this leader first knew of it."""
    seen_at: timedelta | None = None
    """When its upstream last listed it as running."""
    advanced_at: timedelta = timedelta()
    """When it was last seen to have got on, at the least when it began."""
    resumes: bool = False
    """Whether it began from a checkpoint, so that it makes no progress at first."""
    is_alone: bool = False
    """Whether nothing else is to be started beside it, since it may crash its upstream."""
    is_orphan: bool = False
    """Whether its job is not known, but may be submitted again."""
    is_disputed: bool = False
    """Whether, besides, somebody out of touch may count on its lease to end."""
    unsure_at: timedelta = timedelta()
    """When its start was found to have no answer."""
    stop_wanted: bool = False
    stop_due: timedelta = timedelta()
    stop_is_out: bool = False
    stopped_at: timedelta | None = None
    """When the upstream acknowledged the stop."""
