"""HTTP clients based on httpx, one per address: the cost of a client grows with its pool."""

from __future__ import annotations

from typing import Any

import httpx
import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from ..core.messages import Refusal
from ..core.states import RefusalCode
from .codec import decode, encode
from .transport import HttpReply, TransportError


class HttpClient:
    """HTTP client for one address, with one bearer token."""

    def __init__(self, *, address: Address, token: str, timeout_seconds: float) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            headers={"Authorization": f"Bearer {token}", "Content-Type": "application/json"},
            timeout=httpx.Timeout(timeout_seconds, connect=min(timeout_seconds, 2.0)),
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=8),
            trust_env=False,
            # Hosts use plain HTTP; without this each client would load all root certificates.
            verify=False,
        )

    async def send(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HttpReply, TransportError]:
        """Send one request and return the complete reply."""
        try:
            reply = await self._client.request(method, path, content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return Err(TransportError(message=f"cannot connect: {error}", unsent=True))
        except httpx.HTTPError as error:
            message = f"{type(error).__name__}: {error}"
            return Err(TransportError(message=message, unsent=False))
        return Success(HttpReply(status=reply.status_code, body=reply.content))

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()


class ApiClient:
    """Client that exchanges typed messages; transport errors become refusals."""

    def __init__(self, *, address: Address, token: str, timeout_seconds: float = 30.0) -> None:
        self._http = HttpClient(address=address, token=token, timeout_seconds=timeout_seconds)

    async def call(
        self, method: str, path: str, reply_type: Any, message: msgspec.Struct | None = None
    ) -> Result[Any, Refusal]:
        """Send a message and return the typed reply or refusal."""
        body = encode(message) if message is not None else None
        sent = await self._http.send(method, path, body)
        if isinstance(sent, Err):
            return Err(_build_unreachable_refusal(sent.failure().message))
        reply = sent.unwrap()
        if reply.status < 400:
            return decode(reply.body, reply_type)
        refusal = decode(reply.body, Refusal)
        if isinstance(refusal, Success):
            return Err(refusal.unwrap())
        return Err(_build_unreachable_refusal(f"status {reply.status}"))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()


def _build_unreachable_refusal(message: str) -> Refusal:
    return Refusal(code=RefusalCode.HOME_UNREACHABLE, message=message)
