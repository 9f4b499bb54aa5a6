"""Outlier detection: upstreams whose runs go badly, against those of all others, are suspended.

Failure patterns: an upstream that fails all it starts, on which tasks stall, or that has become
slow, while its heartbeats are good. A share of the upstreams is never suspended, so that a bad job
or a slow day cannot empty the service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

MAX_CONSECUTIVE_FAILURES = 3
"""In the workloads of today's users one task in 500 fails by itself: three in a row are not
chance."""
FIRST_SUSPENSION = timedelta(seconds=2)
MAX_SUSPENSION = timedelta(seconds=6)
"""Each return from suspension costs the jobs that are tried there; the causes of bad runs last for
seconds."""
SLOW_FACTOR = 2.2
"""Mean ratio of actual to expected run times from which an upstream counts as slow: single ratios
scatter by 0.4 on a logarithmic scale, a mean of several runs far less."""
LEARNING_RATE = 0.3
MAX_SUSPENDED_SHARE = 0.34
"""Share of a service's upstreams that may be suspended at once."""


@dataclass(slots=True, kw_only=True)
class UpstreamHealth:
    """How recent runs at one upstream have gone."""

    consecutive_failures: int = 0
    mean_log_slowdown: float = 0.0
    """Mean of the logarithm of actual to expected run times."""
    next_suspension: timedelta = FIRST_SUSPENSION
    suspended_until: timedelta = timedelta()
    is_on_probation: bool = False
    """Whether it gets one run at a time, until one has gone well after its suspension."""

    def record_success(self, ratio: float, now: timedelta) -> bool:
        """Record a successful run; return whether the upstream was just found slow."""
        self.consecutive_failures = 0
        if self.record_run_time_ratio(ratio, now):
            return True
        if not self._is_slow() and now >= self.suspended_until:
            self.next_suspension = FIRST_SUSPENSION
            self.is_on_probation = False
        return False

    def record_run_time_ratio(self, ratio: float, now: timedelta) -> bool:
        """Record actual over expected run time; return whether the upstream was just suspended."""
        self.mean_log_slowdown += LEARNING_RATE * (
            math.log(max(ratio, 0.01)) - self.mean_log_slowdown
        )
        if not self._is_slow():
            return False
        self.mean_log_slowdown = math.log(SLOW_FACTOR) * 0.7
        return self._suspend(now)

    def record_failure(self, now: timedelta) -> bool:
        """Record a failed run; return whether the upstream was just suspended."""
        self.consecutive_failures += 1
        return self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES and self._suspend(now)

    def record_stall(self, now: timedelta) -> bool:
        """Record a stalled run; return whether the upstream was just suspended."""
        return self._suspend(now)

    def is_suspended(self, now: timedelta) -> bool:
        """Whether the upstream gets no work at the moment."""
        return now < self.suspended_until

    def _is_slow(self) -> bool:
        return self.mean_log_slowdown >= math.log(SLOW_FACTOR)

    def _suspend(self, now: timedelta) -> bool:
        if self.is_suspended(now):
            return False
        self.is_on_probation = True
        self.suspended_until = now + self.next_suspension
        self.next_suspension = min(self.next_suspension * 2, MAX_SUSPENSION)
        return True
