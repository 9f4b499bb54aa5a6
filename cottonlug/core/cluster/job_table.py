"""Open jobs by id, of which those of the records are opened little by little.

A new coordinator finds all durable jobs in the records. To open them takes time for each of their
tasks, and it must not be silent for longer than its lease. So each round of decisions opens some,
and a job that is asked for meanwhile is opened at once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, ValuesView

from .model import JobId
from .open_job import OpenJob
from .records import JobRecord


class JobTable:
    """Open jobs by id."""

    def __init__(
        self, *, unopened: Iterable[JobRecord], open_record: Callable[[JobRecord], object]
    ) -> None:
        """`open_record` opens one of the `unopened` jobs, and adds it here."""
        self._open: dict[JobId, OpenJob] = {}
        self._unopened = {record.id: record for record in unopened}
        self._open_record = open_record

    def __contains__(self, id: JobId) -> bool:
        return id in self._open or id in self._unopened

    def __len__(self) -> int:
        return len(self._open) + len(self._unopened)

    def __getitem__(self, id: JobId) -> OpenJob:
        """Return a job, opened now if necessary."""
        job = self.get(id)
        if job is None:
            raise KeyError(id)
        return job

    def get(self, id: JobId) -> OpenJob | None:
        """Return a job, opened now if necessary, or None if there is none."""
        if id in self._unopened:
            self._open_record(self._unopened.pop(id))
        return self._open.get(id)

    def values(self) -> ValuesView[OpenJob]:
        """Return the jobs that were opened."""
        return self._open.values()

    def list_unopened(self) -> Iterable[JobRecord]:
        """Return the jobs that were not opened yet."""
        return self._unopened.values()

    def add(self, job: OpenJob) -> None:
        """Add a job that was opened."""
        self._open[job.record.id] = job

    def remove(self, id: JobId) -> None:
        """Remove a job that was opened."""
        del self._open[id]

    def open_next(self, max_tasks: int) -> None:
        """Open jobs until they have this many tasks together, or none is left."""
        left = max_tasks
        while self._unopened and left > 0:
            id = next(iter(self._unopened))
            left -= self._unopened[id].spec.task_count
            self.get(id)
