"""Clock interface: the core is given the time and never reads the system clock itself."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for one process."""

    def now(self) -> datetime:
        """Return the wall-clock time with its time zone; it may jump."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary fixed moment; it never goes backwards."""
        ...


class ManualClock:
    """A clock that advances only through `advance`, for tests and embedding programs."""

    def __init__(self, *, start: datetime) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus all advances."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def advance(self, by: timedelta) -> None:
        """Move the clock forward."""
        self._elapsed += by


def milliseconds(count: float) -> timedelta:
    """Return a duration of `count` milliseconds."""
    return timedelta(milliseconds=count)


def to_milliseconds(span: timedelta) -> int:
    """Return a duration in whole milliseconds, rounded down."""
    return span // timedelta(milliseconds=1)
