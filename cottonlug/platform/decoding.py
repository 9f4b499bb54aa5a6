"""Errors of bodies that cannot be decoded, common to all bodies of the platform."""

from __future__ import annotations

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What decoders raise for a malformed body; the last one if it is nested too deeply."""


def describe_error(error: Exception) -> str:
    """Return what is wrong with a body, for its sender."""
    if isinstance(error, RecursionError):
        return "the body is nested too deeply"
    return str(error)
