"""Which jobs are rejected at once, because they would not be served in time.

Load pattern: offered work above the room for seconds. Each job that is taken in and given up later
has waited for nothing, so the wait is estimated from the work that stands before it and from the
room, and a job that would wait past its use is told when to come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .lives import Life

USABLE_SHARE = 0.85
"""Wide tasks leave splinters: 28 of 32 cores hold two tasks of 14."""
LEAST_SPARE_SHARE = 0.05
RATE_SPAN = timedelta(seconds=1)
"""Time constant of the rate at which work arrives."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why a job is not taken, and when its caller should come back."""

    reason: str
    retry_after: timedelta


class Inflow:
    """Rate at which work arrives, in core-milliseconds a millisecond (so in cores)."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at: timedelta | None = None

    def take(self, work_ms: float, now: timedelta) -> None:
        """Count work that has arrived."""
        self._decay(now)
        self._rate += work_ms / (RATE_SPAN / timedelta(milliseconds=1))

    def find_rate(self, now: timedelta) -> float:
        """Return the present rate."""
        self._decay(now)
        return self._rate

    def _decay(self, now: timedelta) -> None:
        if self._at is not None:
            self._rate *= max(0.0, 1.0 - (now - self._at) / RATE_SPAN)
        self._at = now


def measure_room(lives: Iterable[Life]) -> float:
    """Return the cores of upstreams that take work, less what splinters cost."""
    whole = sum(life.info.capacity.cpu_millis for life in lives)
    return whole / 1000 * USABLE_SHARE


def estimate_wait(work_ms: float, rate: float, room: float) -> timedelta:
    """Return how long it takes to do some work with the room that `rate` leaves."""
    spare = max(room - rate, room * LEAST_SPARE_SHARE, 0.001)
    return timedelta(milliseconds=work_ms / spare)
