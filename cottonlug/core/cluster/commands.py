"""Commands of the replicated log: changes to the state that must survive the loss of any leader.

A leader proposes them; every control host applies them once they are committed. `at_ms` is the
wall-clock time in milliseconds at which the leader proposed the command. An upstream in a command
is always one instance: one run of its process.
"""

from __future__ import annotations

import msgspec

from ..ids import DomainName, UpstreamId
from .crashes import LostTasks
from .model import (
    Capacity,
    Configuration,
    JobId,
    JobSpec,
    OrderId,
    Queue,
    RunEndReport,
    TaskRef,
    UpstreamInfo,
    Value,
)
from .speeds import ServiceSpeeds


class AcceptJob(Value, frozen=True, tag="accept"):
    """Store a durable job, with its queue as configured at that moment.

    Here `at_ms` is the time at which the job arrived at its gateway.
    """

    job: JobId
    queue: Queue
    spec: JobSpec
    at_ms: int


class CancelJob(Value, frozen=True, tag="cancel"):
    """End a job at its caller's request."""

    job: JobId
    at_ms: int


class RecordRunEnds(Value, frozen=True, tag="ends"):
    """Record run ends that an upstream has listed, in its order, up to the number `through`.

    The upstream numbers its ended runs from 1. Ends of best-effort jobs, which the log does not
    contain, are left out of `ends`.
    """

    upstream: UpstreamId
    through: int
    ends: tuple[RunEndReport, ...]
    at_ms: int


class ForgetJobs(Value, frozen=True, tag="forget"):
    """Remove jobs that ended long enough ago."""

    jobs: tuple[JobId, ...]


class AddUpstream(Value, frozen=True, tag="add_upstream"):
    """Register an instance of an upstream, as described by its heartbeat number `sequence`.

    Committed before the first order to the instance.
    """

    info: UpstreamInfo
    sequence: int = 0


class ResizeUpstream(Value, frozen=True, tag="resize"):
    """Set the capacity of an upstream, as of its heartbeat number `sequence`.

    The capacity differs from the known one, or confirms one that was in doubt.
    """

    upstream: UpstreamId
    capacity: Capacity
    sequence: int


class DoubtCapacities(Value, frozen=True, tag="doubt_capacities"):
    """Mark capacities as doubtful: a heartbeat that may have reported a change was missed."""

    upstreams: tuple[UpstreamId, ...]


class RemoveUpstreams(Value, frozen=True, tag="remove_upstreams"):
    """Remove instances of upstreams on which nothing can run any more."""

    upstreams: tuple[UpstreamId, ...]


class RecordCrash(Value, frozen=True, tag="crash"):
    """Remove an upstream that ended without leaving, and count that against its active tasks.

    Tasks in `blamed` may have caused the end; those in `others` were active there as well. The
    starts of those in `unanswered` may not have arrived before the upstream ended. An upstream that
    was lost for good, without it being known why, is removed with nothing in `blamed`.
    """

    upstream: UpstreamId
    blamed: tuple[TaskRef, ...]
    others: tuple[TaskRef, ...]
    unanswered: tuple[TaskRef, ...]
    at_ms: int


class SetDraining(Value, frozen=True, tag="drain"):
    """Mark an upstream as leaving, so that no leader starts anything there."""

    upstream: UpstreamId


class CordonUpstreams(Value, frozen=True, tag="cordon"):
    """Cordon upstreams that do not answer and at which no leader has a run.

    From the proposal on, no leader starts anything there before the cordon is lifted. So a later
    leader need not wait for their leases to end. `lost` lists the tasks that were active when an
    upstream became unreachable. If it turns out to have crashed, these tasks may have caused the
    crash, even under a later leader.
    """

    upstreams: tuple[UpstreamId, ...]
    lost: tuple[LostTasks, ...] = ()


class UncordonUpstream(Value, frozen=True, tag="uncordon"):
    """Lift the cordon of an upstream; committed before the first start there."""

    upstream: UpstreamId


class SetConfiguration(Value, frozen=True, tag="configure"):
    """Activate a configuration unless the active one has the same or a later version."""

    configuration: Configuration


class SetEvacuation(Value, frozen=True, tag="evacuate"):
    """Begin or end the evacuation of a failure domain, if its revision is still `base_revision`.

    The revision counts the orders about the domain that were carried out. `order` identifies the
    operator's order.
    """

    domain: DomainName
    is_evacuated: bool
    base_revision: int
    order: OrderId
    at_ms: int


class RecordSpeeds(Value, frozen=True, tag="speeds"):
    """Record the factors of run times by kind of upstream, of services for which they changed.

    A service without kinds is one whose kinds differ no more.
    """

    services: tuple[ServiceSpeeds, ...]


Command = (
    AcceptJob
    | CancelJob
    | RecordRunEnds
    | ForgetJobs
    | AddUpstream
    | ResizeUpstream
    | DoubtCapacities
    | RecordCrash
    | RemoveUpstreams
    | SetDraining
    | CordonUpstreams
    | UncordonUpstream
    | SetConfiguration
    | SetEvacuation
    | RecordSpeeds
)

_decoder = msgspec.json.Decoder(tuple[Command, ...])
_encoder = msgspec.json.Encoder()


def encode_commands(commands: tuple[Command, ...]) -> str:
    """Return commands as the data of one log entry."""
    return _encoder.encode(commands).decode()


def decode_commands(data: str) -> tuple[Command, ...]:
    """Return the commands of one log entry."""
    return _decoder.decode(data)
