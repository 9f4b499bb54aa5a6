"""Limits of one dispatcher."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Spans of time as such, counts in tasks."""

    max_queued_tasks: int = 200_000
    idle_lease: timedelta = timedelta(seconds=45)
    busy_lease: timedelta = timedelta(seconds=4)
    suspect_grace: timedelta = timedelta(seconds=2)
    idle_park: timedelta = timedelta(seconds=30)
    busy_park: timedelta = timedelta(seconds=1)
    unrunnable_grace: timedelta = timedelta(seconds=10)
