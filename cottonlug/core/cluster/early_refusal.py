"""Refuses waiting jobs as soon as it is known that they would be served too late to be of use.

Load pattern that this is made for: severe overload for seconds, in which late jobs would wait until
three times their objective have passed, only to be refused then. Their callers are told early, and
can act. The wait is estimated from the late work ahead of a job, and from the rate at which late
work is started. Only best-effort jobs are refused of which nothing can have run.
"""

from __future__ import annotations

import math
from collections import Counter
from datetime import timedelta

from ..clock import to_milliseconds
from .admission import estimate_wait
from .backlog import Batch, Tier
from .crashes import StartRestriction
from .instance_table import InstanceTable
from .model import ServiceName
from .open_jobs import OpenJobs
from .overload import Overload
from .term import Term

MAX_WAIT = timedelta(seconds=10)
"""Upper bound of estimates, also where no late work was started lately."""
SIZE_CLASSES = 8
"""Size classes of tasks within a factor of two of their cores."""
TOO_LATE = "under overload, it would be served too late to be useful"


class EarlyRefusal:
    """Refuses late jobs under overload, by an estimate of their wait."""

    def __init__(
        self, *, term: Term, instances: InstanceTable, jobs: OpenJobs, overload: Overload
    ) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs
        self._overload = overload

    def refuse(self, now: timedelta) -> None:
        """Refuse the late jobs whose estimated start is after their latest useful start.

        The work ahead of a job is the late work that is as urgent and whose tasks need no more
        cores: smaller tasks find capacity where larger ones ahead of them do not fit.
        """
        cores: dict[ServiceName, float | None] = {}
        ahead: dict[ServiceName, Counter[int]] = {}
        for batch in self._jobs.backlog.list_tier(Tier.LATE):
            service = batch.service
            if service not in cores:
                cores[service] = self._find_late_cores(service, now)
                ahead[service] = Counter()
            rate = cores[service]
            if rate is None:
                continue
            size = _find_size_class(batch)
            core_ms = sum(each for other, each in ahead[service].items() if other <= size)
            wait = _estimate(core_ms, rate)
            if now + wait > batch.latest_useful_start and self._may_refuse(batch):
                self._refuse(batch, core_ms, rate, wait, now)
            else:
                ahead[service][size] += round(batch.total_core_ms)

    def _find_late_cores(self, service: ServiceName, now: timedelta) -> float | None:
        """Return for how many cores late work is started; None if nothing is to be refused.

        That is so unless the overload is severe and priorities differ: otherwise, early refusal
        leaves fewer callers served (docs/design/unequal-fleets.md, part 3).
        """
        started = self._overload.measure_started(service, now)
        if started is None or not (started.has_priorities and started.is_severe):
            return None
        return started.find_cores(Tier.LATE)

    def _may_refuse(self, batch: Batch) -> bool:
        """Whether it is certain that nothing of the job of a batch has run."""
        job = self._jobs.jobs.get(batch.job.id)
        spec = batch.job.spec
        return (
            job is not None
            and spec.best_effort
            and not spec.is_timed
            and batch.restriction is StartRestriction.NONE
            and not job.has_begun
            and not job.has_unknown_tasks()
            # Its tasks were unknown once: another coordinator may have begun it.
            and not job.reconcile_at
        )

    def _refuse(
        self, batch: Batch, core_ms: float, rate: float, wait: timedelta, now: timedelta
    ) -> None:
        self._term.counts.refused_early += 1
        self._term.log_decision(
            "job_refused_early",
            {
                "job": batch.job.id,
                "queue": batch.job.queue.name,
                "wait_ms": to_milliseconds(wait),
                "useful_for_ms": to_milliseconds(batch.latest_useful_start - now),
                "core_ms_ahead": round(core_ms),
                "cores": round(rate),
            },
        )
        retry_after = estimate_wait(
            self._jobs.backlog.measure_work(), self._instances.measure_usable_cores(now)
        )
        job = self._jobs.jobs[batch.job.id]
        self._jobs.reject(job, TOO_LATE, retry_after, now, is_spread=True)


def _find_size_class(batch: Batch) -> int:
    return int(math.log2(max(batch.cpu_millis, 1)) * SIZE_CLASSES)


def _estimate(core_ms: float, cores: float) -> timedelta:
    """Return how long the work ahead takes at the measured rate, `MAX_WAIT` at most."""
    if not core_ms:
        return timedelta()
    if not cores:
        return MAX_WAIT
    return min(timedelta(milliseconds=core_ms / cores), MAX_WAIT)
