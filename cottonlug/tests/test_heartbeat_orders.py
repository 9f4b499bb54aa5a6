"""Orders that travel in the answers to heartbeats, against an upstream of our own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from ..core.clock import ManualClock
from ..core.cluster.calls import Answer, Beat, Call, HeartbeatOrders, HeartbeatStart, Outcome
from ..core.cluster.lives import LeaseTerms
from ..core.cluster.model import (
    EndKind,
    EndReport,
    Heartbeat,
    JobId,
    LookReply,
    RunNumber,
    RunReport,
    TaskRef,
)
from ..core.cluster.orders import CallFailure, LookOrder, StartOrder, StartOutcome, StopOrder
from ..core.ids import UpstreamId
from ..net.asgi import HttpRequest
from ..platform.control import build_control_handler
from ..runtime.heartbeat_port import (
    ANSWER_VOID,
    DELIVERY,
    QUEUED_AT_MOST,
    SETTLED_WITHIN,
    HeartbeatPort,
)
from .gateway_builders import build_clock
from .model_upstreams import build_info, milliseconds

REF = TaskRef(JobId("5c0e7a21d94b36f8"), 0, 0, 1)
RUN = RunNumber(4_096)
TOKEN = 7
INFO = build_info("u1")


class Exchange:
    """A port, its clock, and an upstream that sends one heartbeat at a time."""

    def __init__(self) -> None:
        self.clock: ManualClock = build_clock()
        self.listening: list[bool] = []
        self.port = HeartbeatPort(
            clock=self.clock,
            lease=timedelta(seconds=1),
            note_listening=lambda id, is_there: self.listening.append(is_there),
        )
        self.sequence = 0

    async def beat(
        self,
        running: tuple[RunReport, ...] = (),
        ended: tuple[EndReport, ...] = (),
        sequence: int | None = None,
    ) -> HeartbeatOrders:
        self.sequence += 1
        heartbeat = Heartbeat(
            info=INFO,
            sequence=self.sequence if sequence is None else sequence,
            draining=False,
            held=LookReply(clock_ms=1_000, running=running, ended=ended),
        )
        return await self.port.exchange(heartbeat, TOKEN)


def play(scenario: Callable[[Exchange], Any]) -> None:
    async def run() -> None:
        await scenario(Exchange())

    asyncio.run(run())


def build_start() -> StartOrder:
    return StartOrder(
        upstream=INFO, task=REF, run=RUN, payload="text", checkpoint="", expires_ms=2_000
    )


def build_look(last_seen: int = 0) -> LookOrder:
    return LookOrder(upstream=INFO, last_seen=last_seen, expires_ms=2_000, wait=timedelta())


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_a_start_goes_with_an_answer_that_is_kept_and_is_settled_by_the_next_heartbeat() -> None:
    async def scenario(exchange: Exchange) -> None:
        kept = asyncio.create_task(exchange.beat())
        await settle()
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        orders = await kept
        assert orders.starts == (HeartbeatStart(task=REF, run=RUN, payload="text"),)
        assert (orders.token, orders.lease_ms) == (TOKEN, 1_000)
        assert not starting.done()
        report = RunReport(task=REF, run=RUN)
        again = asyncio.create_task(exchange.beat(running=(report,)))
        assert await starting == (StartOutcome.STARTED, 1_000)
        exchange.port.close()
        assert (await again).starts == ()
        assert exchange.listening == [True, False, True]

    play(scenario)


def test_a_run_that_has_ended_by_the_next_heartbeat_had_started() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await settle()
        await exchange.beat()
        end = EndReport(number=1, task=REF, run=RUN, how=EndKind.DONE)
        kept = asyncio.create_task(exchange.beat(ended=(end,)))
        assert (await starting)[0] is StartOutcome.STARTED
        exchange.port.close()
        await kept

    play(scenario)


def test_a_start_that_the_next_heartbeat_does_not_list_will_never_begin() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await settle()
        await exchange.beat()
        kept = asyncio.create_task(exchange.beat())
        assert (await starting)[0] is StartOutcome.IGNORED
        exchange.port.close()
        await kept

    play(scenario)


def test_an_overtaken_heartbeat_settles_nothing_and_gets_no_orders() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await settle()
        orders = await exchange.beat()
        assert orders.starts
        late = await exchange.beat(sequence=0)
        assert late == HeartbeatOrders(token=TOKEN, last_seen=0)
        await settle()
        assert not starting.done()
        starting.cancel()

    play(scenario)


def test_a_start_for_a_silent_upstream_was_surely_not_sent() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await settle()
        exchange.clock.advance(QUEUED_AT_MOST + milliseconds(1))
        assert (await starting)[0] is StartOutcome.NOT_SENT
        orders = asyncio.create_task(exchange.beat())
        await settle()
        exchange.port.close()
        assert (await orders).starts == ()

    play(scenario)


def test_a_start_whose_answer_may_be_lost_is_unknown() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await settle()
        assert (await exchange.beat()).starts
        exchange.clock.advance(SETTLED_WITHIN + milliseconds(1))
        assert (await starting)[0] is StartOutcome.UNKNOWN

    play(scenario)


def test_a_look_renews_the_lease_and_returns_the_lists_of_the_next_heartbeat() -> None:
    async def scenario(exchange: Exchange) -> None:
        looking = asyncio.create_task(exchange.port.poll(build_look(last_seen=5), TOKEN))
        stopping = asyncio.create_task(
            exchange.port.stop(StopOrder(upstream=INFO, task=REF, run=RUN), TOKEN)
        )
        await settle()
        orders = await exchange.beat()
        assert (orders.last_seen, orders.lease_ms) == (5, 1_000)
        assert orders.stops == ((REF, RUN),)
        end = EndReport(number=6, task=REF, run=RUN, how=EndKind.STOPPED)
        kept = asyncio.create_task(exchange.beat(ended=(end,)))
        reply = await looking
        assert isinstance(reply, LookReply)
        assert reply.ended == (end,)
        assert await stopping is None
        exchange.port.close()
        await kept

    play(scenario)


def test_a_look_at_a_silent_upstream_fails() -> None:
    async def scenario(exchange: Exchange) -> None:
        looking = asyncio.create_task(exchange.port.poll(build_look(), TOKEN))
        await settle()
        exchange.clock.advance(QUEUED_AT_MOST + milliseconds(1))
        assert await looking is CallFailure.NO_ANSWER

    play(scenario)


def test_leases_are_counted_from_when_an_order_may_arrive_at_the_latest() -> None:
    assert DELIVERY >= QUEUED_AT_MOST + ANSWER_VOID
    assert SETTLED_WITHIN > ANSWER_VOID, "an answer under way may still be taken in until then"
    called = LeaseTerms(longest=timedelta(seconds=1))
    answered = LeaseTerms(longest=timedelta(seconds=1), delivery=DELIVERY)
    assert answered.lapse_after == called.lapse_after + DELIVERY


def test_lists_and_orders_are_written_as_the_platform_has_them() -> None:
    calls: list[Call] = []
    orders = HeartbeatOrders(
        token=7,
        last_seen=58,
        lease_ms=1_000,
        starts=(HeartbeatStart(task=REF, run=RunNumber(1), payload="(text)"),),
        stops=((REF, RunNumber(2)),),
        next_after_ms=200,
    )

    async def answer(call: Call) -> Answer:
        calls.append(call)
        return Answer(outcome=Outcome.DONE, orders=orders)

    name = "5c0e7a21d94b36f8.0.0.1"
    body = {
        "service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "seq_no": 4,
            "clock_ms": 482_113,
        "running": [[name, 2, "00000bb87a21d94b", 41]],
        "finished": [[58, name, 1, "done", ""]],
    }  # fmt: skip
    request = HttpRequest(
        method="PUT", path="/instances/i-1", headers={}, body=msgspec.json.encode(body)
    )
    response = asyncio.run(build_control_handler(answer)(request))
    (call,) = calls
    assert isinstance(call, Beat)
    assert call.heartbeat.info.id == UpstreamId("i-1")
    held = call.heartbeat.held
    assert held is not None
    assert (held.running[0].percent, held.ended[0].how) == (41, EndKind.DONE)
    assert msgspec.json.decode(response.body) == {
        "hold_ms": 1_000,
        "last_seen": 58,
        "fencing_token": 7,
        "start": [[name, 1, "(text)", ""]],
        "stop": [[name, 2]],
        "retry_after_ms": 200,
    }
