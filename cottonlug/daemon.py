"""Fast entry point of the cluster daemons: `python -m cottonlug.daemon NAME --config FILE`.

`cottonlug control` and `cottonlug gateway` start the same daemons through the command line, which
imports every command first. Skipping these imports shortens the start of a host that restarts, and
of a host that all others wait for.
"""

from __future__ import annotations

import gc
import sys
from pathlib import Path

from . import held_signals, unused_imports
from .exceptions import BrokenInvariantError, SettingsError

USAGE = "usage: python -m cottonlug.daemon control|gateway --config FILE"
GC_THRESHOLD = 20_000
"""Objects allocated between two collections of the youngest ones. With Python's 700, a leader under
load would collect after each few messages, though nearly all objects end with their last reference.
"""
USAGE_EXIT, SETTINGS_EXIT, INVARIANT_EXIT = 2, 3, 6
"""Copies of `commands.exits.ExitCode`, which may not be imported yet when they are needed."""


def main(arguments: list[str]) -> int:
    """Run the daemon named in the arguments and return the exit code of the process."""
    match arguments:
        case ["control" | "gateway" as name, "--config", file]:
            return _serve(name, Path(file))
    print(USAGE, file=sys.stderr)
    return USAGE_EXIT


def _serve(name: str, config: Path) -> int:
    held_signals.hold_signals()
    unused_imports.block_unused_imports()
    # Imported modules live as long as the process, so garbage collection is off while they are
    # imported, and their objects are excluded from every later full collection.
    gc.disable()
    try:
        if name == "control":
            from .commands.control import serve_control as serve
        else:
            from .commands.gateway import serve_gateway as serve
        gc.freeze()
    finally:
        gc.enable()
    gc.set_threshold(GC_THRESHOLD)
    try:
        return serve(config)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return SETTINGS_EXIT
    except BrokenInvariantError as error:
        print(f"broken invariant: {error}", file=sys.stderr)
        return INVARIANT_EXIT


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
