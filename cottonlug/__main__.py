"""Entry point of ``python -m cottonlug`` and of the installed command."""

from __future__ import annotations

from . import unused_imports
from .cli import main

unused_imports.block_unused_imports()

__all__ = ["main"]

if __name__ == "__main__":
    main()
