"""Jobs, queues, services and upstreams as the cluster knows them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple, NewType

import msgspec

from ..ids import DomainName, UpstreamId

JobId = NewType("JobId", str)
RunNumber = NewType("RunNumber", int)
ServiceName = NewType("ServiceName", str)
ConfigurationVersion = NewType("ConfigurationVersion", int)
OrderId = NewType("OrderId", str)
"""Identifies one order of an operator, as numbered by the host that received it."""


class Value(msgspec.Struct, kw_only=True, frozen=True, omit_defaults=True):
    """Base of values that are stored or sent between hosts."""


class TaskRef(NamedTuple):
    """Identifies a task by its job, the occurrence of the job, the step, and its index in the step.

    All three numbers begin at 0; a job that does not repeat has only occurrence 0.
    """

    job: JobId
    occurrence: int
    step: int
    task_index: int


class Needs(Value, frozen=True):
    """Resources of an upstream that one task needs."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0


class StepSpec(Value, frozen=True):
    """Tasks with equal requirements; `depends_on` lists earlier steps that must be done first."""

    count: int
    needs: Needs = Needs()
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    speculative: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class JobSpec(Value, frozen=True):
    """A job as its caller submitted it."""

    payload: str
    steps: tuple[StepSpec, ...]
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeat_count)

    @property
    def is_timed(self) -> bool:
        """Whether its occurrences begin at scheduled times."""
        return self.repeat_count > 0

    def find_due_ms(self, occurrence: int) -> int:
        """Return the wall-clock time at which an occurrence of a timed job begins."""
        return self.start_at_ms + occurrence * self.interval_ms


class QueueKey(NamedTuple):
    """Host and path prefix by which callers address a queue."""

    host: str
    prefix: str


class Queue(Value, frozen=True):
    """A queue for jobs, and how these are treated; `priority` 0 comes first."""

    name: str
    host: str
    prefix: str
    service: ServiceName
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    """The objective of a job is its expected run time times this, plus `target_latency_ms`."""
    needs_advice: bool = False

    @property
    def key(self) -> QueueKey:
        """Host and path prefix by which callers address this queue."""
        return QueueKey(self.host, self.prefix)


class Service(Value, frozen=True):
    """A set of upstreams; `rejects_overload` tells whether they enforce their own capacity."""

    name: ServiceName
    rejects_overload: bool = True
    max_connections: int = 0


class Configuration(Value, frozen=True):
    """A complete configuration; `document` is what the operator sent, word for word."""

    version: ConfigurationVersion
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    max_body_bytes: int
    document: str


class JobState(Enum):
    """State of a job; the last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class RunEndKind(Enum):
    """How a run ended at its upstream."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Capacity(Value, frozen=True):
    """Resources that an upstream provides."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0


class UpstreamInfo(Value, frozen=True):
    """One instance of an upstream, as it describes itself; each instance has its own id."""

    id: UpstreamId
    service: ServiceName
    address: str
    domain: DomainName
    capacity: Capacity
    labels: tuple[str, ...] = ()


class RunEndReport(Value, frozen=True):
    """The end of one run as listed by its upstream, which numbers ended runs from 1."""

    number: int
    task: TaskRef
    run: RunNumber
    how: RunEndKind
    checkpoint: str = ""


class RunReport(Value, frozen=True):
    """One run that an upstream reports as active."""

    task: TaskRef
    run: RunNumber
    checkpoint: str = ""
    percent: int = 0


class PollReply(Value, frozen=True):
    """Runs and ended runs of an upstream, in answer to a poll; `clock_ms` is its own clock."""

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[RunEndReport, ...]


class Heartbeat(Value, frozen=True):
    """What an upstream reports about itself; `sequence` rises with each heartbeat."""

    info: UpstreamInfo
    sequence: int
    draining: bool
    clock_ms: int | None = None
    is_capacity_unreadable: bool = msgspec.field(name="has_no_capacity", default=False)
    """Whether its reported capacity could not be read, so that it counts as having none."""
    cold_left_ms: int = 0
    """How much longer tasks will run slower there than usual, for instance after its start."""
    poll_reply: PollReply | None = msgspec.field(name="held", default=None)
    """Its runs and ended runs, if it gets its orders with the answers to its heartbeats."""
