"""Minimal ASGI application for listeners that receive many small requests.

litestar's request handling would account for most of the cost of such a request
(docs/design/exchange.md).
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from ..runtime.events import Event, log_event
from .client_connections import ClientConnection

if TYPE_CHECKING:
    # For annotations only: importing litestar takes a third of a daemon's start-up time.
    from litestar.types import Receive, Send


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A complete HTTP request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    age: timedelta = timedelta()
    """How long ago it had arrived when it was read, if the server can tell."""


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete HTTP response; JSON unless `content_type` says otherwise."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"
    close: bool = False
    """Whether the connection is closed after this response."""


class DeferredResponse:
    """A response that is given later, without a task that waits for it."""

    def __init__(self) -> None:
        self._response: HttpResponse | None = None
        self._send: Callable[[HttpResponse], object] = lambda response: None

    @property
    def is_given(self) -> bool:
        """Whether the response was given."""
        return self._response is not None

    def give(self, response: HttpResponse) -> None:
        """Give the response, once."""
        assert self._response is None, "a request has one response"
        self._response = response
        self._send(response)

    def send_to(self, send: Callable[[HttpResponse], object]) -> None:
        """Have a function called with the response, at once if that was given already."""
        self._send = send
        if self._response is not None:
            send(self._response)

    async def wait(self) -> HttpResponse:
        """Return the response once it is given."""
        given = asyncio.Event()
        self.send_to(lambda response: given.set())
        await given.wait()
        assert self._response is not None, "it was given"
        return self._response


_CLIENT_LEFT = b'{"error":"the client has closed the connection"}'
CONNECTION_EXTENSION = "cottonlug.connection"
"""Extension of the ASGI scope that contains the `ClientConnection` as its `connection`."""


class _RequestAborted(Exception):  # noqa: N818 - not an error of this server
    """The client disconnected before it had sent the complete request."""


Handler = Callable[[HttpRequest], Coroutine[Any, Any, HttpResponse]]
ImmediateHandler = Callable[[HttpRequest], "HttpResponse | DeferredResponse | None"]
"""Answers a request without awaiting anything, or returns None."""
AsgiApp = Callable[[Any, "Receive", "Send"], Awaitable[None]]


def build_asgi(
    handle: Handler,
    max_body_bytes: Callable[[], int],
    *,
    checks_clients: bool = False,
) -> AsgiApp:
    """Return an ASGI application that calls a handler, with a limit on request bodies.

    With `checks_clients`, a request whose client has left is not carried out, although the end of
    its connection has not been read yet, and the age of other requests is measured.
    """

    async def app(scope: Any, receive: Receive, send: Send) -> None:
        try:
            body = await _read_body(receive, max_body_bytes())
        except _RequestAborted:
            return
        if body is None:
            response = HttpResponse(status=413, body=b'{"error":"the body is too large"}')
        else:
            headers = {
                name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]
            }
            request = HttpRequest(
                method=scope["method"], path=scope["path"], headers=headers, body=body
            )
            answer: HttpResponse | None = None
            connection = _find_connection(scope) if checks_clients else None
            if connection is not None:
                if connection.has_client_left():
                    log_event(Event.REQUEST_DROPPED, method=request.method, path=request.path)
                    answer = HttpResponse(status=503, body=_CLIENT_LEFT, close=True)
                else:
                    request.age = connection.measure_age()
            if answer is None:
                answer = await _handle_while_connected(handle(request), receive)
            if answer is None:
                return
            response = answer
        await _send(send, response)

    return app


def _find_connection(scope: Any) -> ClientConnection | None:
    extension = scope.get("extensions", {}).get(CONNECTION_EXTENSION, {})
    connection: ClientConnection | None = extension.get("connection")
    return connection


async def _handle_while_connected(
    handling: Coroutine[Any, Any, HttpResponse], receive: Receive
) -> HttpResponse | None:
    """Return the response; if the client disconnects, cancel the handler and return None."""
    task = asyncio.ensure_future(handling)
    disconnect: asyncio.Future[Any] = asyncio.ensure_future(receive())
    waiting: list[asyncio.Future[Any]] = [task, disconnect]
    await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
    if task.done():
        disconnect.cancel()
        return task.result()
    task.cancel()
    return None


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    parts: list[bytes] = []
    size = 0
    while True:
        message: Any = await receive()
        if message["type"] == "http.disconnect":
            raise _RequestAborted
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


async def _send(send: Send, response: HttpResponse) -> None:
    headers = [
        (b"content-type", response.content_type.encode()),
        (b"content-length", b"%d" % len(response.body)),
    ]
    headers += [(name.encode(), value.encode()) for name, value in response.headers.items()]
    if response.close:
        headers.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body, "more_body": False})
