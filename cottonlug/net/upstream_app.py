"""HTTP API for upstreams: a single call, which is parked until there is something to send back.

It is a plain ASGI handler within the litestar application: this call carries nearly all traffic,
and litestar's request handling would account for most of its cost (docs/design/exchange.md).
"""

from __future__ import annotations

import asyncio
import hmac
from typing import Any

from litestar import Litestar, asgi
from litestar.types import Receive, Scope, Send
from returns.result import Failure as Err
from returns.result import Result

from ..core.messages import ExchangeReply, ExchangeRequest, Refusal
from ..core.states import RefusalCode
from ..runtime.entry import EntryHost
from .apps import build_app
from .codec import decode, encode
from .replies import STATUS_OF_REFUSAL


def build_upstream_app(host: EntryHost) -> Litestar:
    """Return the application that serves upstreams."""
    max_body_bytes = host.settings.bodies.max_kb * 1024
    expected = f"Bearer {host.settings.tokens.upstreams}".encode()

    @asgi("/v1/exchange")
    async def exchange(scope: Scope, receive: Receive, send: Send) -> None:
        """Register, renew the lease, deliver results and wait for starts, all in one call."""
        refusal = _check_call(scope, expected)
        if refusal is not None:
            await _send(send, refusal, STATUS_OF_REFUSAL[refusal.code])
            return
        decoded = await _read_request(receive, max_body_bytes)
        opened = decoded.bind(host.open_exchange)
        if isinstance(opened, Err):
            refusal = opened.failure()
            await _send(send, refusal, STATUS_OF_REFUSAL[refusal.code])
            return
        reply = await _wait_reply(receive, opened.unwrap())
        if reply is None:
            host.close_exchange(decoded.unwrap())
            return
        await _send(send, reply, 200)

    return build_app(
        title="cottonlug upstreams", handlers=[exchange], max_body_bytes=max_body_bytes
    )


def _check_call(scope: Scope, expected: bytes) -> Refusal | None:
    given = next((value for name, value in scope["headers"] if name == b"authorization"), b"")
    if not hmac.compare_digest(given, expected):
        message = "this listener needs its own bearer token"
        return Refusal(code=RefusalCode.UNAUTHORIZED, message=message)
    if scope.get("method") != "POST":
        return Refusal(code=RefusalCode.NOT_FOUND, message="use POST")
    return None


async def _read_request(receive: Receive, limit: int) -> Result[ExchangeRequest, Refusal]:
    body = b""
    while True:
        message: Any = await receive()
        if message["type"] == "http.disconnect":
            return Err(Refusal(code=RefusalCode.INVALID, message="the body was cut short"))
        body += message.get("body", b"")
        if len(body) > limit:
            message = f"a body has at most {limit} bytes"
            return Err(Refusal(code=RefusalCode.TOO_LARGE, message=message))
        if not message.get("more_body"):
            return decode(body, ExchangeRequest)


async def _wait_reply(
    receive: Receive, future: asyncio.Future[ExchangeReply]
) -> ExchangeReply | None:
    """Return the reply, or None if the upstream disconnects first."""
    disconnect: asyncio.Future[Any] = asyncio.ensure_future(receive())
    waiting: list[asyncio.Future[Any]] = [future, disconnect]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if future.done():
        disconnect.cancel()
        return future.result()
    return None


async def _send(send: Send, message: ExchangeReply | Refusal, status: int) -> None:
    body = encode(message)
    headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})
