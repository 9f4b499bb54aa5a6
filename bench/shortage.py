"""Share of jobs served under overload, by the order in which the backlog is served.

    python -m bench.shortage > bench/results/shortage.json

There are three kinds of jobs. Each task takes half of an upstream, so that two tasks above the mean
do not fit together. The usual load takes a quarter of all cores; for six of twelve seconds it is
multiplied by a factor. Because of fragmentation, about 0.75 of the cores can be used.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from contextlib import ExitStack
from datetime import timedelta
from typing import Any

import msgspec

from cottonlug.core.cluster import backlog, batch_builder, scheduler
from cottonlug.core.cluster.backlog import Batch, Tier
from cottonlug.core.cluster.scheduler import Scheduler

from . import load
from .load import JobKind, Run, SubmittedJob, build_queue, iterate_submitted
from .variants import replace_attribute

KINDS = (
    JobKind(name="short", rate=6.16, tasks=8, run_ms=60, worth=0.00485),
    JobKind(name="long", rate=1.95, tasks=4, run_ms=900, worth=0.0267),
    JobKind(name="middle", rate=18.0, tasks=2, run_ms=200, worth=0.00167),
)
TASK_CPU_MILLIS = 16_000
DURATION_SECONDS = 12
FIRST_SECOND, LAST_SECOND = 4.0, 9.0
LOAD_FACTORS = (3.0, 4.0, 6.0, 8.0)
SEEDS = (1, 2, 3)
EARLY_REFUSAL_SHARE = 0.25
"""A refusal within this share of the objective leaves the caller time to act."""


def _reject_late(self: Scheduler, now: timedelta) -> None:
    """Reject jobs as soon as they can no longer be in time, while jobs wait that still can."""
    shed_unchanged(self, now)
    waiting = self._jobs.backlog
    if not waiting.list_tier(Tier.ON_TIME):
        return
    wait = scheduler.estimate_wait(
        waiting.measure_work(), self._instances.measure_usable_cores(now)
    )
    for batch in waiting.list_tier(Tier.LATE):
        job = self._jobs.jobs.get(batch.job.id)
        if job is not None and not job.has_begun:
            self._jobs.reject(job, "cannot be in time", wait, now)


shed_unchanged = Scheduler._shed


def _by_newest(batch: Batch) -> timedelta:
    return -batch.latest_start


def _demote_all(self: backlog.Backlog, now: timedelta) -> list[Batch]:
    """Move late batches to a lower tier, at any position in the order."""
    on_time, late = self._tiers[Tier.ON_TIME], self._tiers[Tier.LATE]
    moved = [each for each in on_time if _is_too_late(each, now)]
    if moved:
        self._tiers[Tier.ON_TIME] = [each for each in on_time if not _is_too_late(each, now)]
    while late and late[0].latest_useful_start < now:
        moved.append(late.pop(0))
    for batch in moved:
        batch.tier = Tier.LATE if batch.latest_useful_start >= now else Tier.HOPELESS
        self._insert(batch)
    return moved


def _is_too_late(batch: Batch, now: timedelta) -> bool:
    return batch.latest_start < now and not (batch.has_begun and batch.latest_task_start >= now)


Change = tuple[Any, str, Any]
VARIANTS: dict[str, tuple[Change, ...]] = {
    "latest start first (stands)": (),
    "no estimate at the door": ((Scheduler, "find_rejection", lambda self, *rest: None),),
    "late ones rejected at once": ((Scheduler, "_shed", _reject_late),),
    "newest first": (
        (backlog, "_by_latest_start", _by_newest),
        (backlog.Backlog, "demote", _demote_all),
    ),
    "0.2 of the wait kept for longer runs": ((batch_builder, "START_MARGIN_SHARE", 0.2),),
    "0.6 of the wait kept for longer runs": ((batch_builder, "START_MARGIN_SHARE", 0.6),),
}


def main() -> None:
    """Print the shares of each variant at each load as JSON, as means over the seeds."""
    results: dict[str, dict[str, dict[str, float]]] = {}
    for name, changes in VARIANTS.items():
        results[name] = {}
        for factor in LOAD_FACTORS:
            results[name][f"{factor:g} times the usual"] = _measure(changes, factor)
            print(name, factor, results[name][f"{factor:g} times the usual"], file=sys.stderr)
    json.dump(results, sys.stdout, indent=1)
    print()


def _measure(changes: tuple[Change, ...], factor: float) -> dict[str, float]:
    rows = [_run_load(changes, factor, seed) for seed in SEEDS]
    return {name: round(sum(row[name] for row in rows) / len(rows), 3) for name in rows[0]}


def _run_load(changes: tuple[Change, ...], factor: float, seed: int) -> dict[str, float]:
    queues = {
        kind.name: msgspec.structs.replace(
            build_queue(target_ms=load.TARGET_MS), name=kind.name, prefix=f"/{kind.name}/"
        )
        for kind in KINDS
    }
    settings: tuple[Change, ...] = (
        (load, "KINDS", KINDS),
        (load, "QUEUES", queues),
        (load, "TASK_CPU_MILLIS", TASK_CPU_MILLIS),
        (load, "DURATION_SECONDS", DURATION_SECONDS),
    )
    with ExitStack() as stack:
        for owner, name, value in (*settings, *changes):
            stack.enter_context(replace_attribute(owner, name, value))
        run = Run(seed=seed)
        run.bursts.append((FIRST_SECOND - 1.0, LAST_SECOND, factor))
        run.run_to_end()
    return _compute_shares(list(iterate_submitted(run, FIRST_SECOND, LAST_SECOND)))


def _compute_shares(jobs: list[SubmittedJob]) -> dict[str, float]:
    def share(predicate: Callable[[SubmittedJob], bool], of: list[SubmittedJob]) -> float:
        return sum(map(predicate, of)) / len(of) if of else 0.0

    refused = [each for each in jobs if each.ended_at is None and each.refused_at is not None]
    shares = {
        "worth": sum(each.earned for each in jobs) / sum(each.worth for each in jobs),
        "in time": share(_is_in_time, jobs),
        "refused": len(refused) / len(jobs),
        "refused soon": share(_is_refused_early, refused),
    }
    for kind in KINDS:
        own = [each for each in jobs if each.kind is kind]
        shares[f"{kind.name} in time"] = share(_is_in_time, own)
    return shares


def _is_in_time(job: SubmittedJob) -> bool:
    return job.ended_at is not None and job.ended_at - job.submitted_at <= job.objective


def _is_refused_early(job: SubmittedJob) -> bool:
    return (
        job.refused_at is not None
        and job.refused_at - job.submitted_at <= job.objective * EARLY_REFUSAL_SHARE
    )


if __name__ == "__main__":
    main()
