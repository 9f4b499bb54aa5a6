"""Jobs of many shapes, for tests of how the work on a job grows with its size.

The size of a job is the number of its tasks and dependencies.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ..core.cluster.model import JobSpec, Needs, StepSpec

Shape = Callable[[int], JobSpec]
"""Returns a job of a shape; its size is about proportional to the argument."""

TASK_CPU = 7_000
"""CPU that each task takes, in thousandths of a core."""


def build_steps(dependencies: list[tuple[int, ...]], *, count: int = 1) -> JobSpec:
    """Return a durable job of steps with these dependencies and `count` tasks each."""
    steps = tuple(
        StepSpec(
            count=count, needs=Needs(cpu_millis=TASK_CPU), estimate_ms=20, depends_on=depends_on
        )
        for depends_on in dependencies
    )
    return JobSpec(payload="payload", steps=steps)


def build_single_step(size: int) -> JobSpec:
    """Return a job of one step."""
    return build_steps([()], count=size)


def build_independent_steps(size: int) -> JobSpec:
    """Return a job of steps of one task without any dependencies."""
    return build_steps([()] * size)


def build_steps_without_cpu(size: int) -> JobSpec:
    """Return independent steps of which one at a time fits an upstream, by its memory."""
    spec = build_independent_steps(size)
    steps = tuple(msgspec.structs.replace(step, needs=Needs(memory_mb=600)) for step in spec.steps)
    return msgspec.structs.replace(spec, steps=steps)


def build_line(size: int) -> JobSpec:
    """Return a job in which each step waits for the one before it."""
    return build_steps([(), *((number,) for number in range(size - 1))])


def build_fan(size: int) -> JobSpec:
    """Return a job of one step, many that wait for it, and one that waits for those."""
    middle = range(1, size - 1)
    return build_steps([(), *((0,) for _ in middle), tuple(middle)])


def build_stages(size: int) -> JobSpec:
    """Return a job of stages of four steps, each of which waits for the whole stage before it."""
    dependencies: list[tuple[int, ...]] = [()] * 4
    for stage in range(1, size // 4):
        dependencies += [tuple(range(stage * 4 - 4, stage * 4))] * 4
    return build_steps(dependencies)


def build_dense(size: int) -> JobSpec:
    """Return a job in which each step waits for all earlier ones.

    The number of steps grows with the root of the size, so that the dependencies grow with it.
    """
    count = int((2 * size) ** 0.5) + 1
    return build_steps([tuple(range(number)) for number in range(count)])


def build_chains(size: int) -> JobSpec:
    """Return a job of ten lines of steps, which are independent of each other."""
    return build_steps([() if number < 10 else (number - 10,) for number in range(size)])


SHAPES: dict[str, Shape] = {
    "single step": build_single_step,
    "independent steps": build_independent_steps,
    "steps without cpu": build_steps_without_cpu,
    "line": build_line,
    "fan": build_fan,
    "stages": build_stages,
    "dense": build_dense,
    "chains": build_chains,
}


def measure_size(spec: JobSpec) -> int:
    """Return the number of tasks and dependencies of a job."""
    return sum(step.count + len(step.depends_on) for step in spec.steps)
