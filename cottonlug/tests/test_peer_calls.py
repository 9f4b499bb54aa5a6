"""Calls between hosts while many jobs wait, and greetings of hosts with much to do."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

import msgspec
import uvloop

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, Greet, Outcome, answer_decoder, call_decoder
from ..net.asgi import HttpRequest, HttpResponse, build_asgi
from ..net.servers import Listener
from ..runtime.job_lines import JobLines
from ..runtime.peer_calls import CALL_PATH, PeerCalls
from .gateway_builders import build_clock, greet, stand_in, submit
from .processes import find_base_port

GREET_TIMEOUT = timedelta(milliseconds=500)
"""Much longer than a gateway waits (0.1 s): only one that is stuck takes as long."""


HELD_CALLS = 200
"""Jobs that wait at one host: more than it may have connections."""
WAITING = 200
"""Connections that nobody has taken in yet."""


def build_request(call: Call) -> HttpRequest:
    return HttpRequest(method="POST", path=CALL_PATH, headers={}, body=msgspec.json.encode(call))


def test_a_host_is_greeted_while_as_many_jobs_wait_there_as_may() -> None:
    """Load: a backlog. A gateway whose jobs held all connections fell out of touch with it."""

    async def play() -> Answer:
        held = 0
        all_held = asyncio.Event()

        async def hold(call: Call) -> Answer:
            nonlocal held
            held += 1
            if held == HELD_CALLS:
                all_held.set()
            await asyncio.Event().wait()
            raise AssertionError("unreachable")

        lines = JobLines(answer=hold, clock=build_clock(), find_slack=lambda submit: 1.0)

        async def answer(request: HttpRequest) -> HttpResponse:
            if lines.handles(request.path):
                return await lines.handle(request)
            assert isinstance(call_decoder.decode(request.body), Greet)
            return HttpResponse(status=200, body=msgspec.json.encode(Answer(outcome=Outcome.DONE)))

        address = Address("127.0.0.1", find_base_port() + 2)
        app = build_asgi(answer, lambda: 1_000_000, lines.handle_at_once)
        listener = Listener(app=app, address=address)
        assert await listener.start() is None
        calls = PeerCalls()
        waiting = [
            asyncio.create_task(calls.ask(str(address), submit(), timedelta(seconds=10)))
            for _ in range(HELD_CALLS)
        ]
        await asyncio.wait_for(all_held.wait(), 5)
        greeted = await calls.ask(str(address), greet("10.0.0.2:7000"), GREET_TIMEOUT)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        calls.close()
        await listener.stop()
        return greeted

    assert asyncio.run(play()).outcome is Outcome.DONE


def test_a_greeting_does_not_wait_behind_connections_for_jobs() -> None:
    """Load: hundreds of jobs have waited for a host that comes back, and each opens a connection.

    Failed before: after a power cut of all hosts the leader took one connection in a turn, and for
    six seconds greetings came 0.4 to 0.85 s late: jobs were given up and came again.
    """

    async def play() -> tuple[Outcome, int]:
        taken_in = 0

        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(status=200, body=msgspec.json.encode(Answer(outcome=Outcome.DONE)))

        app = build_asgi(answer, lambda: 10_000)

        async def count(scope: object, receive: object, send: object) -> None:
            nonlocal taken_in
            taken_in += 1
            await app(scope, receive, send)  # type: ignore[arg-type]

        peers = Address("127.0.0.1", find_base_port() + 3)
        urgent = Address("127.0.0.1", find_base_port() + 4)
        listeners = [
            Listener(app=count, address=peers),
            Listener(app=app, address=urgent, accepts_all=True),
        ]
        for listener in listeners:
            assert await listener.start() is None
        clients = [socket.create_connection((peers.host, peers.port)) for _ in range(WAITING)]
        for client in clients:
            client.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        calls = PeerCalls(urgent_port=urgent.port)
        greeted = await calls.ask(str(peers), greet("10.0.0.2:7000"), GREET_TIMEOUT)
        before_it = taken_in
        for client in clients:
            client.close()
        calls.close()
        for listener in listeners:
            await listener.stop()
        return greeted.outcome, before_it

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        outcome, before_it = runner.run(play())
    assert outcome is Outcome.DONE
    assert before_it < WAITING / 4


def test_a_deputy_answers_greetings_at_once_and_nothing_else() -> None:
    async def play() -> None:
        gateway, _ = stand_in()
        request = build_request(greet("10.0.0.2:7000"))
        assert gateway.answer_at_once(request) is None
        await gateway.link.replace_leader()
        reply = gateway.answer_at_once(request)
        assert reply is not None
        answer = answer_decoder.decode(reply.body)
        assert (answer.outcome, answer.is_deputy) == (Outcome.DONE, True)
        assert gateway.deputy is not None
        # It counts on a gateway that has had an answer of its own, and says so.
        again = msgspec.structs.replace(greet("10.0.0.2:7000"), contact=answer.contact)
        assert gateway.answer_at_once(build_request(again)) is not None
        assert gateway.deputy.leading.gateways.is_heard("10.0.0.2:7000")
        assert gateway.answer_at_once(build_request(submit())) is None
        gateway.stop()

    asyncio.run(play())


def test_what_is_answered_at_once_makes_no_task() -> None:
    """On a host with much to do each turn of the loop is long, and a task takes two."""

    async def play() -> tuple[list[int], int]:
        async def never(request: HttpRequest) -> HttpResponse:
            raise AssertionError("answered at once")

        app = build_asgi(never, lambda: 1_000, lambda request: HttpResponse(status=204))
        statuses: list[int] = []

        async def receive() -> dict[str, object]:
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message: dict[str, object]) -> None:
            status = message.get("status")
            if isinstance(status, int):
                statuses.append(status)

        scope = {"type": "http", "method": "POST", "path": "/", "headers": []}
        before = len(asyncio.all_tasks())
        await app(scope, receive, send)  # type: ignore[arg-type]
        return statuses, len(asyncio.all_tasks()) - before

    assert asyncio.run(play()) == ([204], 0)
