"""Detects overload of a service, and measures the work that is started during it.

Overload is a time in which tasks wait because no upstream of their service has free capacity for
them. The rates of work measured here are the basis of the estimates by which jobs are refused early
(see `early_refusal`). Without half a second of overload nothing is reported, so that short bursts
and a coordinator that has just begun are treated as if there were no overload.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from .backlog import Batch, Tier
from .crashes import StartRestriction
from .model import ServiceName

WINDOW = timedelta(milliseconds=500)
"""Time over which started work is measured, and shortest overload in which it counts. A run takes
60 to 900 ms on the platforms that this is made for."""
SLICE = timedelta(milliseconds=50)
"""Started work is summed up in slices of this length."""
MAX_GAP = timedelta(milliseconds=200)
"""If nothing was observed for this long, the host was suspended or had no authority to start tasks.
The overload then counts from the next observation. Scheduling rounds are at most 100 ms apart."""


@dataclass(slots=True, kw_only=True)
class _Slice:
    """Work that was started from `begins_at` on, for `SLICE`."""

    begins_at: timedelta
    core_ms: Counter[tuple[Tier, int]] = field(default_factory=Counter)
    """Core-milliseconds by tier and priority."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedWork:
    """Core-milliseconds that were started within `WINDOW`."""

    by_tier: Counter[Tier]
    by_priority: Counter[int]

    @property
    def total(self) -> int:
        """Core-milliseconds of all tiers."""
        return self.by_tier.total()

    def find_cores(self, tier: Tier) -> float:
        """Return the mean number of cores for which work of a tier was started."""
        return self.by_tier[tier] / (WINDOW / timedelta(milliseconds=1))


@dataclass(slots=True, kw_only=True)
class _Service:
    """A service with waiting tasks, since when it has some, and the work started there."""

    since: timedelta
    slices: deque[_Slice] = field(default_factory=deque)

    def record(self, batch: Batch, now: timedelta) -> None:
        if not self.slices or now >= self.slices[-1].begins_at + SLICE:
            self.drop_old(now)
            self.slices.append(_Slice(begins_at=now))
        self.slices[-1].core_ms[batch.tier, batch.priority] += round(batch.core_ms)

    def drop_old(self, now: timedelta) -> None:
        while self.slices and self.slices[0].begins_at < now - WINDOW:
            self.slices.popleft()


class Overload:
    """Services whose tasks wait for capacity, and the rates at which work is started there."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}
        self._observed_at = timedelta()

    def observe(self, waiting: Iterable[Batch], now: timedelta) -> None:
        """Note the services whose tasks wait after a scheduling round."""
        if now - self._observed_at > MAX_GAP:
            self._services.clear()
        self._observed_at = now
        known = self._services
        self._services = {}
        for batch in waiting:
            if batch.service in self._services or batch.restriction is not StartRestriction.NONE:
                continue
            self._services[batch.service] = known.get(batch.service) or _Service(since=now)

    def record_start(self, batch: Batch, now: timedelta) -> None:
        """Record that a task of a batch was started; without waiting tasks nothing is recorded."""
        service = self._services.get(batch.service)
        if service is not None:
            service.record(batch, now)

    def measure_started(self, service: ServiceName, now: timedelta) -> StartedWork | None:
        """Return the work that was started lately at a service.

        None if there was no overload for `WINDOW`, or if nothing was started: then no upstream was
        available, and how long that lasts is not known.
        """
        load = self._services.get(service)
        if load is None or now < load.since + WINDOW:
            return None
        load.drop_old(now)
        if not load.slices:
            return None
        started = StartedWork(by_tier=Counter(), by_priority=Counter())
        for each in load.slices:
            for (tier, priority), core_ms in each.core_ms.items():
                started.by_tier[tier] += core_ms
                started.by_priority[priority] += core_ms
        return started
