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
    """Where an unfinished task stands for this leader."""

    BLOCKED = "blocked"
    """Waits for earlier steps."""
    QUEUED = "queued"
    RUNNING = "running"
    NOTING = "noting"
    """Its run has ended; the record has yet to take note."""
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
    is_unknown: bool = False
    """Whether another run of it, of another host that decides, may be at work somewhere; also of
    one whose run was adopted: see `Settlement`."""
    noted: tuple[UpstreamId, RunNumber] | None = None
    """Whose end the record has yet to take note of, while it is `NOTING`."""

    def runs_as(self, run: RunNumber, upstream: UpstreamId) -> bool:
        """Whether this is its present run.

        A job that was given up and is submitted again has its runs numbered from the first again.
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
    """Address of the gateway that waits for its end, if one does."""
    home: DomainName | None = None
    """Where its tasks had best run: the failure domain of that gateway, or of its first task."""
    vouched_until: timedelta = timedelta()
    """So long its gateway waits for it, as its submission says, heard or not."""
    may_be_of_deputy: bool = False
    """Whether a deputy may have begun it, of whose starts no leader knows."""
    settle_at: timedelta = timedelta()
    """Until then its unknown tasks may run at an upstream out of sight."""
    next_occurrence: int = 0
    """The first occurrence that was not due yet."""
    due_at: dict[int, timedelta] = field(default_factory=dict)
    """When each occurrence was due; the objective counts from there."""
    paces: dict[tuple[int, UpstreamId], timedelta] = field(default_factory=dict)
    """How long a task of a step takes at an upstream, as its progress or its end has shown."""

    def is_unsure(self) -> bool:
        """Whether it waits for upstreams out of sight."""
        return any(task.phase is TaskPhase.UNKNOWN for task in self.tasks.values())

    def learn_pace(self, step: int, upstream: UpstreamId, total: timedelta) -> None:
        """Remember how long a task of a step takes at an upstream."""
        self.paces[(step, upstream)] = total

    def find_sibling_pace(self, step: int, upstream: UpstreamId) -> timedelta | None:
        """Return what a task of a step takes at the fastest of the other upstreams."""
        others = (
            total
            for (number, instance), total in self.paces.items()
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
    vouched_until: timedelta = timedelta()
    may_be_of_deputy: bool = False
    """Whether that host may be one that stood in for a leader."""
    settle_after: timedelta
    """How long what another host began may go on at an upstream out of sight."""
    waited: timedelta = timedelta()
    """For how long the job has been at its gateway."""
