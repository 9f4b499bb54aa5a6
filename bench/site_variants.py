"""Write a variant of a site file, to simulate days under conditions that the site does not have.

    python -m bench.site_variants SITE OUT [--core-share F] [--front-share F] [--no-guards] [--kept]
        [--resend-ms N] [--by-heartbeat]

OUT is a file outside this repository; the file `wire.json`, which site files refer to, is copied
beside it.
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
    """Return the change that multiplies the processor share of the machines of one class."""
    pattern = re.compile(rf'(\{{[^{{}}]*class = "{machine_class}"[^{{}}]*?cpu_share = )([\d.]+)')

    def change(text: str) -> str:
        return pattern.sub(lambda found: f"{found[1]}{float(found[2]) * factor:.4g}", text)

    return change


def replace_all(old: str, new: str) -> Change:
    """Return the change that replaces every occurrence of a text."""
    return lambda text: text.replace(old, new)


def set_number(name: str, value: float) -> Change:
    """Return the change that sets a number on every line `name = NUMBER`."""
    pattern = re.compile(rf"^({name} = )[\d.]+$", re.MULTILINE)
    return lambda text: pattern.sub(rf"\g<1>{value}", text)


def apply_changes(text: str, changes: list[Change]) -> str:
    """Apply changes to the text of a site file; a change without effect is an error."""
    for change in changes:
        changed = change(text)
        if changed == text:
            raise typer.BadParameter("one of the changes has no effect on this site file")
        text = changed
    return text


def main(
    site: Path,
    out: Path,
    core_share: Annotated[float, typer.Option(help="Factor on control hosts' CPU share")] = 1.0,
    front_share: Annotated[float, typer.Option(help="Factor on entry hosts' CPU share")] = 1.0,
    no_guards: Annotated[bool, typer.Option(help="Upstreams start all that they are sent")] = False,
    kept: Annotated[bool, typer.Option(help="All jobs are durable")] = False,
    by_heartbeat: Annotated[bool, typer.Option(help="Orders go out with heartbeats")] = False,
    resend_ms: Annotated[float, typer.Option(help="Time until callers resend a lost job")] = 0.0,
) -> None:
    """Write the variant and print its path and the number of changes."""
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
