"""What callers, upstreams and operators ask of the cluster, whichever host they reach."""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import DomainName, UpstreamId
from .crashes import Suspect, SuspectRecord
from .evacuations import EvacuationRecord
from .model import (
    Configuration,
    Heartbeat,
    JobSpec,
    JobState,
    OrderId,
    RunNumber,
    TaskRef,
    Value,
)
from .records import UpstreamRecord


class Contact(Value, frozen=True):
    """When whoever decides last answered a gateway, in terms that both can vouch for.

    Whoever decides hands out its own clock with each answer to a greeting, and the gateway returns
    it with what it sends next. However long that takes, it was sent no earlier than `answered_ms`
    and `since_ms` say: neither clocks nor the link between the two have to be trusted.
    """

    token: int
    """Of whoever answered: nobody else counts by that clock."""
    answered_ms: int
    """When the last answer that has arrived was given, on the clock of whoever gave it."""
    since_ms: int = 0
    """How long before it sent this the gateway had that answer."""


class GivenUp(Value, frozen=True):
    """A submission that its gateway waits for no more; its caller may send the job again."""

    host: str
    path: str
    number: int


class Submit(Value, frozen=True, tag="submit"):
    """Submit a job; `path` is that of the request, whose end after the prefix is the job's id.

    A job that need not be kept is answered when it has ended; its caller waits for `patience_ms`.
    """

    host: str
    path: str
    spec: JobSpec
    patience_ms: int = 0
    waited_ms: int = 0
    """For how long the job has been at its gateway: its objective counts from its arrival there."""
    gateway: str = ""
    """Address of the gateway that waits for the answer; empty where that itself decides."""
    contact: Contact | None = None
    number: int = 0
    """Unlike for every submission of its gateway."""
    may_have_begun: bool = False
    """Whether an earlier try has an unknown outcome: it can no longer be rejected as not run."""
    deputy_term: int = 0
    """The term in which a deputy may have begun it; only a leader of a later term may go on."""
    may_be_of_deputy: bool = False
    """Whether another gateway has had an earlier try, which may have stood in by then."""
    suspects: tuple[Suspect, ...] = ()
    """Tasks under which upstreams have ended, as hosts that decided before have told."""


class Abandon(Value, frozen=True, tag="abandon"):
    """Nobody waits any more for a job that need not be kept, at the gateway that submitted it."""

    host: str
    path: str
    gateway: str = ""


class AskState(Value, frozen=True, tag="state"):
    """Ask for a job's state, or for the number of pending jobs where no id follows the prefix."""

    host: str
    path: str


class Cancel(Value, frozen=True, tag="cancel"):
    """Cancel a job."""

    host: str
    path: str


class Beat(Value, frozen=True, tag="beat"):
    """Pass on an upstream's heartbeat."""

    heartbeat: Heartbeat


class HeardUpstream(Value, frozen=True):
    """A heartbeat that another control host has answered."""

    upstream: UpstreamId
    sequence: int
    clock_ms: int | None = None
    """On the upstream's own steady clock, when it was sent."""
    age_ms: int = 0
    """How long before this was told it had come."""


class Heard(Value, frozen=True, tag="heard"):
    """Tell the leader whose heartbeats a control host has answered since it last told."""

    desk: str
    """Address of that host for upstreams."""
    upstreams: tuple[HeardUpstream, ...] = ()


class Leave(Value, frozen=True, tag="leave"):
    """Pass on that an upstream leaves now."""

    upstream: UpstreamId
    """Of the life that leaves; without its start where the upstream did not tell it."""


class Configure(Value, frozen=True, tag="configure"):
    """Put a configuration in force, unless a newer one is."""

    configuration: Configuration


class AskConfiguration(Value, frozen=True, tag="configuration"):
    """Ask for the newest configuration."""


class Evacuate(Value, frozen=True, tag="evacuate"):
    """Begin or end the evacuation of a failure domain.

    The host that takes it in from the operator fills in the last two fields.
    """

    domain: DomainName
    is_evacuated: bool
    base_revision: int = 0
    """Revision of the domain in that host's log when the order came."""
    order: OrderId = OrderId("")


class AskEvacuations(Value, frozen=True, tag="evacuations"):
    """Ask which failure domains are evacuated."""


class Greet(Value, frozen=True, tag="greet"):
    """Tell that a gateway lives; ask who leads, and for a roster newer than the one it has."""

    gateway: str = ""
    life: int = 0
    """Unlike for each process at the gateway's address: a new one waits for nothing of before."""
    domain: DomainName = DomainName("")
    roster: str = ""
    contact: Contact | None = None
    given_up: tuple[GivenUp, ...] = ()
    """What the gateway has given up lately: a greeting vouches for all else that it submitted."""
    is_probe: bool = False
    """Whether a host that does not lead is only to say that it is alive, and who leads."""


