"""Orders that a coordinator sends to upstreams, and outcomes that it derives from their answers.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). It starts a task as a run, whose number is higher
than those of the task's earlier runs. Every order is sent with the coordinator's fencing token,
which rises from one coordinator to the next. An upstream runs tasks only while it holds a lease,
and numbers its ended runs from 1. An instance is one run of an upstream's process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .model import Needs, PollReply, RunNumber, TaskRef, UpstreamInfo
from .response_timeout import MAX_RESPONSE_TIMEOUT


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Starts a run, from a checkpoint unless that is empty.

    The upstream refuses it once its own clock has passed `expires_ms`.
    """

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
    """Lists all runs and ended runs, and renews the lease.

    The lease then ends at `expires_ms` on the upstream's clock; with None it stays as it is. Ended
    runs up to the number `last_seen` are confirmed as recorded, so that the upstream need not list
    them any more. It may delay the answer until a run ends, for up to `wait`.
    """

    upstream: UpstreamInfo
    last_seen: int
    expires_ms: int | None
    wait: timedelta
    first_end: timedelta = timedelta()
    """Time until the first run there is expected to end; zero if it should have ended already."""
    is_probe: bool = False
    """Whether it is sent beside another poll that awaits its answer, to learn the state at once."""
    response_timeout: timedelta = MAX_RESPONSE_TIMEOUT
    """How long to wait for the answer, beyond `wait`."""


Order = StartOrder | StopOrder | PollOrder


class StartOutcome(Enum):
    """Outcomes of a start; only `UNKNOWN` leaves open whether the run may be active."""

    STARTED = "started"
    FENCED = "fenced"
    """Refused: the upstream has seen a higher fencing token than ours."""
    OUTDATED = "outdated"
    """Refused: this run of the task, or a later one, has already ended or been stopped there."""
    LATE = "late"
    """Refused: it arrived after `expires_ms`."""
    NO_ROOM = "no_room"
    """Refused for lack of capacity."""
    UNHEALTHY = "unhealthy"
    """Refused: the upstream is overloaded or unavailable (HTTP status 429 or 503)."""
    INVALID = "invalid"
    """Refused as malformed, or for a reason that is not known here."""
    INSTANCE_ENDED = "life_ended"
    """Another instance answered at the upstream's address, so that the intended one has ended."""
    IGNORED = "ignored"
    """Received with the answer to a heartbeat, but not carried out for an unknown reason."""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """It was sent, but not answered, or not in a way that tells whether the run is active."""


class CallFailure(Enum):
    """Reasons why a stop or a poll failed."""

    INSTANCE_ENDED = "life_ended"
    """Another instance answered at the upstream's address, so that the intended one has ended."""
    NO_ANSWER = "no_answer"
    FENCED = "fenced"
    """The upstream has seen a higher fencing token than ours."""
    REFUSED = "refused"
    """Refused for another reason, or the answer could not be read."""


class RunPhase(Enum):
    """How certain the coordinator is that a run is active."""

    STARTING = "starting"
    """Its start is awaiting an answer."""
    RUNNING = "running"
    UNSURE = "unsure"
    """Its start was not answered, so that it may be active or may still begin."""


@dataclass(slots=True, kw_only=True)
class Run:
    """One run as the coordinator knows it."""

    task: TaskRef
    run: RunNumber
    needs: Needs
    phase: RunPhase
    since: timedelta
    """When this coordinator sent its start, or first saw it listed."""
    percent: int = 0
    """Progress reported by its upstream, as of `seen_at`."""
    first_percent: int = 0
    """Progress when this coordinator first learned of the run."""
    seen_at: timedelta | None = None
    """When its upstream last listed it as running."""
    advanced_at: timedelta = timedelta()
    """When it was last seen to make progress, or first known to be active."""
    resumes: bool = False
    """Whether it resumed from a checkpoint, so that it makes no progress at first."""
    is_sample: bool = False
    """Whether the kind of its upstream is learned from its run time: see `OpenJob.claim_sample`."""
    is_exclusive: bool = False
    """Whether nothing else may be started beside it, because it may crash its upstream."""
    is_orphaned: bool = False
    """Whether its job is unknown here: an earlier coordinator started it, and its gateway may yet
    submit the job again."""
    is_disputed: bool = False
    """Whether another coordinator may rely on the lease running out, so that it is not renewed."""
    unsure_at: timedelta = timedelta()
    """When its start was found to have no answer."""
    stop_requested: bool = False
    """Whether it is to be stopped, or is being stopped."""
    stop_due: timedelta = timedelta()
    """No stop is sent before then."""
    is_stop_pending: bool = False
    """Whether a stop awaits its answer."""
    first_stop_at: timedelta | None = None
    """When the first stop was sent."""
    stopped_at: timedelta | None = None
    """When the upstream acknowledged the stop."""


OrderAnswer = tuple[StartOutcome, int | None] | CallFailure | PollReply | None
"""What became of an order.

The outcome of a start, with the upstream's clock in ms if it was reported; the list that a poll
brought; why a stop or a poll has failed; or None for a stop that was accepted.
"""
OnAnswer = Callable[[OrderAnswer], None]
