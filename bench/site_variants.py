"""Write a variant of a site file, to play days under terms that its own sheet does not have.

    python -m bench.site_variants SITE OUT [--core-share F] [--front-share F] [--no-guards] [--kept]
        [--resend-ms N] [--by-heartbeat]

OUT is a file outside this repository; what the site file refers to is copied beside it.
"""

from __future__ import annotations

import re
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

Change = Callable[[str], str]


def scale_share(machine_class: str, factor: float) -> Change:
    """Return the change that gives machines of a class that share of their processor time."""
    pattern = re.compile(rf'(\{{[^{{}}]*class = "{machine_class}"[^{{}}]*?cpu_share = )([\d.]+)')

    def change(text: str) -> str:
        return pattern.sub(lambda found: f"{found[1]}{float(found[2]) * factor:.4g}", text)

    return change


def replace_all(old: str, new: str) -> Change:
    """Return the change of one text into another, wherever it stands."""
    return lambda text: text.replace(old, new)


def set_number(name: str, value: float) -> Change:
    """Return the change of a number, wherever it stands."""
    pattern = re.compile(rf"^({name} = )[\d.]+$", re.MULTILINE)
    return lambda text: pattern.sub(rf"\g<1>{value}", text)


def apply_changes(text: str, changes: list[Change]) -> str:
    """Return a site file with changes; each must change something."""
    for change in changes:
        changed = change(text)
        if changed == text:
            raise typer.BadParameter("one of the changes finds nothing to change in this site file")
        text = changed
    return text


def main(
    site: Path,
    out: Path,
    core_share: Annotated[float, typer.Option(help="Factor on the control hosts' share")] = 1.0,
    front_share: Annotated[float, typer.Option(help="Factor on the entry hosts' share")] = 1.0,
    no_guards: Annotated[bool, typer.Option(help="Upstreams start whatever they are told")] = False,
    kept: Annotated[bool, typer.Option(help="All jobs must be kept")] = False,
    by_heartbeat: Annotated[bool, typer.Option(help="Orders come with heartbeats")] = False,
    resend_ms: Annotated[float, typer.Option(help="When callers send a lost job again")] = 0.0,
) -> None:
    """Write the variant and say where it is."""
    changes: list[Change] = []
    if core_share != 1.0:
        changes.append(scale_share("core", core_share))
    if front_share != 1.0:
        changes.append(scale_share("front", front_share))
    if no_guards:
        changes.append(replace_all("guards = true", "guards = false"))
    if kept:
        changes.append(replace_all("loose = true", "loose = false"))
    if by_heartbeat:
        changes.append(replace_all("by_beat = false", "by_beat = true"))
    if resend_ms:
        changes.append(set_number("resend_ms", resend_ms))
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(apply_changes(site.read_text(), changes))
    shutil.copyfile(site.parent / "wire.json", out.parent / "wire.json")
    typer.echo(f"{out}: {len(changes)} changes")


if __name__ == "__main__":
    typer.run(main)
