"""Where the worth of a simulated day is lost: by time window and incident, request kind and domain.

    python -m bench.losses REPORT.json

Reads the report of one simulated day and prints Markdown tables. A loss is the number of requests
times the share of their worth that was not earned, in percent of all requests of the day.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated

import msgspec
import typer

MIN_LOSS_PERCENT = 0.2
"""Smaller losses are not listed, in percent of the requests of the day."""
AFTERMATH_SECONDS = 4.0
"""How long after its end an incident is still listed beside a loss."""


class Group(msgspec.Struct):
    """Counts of a group of requests, such as those of one kind or time window."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float


class Incident(msgspec.Struct):
    """An incident of the day, with its start and end in seconds."""

    at_s: float
    to_s: float
    kind: str


class Report(msgspec.Struct):
    """The fields that are read from a report."""

    all: Group
    classes: list[Group]
    zones: list[Group]
    windows: list[Group]
    events: list[Incident]
    prices: list[tuple[str, float, float]]


def print_losses(report: Report) -> None:
    """Print the tables of losses by window, kind and domain, and the prices."""
    total = report.all.n
    print(f"Requests: {total}; worth: {report.all.worth:.3f}")
    _print_groups("from second", _iterate_windows(report), total)
    _print_groups("kind", ((each, "") for each in report.classes), total)
    _print_groups("domain", ((each, "") for each in report.zones), total)
    print("\n| price | of the worth |\n|---|---|")
    for name, _, price in sorted(report.prices, key=lambda each: -each[2]):
        if price >= 0.001:
            print(f"| {name} | {price:.4f} |")


def _iterate_windows(report: Report) -> Iterator[tuple[Group, str]]:
    starts = [float(each.name) for each in report.windows]
    for group, start, end in zip(report.windows, starts, [*starts[1:], 1e9], strict=True):
        kinds = _list_incident_kinds(report.events, start, end)
        yield group, ", ".join(kinds)


def _list_incident_kinds(incidents: Sequence[Incident], start: float, end: float) -> list[str]:
    return [
        each.kind for each in incidents if each.at_s < end and each.to_s + AFTERMATH_SECONDS > start
    ]


def _print_groups(title: str, groups: Iterator[tuple[Group, str]], total: int) -> None:
    print(f"\n| {title} | worth | loss % | late | refused | failed | troubles |")
    print("|---|---|---|---|---|---|---|")
    for group, incidents in groups:
        loss = 100 * group.n * (1 - group.worth) / total
        if loss >= MIN_LOSS_PERCENT:
            counts = f"{group.late} | {group.refused} | {group.failed}"
            print(f"| {group.name} | {group.worth:.2f} | {loss:.1f} | {counts} | {incidents} |")


def main(file: Annotated[Path, typer.Argument(help="Report of a day, in JSON.")]) -> None:
    """Print where the worth of a simulated day was lost."""
    print_losses(msgspec.convert(json.loads(file.read_text()), Report))


if __name__ == "__main__":
    typer.run(main)
