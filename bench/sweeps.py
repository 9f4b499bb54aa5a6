"""Results of load sweeps over whole deployments, read from the entries in `journal/`."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

JOURNAL_FOLDER = Path(__file__).parent.parent / "journal"
_HEAD = """## Clusters: what sweeps of whole deployments show

Control hosts and gateways on the users' platform, with the same work at several sizes: the newest
sweep of each deployment in `journal/`. Of two figures the first is that of the middle host, the
second that of the busiest; then come the power of the number of machines with which the busiest
grows, and where that leads at the size to design for."""
_TABLE_TITLE = "middle / busiest or longest, by own machines"


@dataclass(frozen=True, slots=True, kw_only=True)
class Sweep:
    """One sweep: the same load on one deployment at several sizes."""

    id: str
    site: str
    at: str
    days: tuple[dict[str, Any], ...]
    rows: tuple[str, ...]
    """Figures of the median and the busiest host by size, their growth, and its extrapolation."""


def find_newest_sweeps() -> list[Sweep]:
    """Return the newest sweep of each deployment."""
    newest: dict[str, Sweep] = {}
    for sweep in sorted(_read_all(), key=lambda each: each.at):
        newest[sweep.site] = sweep
    return [newest[site] for site in sorted(newest)]


def _read_all() -> Iterator[Sweep]:
    for file in JOURNAL_FOLDER.glob("*.json"):
        entry = json.loads(file.read_text())
        if entry.get("cmd") != "sweep" or not entry.get("days"):
            continue
        yield Sweep(
            id=entry["id"],
            site=entry["site"],
            at=entry["at"][0],
            days=tuple(sorted(entry["days"], key=lambda day: day["balancers"])),
            rows=tuple(_read_rows(entry["digest"])),
        )


def _read_rows(digest: str) -> Iterator[str]:
    _, _, table = digest.partition(_TABLE_TITLE)
    for line in table.splitlines():
        if line.startswith("power"):
            return
        if line.strip():
            yield line.rstrip()


def render_sweeps(sweeps: list[Sweep]) -> str:
    """Return the section about sweeps of the capacity page."""
    lines = [_HEAD]
    for sweep in sweeps:
        lines += ["", f"### {sweep.site} (`{sweep.id}`)", "", *_render_days(sweep), ""]
        lines += [f"    {row}" for row in sweep.rows]
    return "\n".join(lines) + "\n"


def _render_days(sweep: Sweep) -> list[str]:
    lines = [
        "| machines | upstreams | served | refused | failed | worth | rules |",
        "|---|---|---|---|---|---|---|",
    ]
    for day in sweep.days:
        rules = ", ".join(day["rules"]) or "kept"
        lines.append(
            f"| {day['balancers']} | {day['servers']} | {day['served']:.3f} | {day['refused']:.3f} "
            f"| {day['failed']:.3f} | {day['G']:.3f} | {rules} |"
        )
    return lines
