"""Upstreams that look well but are not: judged by how their runs go, against all others.

Patterns: an upstream that fails all it starts, on which tasks stand still, or that has turned slow,
while its heartbeats are good. A share of the upstreams is never set aside, so that a bad job or a
slow day cannot empty the service.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

FAILURES_IN_A_ROW = 3
"""One task in 500 fails by itself (the users' sheets), so three in a row are not chance."""
FIRST_PAUSE = timedelta(seconds=2)
LONGEST_PAUSE = timedelta(seconds=6)
"""Each return costs the jobs that are tried; what ails an upstream lasts for seconds."""
SLOW_FACTOR = 2.2
"""Declared times scatter by 0.4 on a logarithmic scale; a mean of several runs does far less."""
LEARNING_RATE = 0.3
MOST_SET_ASIDE = 0.34
"""Share of a service's upstreams that may be set aside at once."""


@dataclass(slots=True, kw_only=True)
class Health:
    """How the runs at one upstream have gone lately."""

    failures: int = 0
    slowness: float = 0.0
    """Mean of the logarithm of real to expected run times."""
    pause: timedelta = FIRST_PAUSE
    set_aside_until: timedelta = timedelta()
    is_on_trial: bool = False
    """Whether it was set aside and has not finished a run well since: it gets one at a time."""

    def take_done(self, ratio: float, now: timedelta) -> bool:
        """Learn from a good run; return whether the upstream was just found slow."""
        self.failures = 0
        if self.take_pace(ratio, now):
            return True
        if not self._is_slow() and now >= self.set_aside_until:
            self.pause = FIRST_PAUSE
            self.is_on_trial = False
        return False

    def take_pace(self, ratio: float, now: timedelta) -> bool:
        """Learn how long a run takes against the expected; return whether it was just set aside."""
        self.slowness += LEARNING_RATE * (math.log(max(ratio, 0.01)) - self.slowness)
        if not self._is_slow():
            return False
        self.slowness = math.log(SLOW_FACTOR) * 0.7
        return self._set_aside(now)

    def take_failure(self, now: timedelta) -> bool:
        """Learn from a failed run; return whether the upstream was just set aside."""
        self.failures += 1
        return self.failures >= FAILURES_IN_A_ROW and self._set_aside(now)

    def take_stall(self, now: timedelta) -> bool:
        """Learn that a run stands still; return whether the upstream was just set aside."""
        return self._set_aside(now)

    def is_set_aside(self, now: timedelta) -> bool:
        """Whether no work should go there at the moment."""
        return now < self.set_aside_until

    def _is_slow(self) -> bool:
        return self.slowness >= math.log(SLOW_FACTOR)

    def _set_aside(self, now: timedelta) -> bool:
        if self.is_set_aside(now):
            return False
        self.is_on_trial = True
        self.set_aside_until = now + self.pause
        self.pause = min(self.pause * 2, LONGEST_PAUSE)
        return True
