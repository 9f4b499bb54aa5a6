"""Which upstream the next task goes to: the first that it fits, in the order of the policy.

Ready sessions are kept in a heap whose entries are dropped when they are out of date, so that a
start costs the logarithm of the number of sessions, not the number.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

from .ids import TaskKey
from .jobs import Job, JobSpec
from .policy import PlacementOrder
from .sessions import Session, fits_now


@dataclass(frozen=True, slots=True)
class Placement:
    """A task placed on a session, to go out in its next reply."""

    job: Job
    key: TaskKey


class _Entry(NamedTuple):
    """Compared as a tuple, which is much faster than a dataclass; versions are unique."""

    rank: float
    version: int
    session: Session


_RANKS: dict[PlacementOrder, Callable[[Session], float]] = {
    PlacementOrder.LEAST_LOADED: lambda session: session.load,
    PlacementOrder.FULLEST: lambda session: session.free,
    PlacementOrder.FIRST: lambda session: session.ordinal,
}


class ReadySessions:
    """Sessions that may take a start; `get_room` tells how many more one takes now."""

    def __init__(self, *, order: PlacementOrder, get_room: Callable[[Session], int]) -> None:
        self._rank = _RANKS[order]
        self._get_room = get_room
        self._heap: list[_Entry] = []
        self._versions = count(1)

    def update(self, session: Session) -> None:
        """Note that a session changed; entries made before are out of date."""
        session.version = next(self._versions)
        if self._get_room(session) > 0:
            heapq.heappush(self._heap, _Entry(self._rank(session), session.version, session))

    def choose(self, spec: JobSpec) -> Session | None:
        """Return the first session that a task of the job fits, or None."""
        passed: list[_Entry] = []
        chosen: Session | None = None
        while self._heap and chosen is None:
            entry = self._heap[0]
            session = entry.session
            if entry.version != session.version or self._get_room(session) <= 0:
                heapq.heappop(self._heap)
            elif fits_now(session, spec):
                chosen = session
            else:
                passed.append(heapq.heappop(self._heap))
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return chosen

    def is_empty(self) -> bool:
        """Whether no session takes a start now."""
        while self._heap:
            entry = self._heap[0]
            if entry.version == entry.session.version and self._get_room(entry.session) > 0:
                return False
            heapq.heappop(self._heap)
        return True
