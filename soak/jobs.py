"""Jobs of the soak: what callers submit, and what the checks read back from the record."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from .record import Event, read_detail


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """A step of a job: tasks with equal needs and run time."""

    count: int
    run_ms: int
    cpu_millis: int = 0
    memory_mb: int = 0
    depends_on: tuple[int, ...] = ()
    """Earlier steps, counted from 0, whose tasks must all be done before."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A job."""

    id: str
    steps: tuple[Step, ...]
    is_durable: bool
    max_attempts: int
    """Number of runs of a task that may end as failed, by the configuration of its queue."""
    spec: str = "spec"
    """The specification of its tasks."""
    always_fails: bool = False

    def list_tasks(self, steps: tuple[int, ...] | None = None) -> list[str]:
        """Return the names of the tasks of all steps, or of those given."""
        chosen = range(len(self.steps)) if steps is None else steps
        return [
            f"{self.id}.0.{step}.{index}"
            for step in chosen
            for index in range(self.steps[step].count)
        ]

    def find_step(self, task: str) -> int | None:
        """Return the number of a task's step, or None if the job has no such task."""
        return int(task.split(".")[2]) if task in self.list_tasks() else None

    def find_longest_chain(self) -> timedelta:
        """Return the run time of the longest chain of steps that depend on each other."""
        ends: list[int] = []
        for step in self.steps:
            ends.append(
                step.run_ms + max((ends[earlier] for earlier in step.depends_on), default=0)
            )
        return timedelta(milliseconds=max(ends))

    def find_longest_time(self, finish: timedelta) -> timedelta:
        """Return within what time it ends without faults, with as many attempts as allowed.

        `finish` is the time that jobs may take beyond their work.
        """
        return finish + self.find_longest_chain() * self.max_attempts

    def build_body(self) -> dict[str, object]:
        """Return the body of its submission."""
        steps = [
            {
                "count": step.count,
                "cpu": step.cpu_millis,
                "mem_mb": step.memory_mb,
                "est_runtime_ms": step.run_ms,
                "depends_on": list(step.depends_on),
            }
            for step in self.steps
        ]
        # Fields whose value is 0, false or empty are omitted.
        filled = [{name: value for name, value in step.items() if value} for step in steps]
        body: dict[str, object] = {"task_spec": self.spec, "steps": filled}
        return body if self.is_durable else body | {"best_effort": True}


def read_plan(submission: Event) -> Plan:
    """Return the job that a submission in the record carries."""
    return msgspec.convert(read_detail(submission)["plan"], Plan)
