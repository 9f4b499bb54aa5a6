"""What a call over HTTP brings, whichever client made it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpReply:
    """Status and body of an answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class TransportError:
    """No answer came; `unsent` is True only where no byte can have reached the other side."""

    message: str
    unsent: bool
    is_identity_mismatch: bool = False
    """Whether another process answers at the address than the call is for; it was not sent."""
