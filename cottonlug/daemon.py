"""Start a daemon of a cluster by `python -m cottonlug.daemon NAME --config FILE`.

`cottonlug control` and `cottonlug gateway` do the same through the command line, which loads every
command first. A host that comes back, or that all others wait for, serves that much sooner.
"""

from __future__ import annotations

import gc
import sys
from pathlib import Path

from . import unused_imports
from .exceptions import BrokenInvariantError, SettingsError

USAGE = "usage: python -m cottonlug.daemon control|gateway --config FILE"
USAGE_EXIT, SETTINGS_EXIT, INVARIANT_EXIT = 2, 3, 6
"""Those of `commands.exits.ExitCode`, which is not loaded before they may be needed."""


def main(arguments: list[str]) -> int:
    """Run the daemon that the arguments name; return the exit code of the process."""
    match arguments:
        case ["control" | "gateway" as name, "--config", file]:
            return _serve(name, Path(file))
    print(USAGE, file=sys.stderr)
    return USAGE_EXIT


def _serve(name: str, config: Path) -> int:
    unused_imports.block_unused_imports()
    # What is loaded stays for the life of the process: to search it for garbage, while it is loaded
    # and at each full collection later, finds nothing.
    gc.disable()
    try:
        if name == "control":
            from .commands.control import serve_control as serve
        else:
            from .commands.gateway import serve_gateway as serve
        gc.freeze()
    finally:
        gc.enable()
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
