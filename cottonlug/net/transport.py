"""Results of HTTP calls, and errors of their bodies, common to all clients."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""What decoders raise for a malformed body; the last one if it is nested too deeply."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status and body of an HTTP reply."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class TransportError:
    """No reply arrived; `unsent` is True only if no byte of the call can have been received."""

    message: str
    unsent: bool
    is_identity_mismatch: bool = False
    """Whether another process than the intended one answers there; the call was not sent."""
