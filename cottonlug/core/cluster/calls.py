"""Calls that hosts pass to the coordinator for callers, upstreams and operators, and answers.

The coordinator is the host that schedules jobs now: the elected leader, which is a control host, or
an acting leader (a gateway that schedules best-effort jobs where no leader can be reached).
Gateways pass on the calls of callers, control hosts those of upstreams and operators.

In the calls about jobs, `host` and `path` are those of the caller's HTTP request. Together they
address a queue (see `QueueKey`); what follows the queue's prefix in the path is the job's id.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from ..ids import DomainName, UpstreamId
from .configuration_parts import ConfigurationPart
from .crashes import Suspect, SuspectRecord
from .evacuations import EvacuationRecord
from .model import (
    Configuration,
    ConfigurationVersion,
    Heartbeat,
    JobSpec,
    JobState,
    OrderId,
    RunNumber,
    TaskRef,
    Value,
)
from .records import UpstreamRecord
from .speeds import ServiceSpeeds


class Contact(Value, frozen=True):
    """When the coordinator last answered a gateway; no synchronised clocks are needed.

    The coordinator adds the time on its own clock to each answer to a keep-alive, and the gateway
    returns it with what it sends next. That was sent no earlier than `since_ms` after
    `answered_ms`, however long the answer and the message were in transit.
    """

    token: int
    """Fencing token of the coordinator that answered: the time is on the clock of that host."""
    answered_ms: int
    """When the last answer that has arrived was given, on the clock of that coordinator."""
    since_ms: int = 0
    """Time from the arrival of that answer at the gateway until it sent this."""
    configuration_version: ConfigurationVersion | None = None
    """Version by which that coordinator handled calls when it answered; None if it had none."""


class AbandonedSubmission(Value, frozen=True):
    """A submission that its gateway no longer waits for; its caller may send the job again."""

    host: str
    path: str
    number: int
    """The `Submit.number` of the submission."""


class Submit(Value, frozen=True, tag="submit"):
    """Submit a job.

    A best-effort job, which is not stored, is answered when it has ended; its caller waits for
    `wait_timeout_ms` from its arrival at the gateway. A durable job is answered once it is in the
    replicated log.
    """

    host: str
    path: str
    spec: JobSpec
    wait_timeout_ms: int = msgspec.field(name="patience_ms", default=0)
    waited_ms: int = 0
    """How long the job has been at its gateway: its objective counts from its arrival there."""
    gateway: str = ""
    """Address of the gateway that waits for the answer; empty where that acts as leader itself."""
    contact: Contact | None = None
    """Of that gateway; without a recent one the submission is refused as possibly delayed."""
    number: int = 0
    """Unique among the submissions of its gateway."""
    may_have_begun: bool = False
    """Whether an earlier try has an unknown outcome, so that it cannot be rejected as not run."""
    acting_leader_term: int = msgspec.field(name="deputy_term", default=0)
    """Term in which an acting leader may have begun it, 0 for none; only leaders of later terms may
    accept it."""
    may_be_of_acting_leader: bool = msgspec.field(name="may_be_of_deputy", default=False)
    """Whether an earlier try went to a gateway that may have acted as leader by then."""
    suspects: tuple[Suspect, ...] = ()
    """Tasks of the job under which upstreams have ended, as reported by earlier coordinators."""


class Abandon(Value, frozen=True, tag="abandon"):
    """Abandon a best-effort job, since its gateway no longer waits for the answer."""

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


class ForwardHeartbeat(Value, frozen=True, tag="beat"):
    """Forward an upstream's heartbeat to the leader."""

    heartbeat: Heartbeat


class ReportedHeartbeat(Value, frozen=True):
    """A heartbeat that another control host has answered."""

    upstream: UpstreamId
    sequence: int
    clock_ms: int | None = None
    """When it was sent, on the upstream's own monotonic clock."""
    age_ms: int = 0
    """Time from its arrival at that control host until this report."""


class ReportHeartbeats(Value, frozen=True, tag="heard"):
    """Report to the leader whose heartbeats a control host has answered since its last report."""

    responder: str = msgspec.field(name="desk")
    """Address at which upstreams call that control host."""
    upstreams: tuple[ReportedHeartbeat, ...] = ()


