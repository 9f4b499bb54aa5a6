"""Requests that a gateway reads late, and what the kernel tells of their connections.

Failure: two runs of a task, the first one for a caller that had timed out, or had gone, before its
request was read.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..net.asgi import HttpRequest, HttpResponse, build_asgi
from ..net.client_connections import ClientConnection
from ..net.servers import Listener
from ..platform.front import build_caller_handler
from .gateway_builders import JOB, build_acting_gateway
from .processes import find_base_port
from .test_cluster_contact import run_callbacks
from .test_cluster_pauses import JOB_BODY, LOOP_TURNS, RecordingPort


def test_the_time_that_a_request_lay_unread_counts_towards_its_objective() -> None:
    """Guards against an objective that counts from when the request was read."""

    async def scenario() -> list[int]:
        gateway, _ = build_acting_gateway()
        gateway.link._port = RecordingPort()
        await gateway.link.check_failover()
        waited: list[int] = []
        try_once = gateway._try_once

        async def record(call: Call, timeout: timedelta) -> Answer:
            if isinstance(call, Submit):
                waited.append(call.waited_ms)
            return await try_once(call, timeout)

        gateway._try_once = record  # type: ignore[method-assign]
        handle = build_caller_handler(gateway.call, gateway.abandon, lambda: False)
        request = HttpRequest(
            method="POST",
            path=f"/q/{JOB}",
            headers={"host": "host", "x-timeout-ms": "3000"},
            body=JOB_BODY,
            age=timedelta(seconds=1),
        )
        handling = asyncio.ensure_future(handle(request))
        await run_callbacks()
        handling.cancel()
        gateway.stop()
        return waited

    assert asyncio.run(scenario())[0] >= 1_000


def refuse(*args: object, **kwargs: object) -> socket.socket:
    raise OSError(errno.ENOPROTOOPT, "not supported")


def test_a_kernel_that_refuses_to_describe_a_socket_leaves_the_age_at_0(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a gateway that serves nobody where sockets are simulated in part."""
    one, other = socket.socketpair()
    transport = SimpleNamespace(is_closing=lambda: False, get_extra_info=lambda name: one)
    monkeypatch.setattr(socket, "socket", refuse)
    try:
        connection = ClientConnection(transport=cast(Any, transport))
        assert connection.measure_age() == timedelta()
    finally:
        one.close()
        other.close()


def test_a_kernel_that_cannot_tell_of_closed_connections_has_no_request_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the same where the kernel does not understand the question."""
    one, other = socket.socketpair()
    transport = SimpleNamespace(is_closing=lambda: False, get_extra_info=lambda name: one)
    events = [(one.fileno(), select.POLLNVAL)]
    poll = SimpleNamespace(register=lambda fd, mask: None, poll=lambda timeout: events)
    monkeypatch.setattr(select, "poll", lambda: poll)
    try:
        assert not ClientConnection(transport=cast(Any, transport)).has_client_left()
    finally:
        one.close()
        other.close()


async def serve(
    use: Callable[[Address, list[HttpRequest]], Any],
    host: str = "127.0.0.1",
    *,
    checks_clients: bool = True,
) -> list[HttpRequest]:
    """Serve a client; return the requests that were carried out, when all connections are gone."""
    requests: list[HttpRequest] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        requests.append(request)
        await asyncio.sleep(0.01)
        return HttpResponse(status=200)

    address = Address(host, find_base_port())
    app = build_asgi(handle, lambda: 10_000, checks_clients=checks_clients)
    listener = Listener(app=app, address=address)
    assert await listener.start() is None
    await use(address, requests)
    for _ in range(100):
        if not (listener._server.server_state.tasks or listener._server.server_state.connections):
            break
        await asyncio.sleep(0.01)
    state = listener._server.server_state
    assert not state.connections, "a connection is held though its client has gone"
    assert not state.tasks, "a request waits for ever, and so does the end of this process"
    await listener.stop()
    return requests


GET = b"GET /q/ HTTP/1.1\r\nHost: host\r\n\r\n"


@pytest.mark.parametrize("count", [1, 2, 5])
def test_pipelined_requests_of_a_client_that_has_left_end(count: int) -> None:
    """Guards against requests that wait for the end of their connection for ever."""

    async def use(address: Address, requests: list[HttpRequest]) -> None:
        caller = socket.create_connection((address.host, address.port))
        caller.sendall(GET * count)
        caller.close()
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert not runner.run(serve(use))


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"])
def test_later_requests_of_a_connection_have_an_age_of_their_own(host: str) -> None:
    """Guards against the age of a connection in place of that of its last request."""

    async def use(address: Address, requests: list[HttpRequest]) -> None:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        for _ in range(3):
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.2)
        writer.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        ages = [each.age for each in runner.run(serve(use, host))]
    assert len(ages) == 3
    assert max(ages) < timedelta(milliseconds=100)


def test_a_call_with_a_short_timeout_is_not_called_late() -> None:
    """Guards against a misleading reason for callers that wait 40 ms or less."""

    async def scenario() -> Answer:
        gateway, _ = build_acting_gateway()
        await gateway.link.check_failover()
        answers: list[Answer] = []

        async def call(call: Call, timeout: timedelta) -> Answer:
            answers.append(await gateway.call(call, timeout))
            return answers[-1]

        handle = build_caller_handler(call, gateway.abandon, lambda: False)
        request = HttpRequest(
            method="GET", path=f"/q/{JOB}", headers={"host": "host", "x-timeout-ms": "40"}, body=b""
        )
        await handle(request)
        gateway.stop()
        return answers[0]

    answer = asyncio.run(scenario())
    assert answer.outcome is not Outcome.DONE
    assert "read too late" not in answer.detail


def test_a_late_control_host_still_receives_the_log() -> None:
    """Guards against dropped batches of the log, whose sender has stopped waiting for the answer.

    A host that is late by more than the sender's timeout each time would never hear of its leader.
    """

    async def use(address: Address, requests: list[HttpRequest]) -> None:
        batch = b"POST /v1/consensus HTTP/1.1\r\nHost: host\r\nContent-Length: 2\r\n\r\n{}"
        for _ in range(3):
            sender = socket.create_connection((address.host, address.port))
            sender.sendall(batch)
            sender.close()
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert len(runner.run(serve(use, checks_clients=False))) == 3
