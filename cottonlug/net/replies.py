"""HTTP replies: JSON bodies and one status code for each kind of refusal."""

from __future__ import annotations

from typing import Any

from litestar import Response
from litestar.enums import MediaType

from ..core.messages import Refusal
from ..core.states import RefusalCode
from .codec import encode

STATUS_OF_REFUSAL = {
    RefusalCode.INVALID: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.UNAUTHORIZED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.UNKNOWN_ID: 404,
    RefusalCode.EXPIRED_ID: 410,
    RefusalCode.ID_CONFLICT: 409,
    RefusalCode.REJECTED_BY_RULE: 403,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.DRAINING: 503,
    RefusalCode.HOME_UNREACHABLE: 503,
    RefusalCode.STALE_SESSION: 409,
    RefusalCode.VERSION_CONFLICT: 409,
    RefusalCode.NO_QUORUM: 503,
    RefusalCode.NOT_READY: 503,
    RefusalCode.STORAGE: 503,
}


def reply_json(message: Any, status: int = 200) -> Response[bytes]:
    """Build an HTTP reply from a message."""
    return Response(encode(message), status_code=status, media_type=MediaType.JSON)


def reply_refusal(refusal: Refusal) -> Response[bytes]:
    """Build the HTTP reply of a refusal, with `Retry-After` if the refusal has a retry time."""
    reply = reply_json(refusal, STATUS_OF_REFUSAL[refusal.code])
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        reply.set_header("Retry-After", str(max(seconds, 1)))
    return reply
