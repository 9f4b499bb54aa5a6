"""Tasks that wait for room, by step of a job, in the order in which they are served."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from .model import JobId, Needs, StepSpec
from .records import JobRecord


@dataclass(slots=True, kw_only=True)
class Batch:
    """Waiting tasks of one step of one job; `rank` orders batches, lowest first."""

    job: JobRecord
    number: int
    step: StepSpec
    rank: tuple[float, ...]
    waiting: list[int] = field(default_factory=list)
    not_before: timedelta = timedelta()
    started_count: int = 0

    @property
    def needs(self) -> Needs:
        """What each of the tasks takes."""
        return self.step.needs


class Backlog:
    """All batches with waiting tasks."""

    def __init__(self) -> None:
        self._batches: list[Batch] = []

    def __len__(self) -> int:
        return len(self._batches)

    def __iter__(self) -> Iterator[Batch]:
        return iter(self._batches)

    def add(self, batch: Batch) -> None:
        """Put a batch in its place."""
        bisect.insort(self._batches, batch, key=lambda each: each.rank)

    def drop_empty(self) -> None:
        """Forget batches in which nothing waits."""
        self._batches = [batch for batch in self._batches if batch.waiting]

    def drop_job(self, job: JobId) -> None:
        """Forget everything that waits for a job."""
        self._batches = [batch for batch in self._batches if batch.job.id != job]

    def count_tasks(self) -> int:
        """Return how many tasks wait."""
        return sum(len(batch.waiting) for batch in self._batches)
