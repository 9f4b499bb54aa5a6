"""Checks of what must always hold, made inside the program as it runs."""

from __future__ import annotations

from ..exceptions import BrokenInvariantError


def require(condition: bool, message: str) -> None:
    """Stop with `BrokenInvariantError` unless the condition holds."""
    if not condition:
        raise BrokenInvariantError(message)
