"""Lives of upstreams as one leader sees them: clock, lease, runs and room."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..clock import to_milliseconds
from .crashes import NO_WORK, AtWork
from .model import Capacity, Needs, RunNumber, TaskRef, UpstreamInfo
from .orders import Run
from .response_timeout import ResponseTimeout

RunKey = tuple[TaskRef, RunNumber]

SLOWEST_CLOCK = 0.98
"""An upstream's steady clock may run this much slower than ours (the platform's bound: 2%)."""
LAPSE_MARGIN = timedelta(milliseconds=60)
"""Added to the end of a lease before anybody counts on it, for timers that fire late."""
LEAST_LEASE = timedelta(milliseconds=500)
"""A shorter one would not outlast the change to another leader."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """How long an upstream lets a lease last."""

    longest: timedelta
    delivery: timedelta = timedelta()
    """How much later than decided an order may reach an upstream."""

    @property
    def lapse_after(self) -> timedelta:
        """The time after which a lease that was asked for now has surely ended."""
        return self.delivery + self.longest / SLOWEST_CLOCK + LAPSE_MARGIN


def choose_terms(
    longest: timedelta, caller_retry: timedelta, silence_borne: timedelta
) -> LeaseTerms:
    """Return terms of leases that end before a lost caller's job can come again.

    A caller that lost its gateway sends its job again after `caller_retry`; whoever decides gives
    the job up once it has not heard that gateway for `silence_borne`. What still runs then, at an
    upstream out of sight, has lost its lease by the time at which the job arrives anew.
    """
    ended_in_time = (caller_retry - silence_borne - LAPSE_MARGIN) * SLOWEST_CLOCK
    return LeaseTerms(longest=min(longest, max(ended_in_time, LEAST_LEASE)))


@dataclass(slots=True, kw_only=True)
class Life:
    """One life of an upstream."""

    info: UpstreamInfo
    terms: LeaseTerms
    noted: int
    """Up to which end note was taken by the record."""
    number: int = 0
    """Lives are numbered as they come, so that those alike have an order."""
    draining: bool = False
    is_evacuated: bool = False
    """Whether its failure domain is evacuated: what runs there goes on, nothing is started."""
    is_over: bool = False
    is_cordoned: bool = False
    """Whether nothing that a leader began can be at work there, and nothing may be started."""
    is_uncordoning: bool = False
    """Whether the log is to say that it is used again."""
    is_foreign: bool = False
    """Whether another host orders it in this term."""
    is_fenced: bool = False
    """Whether it has answered a look of this leader's term, so that its runs are known."""
    proposed: int = 0
    """Up to which end note was proposed."""
    confirmed: int = 0
    """Up to which end the upstream was told that note was taken."""
    sequence: int = 0
    """Of the newest heartbeat: an older one that comes later is void."""
    reported_at: timedelta | None = None
    """When it last said what its capacity is, at the earliest; None where that is not known."""
    is_capacity_doubted: bool = False
    """Whether the record says that a heartbeat was missed."""
    is_unreadable: bool = False
    """Whether what it last said of its capacity could not be read."""
    refusals: int = 0
    """Starts refused for want of room since one was carried out or its capacity was told."""
    heard_at: timedelta | None = None
    contact_at: timedelta | None = None
    failed_looks: int = 0
    look_is_out: bool = False
    probe_is_out: bool = False
    listed_ms: int = -1
    """When its runs were last listed, on its own clock: an older list that comes later is void."""
    look_due: timedelta = timedelta()
    probe_due: timedelta = timedelta()
    is_on_trial: bool = False
    """Whether it gets one run at a time, after it was found failing, stalled or slow."""
    is_listening: bool = True
    """Whether an order would reach it at once, and not with the answer to its next heartbeat."""
    avoid_until: timedelta = timedelta()
    cold_until: timedelta = timedelta()
    """Until then tasks take longer there than usual, so that it is used last."""
    must_check: bool = False
    """Whether it is to be looked at once though nothing runs there."""
    lost_at: timedelta | None = None
    """When it was first found not to answer, if it has not since."""
    lost: AtWork = NO_WORK
    """What was at work when its lease lapsed, until it is known whether it has crashed."""
    lapse_at: timedelta = timedelta()
    """From when on nothing can run there unless a lease is renewed."""
    patience: ResponseTimeout = field(default_factory=ResponseTimeout)
    runs: dict[RunKey, Run] = field(default_factory=dict)
    _used_cpu: int = 0
    _used_memory: int = 0
    _used_gpus: int = 0
    _orphans: int = 0
    _disputed: int = 0
    _alone: int = 0
    _clock_ms: float | None = None
    _clock_at: timedelta = timedelta()

    def take_clock(self, clock_ms: int, now: timedelta) -> None:
        """Learn from an answer what time it is at the upstream, at the least."""
        known = self._estimate_clock(now)
        if known is None or clock_ms >= known:
            self._clock_ms = float(clock_ms)
            self._clock_at = now

    def take_report(self, capacity: Capacity, sequence: int, reported_at: timedelta) -> bool:
        """Learn what an upstream has to give; return whether the record says something else.

        What runs there stays, be it over a capacity that has shrunk: only starts may not be.
        """
        self.sequence = sequence
        self.reported_at = reported_at
        self.refusals = 0
        is_news = capacity != self.info.capacity or self.is_capacity_doubted
        self.is_capacity_doubted = False
        if is_news:
            self.info = msgspec.structs.replace(self.info, capacity=capacity)
        return is_news

    def find_age(self, clock_ms: int | None, now: timedelta) -> timedelta:
        """Return how old something is, at the least, that it sent at a time on its own clock."""
        known = self._estimate_clock(now)
        if known is None or clock_ms is None:
            return timedelta()
        return timedelta(milliseconds=max(known - clock_ms, 0.0))

    def grant(self, now: timedelta) -> int | None:
        """Return an end of lease on the upstream's clock, and remember that it may get it."""
        clock_ms = self._estimate_clock(now)
        if clock_ms is None:
            return None
        self.lapse_at = max(self.lapse_at, now + self.terms.lapse_after)
        return int(clock_ms) + to_milliseconds(self.terms.longest)

    def add_run(self, run: Run) -> None:
        """Count a run against the room."""
        self.runs[(run.task, run.run)] = run
        self._change_use(run, 1)

    def remove_run(self, key: RunKey) -> Run | None:
        """Give the room of a run back."""
        run = self.runs.pop(key, None)
        if run is not None:
            self._change_use(run, -1)
        return run

    def dispute(self, key: RunKey) -> None:
        """Renew no lease before a run is gone, since somebody else counts on it to end."""
        run = self.runs.get(key)
        if run is not None and not run.is_disputed:
            run.is_disputed = True
            self._disputed += 1

    @property
    def free_cpu(self) -> int:
        """Processor room that is left, in thousandths of a core."""
        return self.info.capacity.cpu_millis - self._used_cpu

    @property
    def has_orphans(self) -> bool:
        """Whether runs are at work there whose jobs, and so whose needs, are not known."""
        return self._orphans > 0

    @property
    def has_disputed(self) -> bool:
        """Whether something runs there whose lease must end: nothing is started or renewed."""
        return self._disputed > 0

    def has_room(self, needs: Needs) -> bool:
        """Whether a task fits; an orphan, whose needs are not known, counts as one like it."""
        capacity = self.info.capacity
        alike = 1 + self._orphans
        return (
            needs.cpu_millis * alike <= capacity.cpu_millis - self._used_cpu
            and needs.memory_mb * alike <= capacity.memory_mb - self._used_memory
            and needs.gpus * alike <= capacity.gpus - self._used_gpus
        )

    def takes_work(self, now: timedelta) -> bool:
        """Whether a start may be sent at all."""
        return (
            self.is_fenced
            and not self.is_cordoned
            and not self.draining
            and not self.is_evacuated
            and not self.has_disputed
            and not self._alone
            and not self.is_over
            and self.failed_looks == 0
            and now >= self.avoid_until
        )

    def is_cold(self, now: timedelta) -> bool:
        """Whether tasks take longer there than usual."""
        return now < self.cold_until

    def _change_use(self, run: Run, sign: int) -> None:
        self._used_cpu += sign * run.needs.cpu_millis
        self._used_memory += sign * run.needs.memory_mb
        self._used_gpus += sign * run.needs.gpus
        self._orphans += sign * run.is_orphan
        self._disputed += sign * run.is_disputed
        self._alone += sign * run.is_alone

    def _estimate_clock(self, now: timedelta) -> float | None:
        if self._clock_ms is None:
            return None
        elapsed = (now - self._clock_at) / timedelta(milliseconds=1)
        return self._clock_ms + elapsed * SLOWEST_CLOCK
