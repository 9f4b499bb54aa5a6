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
        """Return the monotonic time."""
        return timedelta(seconds=time.monotonic())
