"""HTTP/1.1 server protocol that answers some requests without an ASGI application.

Load pattern that this is made for: a leader gets a thousand small requests a second from gateways,
keep-alives, batches of jobs and polls for answers. An ASGI application costs a task, an event and
several messages for each of them, and a response passes several iterations of the event loop, which
are long on a busy host.
"""

from __future__ import annotations

from http import HTTPStatus

import httptools

from ..runtime.events import Event, log_event
from .asgi import DeferredResponse, HttpRequest, HttpResponse, ImmediateHandler
from .client_protocol import ClientProtocol


class ImmediateProtocol(ClientProtocol):
    """Answers what `handle_immediately` can answer, and passes on all other requests unchanged.

    A request is held back until it is complete. It is passed on at once if its body is longer than
    `max_immediate_bytes`, or while an earlier request that was passed on is not answered. A client
    that sends another request before a deferred response has arrived is disconnected.
    """

    handle_immediately: ImmediateHandler
    max_immediate_bytes: int
    _held_body: list[bytes] | None = None
    """Body of a request that is held back; None if the request was passed on."""
    _held_size = 0
    _deferred: DeferredResponse | None = None
    """The response to the last request, if that is yet to be given."""
    _is_stopping = False
    """Whether the server has stopped listening."""

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, unless the client does not wait for its response."""
        if self._deferred is not None:
            self.transport.close()
            return
        super().data_received(data)

    def shutdown(self) -> None:
        """Close the connection, after a response that is yet to be given."""
        self._is_stopping = True
        if self._deferred is None:
            super().shutdown()

    def on_headers_complete(self) -> None:
        """Hold the request back if it may be answered immediately."""
        is_free = self.cycle is None or self.cycle.response_complete
        if self._deferred is not None:
            self.transport.close()
        elif not is_free or self.expect_100_continue:
            self._held_body = None
            super().on_headers_complete()
            return
        self._held_body = []
        self._held_size = 0

    def on_body(self, body: bytes) -> None:
        """Collect the body of a request that is held back."""
        if self._held_body is None:
            super().on_body(body)
            return
        self._held_body.append(body)
        self._held_size += len(body)
        if self._held_size > self.max_immediate_bytes:
            self._pass_on()

    def on_message_complete(self) -> None:
        """Answer a request that is held back, or pass it on."""
        is_held = self._held_body is not None and not self.transport.is_closing()
        if is_held and not self._answer(b"".join(self._held_body or ())):
            self._pass_on()
        if self._held_body is None:
            super().on_message_complete()
        self._held_body = None

    def _pass_on(self) -> None:
        held, self._held_body = self._held_body, None
        super().on_headers_complete()
        for part in held or ():
            super().on_body(part)

    def _answer(self, body: bytes) -> bool:
        """Answer a request if that can be done immediately; return whether it was."""
        response = self._handle(
            HttpRequest(
                method=self.parser.get_method().decode("ascii"),
                path=httptools.parse_url(self.url).path.decode("ascii"),
                headers={
                    name.decode("latin-1"): value.decode("latin-1") for name, value in self.headers
                },
                body=body,
            )
        )
        if response is None:
            return False
        keeps_alive = self.parser.should_keep_alive()
        if isinstance(response, HttpResponse):
            self._send(response, keeps_alive)
            return True
        self._deferred = response
        response.send_to(lambda given: self._send(given, keeps_alive))
        return True

    def _handle(self, request: HttpRequest) -> HttpResponse | DeferredResponse | None:
        """Call the handler; an error in it is answered with 500."""
        try:
            return self.handle_immediately(request)
        except Exception as error:
            # The parser would take it for a malformed request.
            detail = f"{type(error).__name__}: {error}"
            log_event(Event.CALL_FAILED, call=request.method, path=request.path, detail=detail)
            return HttpResponse(status=500)

    def _send(self, response: HttpResponse, keeps_alive: bool) -> None:
        self._deferred = None
        if self.transport.is_closing():
            return
        closes = response.close or not keeps_alive or self._is_stopping
        self.transport.write(_encode(response, closes=closes))
        if closes:
            self.transport.close()
        else:
            self.on_response_complete()


def build_immediate_protocol(
    handle_immediately: ImmediateHandler, max_immediate_bytes: int
) -> type[ClientProtocol]:
    """Return a protocol class whose requests a handler may answer immediately."""
    members = {
        "handle_immediately": staticmethod(handle_immediately),
        "max_immediate_bytes": max_immediate_bytes,
    }
    return type("_ImmediateProtocol", (ImmediateProtocol,), members)


def _encode(response: HttpResponse, *, closes: bool) -> bytes:
    lines = [
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}",
        f"content-type: {response.content_type}",
        f"content-length: {len(response.body)}",
        *(f"{name}: {value}" for name, value in response.headers.items()),
    ]
    if closes:
        lines.append("connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
