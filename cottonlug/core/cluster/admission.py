"""Admission control: jobs that could not be served in time are rejected at once.

Load pattern that this is made for: offered work exceeds capacity for seconds. A job that is
accepted and abandoned later has waited for nothing. So its wait is estimated beforehand, from the
work queued ahead of it and the usable cores, and a job that would wait until it is of no use is
rejected, with the time after which its caller should retry.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .instances import Instance
from .model import JobId
from .speeds import Speeds

USABLE_SHARE = 0.85
"""Share of the cores that tasks can use, since wide ones fragment capacity: two tasks of 14 cores
leave 4 of 32 unused."""
MIN_CORES = 1.0
"""Lower bound of the cores assumed, where few upstreams or none accept work at the moment."""

MIN_RETRY = timedelta(milliseconds=100)
"""Callers that retry sooner meet the same overload."""
RETRY_SPREAD = 0.5
"""Share by which retry times are lengthened at most, so that callers do not return together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejection:
    """Why a job is not accepted, and after how long its caller should retry."""

    reason: str
    retry_after: timedelta
    is_spread: bool = False
    """Whether its retry time is spread: jobs rejected under overload come many at a time."""

    def find_retry_time(self, job: JobId) -> timedelta:
        """Return after how long the caller of a job should retry."""
        if not self.is_spread:
            return self.retry_after
        # Derived from the id, so that a second answer about the same job says the same.
        share = zlib.crc32(job.encode()) / (1 << 32)
        return max(self.retry_after, MIN_RETRY) * (1 + RETRY_SPREAD * share)


def measure_usable_cores(instances: Iterable[Instance], speeds: Speeds) -> float:
    """Return the cores of upstreams, used or free, less the share lost to fragmentation.

    Those of a slow kind of upstream count for less, as tasks take longer there.
    """
    total_cpu_millis = sum(
        instance.info.capacity.cpu_millis / speeds.find_factor(instance.info)
        for instance in instances
    )
    return total_cpu_millis / 1000 * USABLE_SHARE


def estimate_wait(core_ms: float, cores: float) -> timedelta:
    """Return how long this many cores take for work of `core_ms` core-milliseconds."""
    return timedelta(milliseconds=core_ms / max(cores, MIN_CORES))
