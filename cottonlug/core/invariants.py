"""Run-time checks of the program's own invariants."""

from __future__ import annotations

from ..exceptions import BrokenInvariantError


def require(condition: bool, message: str) -> None:
    """Raise `BrokenInvariantError` unless the condition holds."""
    if not condition:
        raise BrokenInvariantError(message)
