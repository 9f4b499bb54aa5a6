"""Commands of the replicated log: what the cluster must never forget."""

from __future__ import annotations

import msgspec

from ..ids import DomainName, UpstreamId
from .crashes import LostRuns
from .model import (
    Capacity,
    Configuration,
    RunEndReport,
    JobId,
    JobSpec,
    OrderId,
    Queue,
    TaskRef,
    UpstreamInfo,
    Value,
)


class AcceptJob(Value, frozen=True, tag="accept"):
    """Keep a job; `queue` is its queue as it was at that moment, `at_ms` the wall-clock time."""

    job: JobId
    queue: Queue
    spec: JobSpec
    at_ms: int


class CancelJob(Value, frozen=True, tag="cancel"):
    """End a job by its caller's wish."""

    job: JobId
    at_ms: int


class NoteEnds(Value, frozen=True, tag="ends"):
    """Take note of ends that an upstream has listed, in its order, up to the number `through`.

    Ends of jobs that need not be kept are left out.
    """

    upstream: UpstreamId
    through: int
    ends: tuple[RunEndReport, ...]
    at_ms: int


class ForgetJobs(Value, frozen=True, tag="forget"):
    """Drop jobs that ended long enough ago."""

    jobs: tuple[JobId, ...]


class AddUpstream(Value, frozen=True, tag="add_upstream"):
    """Know a life of an upstream, as of its heartbeat `sequence`; comes before the first order."""

    info: UpstreamInfo
    sequence: int = 0


class ResizeUpstream(Value, frozen=True, tag="resize"):
    """An upstream has this capacity, as of its heartbeat `sequence`, unlike before or for sure."""

    upstream: UpstreamId
    capacity: Capacity
    sequence: int


class DoubtCapacities(Value, frozen=True, tag="doubt_capacities"):
    """Heartbeats of these upstreams were missed: their capacities may have changed."""

    upstreams: tuple[UpstreamId, ...]


class RemoveUpstreams(Value, frozen=True, tag="remove_upstreams"):
    """Forget lives of upstreams on which nothing can run any more."""

    upstreams: tuple[UpstreamId, ...]


class NoteCrash(Value, frozen=True, tag="crash"):
    """Forget an upstream that has ended without leaving, and count it against what ran there.

    `blamed` may have crashed it; what is in `others` was only there as well, and the start of what
    is in `unanswered` may not have arrived before the end.
    """

    upstream: UpstreamId
    blamed: tuple[TaskRef, ...]
    others: tuple[TaskRef, ...]
    unanswered: tuple[TaskRef, ...]
    at_ms: int


class SetDraining(Value, frozen=True, tag="drain"):
    """An upstream is leaving: no new work goes to it, under any leader."""

    upstream: UpstreamId


class CordonUpstreams(Value, frozen=True, tag="cordon"):
    """Nothing runs at these upstreams, and nothing is started there from the proposal on.

    `lost` tells what was at work where one fell out of sight: should it turn out to have crashed,
    these tasks may have done it, whoever leads by then.
    """

    upstreams: tuple[UpstreamId, ...]
    lost: tuple[LostRuns, ...] = ()


class UncordonUpstream(Value, frozen=True, tag="uncordon"):
    """An upstream is used again; comes before the first start there."""

    upstream: UpstreamId


class SetConfiguration(Value, frozen=True, tag="configure"):
    """Put a configuration in force unless one as new already is."""

    configuration: Configuration


class SetEvacuation(Value, frozen=True, tag="evacuate"):
    """Begin or end the evacuation of a domain, unless another order has come since the base."""

    domain: DomainName
    is_evacuated: bool
    base_revision: int
    order: OrderId
    at_ms: int


Command = (
    AcceptJob
    | CancelJob
    | NoteEnds
    | ForgetJobs
    | AddUpstream
    | ResizeUpstream
    | DoubtCapacities
    | NoteCrash
    | RemoveUpstreams
    | SetDraining
    | CordonUpstreams
    | UncordonUpstream
    | SetConfiguration
    | SetEvacuation
)

_decoder = msgspec.json.Decoder(tuple[Command, ...])
_encoder = msgspec.json.Encoder()


def encode_commands(commands: tuple[Command, ...]) -> str:
    """Return commands as the data of one log entry."""
    return _encoder.encode(commands).decode()


def decode_commands(data: str) -> tuple[Command, ...]:
    """Return the commands of one log entry."""
    return _decoder.decode(data)
