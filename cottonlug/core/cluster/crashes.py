"""Rules that tell tasks which crash their upstreams from tasks that were lost along with them.

An upstream is lost when it no longer answers. It has ended if another instance (the next run of its
process) answers at its address, and that is a crash unless it was leaving. A task is unconfirmed at
an upstream that has not answered its start. A suspect is a task under which upstreams have ended;
if it is quarantined, it is not started again, and its job fails.

Failure pattern: a task crashes each upstream that starts it, the upstream is back after some
seconds under another id, and everything else that ran there is lost as well. An upstream that ends
with a task active is evidence against the task but no proof: a rack that goes down takes sound
tasks with it. A task under which an upstream has ended is therefore retried on an upstream where
nothing else runs, so that no neighbour is lost with it and nothing else can be to blame. It is
quarantined at the second such end that has no other explanation, and at the third in any case.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from ..ids import DomainName, UpstreamId
from .model import JobId, QueueKey, TaskRef, Value

MAX_CRASHES = 2
"""Upstream ends without another explanation after which a task is quarantined; the platform's rules
allow this from the second one on."""
MAX_LOSSES = 3
"""Upstream ends, explained or not, after which a task is quarantined."""
MAX_STARTS = 5
"""Starts at upstreams that have ended, confirmed or not, after which a task is quarantined: after
three crashes a task may be started at most twice more."""
MAX_UNRESOLVED_STARTS = 4
"""Starts at upstreams that have or may have crashed, after which further ones wait until that is
known."""
SIMULTANEOUS_WITHIN = timedelta(milliseconds=150)
"""Upstreams lost within this time of each other may share a cause: the exit of a process is noticed
at once, silence within 80 ms."""
MAX_COINCIDENT_LOSSES = 2
"""Other upstreams that may be lost at the same time by coincidence. At six crashes a second (600
jobs a second, one in a hundred with a crashing task) more than these coincide in 27 percent of the
cases, which then count as losses only."""
LOST_GROUP_SHARE = 0.5
"""Share of a rack or a domain that must be lost at the same time to explain the loss of each
member."""
CRASH_ON_START_WITHIN = timedelta(seconds=10)
"""Older runs did not crash their upstream by their start, and are not blamed."""
EXCLUSIVE_WAIT = timedelta(seconds=1)
"""How long a suspect waits for an upstream where nothing runs, before it may start anywhere."""
THIRD_START_DELAY = timedelta(seconds=2)
"""How long a task's third start waits while it is unknown whether two earlier ones caused crashes.

