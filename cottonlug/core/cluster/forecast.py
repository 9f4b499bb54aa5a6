"""Predicted run times: the declared ones, which are often far off, corrected for each queue.

A chain is a sequence of steps of a job, each of which depends on the one before it. Run times are
those at the mean upstream of a service, or, where an upstream is given, at upstreams of its kind.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

from .job_graph import MIN_RUN_TIME_MS
from .model import JobSpec, Queue, QueueKey, StepSpec, UpstreamInfo
from .speeds import Speeds

LEARNING_RATE = 0.05
"""Weight of the newest run: the mean of a queue follows a change within some twenty runs."""
SETTLED_AFTER = 60
"""Runs of a queue from which on kinds of upstreams are compared by it: by then only a twentieth of
the first error of its ratio is left, which would otherwise be taken for a difference of kinds."""
MAX_PREDICTION = timedelta(days=365)
"""Longest predicted time: with the ratio of another caller's tasks, the declared time of a long
chain might exceed what a `timedelta` holds."""
USEFUL_FACTOR = 3
"""An answer after more than this many times the objective is worth nothing, by the rules of the
users' platform."""

_MAX_PREDICTION_MS = MAX_PREDICTION / timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitLimits:
    """How long after its caller has sent it a job may begin."""

    in_time: timedelta
    """If it waits longer, it will probably miss its objective."""
    useful: timedelta | None
    """If it waits longer, it is of no more use; None if it is served however late."""


NO_WAIT = WaitLimits(in_time=timedelta(), useful=timedelta())
"""Limits of a job that can be answered without starting anything."""


class Forecast:
    """Mean ratio of actual to declared run times of each queue, on a logarithmic scale."""

    def __init__(self, speeds: Speeds | None = None) -> None:
        self.speeds = speeds or Speeds()
        """Factors of run times by kind of upstream."""
        self._runs: Counter[QueueKey] = Counter()
        """Number of runs that were learned from."""
        self._log_ratios: dict[QueueKey, float] = {}
        """Logarithms of the mean ratios."""
        self._mean_ratios: dict[QueueKey, float] = {}
        """The mean ratios themselves, by which declared run times are multiplied."""

    def learn(
        self,
        queue: QueueKey,
        step: StepSpec,
        run_time: timedelta,
        info: UpstreamInfo | None = None,
        *,
        compares_kinds: bool = False,
    ) -> None:
        """Learn from a run that succeeded, at the given upstream or else at the mean one.

        With `compares_kinds`, learn the factor of the upstream's kind as well.
        """
        run_time_ms = max(run_time / timedelta(milliseconds=1), MIN_RUN_TIME_MS)
        log_ratio = math.log(run_time_ms / max(step.estimate_ms, MIN_RUN_TIME_MS))
        known = self._log_ratios.get(queue, 0.0)
        if info is not None:
            factor = self.speeds.find_factor(info)
            if compares_kinds and self._runs[queue] >= SETTLED_AFTER:
                self.speeds.learn(info, math.exp(log_ratio - known))
            log_ratio -= math.log(factor)
        self._runs[queue] += 1
        self._log_ratios[queue] = known + LEARNING_RATE * (log_ratio - known)
        self._mean_ratios[queue] = math.exp(self._log_ratios[queue])

    def predict(self, queue: QueueKey, step: StepSpec) -> timedelta:
        """Return the expected run time of a task of a step."""
        return self._correct(queue, max(step.estimate_ms, MIN_RUN_TIME_MS))

    def predict_at(self, queue: QueueKey, step: StepSpec, info: UpstreamInfo) -> timedelta:
        """Return the expected run time of a task of a step at an upstream."""
        return self.predict(queue, step) * self.speeds.find_factor(info)

    def predict_chain_at(
        self, queue: QueueKey, spec: JobSpec, first: int, info: UpstreamInfo
    ) -> timedelta:
        """Return the expected time of a chain, as `predict_chain`, at upstreams of one kind."""
        return self.predict_chain(queue, spec, first) * self.speeds.find_factor(info)

    def predict_chain(self, queue: QueueKey, spec: JobSpec, first: int) -> timedelta:
        """Return the expected time of the longest chain that begins with step number `first`."""
        return self._correct(queue, spec.chains_ms[first])

    def find_objective(self, queue: Queue, spec: JobSpec) -> timedelta:
        """Return the objective of a job: how long it should take from its arrival to its end."""
        target = timedelta(milliseconds=queue.target_latency_ms)
        return self.predict_critical_path(queue, spec) * queue.stretch + target

    def predict_critical_path(self, queue: Queue, spec: JobSpec) -> timedelta:
        """Return the expected time of the longest chain: the least that a job can take."""
        return self._correct(queue.key, max(spec.chains_ms, default=0.0))

    def _correct(self, queue: QueueKey, declared_ms: float) -> timedelta:
        """Return the expected time for a declared one, of a step or of a chain of steps."""
        expected_ms = declared_ms * self._mean_ratios.get(queue, 1.0)
        return timedelta(milliseconds=min(expected_ms, _MAX_PREDICTION_MS))


def find_declared_objective(queue: Queue, spec: JobSpec) -> timedelta:
    """Return the objective of a job by declared run times, for hosts that learn no others."""
    return _DECLARED.find_objective(queue, spec)


def find_max_useful_wait(queue: Queue, spec: JobSpec) -> timedelta:
    """Return how long after its arrival a job may begin and be of use, by declared run times."""
    path = _DECLARED.predict_critical_path(queue, spec)
    return find_declared_objective(queue, spec) * USEFUL_FACTOR - path


def find_wait_limits(queue: Queue, spec: JobSpec) -> WaitLimits:
    """Return how long a job may wait before it begins, by declared run times."""
    path = _DECLARED.predict_critical_path(queue, spec)
    has_limit = spec.best_effort and not (spec.is_timed or spec.long_running)
    return WaitLimits(
        in_time=find_declared_objective(queue, spec) - path,
        useful=find_max_useful_wait(queue, spec) if has_limit else None,
    )


_DECLARED = Forecast()
"""Learns nothing, so that it predicts declared run times."""
