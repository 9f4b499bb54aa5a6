"""A job that has not ended, as one leader knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from ..ids import DomainName, UpstreamId
from .model import RunNumber, TaskRef
from .records import JobRecord

NO_RUN = RunNumber(0)


class TaskPhase(Enum):
    """State of an unfinished task at this leader."""

    BLOCKED = "blocked"
    """Waits for earlier steps."""
    QUEUED = "queued"
    RUNNING = "running"
    RECORDING = "noting"
    """Its run has ended; the end has yet to be recorded."""
    UNKNOWN = "unknown"
    """An earlier leader may have started it."""


@dataclass(slots=True, kw_only=True)
class Task:
    """An unfinished task."""

    phase: TaskPhase
    instance: UpstreamId | None = None
    run: RunNumber = NO_RUN
    moves: int = 0
    """How often it was stopped to be started elsewhere."""
    may_run_elsewhere: bool = False
    """Whether another coordinator may have begun a further run of it, at an upstream not seen yet.

    It stays set when a run of an unknown task is adopted or its end is listed, as that run need not
    be the last one.
    """
    unrecorded_end: tuple[UpstreamId, RunNumber] | None = None
    """The run whose end has yet to be recorded, while it is `RECORDING`."""

    def is_current_run(self, run: RunNumber, upstream: UpstreamId) -> bool:
        """Whether the task is active as this run at this upstream.

        The number alone does not tell: a job that was abandoned and is submitted again has its runs
        numbered from the first again.
        """
        return self.phase is TaskPhase.RUNNING and (self.run, self.instance) == (run, upstream)


@dataclass(slots=True, kw_only=True)
class OpenJob:
    """A job that has not ended, and its tasks."""

    record: JobRecord
    opened_at: timedelta
    objective: timedelta
    """How long the job may take, from `opened_at`."""
    tasks: dict[TaskRef, Task] = field(default_factory=dict)
    has_begun: bool = False
    gateway: str = ""
    """Address of the gateway that waits for its end, if any."""
    home: DomainName | None = None
    """Preferred failure domain of its tasks: that of its gateway, or of its first task."""
    confirmed_until: timedelta = timedelta()
    """Until then its gateway counts as waiting for it by the submission alone, even if silent."""
    may_be_of_acting_leader: bool = False
    """Whether an acting leader may have begun it, of whose starts no leader knows."""
    reconcile_at: timedelta = timedelta()
    """Until then its unknown tasks may run at an upstream that cannot be reached."""
    next_occurrence: int = 0
    """The first occurrence that has not been opened, since it was not due yet."""
    due_at: dict[int, timedelta] = field(default_factory=dict)
    """When each occurrence was due; the objective counts from there."""
    run_times: dict[tuple[int, UpstreamId], timedelta] = field(default_factory=dict)
    """Run time of a task of a step at an upstream, as its progress or its end has shown."""

    def has_unknown_tasks(self) -> bool:
        """Whether any of its tasks may run at an upstream that cannot be reached."""
        return any(task.phase is TaskPhase.UNKNOWN for task in self.tasks.values())

    def record_run_time(self, step: int, upstream: UpstreamId, total: timedelta) -> None:
        """Record how long a task of a step takes at an upstream."""
        self.run_times[(step, upstream)] = total

    def find_sibling_run_time(self, step: int, upstream: UpstreamId) -> timedelta | None:
        """Return how long a task of a step takes at the fastest of the other upstreams."""
        others = (
            total
            for (number, instance), total in self.run_times.items()
            if number == step and instance != upstream
        )
        return min(others, default=None)


@dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """Who waits for a job, and whether another host may have begun it."""

    gateway: str
    home: DomainName | None = None
    """The failure domain of that gateway."""
    may_have_begun: bool
    confirmed_until: timedelta = timedelta()
    may_be_of_acting_leader: bool = False
    """Whether that host may have been an acting leader."""
    reconcile_after: timedelta
    """How long runs that another host began may go on at an upstream that cannot be reached."""
    waited: timedelta = timedelta()
    """How long the job has been at its gateway."""
