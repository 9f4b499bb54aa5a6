"""Load shedding and order of service under overload, on the model without network.

    python -m bench.shedding > bench/results/shedding.json

The three queues of docs/design/unequal-fleets.md (first deployment), scaled to a small fleet, offer
a multiple of the capacity for ten seconds. Before and after that they offer the rates of that page,
which is half of the cores. Variants get the same jobs at the same times, so that the fate of each
job can be compared.

Under overload a run is chaotic: one delay decides who of two jobs is served. So a variant has to be
compared with the baseline under other delays as well.
"""

from __future__ import annotations

import json
import statistics
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from datetime import timedelta
from random import Random
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from cottonlug.core.cluster.early_refusal import EarlyRefusal
from cottonlug.core.cluster.model import JobId
from cottonlug.core.cluster.priority_order import PriorityOrder
from cottonlug.tests.model_upstreams import World

from . import load
from .load import JobKind, Run, SubmittedJob, build_queue, iterate_submitted
from .variants import replace_attribute

UPSTREAMS = 24
UPSTREAM_CPU_MILLIS = (64_000, 64_000, 96_000)
FLEET_SHARE = UPSTREAMS / 176
"""Size of the model's fleet as a share of the deployment's, by which the rates are scaled."""
KINDS = (
    JobKind(name="short", rate=77.0 * FLEET_SHARE, tasks=8, run_ms=60, worth=1.0),
    JobKind(name="long", rate=24.4 * FLEET_SHARE, tasks=4, run_ms=900, worth=1.0),
    JobKind(name="middle", rate=225.0 * FLEET_SHARE, tasks=2, run_ms=200, worth=1.0),
)
PRIORITIES = {"short": 0, "long": 2, "middle": 1}
TASK_CPU_MILLIS = 32_000
MAX_TASK_CPU_MILLIS = 60_000
OFFERED_CORES = sum(kind.rate * kind.tasks * kind.run_ms * TASK_CPU_MILLIS / 1e6 for kind in KINDS)
USABLE_SHARE = 0.75
"""Share of the cores that such tasks can use; the rest is lost to fragmentation."""
CAPACITY_CORES = UPSTREAMS * sum(UPSTREAM_CPU_MILLIS) / 3 / 1000 * USABLE_SHARE
FIRST_SECOND, LAST_SECOND, DURATION_SECONDS = 4.0, 14.0, 18
LOADS = (1.0, 1.2, 1.5, 2.0)

Change = tuple[Any, str, Any]
NO_REFUSAL: Change = (EarlyRefusal, "refuse", lambda self, now: None)
NO_PRIORITIES: Change = (PriorityOrder, "find_rank", lambda self, batch: 0)
BASELINE = "neither"
NOISE = "neither, other delays"
"""The baseline with other random delays of the model's network: it shows the run-to-run noise."""


def _build_other_world(*, random: Random) -> World:
    return World(random=Random(random.getrandbits(32)))


VARIANTS: dict[str, tuple[Change, ...]] = {
    BASELINE: (NO_REFUSAL, NO_PRIORITIES),
    NOISE: (NO_REFUSAL, NO_PRIORITIES, (load, "World", _build_other_world)),
    "early refusal": (NO_PRIORITIES,),
    "priorities": (NO_REFUSAL,),
    "both": (),
}


class Outcome(NamedTuple):
    """What became of one job; times are in seconds from its arrival."""

    queue: str
    objective: float
    ended: float | None
    refused: float | None

    @property
    def is_in_time(self) -> bool:
        """Whether its caller was answered within the objective."""
        return self.ended is not None and self.ended <= self.objective

    @property
    def is_served(self) -> bool:
        """Whether its caller was answered while the answer was of use."""
        return self.ended is not None and self.ended <= self.objective * load.LATE_FACTOR


class RunKey(NamedTuple):
    """Identifies one run: variant, multiple of the capacity, and seed."""

    variant: str
    load: float
    seed: int


