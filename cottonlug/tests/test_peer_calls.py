"""Calls between hosts while many jobs wait, and keep-alives to busy hosts."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

import msgspec
import uvloop

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, KeepAlive, Outcome, answer_decoder, call_decoder
from ..core.cluster.forecast import NO_WAIT
from ..net.asgi import HttpRequest, HttpResponse, build_asgi
from ..net.servers import Listener
from ..runtime.job_channel_server import JobChannelServer
from ..runtime.peer_calls import CALL_PATH, PeerCalls
from .gateway_builders import build_acting_gateway, build_clock, build_keepalive, build_submit
from .processes import find_base_port

KEEPALIVE_TIMEOUT = timedelta(milliseconds=500)
"""Much longer than a gateway waits (0.1 s); only a blocked keep-alive takes this long."""


WAITING_JOBS = 200
"""More jobs than one host may have connections."""
WAITING_CONNECTIONS = 200
"""Connections that the listener has not accepted yet."""


def build_request(call: Call) -> HttpRequest:
    return HttpRequest(method="POST", path=CALL_PATH, headers={}, body=msgspec.json.encode(call))


def test_keepalive_is_answered_while_the_maximum_of_jobs_wait() -> None:
    """A gateway whose waiting jobs used all connections to a host lost contact with it."""

    async def play() -> Answer:
        waiting_count = 0
        all_waiting = asyncio.Event()

        async def wait_forever(call: Call) -> Answer:
            nonlocal waiting_count
            waiting_count += 1
            if waiting_count == WAITING_JOBS:
                all_waiting.set()
            await asyncio.Event().wait()
            raise AssertionError("unreachable")

        channels = JobChannelServer(
            answer=wait_forever, clock=build_clock(), find_limits=lambda submit: NO_WAIT
        )

        async def answer(request: HttpRequest) -> HttpResponse:
            if channels.handles(request.path):
                return await channels.handle(request)
            assert isinstance(call_decoder.decode(request.body), KeepAlive)
            return HttpResponse(status=200, body=msgspec.json.encode(Answer(outcome=Outcome.DONE)))

        address = Address("127.0.0.1", find_base_port() + 2)
        app = build_asgi(answer, lambda: 1_000_000)
        listener = Listener(app=app, address=address, handle_immediately=channels.handle_at_once)
        assert await listener.start() is None
        calls = PeerCalls()
        waiting = [
            asyncio.create_task(calls.ask(str(address), build_submit(), timedelta(seconds=10)))
            for _ in range(WAITING_JOBS)
        ]
        await asyncio.wait_for(all_waiting.wait(), 5)
        answer_to_keepalive = await calls.ask(
            str(address), build_keepalive("10.0.0.2:7000"), KEEPALIVE_TIMEOUT
        )
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        calls.close()
        await listener.stop()
        return answer_to_keepalive

    assert asyncio.run(play()).outcome is Outcome.DONE


def test_keepalive_does_not_wait_behind_job_connections() -> None:
    """Hundreds of jobs wait for a host that restarts, and each opens a connection.

    After a power failure of all hosts the leader accepted one connection per loop iteration. For
    six seconds keep-alives were 0.4 to 0.85 s late: jobs were abandoned and submitted again.
    """

    async def play() -> tuple[Outcome, int]:
        accepted = 0

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body=msgspec.json.encode(Answer(outcome=Outcome.DONE)))

        app = build_asgi(answer, lambda: 10_000)

        async def count(scope: object, receive: object, send: object) -> None:
            nonlocal accepted
            accepted += 1
            await app(scope, receive, send)  # type: ignore[arg-type]

        peers = Address("127.0.0.1", find_base_port() + 3)
        urgent = Address("127.0.0.1", find_base_port() + 4)
        listeners = [
            Listener(app=count, address=peers),
            Listener(app=app, address=urgent, accepts_all=True),
        ]
        for listener in listeners:
            assert await listener.start() is None
        clients = [
            socket.create_connection((peers.host, peers.port)) for _ in range(WAITING_CONNECTIONS)
        ]
        for client in clients:
            client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        calls = PeerCalls(urgent_port=urgent.port)
        answer_to_keepalive = await calls.ask(
            str(peers), build_keepalive("10.0.0.2:7000"), KEEPALIVE_TIMEOUT
        )
        accepted_before = accepted
        for client in clients:
            client.close()
        calls.close()
        for listener in listeners:
            await listener.stop()
        return answer_to_keepalive.outcome, accepted_before

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome, accepted_before = runner.run(play())
    assert outcome is Outcome.DONE
    assert accepted_before < WAITING_CONNECTIONS / 4


def test_acting_leader_answers_only_keepalives_immediately() -> None:
    async def play() -> None:
        gateway, _ = build_acting_gateway()
        request = build_request(build_keepalive("10.0.0.2:7000"))
        assert gateway.answer_at_once(request) is None
        await gateway.link.check_failover()
        reply = gateway.answer_at_once(request)
        assert isinstance(reply, HttpResponse)
        answer = answer_decoder.decode(reply.body)
        assert (answer.outcome, answer.is_acting_leader) == (Outcome.DONE, True)
        assert gateway.acting_leader is not None
        # The acting leader relies on a gateway that proves contact by an answer received from it.
        again = msgspec.structs.replace(build_keepalive("10.0.0.2:7000"), contact=answer.contact)
        assert gateway.answer_at_once(build_request(again)) is not None
        assert gateway.acting_leader.leadership.gateways.is_connected("10.0.0.2:7000")
        assert gateway.answer_at_once(build_request(build_submit())) is None
        gateway.stop()

    asyncio.run(play())
