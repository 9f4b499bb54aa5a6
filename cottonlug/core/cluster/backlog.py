"""Waiting tasks, batched by step of a job and served by urgency.

Load pattern that this is made for: more work than capacity, after a burst or after seconds without
a leader. Served in order of arrival, every job would be late for as long as the backlog lasts. So
jobs that can still meet their objective (end within a set time from their arrival) go first, the
most urgent first. Late jobs use what is left, until even a late answer is worth nothing (after
three times the objective, by the rules of the users' platform). A job that has not begun counts as
late earlier than one that has: half of the jobs begun at the last moment would run longer than
declared, and wide ones would find capacity for some of their tasks only.
"""

from __future__ import annotations

import bisect
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .crashes import StartRestriction
from .demands import Demand
from .model import JobId, Needs, ServiceName, StepSpec, TaskRef
from .records import JobRecord

RANKED_SCAN_INTERVAL = timedelta(milliseconds=20)
"""Least time between two searches of all ranked batches for late ones. Jobs have objectives of 100
ms and more, and each of some thousand run ends a second would cause a search otherwise."""


class Tier(Enum):
    """Whether a batch can still meet its job's objective; served in the order of the members."""

    ON_TIME = "on_time"
    LATE = "late"
    """It will probably miss the objective, but may still be of use."""
    HOPELESS = "hopeless"
    """It is of no more use: a best-effort job is ended if it cannot start at once."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Hold:
    """Which upstreams a batch waits for, since its job would be late elsewhere, and until when."""

    max_factor: float
    """Only at kinds with this factor of run times or less does the job end in time."""
    rack: str
    """Label that the upstreams must have; empty if any will do."""
    until: timedelta
    """Latest start with which the job ends in time at the fastest of them."""


@dataclass(slots=True, kw_only=True)
class Batch:
    """Waiting tasks of one step of one job, and the latest times at which they must start.

    These times are on the monotonic clock of this host.
    """

    job: JobRecord
    occurrence: int
    step_number: int
    step: StepSpec
    latest_start: timedelta
    """If its first task starts later, the job may well miss its objective."""
    latest_task_start: timedelta
    """Once the job has begun, the latest start of its last task with which it can meet the
    objective: later than `latest_start`, which includes a margin."""
    latest_useful_start: timedelta
    """If started later, the job is of no more use."""
    core_ms: float
    """Expected core-milliseconds of each task."""
    run_time: timedelta = timedelta()
    """Expected run time of each task on the mean upstream of its service, near its data."""
    chain: timedelta = timedelta()
    """Expected time there from the start of the batch to the end of the job."""
    waiting: list[int] = field(default_factory=list)
    """Indexes of its waiting tasks within the step."""
    cpu_millis: int = field(init=False)
    """CPU need of each task; cached, since every run end reads it for every batch."""
    demand: Demand = field(init=False)
    """What its tasks demand of an upstream; cached as well."""
    service: ServiceName = field(init=False)
    """The service at whose upstreams its tasks run, by the queue as the job came."""
    priority: int = field(init=False)
    """Priority of its queue; 0 is the highest."""
    rank: int = 0
    """Among on-time batches a lower rank is served first; 0 unless priorities matter."""
    tier: Tier = Tier.ON_TIME
    has_begun: bool = False
    """Whether a task of the job has started, so that its work is wasted if the rest comes late."""
    restriction: StartRestriction = StartRestriction.NONE
    """Precautions where its tasks may crash an upstream."""
    first_tried_at: timedelta | None = None
    """When the scheduler first tried to place the batch; kept only where it has a restriction."""
    was_tried: bool = False
    """Whether it was tried on all upstreams, so that only those that gain capacity need be tried
    again."""
    hold: Hold | None = None
    """Set while it waits for some upstreams although it may fit at others."""

    def __post_init__(self) -> None:
        self.cpu_millis = self.step.needs.cpu_millis
        self.demand = Demand(self.step.needs, self.step.required_label)
        self.service = self.job.queue.service
        self.priority = self.job.queue.priority

    @property
    def needs(self) -> Needs:
        """Resources that each task needs."""
        return self.step.needs

    @property
    def total_core_ms(self) -> float:
        """Expected core-milliseconds of all waiting tasks."""
        return self.core_ms * len(self.waiting)


@dataclass(slots=True, kw_only=True)
class _StepBatches:
    """The batches of one step of an occurrence."""

    all: dict[int, Batch] = field(default_factory=dict)
    """By `id`."""
    by_task: dict[int, Batch] = field(default_factory=dict)
    """The batch in which each task waits, by its index; also of tasks that wait no more."""
    unrestricted: Batch | None = None
    """The last one whose tasks may start anywhere."""

    def add(self, batch: Batch) -> None:
        self.all[id(batch)] = batch
        self.by_task.update(dict.fromkeys(batch.waiting, batch))
        if batch.restriction is StartRestriction.NONE:
            self.unrestricted = batch

    def remove(self, batch: Batch) -> bool:
        """Remove a batch; return whether it was there."""
        if self.unrestricted is batch:
            self.unrestricted = None
        return self.all.pop(id(batch), None) is not None


def _by_latest_start(batch: Batch) -> tuple[int, timedelta]:
    return batch.rank, batch.latest_start


def _by_latest_useful_start(batch: Batch) -> tuple[int, timedelta]:
    return 0, batch.latest_useful_start


def _get_key(tier: Tier) -> Callable[[Batch], tuple[int, timedelta]]:
    """Return the key by which the batches of a tier are sorted."""
    return _by_latest_start if tier is Tier.ON_TIME else _by_latest_useful_start


def _is_late(batch: Batch, now: timedelta) -> bool:
    """Whether an on-time batch will probably miss the objective of its job."""
    if batch.latest_start >= now:
        return False
    return not batch.has_begun or batch.latest_task_start < now


class Backlog:
    """All batches with waiting tasks, by tier."""

    def __init__(self) -> None:
        self._tiers: dict[Tier, list[Batch]] = {tier: [] for tier in Tier}
        self._by_step: dict[JobId, dict[tuple[int, int], _StepBatches]] = {}
        """All batches by job, and by the numbers of the occurrence and of the step."""
        self.demands: Counter[Demand] = Counter()
        """Number of batches by what their tasks demand."""
        self._empty: list[Batch] = []
        """Batches without waiting tasks, which are to be removed."""
        self._new: list[Batch] = []
        """Batches that the scheduler has not tried to place yet."""
        self.find_rank: Callable[[Batch], int] = lambda batch: 0
        """Returns the rank of an on-time batch; set by the scheduler."""
        self._is_ranked = False
        """Whether some on-time batch has another rank than 0."""
        self._ranked_scan_due = timedelta()
        """When ranked batches are searched for late ones again."""

    def __len__(self) -> int:
        return sum(map(len, self._tiers.values()))

    def __iter__(self) -> Iterator[Batch]:
        """Yield batches in the order in which they are served."""
        for tier in Tier:
            yield from self._tiers[tier]

    def list_tier(self, tier: Tier) -> list[Batch]:
        """Return the batches of one tier."""
        return list(self._tiers[tier])

    def add(self, batch: Batch) -> None:
        """Insert a batch in serving order."""
        if not batch.was_tried:
            self._new.append(batch)
        if batch.tier is Tier.ON_TIME:
            batch.rank = self.find_rank(batch)
            self._is_ranked = self._is_ranked or batch.rank != 0
        steps = self._by_step.setdefault(batch.job.id, {})
        steps.setdefault((batch.occurrence, batch.step_number), _StepBatches()).add(batch)
        self.demands[batch.demand] += 1
        self._insert(batch)

    def _insert(self, batch: Batch) -> None:
        bisect.insort(self._tiers[batch.tier], batch, key=_get_key(batch.tier))

    def join(
        self,
        job: JobId,
        occurrence: int,
        step_number: int,
        task_indexes: list[int],
        *,
        has_begun: bool,
    ) -> bool:
        """Have tasks without restrictions wait with others of their step; False if none waits.

        `has_begun` tells whether a task of the job has started.
        """
        step = self._by_step.get(job, {}).get((occurrence, step_number))
        batch = step.unrestricted if step is not None else None
        if step is None or batch is None or not batch.waiting:
            return False
        batch.waiting += task_indexes
        batch.has_begun = batch.has_begun or has_begun
        step.by_task.update(dict.fromkeys(task_indexes, batch))
        return True

    def remove_task(self, ref: TaskRef) -> None:
        """Remove a task, if it waits."""
        step = self._by_step.get(ref.job, {}).get((ref.occurrence, ref.step))
        batch = step.by_task.pop(ref.task_index, None) if step is not None else None
        if batch is not None and ref.task_index in batch.waiting:
            batch.waiting.remove(ref.task_index)
            self.mark_if_empty(batch)
            self.drop_empty()

    def update_ranks(self) -> None:
        """Update the ranks of all on-time batches, and their order."""
        on_time = self._tiers[Tier.ON_TIME]
        changed = False
        for batch in on_time:
            rank = self.find_rank(batch)
            changed = changed or rank != batch.rank
            batch.rank = rank
        if changed:
            on_time.sort(key=_by_latest_start)
        self._is_ranked = any(batch.rank for batch in on_time)

    def demote(self, now: timedelta) -> list[Batch]:
        """Move batches whose time has passed to a later tier, and return those moved."""
        moved = self._demote_ranked(now) if self._is_ranked else self._demote_on_time(now)
        late = self._tiers[Tier.LATE]
        while late and late[0].latest_useful_start < now:
            batch = late.pop(0)
            batch.tier = Tier.HOPELESS
            self._insert(batch)
            moved.append(batch)
        return moved

    def _demote_ranked(self, now: timedelta) -> list[Batch]:
        """Move late batches out of the on-time tier, where it is not in order of latest start.

        All batches are searched, so this is done only once in each `RANKED_SCAN_INTERVAL`.
        """
        if now < self._ranked_scan_due:
            return []
        self._ranked_scan_due = now + RANKED_SCAN_INTERVAL
        on_time = self._tiers[Tier.ON_TIME]
        moved = [batch for batch in on_time if _is_late(batch, now)]
        if moved:
            self._tiers[Tier.ON_TIME] = [batch for batch in on_time if not _is_late(batch, now)]
        for batch in moved:
            batch.tier = Tier.LATE
            self._insert(batch)
        return moved

    def _demote_on_time(self, now: timedelta) -> list[Batch]:
        """Move late batches out of the on-time tier, which is in order of latest start."""
        on_time = self._tiers[Tier.ON_TIME]
        moved: list[Batch] = []
        kept: list[Batch] = []
        while on_time and on_time[0].latest_start < now:
            batch = on_time.pop(0)
            if not _is_late(batch, now):
                # It has begun, and stays at its place ahead of all whose latest start is to come.
                kept.append(batch)
                continue
            batch.tier = Tier.LATE
            self._insert(batch)
            moved.append(batch)
        on_time[:0] = kept
        return moved

    @property
    def has_new(self) -> bool:
        """Whether there is a batch that the scheduler has not tried to place yet."""
        return bool(self._new)

    def pop_new(self) -> list[Batch]:
        """Return the batches that the scheduler has not tried to place yet, and clear that list."""
        new, self._new = self._new, []
        return [batch for batch in new if batch.waiting and not batch.was_tried]

    def mark_if_empty(self, batch: Batch) -> None:
        """Have `drop_empty` remove a batch if none of its tasks waits any more."""
        if not batch.waiting:
            self._empty.append(batch)

    def drop_empty(self) -> None:
        """Remove the batches without waiting tasks."""
        empty, self._empty = self._empty, []
        for batch in empty:
            if not batch.waiting:
                self._drop(batch)

    def _drop(self, batch: Batch) -> None:
        """Remove a batch, unless it was removed with its job."""
        steps = self._by_step.get(batch.job.id, {})
        number = (batch.occurrence, batch.step_number)
        step = steps.get(number)
        if step is None or not step.remove(batch):
            return
        if not step.all:
            del steps[number]
        if not steps:
            del self._by_step[batch.job.id]
        self._discount_demand(batch)
        batches, key = self._tiers[batch.tier], _get_key(batch.tier)
        at = bisect.bisect_left(batches, key(batch), key=key)
        while batches[at] is not batch:
            at += 1
        del batches[at]

    def drop_job(self, job: JobId) -> None:
        """Remove all batches of a job."""
        steps = self._by_step.pop(job, None)
        if steps is None:
            return
        for step in steps.values():
            for batch in step.all.values():
                self._discount_demand(batch)
        self._new = [batch for batch in self._new if batch.job.id != job]
        for tier, batches in self._tiers.items():
            if any(batch.job.id == job for batch in batches):
                self._tiers[tier] = [batch for batch in batches if batch.job.id != job]

    def _discount_demand(self, batch: Batch) -> None:
        self.demands[batch.demand] -= 1
        if not self.demands[batch.demand]:
            del self.demands[batch.demand]

    def measure_work_ahead(self, latest_start: timedelta) -> float:
        """Return the core-milliseconds of all on-time work that is as urgent as this latest start.

        That is the work that is served before a new job with this latest start.
        """
        ahead = 0.0
        for batch in self._tiers[Tier.ON_TIME]:
            if batch.latest_start <= latest_start:
                ahead += batch.total_core_ms
            elif not self._is_ranked:
                break
        return ahead

    def measure_work(self) -> float:
        """Return the core-milliseconds of all waiting work that is still of use."""
        useful = (*self._tiers[Tier.ON_TIME], *self._tiers[Tier.LATE])
        return sum(batch.total_core_ms for batch in useful)

    def count_tasks(self) -> int:
        """Return the number of waiting tasks."""
        return sum(len(batch.waiting) for batch in self)