def run_one(key: RunKey) -> dict[JobId, Outcome]:
    """Simulate one run, and return what became of the jobs of the overload."""
    queues = {
        kind.name: msgspec.structs.replace(
            build_queue(target_ms=load.TARGET_MS),
            name=kind.name,
            prefix=f"/{kind.name}/",
            priority=PRIORITIES[kind.name],
        )
        for kind in KINDS
    }
    settings: tuple[Change, ...] = (
        (load, "KINDS", KINDS),
        (load, "QUEUES", queues),
        (load, "TASK_CPU_MILLIS", TASK_CPU_MILLIS),
        (load, "MAX_TASK_CPU_MILLIS", MAX_TASK_CPU_MILLIS),
        (load, "UPSTREAM_CPU_MILLIS", UPSTREAM_CPU_MILLIS),
        (load, "DEFAULT_UPSTREAMS", UPSTREAMS),
        (load, "DURATION_SECONDS", DURATION_SECONDS),
    )
    with ExitStack() as stack:
        for owner, name, value in (*settings, *VARIANTS[key.variant]):
            stack.enter_context(replace_attribute(owner, name, value))
        run = Run(seed=key.seed, upstream_count=UPSTREAMS)
        factor = key.load * CAPACITY_CORES / OFFERED_CORES
        run.bursts.append((FIRST_SECOND, LAST_SECOND, factor))
        run.run_to_end()
        concerned = {id(job) for job in iterate_submitted(run, FIRST_SECOND, LAST_SECOND)}
        return {name: _describe(job) for name, job in run.jobs.items() if id(job) in concerned}


def _describe(job: SubmittedJob) -> Outcome:
    def since(at: timedelta | None) -> float | None:
        return None if at is None else (at - job.submitted_at).total_seconds()

    return Outcome(
        queue=job.kind.name,
        objective=job.objective.total_seconds(),
        ended=since(job.ended_at),
        refused=since(job.refused_at) if job.ended_at is None else None,
    )


def summarise(outcomes: dict[JobId, Outcome], baseline: dict[JobId, Outcome]) -> dict[str, float]:
    """Return the shares of one run, and how it differs from the baseline's run of the same seed."""
    jobs = list(outcomes.values())
    refusals = [job.refused for job in jobs if job.refused is not None]
    summary = {
        **_count_shares(jobs),
        "refused after, median s": statistics.median(refusals) if refusals else 0.0,
        "refused after, 95% s": _find_quantile(refusals, 0.95),
        "refused, but served by baseline": sum(
            job.refused is not None and baseline[id].is_served for id, job in outcomes.items()
        )
        / len(jobs),
    }
    for kind in KINDS:
        own = _count_shares([job for job in jobs if job.queue == kind.name])
        summary.update({f"{kind.name} {name}": value for name, value in own.items()})
    return summary


def _count_shares(jobs: Sequence[Outcome]) -> dict[str, float]:
    def share(predicate: Callable[[Outcome], bool]) -> float:
        return sum(map(predicate, jobs)) / len(jobs)

    return {
        "in time": share(lambda job: job.is_in_time),
        "served": share(lambda job: job.is_served),
        "late": share(lambda job: job.is_served and not job.is_in_time),
        "refused": share(lambda job: job.refused is not None),
    }


def _find_quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(int(len(values) * share), len(values) - 1)] if values else 0.0


def run_all(
    variants: Sequence[str], loads: Sequence[float], seeds: Sequence[int], processes: int
) -> dict[str, Any]:
    """Return the means of each load and variant, and the differences to the baseline by seed."""
    names = list(dict.fromkeys([BASELINE, *variants]))
    keys = [RunKey(name, each, seed) for each in loads for name in names for seed in seeds]
    with ProcessPoolExecutor(processes) as pool:
        measured = dict(zip(keys, pool.map(run_one, keys), strict=True))
    results: dict[str, Any] = {}
    for each in loads:
        rows = {
            name: [
                summarise(
                    measured[RunKey(name, each, seed)], measured[RunKey(BASELINE, each, seed)]
                )
                for seed in seeds
            ]
            for name in names
        }
        results[f"{each:g}"] = {name: _average(rows[name], rows[BASELINE]) for name in names}
    return results


def _average(rows: list[dict[str, float]], baseline: list[dict[str, float]]) -> dict[str, Any]:
    means: dict[str, Any] = {
        key: round(statistics.mean(row[key] for row in rows), 4) for key in rows[0]
    }
    for key in ("in time", "served"):
        gains = [row[key] - other[key] for row, other in zip(rows, baseline, strict=True)]
        means[f"{key}, gain"] = round(statistics.mean(gains), 4)
        if len(gains) > 1:
            error = statistics.stdev(gains) / len(gains) ** 0.5
            means[f"{key}, standard error of gain"] = round(error, 4)
    return means


def main(
    variant: Annotated[list[str] | None, typer.Option(help="Variants; default: all.")] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 6,
    first_seed: Annotated[int, typer.Option(help="The first of the seeds.")] = 1,
    processes: Annotated[int, typer.Option(min=1, help="Number of parallel runs.")] = 2,
) -> None:
    """Print the results of the variants as JSON."""
    numbers = range(first_seed, first_seed + seeds)
    json.dump(run_all(variant or list(VARIANTS), LOADS, numbers, processes), sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    typer.run(main)
