"""Keeps libraries from importing optional modules that cottonlug never uses, to save memory.

Litestar imports pydantic if it is installed (9 MB); httpx and typer import rich (3 MB). This module
has to be imported before them. Only the entry points of the command line and of the daemons import
it, so programs that embed the core are not affected.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("pydantic", "httpx._main", "rich")
"""`httpx._main` is the command line of httpx, which imports rich."""


def block_unused_imports() -> None:
    """Make imports of the unused modules fail, as if they were not installed."""
    for name in UNUSED_MODULES:
        if name not in sys.modules:
            sys.modules[name] = None  # type: ignore[assignment]


block_unused_imports()
