"""The system's clock."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """The clock of this machine."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, including time in which the machine was suspended.

        A lease must not outlast a suspension, and `time.monotonic` does not count suspensions.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
