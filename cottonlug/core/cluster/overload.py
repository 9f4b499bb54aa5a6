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
SEVERE_SHARE = 0.5
"""Work that becomes late, over work that is started, from which on an overload is severe. Below,
early refusal and priorities leave fewer callers served than urgency alone: where that ratio is
about 0.2, at 1.2 times the capacity, up to 1.2 points (docs/design/unequal-fleets.md, part 3)."""
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
    missed_core_ms: int = 0
    """Core-milliseconds of the work that became late before it was started."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StartedWork:
    """Core-milliseconds that were started within `WINDOW`."""

    by_tier: Counter[Tier]
    by_priority: Counter[int]
    missed: int
    """Core-milliseconds of the work that became late within `WINDOW` before it was started."""
    lowest_priority: int
    """Lowest priority, the largest number, of the queues whose tasks waited in this overload."""
    has_priorities: bool
    """Whether these queues differ in priority."""

    @property
    def total(self) -> int:
        """Core-milliseconds of all tiers."""
        return self.by_tier.total()

    @property
    def is_severe(self) -> bool:
        """Whether much of the work that comes cannot be in time."""
        return self.missed >= SEVERE_SHARE * self.total

    def find_cores(self, tier: Tier) -> float:
        """Return the mean number of cores for which work of a tier was started."""
        return self.by_tier[tier] / (WINDOW / timedelta(milliseconds=1))


@dataclass(slots=True, kw_only=True)
class _Service:
    """A service with waiting tasks, since when it has some, and the work started there."""

    since: timedelta
    priorities: set[int] = field(default_factory=set)
    """Priorities of the queues whose tasks have waited since then."""
    slices: deque[_Slice] = field(default_factory=deque)

    def record_start(self, batch: Batch, now: timedelta) -> None:
        self._find_slice(now).core_ms[batch.tier, batch.priority] += round(batch.core_ms)

    def record_miss(self, batch: Batch, now: timedelta) -> None:
        self._find_slice(now).missed_core_ms += round(batch.total_core_ms)

    def _find_slice(self, now: timedelta) -> _Slice:
        if not self.slices or now >= self.slices[-1].begins_at + SLICE:
            self.drop_old(now)
            self.slices.append(_Slice(begins_at=now))
        return self.slices[-1]

    def drop_old(self, now: timedelta) -> None:
        while self.slices and self.slices[0].begins_at < now - WINDOW:
            self.slices.popleft()


class Overload:
    """Services whose tasks wait for capacity, and the rates at which work is started there."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _Service] = {}
        self._observed_at = timedelta()

    def list_services(self) -> list[ServiceName]:
        """Return the services whose tasks wait."""
        return list(self._services)

    def observe(self, waiting: Iterable[Batch], now: timedelta) -> None:
        """Note the services whose tasks wait after a scheduling round."""
        if now - self._observed_at > MAX_GAP:
            self._services.clear()
        self._observed_at = now
        known = self._services
        self._services = {}
        for batch in waiting:
            if batch.restriction is not StartRestriction.NONE:
                continue
            service = self._services.get(batch.service)
            if service is None:
                service = known.get(batch.service) or _Service(since=now)
                self._services[batch.service] = service
            service.priorities.add(batch.priority)

    def record_start(self, batch: Batch, now: timedelta) -> None:
        """Record that a task of a batch was started; without waiting tasks nothing is recorded."""
        service = self._services.get(batch.service)
        if service is not None:
            service.record_start(batch, now)

    def record_misses(self, batches: Iterable[Batch], now: timedelta) -> None:
        """Record the batches among these that have become late, and so miss their objective."""
        for batch in batches:
            service = self._services.get(batch.service)
            if service is not None and batch.tier is Tier.LATE:
                service.record_miss(batch, now)

    def measure_started(self, service: ServiceName, now: timedelta) -> StartedWork | None:
        """Return the work that was started lately at a service.

        None if there was no overload for `WINDOW`, or if nothing was started: then no upstream was
        available, and how long that lasts is not known.
        """
        load = self._services.get(service)
        if load is None or now < load.since + WINDOW:
            return None
        load.drop_old(now)
        if not any(each.core_ms for each in load.slices):
            return None
        started = StartedWork(
            by_tier=Counter(),
            by_priority=Counter(),
            missed=sum(each.missed_core_ms for each in load.slices),
            lowest_priority=max(load.priorities),
            has_priorities=len(load.priorities) > 1,
        )
        for each in load.slices:
            for (tier, priority), core_ms in each.core_ms.items():
                started.by_tier[tier] += core_ms
                started.by_priority[priority] += core_ms
        return started
