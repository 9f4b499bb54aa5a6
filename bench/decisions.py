"""What the decisions of a cluster's leader cost for each start, by the number of upstreams.

    python -m bench.decisions > bench/results/decisions.json

The model of upstreams of the tests, loaded in proportion to its size; only the processor time spent
inside the decisions counts. The cost at the smallest size is the baseline of the same run.
"""

from __future__ import annotations

import itertools
import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from cottonlug.core.cluster.dispatch import Dispatch

from . import load
from .load import Run
from .variants import replace_attribute as replacing

SIZES = (24, 176, 700)
RATE_FACTORS = (1.0, 2.0)
"""Of the usual load, which takes two thirds of the room: twice as much makes a backlog."""
DURATION_SECONDS = 3
SEED = 1
METHODS = ("tick", "submit", "take_look", "take_start_answer", "take_stop_answer", "take_heartbeat")


@contextmanager
def measure_methods(spent: dict[str, float]) -> Iterator[None]:
    """Add up the seconds spent in each of the calls by which events come to a dispatch."""
    originals = {name: getattr(Dispatch, name) for name in METHODS}

    def wrap(name: str) -> Any:
        def measured(*args: Any, **rest: Any) -> Any:
            began = time.thread_time()
            try:
                return originals[name](*args, **rest)
            finally:
                spent[name] = spent.get(name, 0.0) + time.thread_time() - began

        return measured

    for name in METHODS:
        setattr(Dispatch, name, wrap(name))
    try:
        yield
    finally:
        for name, original in originals.items():
            setattr(Dispatch, name, original)


def measure(upstreams: int, rate_factor: float) -> dict[str, float]:
    """Return microseconds for each start and looks for each start, at one size and load."""
    spent: dict[str, float] = {}
    with replacing(load, "DURATION_SECONDS", DURATION_SECONDS), measure_methods(spent):
        run = Run(seed=SEED, upstream_count=upstreams, rate_factor=rate_factor)
        run.run_to_end()
    starts = run.world.starts
    looks = run.leader.dispatch.counts.looks
    return {
        "starts": starts,
        "us_a_start": round(1e6 * sum(spent.values()) / starts, 1),
        "tick_us_a_start": round(1e6 * spent["tick"] / starts, 1),
        "looks_a_start": round(looks / starts, 2),
    }


def main() -> None:
    """Print the figures of all sizes and loads, and each as a multiple of the first."""
    results: dict[str, dict[str, float]] = {}
    for upstreams, rate_factor in itertools.product(SIZES, RATE_FACTORS):
        name = f"{upstreams} upstreams, {rate_factor} of the usual load"
        results[name] = measure(upstreams, rate_factor)
        print(name, results[name], file=sys.stderr)
    baseline = next(iter(results.values()))["us_a_start"]
    for figures in results.values():
        figures["times_the_first"] = round(figures["us_a_start"] / baseline, 2)
    print(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
