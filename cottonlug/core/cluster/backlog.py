"""Tasks that wait for room, by step of a job, in the order in which they are served.

Load pattern: more work than room, after a burst or after seconds without a leader. Served in order
of arrival, every job would then be late for as long as the backlog lasts. So jobs that can still
meet their objective go first, the most urgent of them first; late ones use what is left, until even
a late answer is worth nothing (three times the objective, the bound of the users' rules). To begin
a job counts as too late earlier than to go on with it: half of those begun at the last moment
would run longer than declared, and wide ones would find room for some of their tasks only.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from .crashes import StartRestriction
from .model import JobId, Needs, StepSpec
from .records import JobRecord


class Tier(Enum):
    """How a batch stands to its job's objective."""

    ON_TIME = "on_time"
    LATE = "late"
    HOPELESS = "hopeless"


@dataclass(slots=True, kw_only=True)
class Batch:
    """Waiting tasks of one step of one job, and when they must start to be of use."""

    job: JobRecord
    occurrence: int
    number: int
    step: StepSpec
    latest_start: timedelta
    """Begun later, the job may well miss its objective."""
    latest_task_start: timedelta
    """Once the job has begun, the latest start of its last task."""
    last_use: timedelta
    """Started later, the job is worth nothing any more."""
    work_ms: float
    """Expected core-milliseconds of one of the tasks."""
    waiting: list[int] = field(default_factory=list)
    cpu_millis: int = field(init=False)
    """What each of the tasks takes of a processor; looked at for every batch with every end."""
    tier: Tier = Tier.ON_TIME
    has_begun: bool = False
    """Whether a task of the job has started: to leave off now would waste that."""
    care: StartRestriction = StartRestriction.NONE
    """Whether its tasks may crash an upstream."""
    offered_since: timedelta | None = None
    """When room was first looked for."""
    was_offered: bool = False
    """Whether all upstreams were tried, so that only those with more room than then are left."""

    def __post_init__(self) -> None:
        self.cpu_millis = self.step.needs.cpu_millis

    @property
    def needs(self) -> Needs:
        """What each of the tasks takes."""
        return self.step.needs

    @property
    def whole_work_ms(self) -> float:
        """Expected core-milliseconds of all waiting tasks."""
        return self.work_ms * len(self.waiting)


def _by_latest_start(batch: Batch) -> timedelta:
    return batch.latest_start


def _by_last_use(batch: Batch) -> timedelta:
    return batch.last_use


class Backlog:
    """All batches with waiting tasks, by tier."""

    def __init__(self) -> None:
        self._tiers: dict[Tier, list[Batch]] = {tier: [] for tier in Tier}
        self.has_empty = False
        """Whether nothing waits any more in some batch."""
        self._new: list[Batch] = []
        """Those that no room has been looked for yet."""

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
        """Put a batch in its place."""
        key = _by_latest_start if batch.tier is Tier.ON_TIME else _by_last_use
        if not batch.was_offered:
            self._new.append(batch)
        bisect.insort(self._tiers[batch.tier], batch, key=key)

    def demote(self, now: timedelta) -> list[Batch]:
        """Move batches whose time has passed to a later tier, and return these."""
        on_time, late = self._tiers[Tier.ON_TIME], self._tiers[Tier.LATE]
        moved: list[Batch] = []
        kept: list[Batch] = []
        while on_time and on_time[0].latest_start < now:
            batch = on_time.pop(0)
            if batch.has_begun and batch.latest_task_start >= now:
                kept.append(batch)
                continue
            batch.tier = Tier.LATE
            self.add(batch)
            moved.append(batch)
        on_time[:0] = kept
        while late and late[0].last_use < now:
            batch = late.pop(0)
            batch.tier = Tier.HOPELESS
            self.add(batch)
            moved.append(batch)
        return moved

    @property
    def has_new(self) -> bool:
        """Whether there is a batch that no room has been looked for yet."""
        return bool(self._new)

    def take_new(self) -> list[Batch]:
        """Return the batches that no room has been looked for yet, which are not new any more."""
        new, self._new = self._new, []
        return [batch for batch in new if batch.waiting and not batch.was_offered]

    def drop_empty(self) -> None:
        """Forget batches in which nothing waits."""
        if not self.has_empty:
            return
        self.has_empty = False
        for tier, batches in self._tiers.items():
            self._tiers[tier] = [batch for batch in batches if batch.waiting]

    def drop_job(self, job: JobId) -> None:
        """Forget everything that waits for a job."""
        self._new = [batch for batch in self._new if batch.job.id != job]
        for tier, batches in self._tiers.items():
            if any(batch.job.id == job for batch in batches):
                self._tiers[tier] = [batch for batch in batches if batch.job.id != job]

    def measure_on_time(self, latest_start: timedelta) -> float:
        """Return the core-milliseconds that go before a job in time with this latest start."""
        ahead = 0.0
        for batch in self._tiers[Tier.ON_TIME]:
            if batch.latest_start > latest_start:
                break
            ahead += batch.whole_work_ms
        return ahead

    def measure_work(self) -> float:
        """Return the core-milliseconds of all that waits and is still of use."""
        useful = (*self._tiers[Tier.ON_TIME], *self._tiers[Tier.LATE])
        return sum(batch.whole_work_ms for batch in useful)

    def count_tasks(self) -> int:
        """Return how many tasks wait."""
        return sum(len(batch.waiting) for batch in self)
