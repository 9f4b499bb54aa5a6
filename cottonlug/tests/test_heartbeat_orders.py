"""Orders that are sent in the answers to heartbeats, against a simulated upstream.

On the deployment platform upstreams cannot be called. `HeartbeatPort` parks the answer to each
heartbeat until there are orders to send; the next heartbeat resolves them, that is, shows what
became of them. A start resolved wrongly would lead to a second run of its task, or to none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from ..core.clock import ManualClock
from ..core.cluster.calls import (
    Answer,
    Call,
    ForwardHeartbeat,
    HeartbeatOrders,
    HeartbeatStart,
    Outcome,
)
from ..core.cluster.instances import LeaseTerms
from ..core.cluster.model import (
    Heartbeat,
    JobId,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunNumber,
    RunReport,
    TaskRef,
)
from ..core.cluster.orders import CallFailure, PollOrder, StartOrder, StartOutcome, StopOrder
from ..core.ids import UpstreamId
from ..net.asgi import HttpRequest
from ..platform.control import build_control_handler
from ..runtime.heartbeat_port import (
    ANSWER_EXPIRY,
    MAX_DELIVERY_DELAY,
    MAX_QUEUE_TIME,
    RESOLUTION_TIMEOUT,
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
            on_listening_change=lambda id, is_listening: self.listening.append(is_listening),
        )
        self.sequence = 0

    async def send_heartbeat(
        self,
        running: tuple[RunReport, ...] = (),
        ended: tuple[RunEndReport, ...] = (),
        sequence: int | None = None,
    ) -> HeartbeatOrders:
        self.sequence += 1
        heartbeat = Heartbeat(
            info=INFO,
            sequence=self.sequence if sequence is None else sequence,
            draining=False,
            poll_reply=PollReply(clock_ms=1_000, running=running, ended=ended),
        )
        return await self.port.handle_heartbeat(heartbeat, TOKEN)


def play(scenario: Callable[[Exchange], Any]) -> None:
    async def run() -> None:
        await scenario(Exchange())

    asyncio.run(run())


def build_start() -> StartOrder:
    return StartOrder(
        upstream=INFO, task=REF, run=RUN, payload="text", checkpoint="", expires_ms=2_000
    )


def build_poll(last_seen: int = 0) -> PollOrder:
    return PollOrder(upstream=INFO, last_seen=last_seen, expires_ms=2_000, wait=timedelta())


async def run_callbacks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def test_start_is_sent_with_a_parked_answer_and_resolved_by_the_next_heartbeat() -> None:
    async def scenario(exchange: Exchange) -> None:
        parked = asyncio.create_task(exchange.send_heartbeat())
        await run_callbacks()
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        orders = await parked
        assert orders.starts == (HeartbeatStart(task=REF, run=RUN, payload="text"),)
        assert (orders.token, orders.lease_ms) == (TOKEN, 1_000)
        assert not starting.done()
        report = RunReport(task=REF, run=RUN)
        again = asyncio.create_task(exchange.send_heartbeat(running=(report,)))
        assert await starting == (StartOutcome.STARTED, 1_000)
        exchange.port.close()
        assert (await again).starts == ()
        assert exchange.listening == [True, False, True]

    play(scenario)


def test_run_that_ended_before_the_next_heartbeat_counts_as_started() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await run_callbacks()
        await exchange.send_heartbeat()
        end = RunEndReport(number=1, task=REF, run=RUN, how=RunEndKind.DONE)
        parked = asyncio.create_task(exchange.send_heartbeat(ended=(end,)))
        assert (await starting)[0] is StartOutcome.STARTED
        exchange.port.close()
        await parked

    play(scenario)


def test_start_missing_from_the_next_heartbeat_counts_as_ignored() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await run_callbacks()
        await exchange.send_heartbeat()
        parked = asyncio.create_task(exchange.send_heartbeat())
        assert (await starting)[0] is StartOutcome.IGNORED
        exchange.port.close()
        await parked

    play(scenario)


def test_overtaken_heartbeat_resolves_nothing_and_gets_no_orders() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await run_callbacks()
        orders = await exchange.send_heartbeat()
        assert orders.starts
        late = await exchange.send_heartbeat(sequence=0)
        assert late == HeartbeatOrders(token=TOKEN, last_seen=0)
        await run_callbacks()
        assert not starting.done()
        starting.cancel()

    play(scenario)


def test_start_for_a_silent_upstream_counts_as_not_sent() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await run_callbacks()
        exchange.clock.advance(MAX_QUEUE_TIME + milliseconds(1))
        assert (await starting)[0] is StartOutcome.NOT_SENT
        orders = asyncio.create_task(exchange.send_heartbeat())
        await run_callbacks()
        exchange.port.close()
        assert (await orders).starts == ()

    play(scenario)


def test_start_whose_answer_may_be_lost_is_unknown() -> None:
    async def scenario(exchange: Exchange) -> None:
        starting = asyncio.create_task(exchange.port.start(build_start(), TOKEN))
        await run_callbacks()
        assert (await exchange.send_heartbeat()).starts
        exchange.clock.advance(RESOLUTION_TIMEOUT + milliseconds(1))
        assert (await starting)[0] is StartOutcome.UNKNOWN

    play(scenario)


def test_poll_renews_the_lease_and_returns_the_lists_of_the_next_heartbeat() -> None:
    async def scenario(exchange: Exchange) -> None:
        polling = asyncio.create_task(exchange.port.poll(build_poll(last_seen=5), TOKEN))
        stopping = asyncio.create_task(
            exchange.port.stop(StopOrder(upstream=INFO, task=REF, run=RUN), TOKEN)
        )
        await run_callbacks()
        orders = await exchange.send_heartbeat()
        assert (orders.last_seen, orders.lease_ms) == (5, 1_000)
        assert orders.stops == ((REF, RUN),)
        end = RunEndReport(number=6, task=REF, run=RUN, how=RunEndKind.STOPPED)
        parked = asyncio.create_task(exchange.send_heartbeat(ended=(end,)))
        reply = await polling
        assert isinstance(reply, PollReply)
        assert reply.ended == (end,)
        assert await stopping is None
        exchange.port.close()
        await parked

    play(scenario)


def test_poll_of_a_silent_upstream_fails() -> None:
    async def scenario(exchange: Exchange) -> None:
        polling = asyncio.create_task(exchange.port.poll(build_poll(), TOKEN))
        await run_callbacks()
        exchange.clock.advance(MAX_QUEUE_TIME + milliseconds(1))
        assert await polling is CallFailure.NO_ANSWER

    play(scenario)


def test_leases_count_from_the_latest_arrival_of_an_order() -> None:
    assert MAX_DELIVERY_DELAY >= MAX_QUEUE_TIME + ANSWER_EXPIRY
    assert RESOLUTION_TIMEOUT > ANSWER_EXPIRY, "an answer in transit may be processed until then"
    called = LeaseTerms(longest=timedelta(seconds=1))
    answered = LeaseTerms(longest=timedelta(seconds=1), max_delivery_delay=MAX_DELIVERY_DELAY)
    assert answered.lapse_after == called.lapse_after + MAX_DELIVERY_DELAY


def test_lists_and_orders_use_the_wire_format_of_the_platform() -> None:
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
    assert isinstance(call, ForwardHeartbeat)
    assert call.heartbeat.info.id == UpstreamId("i-1")
    held = call.heartbeat.poll_reply
    assert held is not None
    assert (held.running[0].percent, held.ended[0].how) == (41, RunEndKind.DONE)
    assert msgspec.json.decode(response.body) == {
        "hold_ms": 1_000,
        "last_seen": 58,
        "fencing_token": 7,
        "start": [[name, 1, "(text)", ""]],
        "stop": [[name, 2]],
        "retry_after_ms": 200,
    }
