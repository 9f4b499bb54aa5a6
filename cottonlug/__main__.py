"""Entry point of ``python -m cottonlug`` and of the installed command."""

from __future__ import annotations

from . import lean
from .cli import main

lean.leave_out_unused()

__all__ = ["main"]

if __name__ == "__main__":
    main()
