"""Which upstreams take work, in the order of the room that is left, by service and failure domain.

Load pattern: a backlog at many upstreams, after seconds without anybody who decides. To look for
room among all of them for each start, and for each waiting job again whenever time has passed, cost
more than all other decisions together, so that a small host fell ever further behind. In this order
the best fit is the first that fits, and that no room is left for a job shows by its size alone.

Failure pattern: a failure domain is cut off for seconds. With its tasks anywhere a job of eight had
one in each domain, so that a cut of one of five stopped five sixths of such jobs under way. So a
job's own domain, that of its gateway, goes first: whoever is on the other side misses nothing, and
on this side a deputy sees all that runs.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import DomainName, UpstreamId
from .life_table import InstanceTable
from .instances import Instance
from .model import ServiceName

_Entry = tuple[int, int, Instance]
"""Room, number and life: no two lives have one number, so that no two are compared themselves."""


@dataclass(slots=True, kw_only=True)
class _Pool:
    """The upstreams of one service in one domain, with the least room first."""

    entries: list[_Entry] = field(default_factory=list)
    free_cpu: int = 0
    """Room that is left at all of them, in core-thousandths."""

    def add(self, entry: _Entry) -> None:
        bisect.insort(self.entries, entry)
        self.free_cpu += entry[0]

    def remove(self, entry: _Entry) -> None:
        del self.entries[bisect.bisect_left(self.entries, entry)]
        self.free_cpu -= entry[0]


class Rooms:
    """The lives that take work, with the least room first."""

    def __init__(self, *, instances: InstanceTable) -> None:
        self._instances = instances
        self._pools: dict[ServiceName, dict[DomainName, _Pool]] = {}
        self._entries: dict[UpstreamId, _Entry] = {}
        self._is_fresh = False
        self._all_used: set[ServiceName] = set()
        """Services of which too many upstreams are set aside to do without these."""

    def forget(self) -> None:
        """Have all lives gone through again: by the clock, too, some take work that did not."""
        self._is_fresh = False

    def refresh_if_due(self, now: timedelta) -> bool:
        """Go through all lives again where that is due; return whether it was."""
        if self._is_fresh:
            return False
        self._is_fresh = True
        self._entries = {}
        self._pools = {}
        self._all_used = set()
        for service, working in self._instances.find_accepting(now).items():
            if any(self._is_set_aside(instance, now) for instance in working):
                self._all_used.add(service)
            entries = [(instance.free_cpu, instance.number, instance) for instance in working]
            # Each goes to the end of its pool.
            for entry in sorted(entries):
                self._add(entry)
        return True

    def update(self, instance: Instance, now: timedelta) -> None:
        """Put a life that has changed in its place."""
        id, service = instance.info.id, instance.info.service
        old = self._entries.get(id)
        accepts_work = self._is_known(instance) and self._instances.accepts_work(instance, now)
        if accepts_work and service not in self._all_used:
            accepts_work = not self._is_set_aside(instance, now)
        if old is not None:
            if accepts_work and old[0] == instance.free_cpu:
                return
            self._find_pool(instance).remove(old)
            del self._entries[id]
        if accepts_work:
            self._add((instance.free_cpu, instance.number, instance))

    def find_most(self, service: ServiceName) -> int:
        """Return the most room that any upstream of a service has left, in core-thousandths."""
        pools = self._pools.get(service, {}).values()
        return max((pool.entries[-1][0] for pool in pools if pool.entries), default=0)

    def iterate_from(
        self, service: ServiceName, cpu: int, now: timedelta, first: DomainName | None
    ) -> Iterator[Instance]:
        """Yield the lives of a service with at least so much room, the least first in each domain.

        The domain `first` comes first, then those with the most room left, and cold ones last.
        """
        pools = self._pools.get(service, {})
        cold: list[Instance] = []
        for domain in sorted(pools, key=lambda each: (each != first, -pools[each].free_cpu)):
            entries = pools[domain].entries
            # No life has the number 0.
            for at in range(bisect.bisect_left(entries, (cpu, 0)), len(entries)):
                instance = entries[at][2]
                # What has changed since it was put here must not be overlooked.
                if not (self._is_known(instance) and self._instances.accepts_work(instance, now)):
                    continue
                if instance.is_cold(now):
                    cold.append(instance)
                else:
                    yield instance
        yield from cold

    def _add(self, entry: _Entry) -> None:
        instance = entry[2]
        self._entries[instance.info.id] = entry
        self._find_pool(instance).add(entry)

    def _find_pool(self, instance: Instance) -> _Pool:
        pools = self._pools.setdefault(instance.info.service, {})
        return pools.setdefault(instance.info.domain, _Pool())

    def _is_known(self, instance: Instance) -> bool:
        return self._instances.by_id.get(instance.info.id) is instance

    def _is_set_aside(self, instance: Instance, now: timedelta) -> bool:
        return self._instances.get_health(instance).is_set_aside(now)
