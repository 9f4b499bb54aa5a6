"""Outlier detection: upstreams whose runs go badly get no work for a while; they are suspended.

Failure patterns that this is made for: an upstream that fails all it starts, on which tasks stall,
or that has become slow, while its heartbeats are good. Run times are compared with the expected
ones, which are learned from all upstreams. If too many upstreams of a service are suspended,
suspensions are ignored there, so that a bad job or a slow day cannot empty the service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

MAX_CONSECUTIVE_FAILURES = 3
"""Failed runs in a row after which an upstream is suspended. In the workloads of today's users one
task in 500 fails by itself: three in a row are not chance."""
FIRST_SUSPENSION = timedelta(seconds=2)
"""The causes of bad runs last for seconds."""
MAX_SUSPENSION = timedelta(seconds=6)
"""Each suspension that follows without a good run in between is twice as long, up to this, since
each return costs the jobs that are tried there."""
SLOW_FACTOR = 2.2
"""Mean ratio of actual to expected run times from which an upstream counts as slow: single ratios
scatter by 0.4 on a logarithmic scale, a mean of several runs far less."""
LEARNING_RATE = 0.3
"""Weight of the newest ratio in that mean."""
MAX_SUSPENDED_SHARE = 0.34
"""If more than this share of a service's upstreams is suspended, suspensions are ignored there."""


@dataclass(slots=True, kw_only=True)
class UpstreamHealth:
    """How recent runs at one upstream have gone."""

    consecutive_failures: int = 0
    mean_log_slowdown: float = 0.0
    """Mean of the logarithms of the ratios of actual to expected run times."""
    next_suspension: timedelta = FIRST_SUSPENSION
    """Length of the next suspension."""
    suspended_until: timedelta = timedelta()
    is_on_probation: bool = False
    """Whether it gets one run at a time, until one has gone well after its suspension."""

    def record_success(self, ratio: float, now: timedelta) -> bool:
        """Record a successful run; return whether the upstream was just suspended as slow.

        `ratio` is that of the actual to the expected run time.
        """
        self.consecutive_failures = 0
        if self.record_run_time_ratio(ratio, now):
            return True
        if not self._is_slow() and now >= self.suspended_until:
            self.next_suspension = FIRST_SUSPENSION
            self.is_on_probation = False
        return False

    def record_run_time_ratio(self, ratio: float, now: timedelta) -> bool:
        """Record the ratio of an actual or estimated run time to the expected one.

        Return whether the upstream was just suspended as slow.
        """
        self.mean_log_slowdown += LEARNING_RATE * (
            math.log(max(ratio, 0.01)) - self.mean_log_slowdown
        )
        if not self._is_slow():
            return False
        # Below the limit: only further slow runs suspend it again.
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
