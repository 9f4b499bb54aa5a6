"""Which upstreams take work, in the order of the room that is left, by service.

Load pattern: a backlog at many upstreams, after seconds without anybody who decides. To look for
room among all of them for each start, and for each waiting job again whenever time has passed, cost
more than all other decisions together, so that a small host fell ever further behind. In this order
the best fit is the first that fits, and that no room is left for a job shows by its size alone.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from datetime import timedelta

from ..ids import UpstreamId
from .life_table import LifeTable
from .lives import Life
from .model import ServiceName

_Entry = tuple[int, int, Life]


class Rooms:
    """The lives that take work, with the least room first."""

    def __init__(self, *, lives: LifeTable) -> None:
        self._lives = lives
        self._by_service: dict[ServiceName, list[_Entry]] = {}
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
        self._by_service = {}
        self._all_used = set()
        for service, working in self._lives.find_working(now).items():
            if any(self._is_set_aside(life, now) for life in working):
                self._all_used.add(service)
            entries = [(life.free_cpu, life.number, life) for life in working]
            self._by_service[service] = entries
            self._entries.update((entry[2].info.id, entry) for entry in entries)
        for entries in self._by_service.values():
            entries.sort(key=_order)
        return True

    def update(self, life: Life, now: timedelta) -> None:
        """Put a life that has changed in its place."""
        id, service = life.info.id, life.info.service
        old = self._entries.get(id)
        takes_work = self._is_known(life) and self._lives.takes_work(life, now)
        if takes_work and service not in self._all_used:
            takes_work = not self._is_set_aside(life, now)
        if old is not None:
            if takes_work and old[0] == life.free_cpu:
                return
            entries = self._by_service[service]
            del entries[bisect.bisect_left(entries, _order(old), key=_order)]
            del self._entries[id]
        if takes_work:
            entry = (life.free_cpu, life.number, life)
            self._entries[id] = entry
            bisect.insort(self._by_service.setdefault(service, []), entry, key=_order)

    def find_most(self, service: ServiceName) -> int:
        """Return the most room that any upstream of a service has left, in core-thousandths."""
        entries = self._by_service.get(service)
        return entries[-1][0] if entries else 0

    def iterate_from(self, service: ServiceName, cpu: int, now: timedelta) -> Iterator[Life]:
        """Yield the lives of a service with at least so much room, the least first."""
        entries = self._by_service.get(service, [])
        for at in range(bisect.bisect_left(entries, (cpu, 0), key=_order), len(entries)):
            life = entries[at][2]
            # What has changed since it was put here must not be overlooked.
            if self._is_known(life) and self._lives.takes_work(life, now):
                yield life

    def _is_known(self, life: Life) -> bool:
        return self._lives.by_id.get(life.info.id) is life

    def _is_set_aside(self, life: Life, now: timedelta) -> bool:
        return self._lives.get_health(life).is_set_aside(now)


def _order(entry: _Entry) -> tuple[int, int]:
    return entry[:2]
