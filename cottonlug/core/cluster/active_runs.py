"""Index of the runs that may be active, by task.

Every run that a coordinator knows of is in it, from the moment at which its start is sent or an
upstream lists it, until its end is listed or its lease has certainly run out. That includes runs
that are being stopped, and those that are not the current run of their task.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..ids import UpstreamId
from .model import JobId, RunNumber, TaskRef
from .run_numbers import is_durable_run


@dataclass(frozen=True, slots=True, order=True, kw_only=True)
class ActiveRun:
    """A run that may be active, and its upstream; those with higher run numbers are greater."""

    run: RunNumber
    upstream: UpstreamId


class ActiveRuns:
    """Active runs of all upstreams by task."""

    def __init__(self) -> None:
        self._by_task: dict[TaskRef, set[ActiveRun]] = {}
        self.on_best_effort_run: Callable[[JobId], object] = lambda job: None
        """Called with the job of each run that is added, unless the job is durable."""

    def add(self, ref: TaskRef, active: ActiveRun) -> None:
        """Add a run of a task."""
        self._by_task.setdefault(ref, set()).add(active)
        if not is_durable_run(active.run):
            self.on_best_effort_run(ref.job)

    def remove(self, ref: TaskRef, active: ActiveRun) -> None:
        """Remove a run of a task, if it is known."""
        runs = self._by_task.get(ref)
        if runs is None:
            return
        runs.discard(active)
        if not runs:
            del self._by_task[ref]

    def list_best_effort_jobs(self) -> set[JobId]:
        """Return the best-effort jobs that have active runs."""
        return {
            ref.job
            for ref, runs in self._by_task.items()
            if not all(is_durable_run(each.run) for each in runs)
        }

    def find_all(self, ref: TaskRef) -> list[ActiveRun]:
        """Return all active runs of a task, in the order of their numbers."""
        return sorted(self._by_task.get(ref, ()))

    def find_latest(self, ref: TaskRef) -> ActiveRun | None:
        """Return the active run of a task with the highest number, or None if there is none."""
        return max(self._by_task.get(ref, ()), default=None)