class ForwardLeave(Value, frozen=True, tag="leave"):
    """Forward to the leader that an upstream leaves now."""

    upstream: UpstreamId
    """Id of the instance that leaves; without its start time where the upstream did not send it."""


class Configure(Value, frozen=True, tag="configure"):
    """Activate a configuration, unless a newer one is active."""

    configuration: Configuration


class AskConfiguration(Value, frozen=True, tag="configuration"):
    """Ask for the newest configuration."""


class Evacuate(Value, frozen=True, tag="evacuate"):
    """Begin or end the evacuation of a failure domain.

    The control host that receives it from the operator fills in the last two fields.
    """

    domain: DomainName
    is_evacuated: bool
    base_revision: int = 0
    """Revision of the domain in that host's log when the order arrived: the order is carried out
    only if no other one has changed the revision since."""
    order: OrderId = OrderId("")
    """Shows that a repeated call is the same order."""


class AskEvacuations(Value, frozen=True, tag="evacuations"):
    """Ask which failure domains are evacuated."""


class KeepAlive(Value, frozen=True, tag="greet"):
    """Tell that a gateway is alive; ask who leads, and for failover state newer than its own."""

    gateway: str = ""
    instance: int = msgspec.field(name="life", default=0)
    """Unique for each process at the gateway's address: a new one waits for no job of the last."""
    domain: DomainName = DomainName("")
    failover_version: str = msgspec.field(name="roster", default="")
    """Version of the failover state that the gateway has."""
    contact: Contact | None = None
    """When the coordinator last answered it; None before the first answer."""
    abandoned: tuple[AbandonedSubmission, ...] = msgspec.field(name="given_up", default=())
    """What the gateway has abandoned lately: a keep-alive confirms that it still waits for all its
    other submissions."""
    cores_millis: int = 0
    """Thousandths of a core that the gateway may use; 0 if that is not known."""
    is_probe: bool = False
    """Whether a host that does not lead is to answer by itself, which shows that it is alive and
    who leads, instead of forwarding this to the leader."""
    configuration_version: ConfigurationVersion | None = None
    """Version of the configuration by which this gateway would act as leader; None if it has none.
    """


NO_CONFIGURATION = "no configuration yet"
"""Detail of an answer by a leader that has received no configuration so far."""
NO_LOG = "a deputy has no log"
"""Detail of an acting leader's answer to a call that only a leader can carry out."""

NO_RECENT_CONTACT = "the gateway was not answered lately"
"""Detail of the answer to a submission without a recent `contact`: it was delayed on its way, or
its gateway has sent this coordinator no keep-alive before."""

NEWER_CONFIGURATION = "the gateway has not heard of the active configuration"
"""Detail of the answer to a submission whose `contact` is older than the active configuration."""

Call = (
    Submit
    | Abandon
    | AskState
    | Cancel
    | ForwardHeartbeat
    | ReportHeartbeats
    | ForwardLeave
    | Configure
    | AskConfiguration
    | Evacuate
    | AskEvacuations
    | KeepAlive
)


class GatewayInfo(Value, frozen=True):
    """A gateway that is known to the leader; `address` is where other gateways call it."""

    address: str
    domain: DomainName = DomainName("")
    is_small: bool = False
    """Whether it acts as leader or relay only where no other one answers: see `host_sizes`."""


class FailoverState(Value, frozen=True):
    """What a gateway must know to act as leader while none can be reached.

    With `base` it holds only the changes since that version: the configuration and the run times by
    kind if they have changed, upstreams that are new or changed, and those that were removed.
    """

    version: str
    term: int
    """Term of the leader that it comes from."""
    configuration: Configuration | None
    upstreams: tuple[UpstreamRecord, ...]
    gateways: tuple[GatewayInfo, ...]
    has_durable_jobs: bool = msgspec.field(name="keeps_jobs")
    """Whether durable jobs are under way, whose results an acting leader cannot store."""
    base: str = ""
    is_partial: bool = False
    """Whether further parts must be requested before a gateway can act as leader."""
    removed: tuple[UpstreamId, ...] = ()
    suspects: tuple[SuspectRecord, ...] = ()
    """Tasks under which upstreams have ended, so that they may have crashed these."""
    evacuations: tuple[EvacuationRecord, ...] = ()
    speeds: tuple[ServiceSpeeds, ...] | None = None
    """Run times by kind of upstream; None if they are not known or have not changed."""
    accepts_calls: bool = msgspec.field(name="takes_calls", default=True)
    """Whether upstreams accept calls; a gateway gets no heartbeats, so it can only call them."""
    configuration_part: ConfigurationPart | None = None
    """The next part of a configuration that is too large to be sent whole."""


