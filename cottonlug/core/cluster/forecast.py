"""Expected run times, learnt by queue, since declared ones are often far off."""

from __future__ import annotations

import math
from datetime import timedelta

from .model import Queue, QueueKey, StepSpec

LEARNING_RATE = 0.05
"""Weight of the newest run: a queue's mean follows within some twenty runs."""
LEAST_MS = 1.0


class Forecast:
    """Mean ratio of real to declared run times of each queue, on a logarithmic scale."""

    def __init__(self) -> None:
        self._ratios: dict[QueueKey, float] = {}

    def learn(self, queue: QueueKey, step: StepSpec, taken: timedelta) -> None:
        """Learn from a run that ended as done."""
        taken_ms = max(taken / timedelta(milliseconds=1), LEAST_MS)
        ratio = math.log(taken_ms / max(step.estimate_ms, LEAST_MS))
        known = self._ratios.get(queue, 0.0)
        self._ratios[queue] = known + LEARNING_RATE * (ratio - known)

    def predict(self, queue: QueueKey, step: StepSpec) -> timedelta:
        """Return how long a task of a step will run."""
        ratio = math.exp(self._ratios.get(queue, 0.0))
        return timedelta(milliseconds=max(step.estimate_ms, LEAST_MS) * ratio)

    def find_chain(self, queue: QueueKey, steps: tuple[StepSpec, ...], first: int) -> timedelta:
        """Return how long the longest chain of steps takes that begins with one step."""
        longest = timedelta()
        for number in range(first + 1, len(steps)):
            if first in steps[number].depends_on:
                longest = max(longest, self.find_chain(queue, steps, number))
        return self.predict(queue, steps[first]) + longest

    def find_objective(self, queue: Queue, steps: tuple[StepSpec, ...]) -> timedelta:
        """Return how long a job may take to meet its objective."""
        roots = [number for number, step in enumerate(steps) if not step.depends_on]
        chain = max((self.find_chain(queue.key, steps, root) for root in roots), default=None)
        target = timedelta(milliseconds=queue.target_latency_ms)
        return (chain or timedelta()) * queue.stretch + target