NO_CONFIGURATION = "no configuration yet"
"""Detail of an answer by a leader that has had none so far."""
NO_LOG = "a deputy has no log"
"""Detail of a deputy's answer to a call that only a leader can carry out."""

NOT_IN_TOUCH = "the gateway was not answered lately"
"""Detail of an answer to a submission that was held up, or that follows no greeting."""

Call = (
    Submit
    | Abandon
    | AskState
    | Cancel
    | Beat
    | Heard
    | Leave
    | Configure
    | AskConfiguration
    | Evacuate
    | AskEvacuations
    | Greet
)


class GatewayInfo(Value, frozen=True):
    """A gateway that a leader has heard; `address` is that for calls of its peers."""

    address: str
    domain: DomainName = DomainName("")


class Roster(Value, frozen=True):
    """What a gateway must know to stand in while no leader can be reached.

    With `base` only what has changed since that version: the configuration where it is another,
    upstreams that are new or changed, and those that were removed.
    """

    version: str
    term: int
    configuration: Configuration | None
    upstreams: tuple[UpstreamRecord, ...]
    gateways: tuple[GatewayInfo, ...]
    keeps_jobs: bool
    """Whether jobs are under way whose ends must be kept, which a deputy cannot do."""
    base: str = ""
    is_partial: bool = False
    """Whether more is to be asked for before a gateway can stand in by it."""
    removed: tuple[UpstreamId, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    """Tasks under which upstreams have ended."""
    evacuations: tuple[EvacuationRecord, ...] = ()
    takes_calls: bool = True
    """Whether upstreams are called; a gateway, to which they send no heartbeat, can only call."""


class Outcome(Enum):
    """What became of a call."""

    DONE = "done"
    REJECTED = "rejected"
    """Not done and never will be; ask again after `retry_after_ms`."""
    UNAVAILABLE = "unavailable"
    """Not done and never will be, for want of a leader or a configuration."""
    UNKNOWN = "unknown"
    """It may or may not have been done."""
    GIVEN_UP = "given_up"
    """It may have been done in part; nobody goes on with it, since that would be of no use."""
    NO_QUEUE = "no_queue"
    NO_JOB = "no_job"
    NO_DOMAIN = "no_domain"
    INVALID = "invalid"
    UNSUPPORTED = "unsupported"


class HeartbeatStart(Value, frozen=True):
    """One run to be started."""

    task: TaskRef
    run: RunNumber
    payload: str
    checkpoint: str = ""


class HeartbeatOrders(Value, frozen=True):
    """What the answer to a heartbeat tells an upstream to do."""

    token: int
    last_seen: int
    lease_ms: int | None = None
    """How long everything there may run from now on; None leaves the lease as it is."""
    starts: tuple[HeartbeatStart, ...] = ()
    stops: tuple[tuple[TaskRef, RunNumber], ...] = ()
    next_after_ms: int | None = None
    """When to send the next heartbeat, where that is not left to the upstream."""


class Answer(Value, frozen=True):
    """The answer to a call; only the fields that belong to it are set."""

    outcome: Outcome
    detail: str = ""
    state: JobState | None = None
    suspects: tuple[Suspect, ...] = ()
    """Of the job that this answer is about, where it has not ended well."""
    pending: int | None = None
    retry_after_ms: int | None = None
    document: str | None = None
    evacuations: tuple[EvacuationRecord, ...] | None = None
    """The failure domains that are evacuated, where this was asked."""
    leader: str | None = None
    """Address for calls of entry hosts, where it is known."""
    leader_control: str | None = None
    """Address of the leader for upstreams and operators."""
    hosts: tuple[str, ...] = ()
    """Addresses for calls of all known control hosts."""
    max_body_bytes: int | None = None
    roster: Roster | None = None
    is_roster_due: bool = False
    """Whether there is more to know than `roster`, which another greeting will bring."""
    contact: Contact | None = None
    """To be returned with the next greeting, where this answers one."""
    is_deputy: bool = False
    """Whether the answer is that of a gateway that stands in for a leader."""
    domain: DomainName | None = None
    """The failure domain that a deputy stands in for, where it is not for all."""
    orders: HeartbeatOrders | None = None
    """For the upstream whose heartbeat this answers, where it takes its orders so."""


call_decoder: msgspec.json.Decoder[Call] = msgspec.json.Decoder(Call)
answer_decoder = msgspec.json.Decoder(Answer)
