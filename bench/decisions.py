"""Processor time that a leader's scheduling decisions take per start, by number of upstreams.

    python -m bench.decisions > bench/results/decisions.json

Runs on the modelled upstreams of the tests, with a load in proportion to their number. Only the
processor time spent inside the decisions counts. Costs are also given as multiples of the one at
the smallest size, measured in the same run.
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
"""Factors on the default load, which takes two thirds of the capacity: 2.0 causes a backlog."""
DURATION_SECONDS = 3
SEED = 1
METHODS = (
    "tick",
    "submit",
    "handle_poll_answer",
    "handle_start_answer",
    "handle_stop_answer",
    "handle_heartbeat",
)


@contextmanager
def measure_methods(spent: dict[str, float]) -> Iterator[None]:
    """Add up the processor time in seconds that each event handler of `Dispatch` takes."""
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
    """Return the processor time per start, in microseconds, and polls per start, of one load."""
    spent: dict[str, float] = {}
    with replacing(load, "DURATION_SECONDS", DURATION_SECONDS), measure_methods(spent):
        run = Run(seed=SEED, upstream_count=upstreams, rate_factor=rate_factor)
        run.run_to_end()
    starts = run.world.starts
    polls = run.leader.dispatch.counts.looks
    return {
        "starts": starts,
        "us_a_start": round(1e6 * sum(spent.values()) / starts, 1),
        "tick_us_a_start": round(1e6 * spent["tick"] / starts, 1),
        "looks_a_start": round(polls / starts, 2),
    }


def main() -> None:
    """Print the figures of all sizes and loads, and their cost as multiples of the first one."""
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
