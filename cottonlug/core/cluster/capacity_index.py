"""Index of the upstreams that accept work, by service, kind, failure domain and free CPU.

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

Tasks may take longer at one kind of upstream than at another. Kinds at which they take equally long
are not told apart, so that a service whose kinds do not differ has one pool for each domain.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ..ids import DomainName, UpstreamId
from .instance_table import InstanceTable
from .instances import Instance
from .model import ServiceName, UpstreamInfo

FindFactor = Callable[[UpstreamInfo], float]
"""Returns how many times as long as on the mean upstream of its service a task takes at one."""

_Entry = tuple[int, int, Instance]
"""Free CPU, arrival number and instance; the numbers are unique, so instances are not compared."""


@dataclass(slots=True, kw_only=True)
class _Pool:
    """The upstreams of one service and kind in one domain, with the least free CPU first."""

    entries: list[_Entry] = field(default_factory=list)
    free_cpu: int = 0
    """Total free CPU of all of them, in thousandths of a core."""
    total_cpu: int = 0
    """Their CPU, free or used, in thousandths of a core."""

    def add(self, entry: _Entry, total_cpu: int) -> None:
        bisect.insort(self.entries, entry)
        self.free_cpu += entry[0]
        self.total_cpu += total_cpu

    def remove(self, entry: _Entry, total_cpu: int) -> None:
        del self.entries[bisect.bisect_left(self.entries, entry)]
        self.free_cpu -= entry[0]
        self.total_cpu -= total_cpu


class _Place(NamedTuple):
    """Where an instance is in the index, and the CPU with which it was counted there."""

    pool: _Pool
    entry: _Entry
    total_cpu: int


class Kind(NamedTuple):
    """The upstreams of one service at which tasks take equally long."""

    factor: float
    """How many times as long as on the mean upstream of the service."""
    free_cpu: int
    """Total free CPU of those that accept work, in thousandths of a core."""
    total_cpu: int
    """Their CPU, free or used, in thousandths of a core."""


def _count_as_mean(info: UpstreamInfo) -> float:
    return 1.0


class CapacityIndex:
    """The instances that accept work, with the least free CPU first.

    An instance is one run of an upstream's process. Those found slow or failing are suspended for
    a while, and then left out.
    """

    def __init__(
        self, *, instances: InstanceTable, find_factor: FindFactor = _count_as_mean
    ) -> None:
        self._instances = instances
        self._find_factor = find_factor
        self._pools: dict[ServiceName, dict[float, dict[DomainName, _Pool]]] = {}
        """Pools by the factor of their kind, and by domain."""
        self._factors: dict[tuple[ServiceName, str], float] = {}
        """Factors of kinds, kept from one rebuild to the next: each run end changes them a little.
        """
        self._racks: dict[ServiceName, dict[str, list[Instance]]] = {}
        """Instances by label, of the services that were searched by rack since the last rebuild."""
        self._places: dict[UpstreamId, _Place] = {}
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
        self._places = {}
        self._pools = {}
        self._factors = {}
        self._racks = {}
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
        old = self._places.get(id)
        accepts_work = self._accepts_work(instance, now)
        if accepts_work and service not in self._ignores_suspension:
            accepts_work = not self._is_suspended(instance, now)
        if old is not None:
            if accepts_work and old.entry[0] == instance.free_cpu:
                return
            old.pool.remove(old.entry, old.total_cpu)
            del self._places[id]
        if accepts_work:
            self._add((instance.free_cpu, instance.arrival_number, instance))

    def find_max_free_cpu(self, service: ServiceName) -> int:
        """Return the most free CPU of any upstream of a service, in thousandths of a core."""
        return max(
            (
                pool.entries[-1][0]
                for domains in self._pools.get(service, {}).values()
                for pool in domains.values()
                if pool.entries
            ),
            default=0,
        )

    def get_factor(self, info: UpstreamInfo) -> float:
        """Return the factor of an upstream's kind, as of the last rebuild."""
        key = (info.service, info.kind)
        factor = self._factors.get(key)
        if factor is None:
            factor = self._factors[key] = self._find_factor(info)
        return factor

    def list_factors(self, service: ServiceName) -> list[float]:
        """Return the factors of the kinds of a service, in no order."""
        return list(self._pools.get(service, ()))

    def list_kinds(self, service: ServiceName) -> list[Kind]:
        """Return the kinds of a service that have upstreams which accept work, fastest first."""
        kinds: list[Kind] = []
        for factor, domains in self._pools.get(service, {}).items():
            free_cpu = total_cpu = 0
            for pool in domains.values():
                free_cpu += pool.free_cpu
                total_cpu += pool.total_cpu
            if total_cpu:
                kinds.append(Kind(factor, free_cpu, total_cpu))
        kinds.sort()
        return kinds

    def iterate_instances(
        self,
        service: ServiceName,
        cpu: int,
        now: timedelta,
        first: DomainName | None,
        factor: float = 1.0,
    ) -> Iterator[Instance]:
        """Yield the instances of a service with at least `cpu` thousandths of a core free.

        Only those of the kind with this factor are yielded. The domain `first` comes first, then
        those with the most free CPU in all; within a domain the instances with the least free CPU.
        Cold ones, at which tasks take longer, come last.
        """
        pools = self._pools.get(service, {}).get(factor, {})
        cold: list[Instance] = []
        for domain in sorted(pools, key=lambda each: (each != first, -pools[each].free_cpu)):
            entries = pools[domain].entries
            # No instance has the arrival number 0, so this compares with no instance either.
            for at in range(bisect.bisect_left(entries, (cpu, 0)), len(entries)):
                instance = entries[at][2]
                # It may have changed since it was indexed.
                if not self._accepts_work(instance, now):
                    continue
                if instance.is_cold(now):
                    cold.append(instance)
                else:
                    yield instance
        yield from cold

    def list_rack(self, service: ServiceName, rack: str, now: timedelta) -> list[Instance]:
        """Return the instances of a service in a rack that accept work."""
        racks = self._racks.get(service)
        if racks is None:
            racks = self._racks[service] = self._group_by_label(service)
        return [
            instance
            for instance in racks.get(rack, ())
            if instance.info.id in self._places and self._accepts_work(instance, now)
        ]

    def _group_by_label(self, service: ServiceName) -> dict[str, list[Instance]]:
        by_label: dict[str, list[Instance]] = {}
        for instance in self._instances.by_id.values():
            if instance.info.service == service:
                for label in instance.info.labels:
                    by_label.setdefault(label, []).append(instance)
        return by_label

    def _add(self, entry: _Entry) -> None:
        instance = entry[2]
        place = _Place(self._find_pool(instance), entry, instance.info.capacity.cpu_millis)
        self._places[instance.info.id] = place
        place.pool.add(entry, place.total_cpu)

    def _find_pool(self, instance: Instance) -> _Pool:
        kinds = self._pools.setdefault(instance.info.service, {})
        domains = kinds.setdefault(self.get_factor(instance.info), {})
        return domains.setdefault(instance.info.domain, _Pool())

    def _accepts_work(self, instance: Instance, now: timedelta) -> bool:
        return self._is_known(instance) and self._instances.accepts_work(instance, now)

    def _is_known(self, instance: Instance) -> bool:
        return self._instances.by_id.get(instance.info.id) is instance

    def _is_suspended(self, instance: Instance, now: timedelta) -> bool:
        return self._instances.get_health(instance).is_suspended(now)
