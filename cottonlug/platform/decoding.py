"""Errors of bodies that cannot be decoded, as told to their senders, and limits of numbers."""

from __future__ import annotations

MAX_COUNT = 1 << 52
"""Limit of counts and milliseconds: beyond any real value, and exact in every JSON parser."""


def is_count(value: object) -> bool:
    """Return whether a value is a count or a number of milliseconds within the limit."""
    return type(value) is int and 0 <= value <= MAX_COUNT


def describe_error(error: Exception) -> str:
    """Return what is wrong with a body, for its sender."""
    if isinstance(error, RecursionError):
        return "the body is nested too deeply"
    return str(error)
