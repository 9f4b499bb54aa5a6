"""Jobs, queues, services and upstreams as the cluster knows them."""

from __future__ import annotations

from enum import Enum
from functools import cached_property
from typing import NamedTuple, NewType

import msgspec

from ..ids import DomainName, UpstreamId
from .job_graph import list_dependents, measure_chains

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

    A job repeats all its steps in each occurrence; one that does not repeat has only occurrence 0.
    All three numbers begin at 0.
    """

    job: JobId
    occurrence: int
    step: int
    task_index: int


class Needs(Value, frozen=True):
    """Resources of an upstream that one task needs; `cpu_millis` is in thousandths of a core."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0


class StepSpec(Value, frozen=True):
    """Tasks with equal requirements; `depends_on` lists earlier steps that must be done first.

    Jobs with `gang` or `fills` are refused; the other fields without a docstring are ignored.
    """

    count: int
    """Number of tasks."""
    needs: Needs = Needs()
    """What each of them needs."""
    estimate_ms: int = 0
    """Run time of a task as declared by the caller."""
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    """Label that an upstream must have; empty if any will do."""
    data_rack: str = ""
    """Label of the rack with the data of the tasks: upstreams that have it are preferred."""
    max_per_upstream: int = 0
    """Most tasks of the step that run at one upstream at a time; 0 for no limit."""
    speculative: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class JobSpec(Value, frozen=True, dict=True):
    """A job as its caller submitted it; `payload` is handed to each task as it is.

    What is derived from the steps is computed once, and neither stored nor sent.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    best_effort: bool = False
    """Whether the job is not stored, and its caller waits for its end; all others are durable, that
    is, kept in the replicated log until they have ended."""
    long_running: bool = False
    """Whether its tasks run until the job is cancelled, and start again however they end."""
    repeat_count: int = 0
    """Number of occurrences of a timed job; 0 if the job is not timed."""
    start_at_ms: int = 0
    """Wall-clock time at which the first occurrence of a timed job begins."""
    interval_ms: int = 0
    """Time from the beginning of one occurrence to that of the next."""

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.repeat_count)

    @property
    def is_timed(self) -> bool:
        """Whether its occurrences begin at scheduled times."""
        return self.repeat_count > 0

    @cached_property
    def chains_ms(self) -> tuple[float, ...]:
        """For each step, the declared time in ms of the longest chain that begins with it."""
        return measure_chains(self.steps)

    @cached_property
    def dependents(self) -> tuple[tuple[int, ...], ...]:
        """For each step, the numbers of the later steps that wait for it."""
        return list_dependents(self.steps)

    @cached_property
    def task_count(self) -> int:
        """Number of tasks, in all occurrences."""
        return sum(step.count for step in self.steps) * self.occurrences

    def find_step(self, ref: TaskRef) -> StepSpec | None:
        """Return the step of one of the job's tasks; None if the job has no such task.

        An upstream may list runs under any name.
        """
        if not (0 <= ref.occurrence < self.occurrences and 0 <= ref.step < len(self.steps)):
            return None
        step = self.steps[ref.step]
        return step if 0 <= ref.task_index < step.count else None

    def find_due_ms(self, occurrence: int) -> int:
        """Return the wall-clock time at which an occurrence of a timed job begins."""
        return self.start_at_ms + occurrence * self.interval_ms


class QueueKey(NamedTuple):
    """Host and path prefix by which callers address a queue."""

    host: str
    prefix: str


class Queue(Value, frozen=True):
    """A queue for jobs, and how these are treated.

    The scheduler ignores `timeout_ms` and `needs_advice`, and `priority` unless the service is
    severely overloaded.
    """

    name: str
    host: str
    prefix: str
    service: ServiceName
    """The upstreams at which its jobs run."""
    timeout_ms: int
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    """A job fails when runs of one of its tasks have failed this many times."""
    stretch: float = 1.0
    """The objective of a job, from its arrival to its end, is its expected run time times this,
    plus `target_latency_ms`."""
    needs_advice: bool = False

    @property
    def key(self) -> QueueKey:
        """Host and path prefix by which callers address this queue."""
        return QueueKey(self.host, self.prefix)


class Service(Value, frozen=True):
    """A set of upstreams."""

    name: ServiceName
    rejects_overload: bool = True
    """Whether its upstreams refuse a start that exceeds their capacity; others carry it out."""
    max_connections: int = 0
    """Not used."""


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
    """How a run ended at its upstream; after all but the first two, its task simply starts again.

    Only `FAILED` counts as one of the attempts of `Queue.max_attempts`.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    """By an order."""
    LAPSED = "lapsed"
    """The lease of its upstream, under which all runs there are active, was not renewed in time."""
    BROKEN = "broken"
    ALONE = "alone"


class Capacity(Value, frozen=True):
    """Resources that an upstream provides, in the units of `Needs`."""

    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0


class UpstreamInfo(Value, frozen=True):
    """One instance of an upstream, as it describes itself.

    An instance is one run of the upstream's process, and has its own id (see `instance_ids`).
    """

    id: UpstreamId
    service: ServiceName
    address: str
    domain: DomainName
    capacity: Capacity
    labels: tuple[str, ...] = ()
    kind: str = ""
    """The kind of hardware, on which run times depend; empty if not known."""


class RunEndReport(Value, frozen=True):
    """The end of one run as listed by its upstream, which numbers ended runs from 1.

    `checkpoint` is where another run of the task can resume; empty if there is none.
    """

    number: int
    task: TaskRef
    run: RunNumber
    how: RunEndKind
    checkpoint: str = ""


class RunReport(Value, frozen=True):
    """One run that an upstream reports as active, and how far it has come."""

    task: TaskRef
    run: RunNumber
    checkpoint: str = ""
    percent: int = 0


class PollReply(Value, frozen=True):
    """Active and ended runs of an upstream, in answer to a poll.

    `clock_ms` is the time of the answer on the upstream's own monotonic clock.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[RunEndReport, ...]


class Heartbeat(Value, frozen=True):
    """What an upstream reports about itself; `sequence` rises with each heartbeat."""

    info: UpstreamInfo
    sequence: int
    draining: bool
    """Whether it accepts no new work, since it is about to leave."""
    clock_ms: int | None = None
    """When it was sent, on the upstream's own monotonic clock."""
    is_capacity_unreadable: bool = msgspec.field(name="has_no_capacity", default=False)
    """Whether its reported capacity could not be read, so that it counts as having none."""
    cold_left_ms: int = 0
    """For how long from now on tasks run slower there than usual, for instance after its start."""
    poll_reply: PollReply | None = msgspec.field(name="held", default=None)
    """Its active and ended runs, if it gets its orders with the answers to its heartbeats."""
