"""Measure the gain of each mechanism of the cluster's policy on modelled upstreams.

    python -m bench.cluster run > bench/results/cluster.json
    python -m bench.cluster plot bench/results/cluster.json worth.png

The load resembles the users' (`load`), faults are injected by `scenarios`, and a variant is the
product's code with one mechanism changed (`variants`). Variants are compared in pairs of the same
seed. The model charges no processor time.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from .load import Run
from .measures import Measures, compute_gain, compute_means, measure
from .scenarios import SCENARIOS
from .variants import NO_CHANGE, VARIANTS

app = typer.Typer(
    help="Measure the cluster's policy on a model.",
    add_completion=False,
    pretty_exceptions_enable=False,
)


class RunKey(NamedTuple):
    """Identifies one run: scenario, variant and seed."""

    scenario: str
    variant: str
    seed: int


def run_one(key: RunKey) -> Measures:
    """Simulate one run and return its measures."""
    scenario = SCENARIOS[key.scenario]
    with VARIANTS[key.variant]():
        run = Run(
            seed=key.seed,
            upstream_count=scenario.upstream_count,
            rate_factor=scenario.rate_factor,
        )
        scenario.inject_fault(run)
        run.run_to_end()
    return measure(run, scenario)


def run_all(
    scenarios: Sequence[str], variants: Sequence[str], seeds: int, processes: int
) -> dict[str, dict[str, Any]]:
    """Simulate every scenario with every variant and seed; compare variants with the baseline."""
    names = list(dict.fromkeys([NO_CHANGE, *variants]))
    keys = [
        RunKey(scenario, variant, seed)
        for scenario in scenarios
        for variant in names
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(processes) as pool:
        measured = dict(zip(keys, pool.map(run_one, keys), strict=True))
    results: dict[str, dict[str, Any]] = {}
    for scenario in scenarios:
        rows = {
            variant: [measured[RunKey(scenario, variant, seed)] for seed in range(1, seeds + 1)]
            for variant in names
        }
        results[scenario] = {variant: _summarise_variant(rows, variant) for variant in names}
        print(scenario, "done", file=sys.stderr)
    return results


def _summarise_variant(rows: dict[str, list[Measures]], variant: str) -> dict[str, Any]:
    summary: dict[str, Any] = {"means": compute_means(rows[variant])}
    if variant != NO_CHANGE:
        summary["gain"] = asdict(compute_gain(rows[variant], rows[NO_CHANGE]))
    return summary


def _check_names(names: Sequence[str] | None, known: Sequence[str]) -> list[str]:
    chosen = list(names or known)
    unknown = [name for name in chosen if name not in known]
    if unknown:
        raise typer.BadParameter(f"unknown: {', '.join(unknown)}; known: {', '.join(known)}")
    return chosen


@app.command()
def run(
    scenario: Annotated[list[str] | None, typer.Option(help="Scenarios; default: all.")] = None,
    variant: Annotated[list[str] | None, typer.Option(help="Variants; default: all.")] = None,
    seeds: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 6,
    processes: Annotated[int, typer.Option(min=1, help="Number of parallel runs.")] = 2,
) -> None:
    """Print the means of each scenario and variant, and its gain with a 95% interval, as JSON."""
    scenarios = _check_names(scenario, list(SCENARIOS))
    variants = _check_names(variant, list(VARIANTS))
    print(json.dumps(run_all(scenarios, variants, seeds, processes), indent=1))


@app.command()
def table(file: Annotated[Path, typer.Argument(help="Results in JSON.")]) -> None:
    """Print results as a Markdown table: the baseline's worth, then the gain of each variant."""
    results = json.loads(file.read_text())
    scenarios = list(results)
    print("| variant |", " | ".join(scenarios), "|")
    print("|---|" + "---|" * len(scenarios))
    for name in results[scenarios[0]]:
        cells = [_format_cell(results[scenario][name]) for scenario in scenarios]
        print(f"| {name} |", " | ".join(cells), "|")


def _format_cell(summary: dict[str, Any]) -> str:
    """Return a table cell; a gain whose confidence interval contains zero is put in brackets."""
    if "gain" not in summary:
        return f"{summary['means']['worth']:.3f}"
    gain = summary["gain"]
    is_sure = gain["low"] > 0 or gain["high"] < 0
    text = f"{gain['mean']:+.3f}"
    return text if is_sure else f"({text})"


@app.command()
def plot(
    file: Annotated[Path, typer.Argument(help="Results in JSON.")],
    image: Annotated[Path, typer.Argument(help="Image to write, as PNG or SVG.")],
) -> None:
    """Plot the gains of all variants with their confidence intervals, one panel per scenario."""
    from matplotlib import pyplot

    results = json.loads(file.read_text())
    figure, panels = pyplot.subplots(
        1, len(results), sharey=True, figsize=(2.2 * len(results), 7), squeeze=False
    )
    for panel, (scenario, variants) in zip(panels[0], results.items(), strict=True):
        gains = {name: each["gain"] for name, each in variants.items() if "gain" in each}
        means = [gain["mean"] for gain in gains.values()]
        below = [gain["mean"] - gain["low"] for gain in gains.values()]
        above = [gain["high"] - gain["mean"] for gain in gains.values()]
        panel.errorbar(means, list(gains), xerr=[below, above], fmt="o", markersize=3)
        panel.axvline(0.0, linewidth=0.5)
        panel.set_title(scenario, fontsize=7)
        panel.tick_params(labelsize=6)
    figure.tight_layout()
    figure.savefig(image)


if __name__ == "__main__":
    app()
