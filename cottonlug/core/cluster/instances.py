"""Instances of upstreams as one coordinator sees them: clock, lease, runs and free capacity.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). An upstream runs tasks only while it holds a lease,
which the coordinator renews when it polls the upstream: a poll lists its runs and ended runs. Each
poll and start carries the coordinator's fencing token; an upstream refuses those with a lower token
than it has seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..clock import to_milliseconds
from .active_runs import ActiveRun, ActiveRuns
from .crashes import NO_ACTIVE_TASKS, ActiveTasks, Loss
from .model import Capacity, Needs, RunNumber, TaskRef, UpstreamInfo
from .orders import Run
from .response_timeout import ResponseTimeout

RunKey = tuple[TaskRef, RunNumber]

MIN_CLOCK_RATE = 0.98
"""Lowest rate of an upstream's monotonic clock relative to ours (the platform's bound: 2% slow)."""
LAPSE_MARGIN = timedelta(milliseconds=60)
"""Added to the end of a lease before anybody relies on it, for timers that fire late."""
MIN_LEASE = timedelta(milliseconds=500)
"""Lower bound of leases: a shorter one would not outlast a change of leader."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """Limits from which a coordinator derives when a lease has certainly ended."""

    longest: timedelta
    """How long a lease lasts at the most, by the clock of the upstream."""
    max_delivery_delay: timedelta = timedelta()
    """Longest delay between deciding on an order and its arrival at an upstream."""

    @property
    def lapse_after(self) -> timedelta:
        """The time after which a lease that is requested now has certainly ended."""
        return self.max_delivery_delay + self.longest / MIN_CLOCK_RATE + LAPSE_MARGIN


def choose_lease_terms(
    longest: timedelta, caller_retry: timedelta, silence_tolerated: timedelta
) -> LeaseTerms:
    """Return terms of leases that end before a job whose gateway failed can be submitted again.

    Its caller submits it again, through another gateway, no sooner than `caller_retry` after the
    failure. The coordinator abandons the job once it has not heard that gateway for
    `silence_tolerated`. What still runs then, at an unreachable upstream, has lost its lease by the
    time the job arrives again.
    """
    ended_in_time = (caller_retry - silence_tolerated - LAPSE_MARGIN) * MIN_CLOCK_RATE
    return LeaseTerms(longest=min(longest, max(ended_in_time, MIN_LEASE)))


@dataclass(slots=True, kw_only=True)
class Instance:
    """One run of an upstream's process, from its start to its exit or crash."""

    info: UpstreamInfo
    lease_terms: LeaseTerms
    recorded_through: int
    """Number of the last run end that is recorded, and so can be confirmed to the upstream, which
    numbers its ended runs from 1 and lists them until then."""
    arrival_number: int = 0
    """Position in the order in which this coordinator learned of instances; breaks ties."""
    draining: bool = False
    """Whether it is leaving: active runs continue, nothing is started."""
    is_evacuated: bool = False
    """Whether an operator has evacuated its failure domain: active runs continue, nothing is
    started."""
    is_over: bool = False
    """Whether it has ended or was forgotten: its removal from the records has been proposed."""
    is_cordoned: bool = False
    """Whether the records say, or are about to say, that no leader has a run there, so that this
    one may not start any before the cordon is lifted."""
    is_uncordoning: bool = False
    """Whether lifting the cordon has been proposed to the log."""
    is_managed_elsewhere: bool = False
    """Whether it is outside the failure domain to which this acting leader is limited."""
    is_fenced: bool = False
    """Whether it has answered a poll in this term, so that its runs are known and it refuses orders
    of earlier coordinators. False again once its lease has ended without an answer."""
    proposed_through: int = 0
    """Number of the last run end that was proposed to the log or recorded without it."""
    confirmed_through: int = 0
    """Number of the last run end whose recording was confirmed to the upstream."""
    first_withheld_end: int | None = None
    """Number of the first listed run end that only a leader may confirm, while this host acts as
    leader: see `Term.is_left_to_leader`. Later ends cannot be confirmed without it."""
    sequence: int = 0
    """Sequence number of its newest heartbeat: an older one that arrives later is ignored."""
    reported_at: timedelta | None = None
    """The latest time at which its last capacity report can have been sent; None if unknown."""
    is_capacity_doubted: bool = False
    """Whether a heartbeat has been missed since the last capacity report."""
    has_unreadable_capacity: bool = False
    """Whether the capacity in its last report could not be read."""
    refusals: int = 0
    """Starts refused for lack of capacity since the last successful start or capacity report."""
    heard_at: timedelta | None = None
    """When its last heartbeat was received, or when this coordinator learned of it."""
    contact_at: timedelta | None = None
    """When it last answered a poll."""
    failed_polls: int = 0
    """Polls that have failed since it last answered one."""
    is_poll_pending: bool = False
    """Whether a poll awaits its answer."""
    is_probe_pending: bool = False
    """Whether an extra poll beside that one awaits its answer."""
    listed_ms: int = -1
    """When its runs were last listed, on its own clock: an older list that arrives later is
    ignored."""
    poll_due: timedelta = timedelta()
    """No poll is sent before then."""
    probe_due: timedelta = timedelta()
    """No extra poll is sent before then."""
    is_on_probation: bool = False
    """Whether it gets one run at a time, after it was found failing, stalled or slow."""
    is_listening: bool = True
    """Whether an order would reach it at once. False if it receives orders only with the answers to
    its heartbeats, and none of these awaits its answer."""
    avoid_until: timedelta = timedelta()
    """Until then nothing is started there, after a refused or unanswered start."""
    cold_until: timedelta = timedelta()
    """Until then tasks take longer there than usual, for instance after its start: it is used last.
    """
    must_poll: bool = False
    """Whether it is to be polled soon although nothing runs there."""
    loss: Loss | None = None
    """Its loss, from when it is first found not to answer until it answers again."""
    lost_tasks: ActiveTasks = NO_ACTIVE_TASKS
    """Tasks active there when its lease or it ended, kept until it is known whether it crashed."""
    lapse_at: timedelta = timedelta()
    """When every lease that it may hold has certainly ended: from then on nothing can run there."""
    response_timeout: ResponseTimeout = field(default_factory=ResponseTimeout)
    active_runs: ActiveRuns = field(default_factory=ActiveRuns)
    """Index that all instances share; it contains `runs`."""
    runs: dict[RunKey, Run] = field(default_factory=dict)
    _used_cpu: int = 0
    _used_memory: int = 0
    _used_gpus: int = 0
    _orphaned_runs: int = 0
    _disputed_runs: int = 0
    _exclusive_runs: int = 0
    _clock_ms: float | None = None
    _clock_at: timedelta = timedelta()

    def record_clock(self, clock_ms: int, now: timedelta) -> None:
        """Update the lower bound of the upstream's clock from its answer or heartbeat."""
        known = self._estimate_clock(now)
        if known is None or clock_ms >= known:
            self._clock_ms = float(clock_ms)
            self._clock_at = now

    def record_capacity(self, capacity: Capacity, sequence: int, reported_at: timedelta) -> bool:
        """Store the reported capacity; return whether the replicated state must be updated.

        It must if the capacity differs, or was in doubt because a heartbeat was missed.

        Active runs stay even if they exceed a capacity that has shrunk; only starts may not exceed
        it.
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
        """Return the minimum age of a message that the upstream sent at a time on its own clock."""
        known = self._estimate_clock(now)
        if known is None or clock_ms is None:
            return timedelta()
        return timedelta(milliseconds=max(known - clock_ms, 0.0))

    def grant_lease(self, now: timedelta) -> int | None:
        """Return a lease end in ms on the upstream's clock, and count the lease as granted.

        None if the upstream's clock is unknown.
        """
        clock_ms = self._estimate_clock(now)
        if clock_ms is None:
            return None
        self.lapse_at = max(self.lapse_at, now + self.lease_terms.lapse_after)
        return int(clock_ms) + to_milliseconds(self.lease_terms.longest)

    def add_run(self, run: Run) -> None:
        """Add a run and count its needs as used."""
        self.runs[(run.task, run.run)] = run
        self.active_runs.add(run.task, self._build_active_run(run))
        self._adjust_usage(run, 1)

    def remove_run(self, key: RunKey) -> Run | None:
        """Remove a run and free what it used."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.active_runs.remove(run.task, self._build_active_run(run))
            self._adjust_usage(run, -1)
        return run

    def _build_active_run(self, run: Run) -> ActiveRun:
        return ActiveRun(run=run.run, upstream=self.info.id)

    def mark_disputed(self, key: RunKey) -> None:
        """Renew no lease until a run is gone, because another host relies on the lease ending."""
        run = self.runs.get(key)
        if run is not None and not run.is_disputed:
            run.is_disputed = True
            self._disputed_runs += 1

    @property
    def has_withheld_ends(self) -> bool:
        """Whether it lists an end that only a leader may confirm.

        Nothing is started there then and no lease renewed: a leader that does not reach it starts
        the task again when the lease has run out.
        """
        return self.first_withheld_end is not None

    def withhold_end(self, number: int) -> None:
        """Confirm no end from this number on."""
        if self.first_withheld_end is None:
            self.first_withheld_end = number

    @property
    def free_cpu(self) -> int:
        """Free processor capacity, in thousandths of a core."""
        return self.info.capacity.cpu_millis - self._used_cpu

    @property
    def has_orphaned_runs(self) -> bool:
        """Whether there are runs whose jobs, and therefore whose needs, are unknown."""
        return self._orphaned_runs > 0

    @property
    def has_disputed_runs(self) -> bool:
        """Whether a run's lease must run out, so that nothing is started and no lease renewed."""
        return self._disputed_runs > 0

    def has_free_capacity(self, needs: Needs) -> bool:
        """Return whether a task fits into the free capacity.

        Each orphaned run, whose needs are unknown, is assumed to need as much as the task.
        """
        capacity = self.info.capacity
        counted_tasks = 1 + self._orphaned_runs
        return (
            needs.cpu_millis * counted_tasks <= capacity.cpu_millis - self._used_cpu
            and needs.memory_mb * counted_tasks <= capacity.memory_mb - self._used_memory
            and needs.gpus * counted_tasks <= capacity.gpus - self._used_gpus
        )

    def accepts_work(self, now: timedelta) -> bool:
        """Return whether a start may be sent at all, apart from the capacity that it needs."""
        return (
            self.is_fenced
            and not self.is_cordoned
            and not self.draining
            and not self.is_evacuated
            and not self.has_disputed_runs
            and not self.has_withheld_ends
            and not self._exclusive_runs
            and not self.is_over
            and self.failed_polls == 0
            and now >= self.avoid_until
        )

    def is_cold(self, now: timedelta) -> bool:
        """Return whether tasks take longer there than usual."""
        return now < self.cold_until

    def _adjust_usage(self, run: Run, sign: int) -> None:
        self._used_cpu += sign * run.needs.cpu_millis
        self._used_memory += sign * run.needs.memory_mb
        self._used_gpus += sign * run.needs.gpus
        self._orphaned_runs += sign * run.is_orphaned
        self._disputed_runs += sign * run.is_disputed
        self._exclusive_runs += sign * run.is_exclusive

    def _estimate_clock(self, now: timedelta) -> float | None:
        if self._clock_ms is None:
            return None
        elapsed = (now - self._clock_at) / timedelta(milliseconds=1)
        return self._clock_ms + elapsed * MIN_CLOCK_RATE
