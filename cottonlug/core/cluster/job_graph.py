"""The steps of a job as a graph, in which each step waits for earlier ones.

Everything here takes time and memory in proportion to the steps and their dependencies, and nothing
recurses, since callers choose the shape of their jobs.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import StepSpec

MIN_RUN_TIME_MS = 1.0
"""Lower bound of declared and actual run times, since logarithms of their ratios are taken."""


def measure_chains(steps: Sequence[StepSpec]) -> tuple[float, ...]:
    """Return for each step the declared time of the longest chain that begins with it, in ms.

    A chain is a sequence of steps, each of which depends on the one before it. Dependencies on
    other than earlier steps, which no valid job has, are ignored.
    """
    chains = [max(step.estimate_ms, MIN_RUN_TIME_MS) for step in steps]
    longest_after = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        chains[number] += longest_after[number]
        for earlier in steps[number].depends_on:
            if 0 <= earlier < number:
                longest_after[earlier] = max(longest_after[earlier], chains[number])
    return tuple(chains)


def list_dependents(steps: Sequence[StepSpec]) -> tuple[tuple[int, ...], ...]:
    """Return for each step the numbers of the later steps that wait for it, each once."""
    dependents: list[list[int]] = [[] for _ in steps]
    for number, step in enumerate(steps):
        for earlier in frozenset(step.depends_on):
            dependents[earlier].append(number)
    return tuple(map(tuple, dependents))
