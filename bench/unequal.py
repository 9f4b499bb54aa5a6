"""Share of jobs that meet their objective on upstreams of two kinds, by queue and load.

    python -m bench.unequal > bench/results/unequal.json

A third of 176 modelled upstreams takes 1.7 times the nominal run time, the others 0.7 times. Three
variants are compared in runs of the same seed:

- `one_kind`: run times are learned and compared by queue only, and kinds are not told apart.
- `known_kinds`: run times are learned and compared by kind, but upstreams are chosen without it.
- `by_kind`: upstreams are chosen by kind, too.

A load of 1 takes all usable cores, where those of a kind count by its speed. The objective is that
of an upstream of nominal speed.
"""

from __future__ import annotations

import itertools
import json
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from cottonlug.core.cluster.admission import USABLE_SHARE
from cottonlug.core.cluster.scheduler import Scheduler
from cottonlug.core.cluster.speeds import Speeds
from cottonlug.core.ids import DomainName
from cottonlug.tests.model_upstreams import ModelUpstream

from . import load
from .load import DEFAULT_UPSTREAMS, KINDS, TASK_CPU_MILLIS, UPSTREAM_CPU_MILLIS, Run
from .variants import replace_attribute as replacing

UPSTREAMS = 176
FACTORS = {"a": 0.7, "b": 1.7}
"""Run times at upstreams of each kind, as multiples of the nominal ones."""
LOADS = (0.4, 0.8, 1.1)
DURATION_SECONDS = 10
FIRST_SECOND = 2
"""Jobs submitted earlier are not counted: until then the kinds are not known."""
VARIANTS = ("one_kind", "known_kinds", "by_kind")
DOMAINS = 3


class RunKey(NamedTuple):
    """Identifies one run."""

    variant: str
    load: float
    seed: int


class UnequalRun(Run):
    """A run on upstreams of two kinds; kinds, sizes and domains do not go together."""

    __slots__ = ()

    def _add_upstream(self, name: str, cpu_millis: int) -> ModelUpstream:
        number = len(self.upstreams)
        upstream = super()._add_upstream(name, cpu_millis)
        kind = "b" if number // 3 % 3 == 2 else "a"
        domain = DomainName(f"domain-{number // 9 % DOMAINS}")
        upstream.info = msgspec.structs.replace(upstream.info, kind=kind, domain=domain)
        self.run_time_factors[upstream.info.id] = FACTORS[kind]
        return upstream


def find_rate_factor(share: float) -> float:
    """Return the factor on the default rates with which the load takes a share of the capacity."""
    speed = (2 / FACTORS["a"] + 1 / FACTORS["b"]) / 3
    cpu_millis = statistics.mean(UPSTREAM_CPU_MILLIS) * DEFAULT_UPSTREAMS * speed * USABLE_SHARE
    tasks = sum(kind.rate * kind.tasks * kind.run_ms / 1000 for kind in KINDS)
    return share * cpu_millis / (tasks * TASK_CPU_MILLIS)


def run_one(key: RunKey) -> dict[str, float]:
    """Simulate one run; return the share of jobs in their objective, by queue and in all."""
    with ExitStack() as stack:
        stack.enter_context(replacing(load, "DURATION_SECONDS", DURATION_SECONDS))
        if key.variant == "one_kind":
            stack.enter_context(replacing(Speeds, "find_factor", lambda self, info: 1.0))
        if key.variant != "by_kind":
            stack.enter_context(replacing(Scheduler, "_find_factor", lambda self, info: 1.0))
        run = UnequalRun(
            seed=key.seed, upstream_count=UPSTREAMS, rate_factor=find_rate_factor(key.load)
        )
        run.run_to_end()
    return _measure(run)


def _measure(run: Run) -> dict[str, float]:
    counted = list(load.iterate_submitted(run, FIRST_SECOND, DURATION_SECONDS))
    shares = {
        kind.name: statistics.mean(
            each.earned == each.worth for each in counted if each.kind is kind
        )
        for kind in KINDS
    }
    shares["all"] = statistics.mean(each.earned == each.worth for each in counted)
    shares["served"] = statistics.mean(each.ended_at is not None for each in counted)
    shares["worth"] = sum(each.earned for each in counted) / sum(each.worth for each in counted)
    return shares


def main(
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 3,
    processes: Annotated[int, typer.Option(min=1, help="Number of parallel runs.")] = 2,
    variant: Annotated[list[str] | None, typer.Option(help="Variants; default: all.")] = None,
    share: Annotated[list[float] | None, typer.Option(help="Loads; default: all.")] = None,
) -> None:
    """Print the means over the seeds, and the lowest and highest share of jobs, as JSON."""
    keys = [
        RunKey(*each)
        for each in itertools.product(variant or VARIANTS, share or LOADS, range(1, seeds + 1))
    ]
    with ProcessPoolExecutor(processes) as pool:
        measured = dict(zip(keys, pool.map(run_one, keys), strict=True))
    results: dict[str, dict[str, Any]] = {}
    for key in keys:
        rows = [measured[each] for each in keys if each[:2] == key[:2]]
        means = {name: round(statistics.mean(row[name] for row in rows), 4) for name in rows[0]}
        totals = [round(row["all"], 4) for row in rows]
        results.setdefault(f"load {key.load}", {})[key.variant] = {
            **means,
            "range_of_all": [min(totals), max(totals)],
        }
    print(json.dumps(results, indent=1))
    print("done", file=sys.stderr)


if __name__ == "__main__":
    typer.run(main)
