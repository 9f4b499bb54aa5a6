"""Expected run times of tasks per team and kind of work.

They are learned, so that run times wrongly declared by callers matter only at first.
"""

from __future__ import annotations

from datetime import timedelta

from .ids import KindName, TeamName

DEFAULT_RUN_TIME = timedelta(milliseconds=300)
"""Expected run time of a task that nothing is known about."""
_MIN_STEP_RATIO = 0.1
"""Smallest relative step by which one observation moves the median estimate."""
_MIN_OBSERVATIONS = 8
"""Number of observations from which the estimate replaces a declared run time."""


class RunTimeEstimates:
    """Median run time of each (team, kind), tracked in small multiplicative steps."""

    def __init__(self) -> None:
        self._medians: dict[tuple[TeamName, KindName], float] = {}
        self._counts: dict[tuple[TeamName, KindName], int] = {}

    def observe(self, team: TeamName, kind: KindName, ran: timedelta) -> None:
        """Move the median one step towards an observed run time."""
        key = (team, kind)
        seconds = max(ran.total_seconds(), 1e-6)
        count = self._counts.get(key, 0)
        median = self._medians.get(key, seconds)
        step = max(_MIN_STEP_RATIO, 1.0 / (count + 1))
        factor = 1.0 + step
        if seconds > median:
            median = min(median * factor, seconds)
        elif seconds < median:
            median = max(median / factor, seconds)
        self._medians[key] = median
        self._counts[key] = count + 1

    def estimate(
        self, team: TeamName, kind: KindName, declared: timedelta | None = None
    ) -> timedelta:
        """Return the expected run time of one task.

        Until there are enough observations this is the declared run time or, without one, the
        default.
        """
        key = (team, kind)
        if self._counts.get(key, 0) >= _MIN_OBSERVATIONS:
            return timedelta(seconds=self._medians[key])
        return declared or DEFAULT_RUN_TIME