class Outcome(Enum):
    """Result of a call."""

    DONE = "done"
    REJECTED = "rejected"
    """Not done, and this call never will be; its caller may retry after `retry_after_ms`."""
    UNAVAILABLE = "unavailable"
    """Not done, and this call never will be: the host that answers cannot have it done now."""
    UNKNOWN = "unknown"
    """It may or may not have been done."""
    ABANDONED = "given_up"
    """It may have been done in part; abandoned, since going on would be of no use."""
    NO_QUEUE = "no_queue"
    """No queue has this host and path."""
    NO_JOB = "no_job"
    NO_DOMAIN = "no_domain"
    INVALID = "invalid"
    UNSUPPORTED = "unsupported"
    """The job asks for a feature that is not implemented."""


class HeartbeatStart(Value, frozen=True):
    """A run to start."""

    task: TaskRef
    run: RunNumber
    payload: str
    checkpoint: str = ""


class HeartbeatOrders(Value, frozen=True):
    """Orders to an upstream in the answer to its heartbeat."""

    token: int
    """Fencing token: the upstream ignores orders if it has seen a higher one."""
    last_seen: int
    """Number of the last run end that the upstream need no longer list."""
    lease_ms: int | None = None
    """How long everything there may run from the arrival of this; None leaves the lease as it
    is."""
    starts: tuple[HeartbeatStart, ...] = ()
    stops: tuple[tuple[TaskRef, RunNumber], ...] = ()
    next_after_ms: int | None = None
    """Delay before the next heartbeat is to be sent; None leaves that to the upstream."""


class Answer(Value, frozen=True):
    """The answer to a call; only the fields that apply to it are set."""

    outcome: Outcome
    detail: str = ""
    state: JobState | None = None
    suspects: tuple[Suspect, ...] = ()
    """Tasks of the job that this answer is about, if it has not succeeded, that may have crashed
    upstreams."""
    pending: int | None = None
    """Number of jobs in the queue that have not begun, where it was asked for."""
    retry_after_ms: int | None = None
    document: str | None = None
    """The newest configuration as the operator sent it, where it was asked for."""
    evacuations: tuple[EvacuationRecord, ...] | None = None
    """The evacuated failure domains, where these were asked for."""
    leader: str | None = None
    """Address at which gateways and other control hosts call the leader, where it is known."""
    leader_control: str | None = None
    """Address at which upstreams and operators call the leader, where it is known."""
    hosts: tuple[str, ...] = ()
    """Addresses at which all known control hosts accept calls."""
    max_body_bytes: int | None = None
    """Longest request body that callers may send, by the active configuration."""
    failover_state: FailoverState | None = msgspec.field(name="roster", default=None)
    has_more_failover_state: bool = msgspec.field(name="is_roster_due", default=False)
    """Whether another keep-alive will bring more than the `failover_state` in this answer."""
    contact: Contact | None = None
    """To be returned with the next keep-alive, where this answers one."""
    is_acting_leader: bool = msgspec.field(name="is_deputy", default=False)
    """Whether the answer is that of a gateway that acts as leader."""
    domain: DomainName | None = None
    """The only failure domain whose upstreams the acting leader orders; None for all domains."""
    orders: HeartbeatOrders | None = None
    """Orders for the upstream whose heartbeat this answers, where it receives them that way."""


call_decoder: msgspec.json.Decoder[Call] = msgspec.json.Decoder(Call)
answer_decoder = msgspec.json.Decoder(Answer)
