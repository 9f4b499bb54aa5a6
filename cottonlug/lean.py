"""Imported first, this module keeps libraries from loading parts that cottonlug never uses.

Litestar loads pydantic where it is installed (9 MB), httpx and typer load rich (3 MB).
Only the command line imports this module, so programs that embed the core are not touched.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("pydantic", "httpx._main", "rich")


def leave_out_unused() -> None:
    """Make imports of the unused modules fail as if they were not installed."""
    for name in UNUSED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]


leave_out_unused()
