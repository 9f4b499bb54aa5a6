"""Index of the upstreams that accept work, by service, failure domain and free CPU.

Load pattern that this is made for: jobs wait for many upstreams, after seconds without a
coordinator (the host that schedules jobs). Searching all upstreams for each start, and again for
each waiting job whenever time has passed, costs more than all other decisions together, so that a
small host falls ever further behind. With the upstreams sorted by free CPU, the first that fits is
the best fit, and the CPU need of a task alone shows if it fits nowhere.

Failure pattern that this is made for: a failure domain is cut off for seconds. If jobs of eight
tasks are spread over five domains, a cut of one domain stops five sixths of the active jobs. So a
job's own domain, that of its gateway, is preferred: while that has capacity, a cut of another
domain stops nothing of the job, and after a cut of its own an acting leader inside (a gateway that
schedules where no leader can be reached) sees all of its runs.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta

from ..ids import DomainName, UpstreamId
from .instance_table import InstanceTable
from .instances import Instance
from .model import ServiceName

_Entry = tuple[int, int, Instance]
"""Free CPU, arrival number and instance; the numbers are unique, so instances are not compared."""


@dataclass(slots=True, kw_only=True)
class _Pool:
    """The upstreams of one service in one domain, with the least free CPU first."""

    entries: list[_Entry] = field(default_factory=list)
    free_cpu: int = 0
    """Total free CPU of all of them, in thousandths of a core."""

    def add(self, entry: _Entry) -> None:
        bisect.insort(self.entries, entry)
        self.free_cpu += entry[0]

    def remove(self, entry: _Entry) -> None:
        del self.entries[bisect.bisect_left(self.entries, entry)]
        self.free_cpu -= entry[0]


class CapacityIndex:
    """The instances that accept work, with the least free CPU first.

    An instance is one run of an upstream's process. Those found slow or failing are suspended for
    a while, and then left out.
    """

    def __init__(self, *, instances: InstanceTable) -> None:
        self._instances = instances
        self._pools: dict[ServiceName, dict[DomainName, _Pool]] = {}
        self._entries: dict[UpstreamId, _Entry] = {}
        self._is_current = False
        self._ignores_suspension: set[ServiceName] = set()
        """Services with so many suspended upstreams that suspensions are ignored."""

    def invalidate(self) -> None:
        """Have the index rebuilt: time alone may make instances accept work that did not before."""
        self._is_current = False

    def refresh_if_due(self, now: timedelta) -> bool:
        """Rebuild the index if it was invalidated; return whether it was."""
        if self._is_current:
            return False
        self._is_current = True
        self._entries = {}
        self._pools = {}
        self._ignores_suspension = set()
        for service, accepting in self._instances.find_accepting(now).items():
            if any(self._is_suspended(instance, now) for instance in accepting):
                self._ignores_suspension.add(service)
            entries = [
                (instance.free_cpu, instance.arrival_number, instance) for instance in accepting
            ]
            # In this order each entry is appended to its pool.
            for entry in sorted(entries):
                self._add(entry)
        return True

    def update(self, instance: Instance, now: timedelta) -> None:
        """Move an instance that has changed to its new place, or remove it."""
        id, service = instance.info.id, instance.info.service
        old = self._entries.get(id)
        accepts_work = self._is_known(instance) and self._instances.accepts_work(instance, now)
        if accepts_work and service not in self._ignores_suspension:
            accepts_work = not self._is_suspended(instance, now)
        if old is not None:
            if accepts_work and old[0] == instance.free_cpu:
                return
            self._find_pool(instance).remove(old)
            del self._entries[id]
        if accepts_work:
            self._add((instance.free_cpu, instance.arrival_number, instance))

    def find_max_free_cpu(self, service: ServiceName) -> int:
        """Return the most free CPU of any upstream of a service, in thousandths of a core."""
        pools = self._pools.get(service, {}).values()
        return max((pool.entries[-1][0] for pool in pools if pool.entries), default=0)

    def iterate_instances(
        self, service: ServiceName, cpu: int, now: timedelta, first: DomainName | None
    ) -> Iterator[Instance]:
        """Yield the instances of a service with at least `cpu` thousandths of a core free.

        The domain `first` comes first, then those with the most free CPU in all; within a domain
        the instances with the least free CPU. Cold ones, at which tasks take longer, come last.
        """
        pools = self._pools.get(service, {})
        cold: list[Instance] = []
        for domain in sorted(pools, key=lambda each: (each != first, -pools[each].free_cpu)):
            entries = pools[domain].entries
            # No instance has the arrival number 0, so this compares with no instance either.
            for at in range(bisect.bisect_left(entries, (cpu, 0)), len(entries)):
                instance = entries[at][2]
                # It may have changed since it was indexed.
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

    def _is_suspended(self, instance: Instance, now: timedelta) -> bool:
        return self._instances.get_health(instance).is_suspended(now)
