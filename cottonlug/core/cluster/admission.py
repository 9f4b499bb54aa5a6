"""Which jobs are rejected at once, because they would not be served in time.

Load pattern: offered work above the room for seconds. Each job that is taken in and given up later
has waited for nothing, so the wait is estimated from the work that stands before it and from the
room, and a job that would wait past its use is told when to come back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .instances import Instance

USABLE_SHARE = 0.85
"""Wide tasks leave splinters: 28 of 32 cores hold two tasks of 14."""
LEAST_ROOM = 1.0
"""Cores to reckon with where no upstream takes work at the moment."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why a job is not taken, and when its caller should come back."""

    reason: str
    retry_after: timedelta


def measure_room(instances: Iterable[Instance]) -> float:
    """Return the cores of upstreams that take work, less what splinters cost."""
    whole = sum(instance.info.capacity.cpu_millis for instance in instances)
    return whole / 1000 * USABLE_SHARE


def estimate_wait(work_ms: float, room: float) -> timedelta:
    """Return how long it takes to do some work with this many cores."""
    return timedelta(milliseconds=work_ms / max(room, LEAST_ROOM))
