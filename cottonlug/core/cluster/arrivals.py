"""Jobs that have arrived at a coordinator and were not taken yet, in the order of taking them.

Load pattern that this is made for: more jobs than the coordinator has processor time to take, in a
burst, or all those that waited for a leader at once. Taken in the order of their deadlines, each
job would wait until it is late, all callers would be served late, and that for seconds after the
burst. So the newest jobs go first among those that can still meet their objective: those taken are
in time, however long the queue is. All others go when there is time left. Before all go jobs that
are served however late, since they only have to be stored here, and jobs that are of no more use,
since they are only refused, and their callers should hear of that at once.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Generic, TypeVar

from .forecast import WaitLimits

T = TypeVar("T")

TIME_TO_START = timedelta(milliseconds=20)
"""From the moment at which a job is taken to the start of its first run, on a busy coordinator."""
MAX_TAKEN_ENTRIES = 64
"""Entries of arrivals that were taken, which may stay in a heap beyond the number of the others."""


@dataclass(slots=True, kw_only=True)
class Arrival(Generic[T]):
    """A job that has arrived; times are on the monotonic clock of this host."""

    job: T
    arrived_at: timedelta
    """When it arrived at this host."""
    latest_start: timedelta
    """If taken later, it will probably miss its objective."""
    latest_useful_start: timedelta
    """If taken later, it is of no more use, unless it is served however late."""
    is_taken: bool = False


_Entry = tuple[timedelta, int, Arrival[T]]
"""An arrival behind the time by which it is ordered, and its number, which is unique."""


@dataclass(slots=True, kw_only=True)
class Arrivals(Generic[T]):
    """The arrivals that were not taken yet.

    Each one with a limit is in the heap of those in time or of those that are late, newest first,
    and in that of deadlines; it stays in the other one after it was taken.
    """

    _unlimited: deque[Arrival[T]] = field(default_factory=deque)
    """Jobs that are served however late, in the order of their arrival."""
    _in_time: list[_Entry[T]] = field(default_factory=list)
    _late: list[_Entry[T]] = field(default_factory=list)
    _deadlines: list[_Entry[T]] = field(default_factory=list)
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def add(self, job: T, *, waited: timedelta, limits: WaitLimits, now: timedelta) -> None:
        """Add a job that has `waited` elsewhere since its caller sent it."""
        sent_at = now - waited
        arrival = Arrival(
            job=job,
            arrived_at=now,
            latest_start=sent_at + limits.in_time - TIME_TO_START,
            latest_useful_start=sent_at + (limits.useful or timedelta()),
        )
        self._count += 1
        if limits.useful is None:
            self._unlimited.append(arrival)
            return
        number = next(self._numbers)
        heapq.heappush(self._in_time, (-sent_at, -number, arrival))
        heapq.heappush(self._deadlines, (arrival.latest_useful_start, number, arrival))

    def pop(self, now: timedelta) -> Arrival[T] | None:
        """Remove and return the arrival to take next, or None if there is none."""
        if self._unlimited:
            self._count -= 1
            return self._unlimited.popleft()
        arrival = self._pop_useless(now) or self._pop_in_time(now) or self._pop_late()
        if arrival is not None:
            arrival.is_taken = True
            self._count -= 1
            self._drop_taken()
        return arrival

    def count_entries(self) -> int:
        """Return the number of entries in all heaps, which memory depends on."""
        return len(self._in_time) + len(self._late) + len(self._deadlines)

    def find_longest_wait(self, now: timedelta) -> timedelta:
        """Return for how long the oldest arrival has waited at this host."""
        limited = (each for _, _, each in self._deadlines if not each.is_taken)
        waiting = (*self._unlimited, *limited)
        return max((now - each.arrived_at for each in waiting), default=timedelta())

    def _pop_useless(self, now: timedelta) -> Arrival[T] | None:
        while self._deadlines and self._deadlines[0][2].is_taken:
            heapq.heappop(self._deadlines)
        if self._deadlines and self._deadlines[0][0] < now:
            return heapq.heappop(self._deadlines)[2]
        return None

    def _pop_in_time(self, now: timedelta) -> Arrival[T] | None:
        while self._in_time:
            entry = heapq.heappop(self._in_time)
            arrival = entry[2]
            if arrival.is_taken:
                continue
            if now <= arrival.latest_start:
                return arrival
            heapq.heappush(self._late, entry)
        return None

    def _pop_late(self) -> Arrival[T] | None:
        while self._late:
            arrival = heapq.heappop(self._late)[2]
            if not arrival.is_taken:
                return arrival
        return None

    def _drop_taken(self) -> None:
        """Drop the entries of arrivals that were taken once they are the most in a heap.

        Under overload that lasts, the oldest entries would never come to the top.
        """
        for heap in (self._in_time, self._late, self._deadlines):
            if len(heap) > 2 * self._count + MAX_TAKEN_ENTRIES:
                heap[:] = [entry for entry in heap if not entry[2].is_taken]
                heapq.heapify(heap)
