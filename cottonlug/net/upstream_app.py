"""The HTTP API for upstreams: one call, which is parked until there is something to say."""

from __future__ import annotations

import asyncio
from typing import Any

from litestar import Litestar, Request, Response, post
from returns.result import Failure as Err

from ..core.messages import ExchangeReply, ExchangeRequest
from ..runtime.entry import EntryHost
from .apps import build_app, build_guard
from .codec import decode
from .replies import reply_json, reply_refusal


def build_upstream_app(host: EntryHost) -> Litestar:
    """Return the application for upstreams."""

    @post("/v1/exchange", guards=[build_guard(host.settings.tokens.upstreams)])
    async def exchange(request: Request[Any, Any, Any]) -> Response[bytes]:
        """Announce, renew the lease, hand in results and wait for starts, all in one."""
        asked = decode(await request.body(), ExchangeRequest)
        if isinstance(asked, Err):
            return reply_refusal(asked.failure())
        opened = host.open_exchange(asked.unwrap())
        if isinstance(opened, Err):
            return reply_refusal(opened.failure())
        reply = await _wait_reply(request, opened.unwrap())
        if reply is None:
            host.close_exchange(asked.unwrap())
            return Response(b"", status_code=499)
        return reply_json(reply)

    return build_app(
        title="cottonlug upstreams",
        handlers=[exchange],
        max_body_bytes=host.settings.bodies.max_kb * 1024,
    )


async def _wait_reply(
    request: Request[Any, Any, Any], future: asyncio.Future[ExchangeReply]
) -> ExchangeReply | None:
    """Return the reply, or None where the upstream hung up first."""
    hang_up: asyncio.Future[Any] = asyncio.ensure_future(request.receive())
    waiting: list[asyncio.Future[Any]] = [future, hang_up]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if future.done():
        hang_up.cancel()
        return future.result()
    return None