Crashed upstreams are back after some seconds, and a durable job with nothing running for three
seconds would be overdue. After three upstreams that had confirmed the run, the task waits until the
outcome is known.
"""


class StartRestriction(Enum):
    """Restrictions on the next start of a task."""

    NONE = "none"
    ALONE = "alone"
    """Only where nothing else runs, until it has waited for `EXCLUSIVE_WAIT`: one upstream has, or
    may have, crashed with it active."""
    ALONE_DELAYED = "held"
    """The same, after `THIRD_START_DELAY`: two upstreams have, or may have, crashed with it
    active."""
    BARRED = "barred"
    """Not before it is known whether upstreams crashed: three that had confirmed a run of it, or
    four in all."""


class CrashCounts(Value, frozen=True):
    """Upstream ends counted against one task."""

    crashes: int = 0
    """Ends that nothing else explains; each is counted as a loss, too."""
    losses: int = 0
    """Ends, explained or not, of upstreams that had confirmed that they run the task."""
    unanswered: int = 0
    """Ends of upstreams that had not answered the start, which may have been sent after the end."""

    @property
    def starts(self) -> int:
        """How often the task may have been started at an upstream that has ended."""
        return self.losses + self.unanswered

    @property
    def is_quarantined(self) -> bool:
        """Whether the task must not be started again."""
        exceeds_limit = self.crashes >= MAX_CRASHES or self.losses >= MAX_LOSSES
        return exceeds_limit or self.starts >= MAX_STARTS

    def add(self, other: CrashCounts) -> CrashCounts:
        """Return the sum of two counts."""
        return CrashCounts(
            crashes=self.crashes + other.crashes,
            losses=self.losses + other.losses,
            unanswered=self.unanswered + other.unanswered,
        )

    def subtract(self, other: CrashCounts) -> CrashCounts:
        """Return the part of these counts that exceeds the other counts."""
        return CrashCounts(
            crashes=max(self.crashes - other.crashes, 0),
            losses=max(self.losses - other.losses, 0),
            unanswered=max(self.unanswered - other.unanswered, 0),
        )


NO_CRASHES = CrashCounts()
ONE_CRASH = CrashCounts(crashes=1, losses=1)
ONE_LOSS = CrashCounts(losses=1)
ONE_UNANSWERED = CrashCounts(unanswered=1)


class Suspect(Value, frozen=True):
    """A task under which upstreams have ended."""

    task: TaskRef
    counts: CrashCounts


class SuspectRecord(Value, frozen=True):
    """Stored counts of a suspect, with the wall-clock time at which the last end was recorded."""

    task: TaskRef
    counts: CrashCounts
    at_ms: int


SUSPECT_RETENTION_MS = 60_000
"""How long suspects are remembered whose jobs are not open in the records, as those of best-effort
jobs: their callers send these again within seconds, or not at all."""


class ActiveTasks(Value, frozen=True):
    """Tasks that were active at an upstream, as far as the host that started them knew."""

    confirmed: tuple[TaskRef, ...] = msgspec.field(name="tasks", default=())
    """Tasks that the upstream had confirmed to run."""
    unconfirmed: tuple[TaskRef, ...] = msgspec.field(name="unsure", default=())
    """Tasks whose start was unanswered: the upstream may have ended before the start was sent."""

    @property
    def all_tasks(self) -> tuple[TaskRef, ...]:
        """Return the confirmed and the unconfirmed tasks."""
        return (*self.confirmed, *self.unconfirmed)

    def join(self, other: ActiveTasks) -> ActiveTasks:
        """Return the union of both; a task confirmed in either counts as confirmed."""
        all_confirmed = dict.fromkeys((*self.confirmed, *other.confirmed))
        all_unconfirmed = dict.fromkeys((*self.unconfirmed, *other.unconfirmed))
        return ActiveTasks(
            confirmed=tuple(all_confirmed),
            unconfirmed=tuple(task for task in all_unconfirmed if task not in all_confirmed),
        )


NO_ACTIVE_TASKS = ActiveTasks()


class LostTasks(Value, frozen=True):
    """Tasks that were active at an upstream when it became unreachable."""

    upstream: UpstreamId
    active_tasks: ActiveTasks = msgspec.field(name="at_work")


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """A lost upstream, and when it was found not to answer."""

    upstream: UpstreamId
    at: timedelta
    domain: DomainName
    labels: tuple[str, ...]
    last_arrival: int
    """Arrival number of the newest instance that was known by then: later ones, as those that take
    the places of lost ones, were no members of its rack."""


def is_simultaneous(first: Loss, second: Loss) -> bool:
    """Return whether two losses may share a cause by the times at which they were found."""
    return abs(first.at - second.at) <= SIMULTANEOUS_WITHIN


def has_common_cause(loss: Loss, losses: Iterable[Loss], sizes: Mapping[str, int]) -> bool:
    """Return whether so much else was lost at the same time that a task is an unlikely cause.

    `sizes` gives the number of upstreams that each domain, and each label, had by then; a label may
    name a rack.
    """
    others = [
        each for each in losses if each.upstream != loss.upstream and is_simultaneous(each, loss)
    ]
    if len(others) > MAX_COINCIDENT_LOSSES:
        return True
    # `others` lacks the upstream itself, so one is subtracted from its group as well.
    return any(
        _count_in_group(name, others) >= max(LOST_GROUP_SHARE * sizes.get(name, 0) - 1, 1)
        for name in (loss.domain, *loss.labels)
    )


def _count_in_group(name: str, losses: Sequence[Loss]) -> int:
    return sum(1 for each in losses if name == each.domain or name in each.labels)


def assign_blame(
    tasks: Sequence[TaskRef],
    known: Mapping[TaskRef, CrashCounts],
    queues: Mapping[JobId, QueueKey],
    quarantined: Mapping[QueueKey, int],
) -> list[TaskRef]:
    """Return the tasks active at a crashed upstream that may have caused the crash.

    These are the tasks with the most unexplained crashes so far. If no task has any, these are the
    tasks of queues of which others are quarantined already; if there is none of these either, all.
    """
    worst = max((known.get(task, NO_CRASHES).crashes for task in tasks), default=0)
    if worst:
        return [task for task in tasks if known.get(task, NO_CRASHES).crashes == worst]
    of_suspect_queues = [
        task for task in tasks if quarantined.get(queues.get(task.job) or _NO_QUEUE)
    ]
    return of_suspect_queues or list(tasks)


_NO_QUEUE = QueueKey("", "")
