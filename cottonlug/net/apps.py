"""Shared setup of the litestar applications: bearer tokens, body limits and typed errors."""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Any

from litestar import Litestar, Request, Response
from litestar.connection import ASGIConnection
from litestar.exceptions import HTTPException, NotAuthorizedException
from litestar.handlers.base import BaseRouteHandler
from litestar.openapi import OpenAPIConfig
from litestar.types import Guard

from .. import __version__
from ..core.messages import Refusal
from ..core.states import RefusalCode
from .replies import reply_json, reply_refusal

_CODE_BY_STATUS = {
    401: RefusalCode.UNAUTHORIZED,
    404: RefusalCode.NOT_FOUND,
    413: RefusalCode.TOO_LARGE,
}


def build_guard(token: str) -> Guard:
    """Return a guard that rejects requests without this bearer token."""
    expected = f"Bearer {token}".encode()

    def guard(connection: ASGIConnection[Any, Any, Any, Any], _: BaseRouteHandler) -> None:
        given = connection.headers.get("authorization", "").encode()
        if not hmac.compare_digest(given, expected):
            raise NotAuthorizedException("this listener needs its own bearer token")

    return guard


def build_app(*, title: str, handlers: Sequence[BaseRouteHandler], max_body_bytes: int) -> Litestar:
    """Return an application with typed error replies and a limit on request bodies."""
    return Litestar(
        route_handlers=list(handlers),
        exception_handlers={HTTPException: _handle_http_error, Exception: _handle_error},
        openapi_config=OpenAPIConfig(title=title, version=__version__, path="/openapi"),
        request_max_body_size=max_body_bytes,
        logging_config=None,
    )


def _handle_http_error(_: Request[Any, Any, Any], error: HTTPException) -> Response[bytes]:
    code = _CODE_BY_STATUS.get(error.status_code, RefusalCode.INVALID)
    refusal = Refusal(code=code, message=error.detail or str(error.status_code))
    # Any other status is kept, with the code `INVALID`.
    if error.status_code in (401, 404, 413):
        return reply_refusal(refusal)
    return reply_json(refusal, error.status_code)


def _handle_error(_: Request[Any, Any, Any], error: Exception) -> Response[bytes]:
    """Propagate an unexpected error to the server."""
    raise error
