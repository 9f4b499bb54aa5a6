"""The clock as an interface, so that the core never reads the time by itself."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for one process."""

    def now(self) -> datetime:
        """Return the wall-clock time with its zone; it may jump."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since some fixed moment; it never goes back."""
        ...


class ManualClock:
    """A clock that moves only when told to, for tests and embedding programs."""

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
    """Return a span of that many milliseconds."""
    return timedelta(milliseconds=count)


def to_milliseconds(span: timedelta) -> int:
    """Return a span as whole milliseconds, rounded down."""
    return span // timedelta(milliseconds=1)
