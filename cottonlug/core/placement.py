"""Chooses the upstream for a task: in the order of the policy, the first that the task fits.

The sessions of upstreams that can take a start now are kept in a heap. Outdated entries are dropped
only when they reach the top, so that a start costs O(log n) for n sessions rather than O(n).
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
    """An attempt at a task of a job, to be sent in the next reply of the session chosen for it."""

    job: Job
    key: TaskKey


class _Entry(NamedTuple):
    """Heap entry; a tuple, since tuples compare much faster than dataclasses.

    `rank` is lowest first. Versions are unique, so sessions are never compared.
    """

    rank: float
    version: int
    session: Session


_RANKS: dict[PlacementOrder, Callable[[Session], float]] = {
    PlacementOrder.LEAST_LOADED: lambda session: session.load,
    PlacementOrder.FULLEST: lambda session: session.free_capacity,
    PlacementOrder.FIRST: lambda session: session.ordinal,
}


class ReadySessions:
    """Heap of sessions that can take a start.

    `get_free_capacity` returns how many more starts a session can take now.
    """

    def __init__(
        self, *, order: PlacementOrder, get_free_capacity: Callable[[Session], int]
    ) -> None:
        self._rank = _RANKS[order]
        self._get_free_capacity = get_free_capacity
        self._heap: list[_Entry] = []
        self._versions = count(1)

    def update(self, session: Session) -> None:
        """Add a new entry for a session that changed; its earlier entries become outdated."""
        session.entry_version = next(self._versions)
        if self._get_free_capacity(session) > 0:
            heapq.heappush(self._heap, _Entry(self._rank(session), session.entry_version, session))

    def choose_session(self, spec: JobSpec) -> Session | None:
        """Return the first session that a task of the job fits now, or None."""
        skipped: list[_Entry] = []
        chosen: Session | None = None
        while self._heap and chosen is None:
            entry = self._heap[0]
            session = entry.session
            if entry.version != session.entry_version or self._get_free_capacity(session) <= 0:
                heapq.heappop(self._heap)
            elif fits_now(session, spec):
                chosen = session
            else:
                skipped.append(heapq.heappop(self._heap))
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen

    def is_empty(self) -> bool:
        """Whether no session can take a start now."""
        while self._heap:
            entry = self._heap[0]
            if (
                entry.version == entry.session.entry_version
                and self._get_free_capacity(entry.session) > 0
            ):
                return False
            heapq.heappop(self._heap)
        return True
