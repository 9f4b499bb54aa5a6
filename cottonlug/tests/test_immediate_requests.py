"""Requests that a listener answers without an ASGI application, and those that it passes on."""

from __future__ import annotations

import asyncio
import logging

import pytest

from ..config.options import Address
from ..net.asgi import DeferredResponse, HttpRequest, HttpResponse, build_asgi
from ..net.servers import MAX_IMMEDIATE_BYTES, Listener
from .processes import find_base_port

MAX_BODY_BYTES = 4 * MAX_IMMEDIATE_BYTES


def build_request(path: str, body: bytes, *, close: bool = False) -> bytes:
    head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n"
    return f"{head}{'Connection: close' if close else 'X-Test: 1'}\r\n\r\n".encode() + body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return status and body of the next response on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    length = int(head.split("content-length: ")[1].split("\r\n")[0])
    return int(head.split(" ")[1]), await reader.readexactly(length)


class Server:
    """Answers `/now` immediately, `/later` when told to, and others by its application."""

    def __init__(self) -> None:
        self.immediate: list[bytes] = []
        self.passed_on: list[tuple[str, int]] = []
        self.tasks: set[object] = set()
        self.gate = asyncio.Event()
        self.deferred: list[DeferredResponse] = []
        self.address = Address("127.0.0.1", find_base_port() + 6)
        self.listener = Listener(
            app=build_asgi(self.answer, lambda: MAX_BODY_BYTES),
            address=self.address,
            handle_immediately=self.answer_immediately,
        )

    def answer_immediately(self, request: HttpRequest) -> HttpResponse | DeferredResponse | None:
        if request.path == "/later":
            self.deferred.append(DeferredResponse())
            return self.deferred[-1]
        if request.path == "/fault":
            raise ValueError("a fault")
        if request.path != "/now":
            return None
        self.immediate.append(request.body)
        # Within a task this is not None.
        self.tasks.add(asyncio.current_task())
        return HttpResponse(status=200, body=b"now:" + request.body[:8])

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.passed_on.append((request.path, len(request.body)))
        if request.path == "/slow":
            await self.gate.wait()
        return HttpResponse(status=202, body=b"passed on")


async def exchange(server: Server, *requests: bytes) -> list[tuple[int, bytes]]:
    """Send requests over one connection without waiting; return the responses in their order."""
    assert await server.listener.start() is None
    reader, writer = await asyncio.open_connection(server.address.host, server.address.port)
    writer.write(b"".join(requests))
    asyncio.get_running_loop().call_later(0.02, server.gate.set)
    responses = [await asyncio.wait_for(read_response(reader), 5) for _ in requests]
    if b"Connection: close" in requests[-1]:
        assert await asyncio.wait_for(reader.read(), 5) == b""
    writer.close()
    await server.listener.stop()
    return responses


def test_immediate_answer_creates_no_task() -> None:
    """On a busy host each iteration of the event loop is long, and a task takes two of them."""

    async def play() -> None:
        server = Server()
        assert await exchange(server, build_request("/now", b"a"), build_request("/now", b"b")) == [
            (200, b"now:a"),
            (200, b"now:b"),
        ]
        assert server.tasks == {None}
        assert server.passed_on == []

    asyncio.run(play())


def test_other_requests_reach_the_application_whole() -> None:
    async def play() -> None:
        server = Server()
        long = b"x" * (MAX_IMMEDIATE_BYTES + 70_000)
        responses = await exchange(
            server, build_request("/other", b"abc"), build_request("/now", long)
        )
        assert responses == [(202, b"passed on"), (202, b"passed on")]
        assert server.passed_on == [("/other", 3), ("/now", len(long))]

    asyncio.run(play())


def test_pipelined_requests_are_answered_in_their_order() -> None:
    """An immediate answer must not overtake that of an earlier request on the connection."""

    async def play() -> None:
        server = Server()
        responses = await exchange(
            server, build_request("/slow", b""), build_request("/now", b"a", close=True)
        )
        assert responses == [(202, b"passed on"), (202, b"passed on")]
        assert server.passed_on == [("/slow", 0), ("/now", 1)]

    asyncio.run(play())


def test_connection_is_closed_where_the_client_asks_for_it() -> None:
    async def play() -> None:
        server = Server()
        responses = await exchange(server, build_request("/now", b"a", close=True))
        assert responses == [(200, b"now:a")]

    asyncio.run(play())


def test_deferred_response_is_written_when_it_is_given() -> None:
    """Guards against answers that pass several turns of a busy host's loop on their way."""

    async def play() -> None:
        server = Server()
        assert await server.listener.start() is None
        reader, writer = await asyncio.open_connection(server.address.host, server.address.port)
        for number in range(3):
            writer.write(build_request("/later", b""))
            while len(server.deferred) <= number:
                await asyncio.sleep(0.001)
            tasks = asyncio.all_tasks()
            server.deferred[number].give(HttpResponse(status=200, body=b"%d" % number))
            assert asyncio.all_tasks() == tasks
            assert await asyncio.wait_for(read_response(reader), 5) == (200, b"%d" % number)
        writer.close()
        await server.listener.stop()

    asyncio.run(play())


def test_client_that_does_not_wait_for_its_deferred_response_is_disconnected() -> None:
    async def play() -> None:
        server = Server()
        assert await server.listener.start() is None
        reader, writer = await asyncio.open_connection(server.address.host, server.address.port)
        writer.write(build_request("/later", b"") + build_request("/now", b"a"))
        assert await asyncio.wait_for(reader.read(), 5) == b""
        assert server.immediate == []
        server.deferred[0].give(HttpResponse(status=200))
        writer.close()
        await server.listener.stop()

    asyncio.run(play())


def test_deferred_response_to_a_client_that_has_left_is_dropped() -> None:
    async def play() -> None:
        server = Server()
        assert await server.listener.start() is None
        _, writer = await asyncio.open_connection(server.address.host, server.address.port)
        writer.write(build_request("/later", b""))
        while not server.deferred:
            await asyncio.sleep(0.001)
        writer.transport.abort()
        await asyncio.sleep(0.01)
        server.deferred[0].give(HttpResponse(status=200))
        await server.listener.stop()

    asyncio.run(play())


def test_error_in_an_immediate_handler_is_answered_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against errors that look like malformed requests, with nothing in the log."""

    async def play() -> None:
        server = Server()
        responses = await exchange(
            server, build_request("/fault", b""), build_request("/now", b"a")
        )
        assert responses == [(500, b""), (200, b"now:a")]

    with caplog.at_level(logging.INFO):
        asyncio.run(play())
    assert "ValueError: a fault" in str([vars(record) for record in caplog.records])


def test_deferred_response_is_given_before_a_server_that_stops_closes_the_connection() -> None:
    """Guards against answers to jobs that are lost with the graceful stop of their host."""

    async def play() -> None:
        server = Server()
        assert await server.listener.start() is None
        reader, writer = await asyncio.open_connection(server.address.host, server.address.port)
        writer.write(build_request("/later", b""))
        while not server.deferred:
            await asyncio.sleep(0.001)
        stopping = asyncio.create_task(server.listener.stop())
        await asyncio.sleep(0.02)
        server.deferred[0].give(HttpResponse(status=200, body=b"answer"))
        assert await asyncio.wait_for(read_response(reader), 5) == (200, b"answer")
        assert await asyncio.wait_for(reader.read(), 5) == b""
        await asyncio.wait_for(stopping, 5)
        writer.close()

    asyncio.run(play())
