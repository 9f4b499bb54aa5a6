"""Gateways while the coordinator changes: answers to callers, keep-alives, relays."""

from __future__ import annotations

import asyncio
import contextlib
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import (
    Abandon,
    Answer,
    Call,
    Cancel,
    Outcome,
    Submit,
)
from ..core.cluster.host_sizes import UNKNOWN_SIZE, HostSize
from ..core.cluster.model import StepSpec
from ..net.asgi import HttpRequest
from ..platform.front import build_caller_handler
from ..runtime import call_limit
from ..runtime.call_limit import AT_LIMIT, BYTES_PER_CALL, MIN_MEMORY_SHARE, CallLimit
from ..runtime.coordinator_link import CALLS_LOST_AFTER, RELAY_AFTER, Via
from ..runtime.gateway import NO_LEADER
from .gateway_builders import (
    CALL_TIMEOUT,
    LEADER,
    answer_as_leader,
    answer_in_turn,
    build_clock,
    build_failover_state,
    build_gateway,
    build_gateways,
    build_submit,
    connect_with_leader,
)
from .model_upstreams import build_spec, milliseconds
from .test_cluster_events import record_events


def test_rejection_after_an_unknown_try_is_not_reported_as_not_run() -> None:
    """A caller got status 429 for a job that an earlier leader had run."""
    gateway = build_gateway(build_clock())
    answers = [Answer(outcome=Outcome.UNKNOWN), Answer(outcome=Outcome.REJECTED)]
    tried = answer_in_turn(gateway, answers)
    answer = asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT))
    assert answer.outcome is Outcome.UNKNOWN
    second = tried[1]
    assert isinstance(second, Submit)
    assert second.may_have_begun


def test_rejection_of_the_first_try_is_returned_to_the_caller() -> None:
    gateway = build_gateway(build_clock())
    rejected = Answer(outcome=Outcome.REJECTED, retry_after_ms=2_000)
    answer_in_turn(gateway, [rejected])
    assert asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT)) == rejected


def test_next_leader_learns_of_a_try_at_an_acting_leader() -> None:
    gateway = build_gateway(build_clock())
    gateway.link.receive_failover_state(build_failover_state())
    gateway.link.follow("10.0.0.2:7000", Via.ACTING_LEADER)
    answers = [Answer(outcome=Outcome.UNKNOWN), Answer(outcome=Outcome.DONE)]
    tried = answer_in_turn(gateway, answers)
    asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT))
    second = tried[1]
    assert isinstance(second, Submit)
    assert second.acting_leader_term == 5


def test_job_answered_as_unknown_is_abandoned() -> None:
    """Its caller gets no result of this try, so its runs must be stopped."""

    async def play() -> list[Call]:
        clock = build_clock()
        gateway = build_gateway(clock)
        gateway.link.receive_failover_state(build_failover_state())
        tried: list[Call] = []

        async def try_once(call: Call, timeout: timedelta) -> Answer:
            tried.append(call)
            clock.advance(milliseconds(500))
            return Answer(outcome=Outcome.UNKNOWN)

        gateway._try_once = try_once  # type: ignore[method-assign]
        answer = await gateway.call(build_submit(), timedelta(seconds=10))
        assert answer.outcome is Outcome.UNKNOWN
        await asyncio.sleep(0)
        return tried

    tried = asyncio.run(play())
    assert [type(call) for call in tried] == [Submit, Abandon]


def test_lost_leader_is_dropped_when_another_host_names_its_successor() -> None:
    """A leader that had lost its disk got keep-alives for a second while its successor led."""

    async def play() -> None:
        gateway = build_gateway(build_clock())
        gateway.link.hosts = ["10.0.1.1:7000", "10.0.1.2:7000"]
        gateway.link.follow("10.0.1.1:7000", Via.LEADER)

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            if host == "10.0.1.1:7000":
                return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
            return Answer(outcome=Outcome.DONE, leader="10.0.1.3:7000")

        gateway.calls.ask = ask  # type: ignore[method-assign]
        await gateway.link.send_keepalive()
        assert gateway.coordinator == "10.0.1.3:7000"

    asyncio.run(play())


def test_next_leader_is_found_while_an_answer_of_the_lost_one_is_outstanding() -> None:
    """Each keep-alive to a lost leader delayed the search for the next one by 100 ms."""

    async def play() -> None:
        gateway = build_gateway(build_clock())
        gateway.link.hosts = [LEADER, "10.0.1.2:7000", "10.0.1.3:7000"]
        gateway.link.follow(LEADER, Via.LEADER)

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            if host == LEADER:
                await asyncio.sleep(3_600)
            if host == "10.0.1.2:7000":
                return Answer(outcome=Outcome.UNAVAILABLE, leader="10.0.1.3:7000")
            return Answer(outcome=Outcome.DONE, leader=host, hosts=("10.0.1.2:7000", host))

        gateway.calls.ask = ask  # type: ignore[method-assign]
        await gateway.link.send_keepalive()
        assert gateway.coordinator == "10.0.1.3:7000"
        gateway.stop()

    asyncio.run(asyncio.wait_for(play(), 30))


def test_job_is_withheld_from_an_overdue_leader_and_sent_to_the_next_as_not_started() -> None:
    """Jobs sent in the 0.35 s before a lost leader was unfollowed might have started there.

    So they waited until all upstreams were polled, and 425 callers in a day (1.1 %) could not be
    told that their jobs had reached no upstream.
    """

    async def play() -> None:
        clock = build_clock()
        gateway = build_gateways(1, clock)[0]
        is_lost = False
        sent: list[tuple[str, Call]] = []

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            if isinstance(call, Submit):
                sent.append((host, call))
                return Answer(outcome=Outcome.DONE)
            if is_lost and host == LEADER:
                clock.advance(milliseconds(50))
                await asyncio.sleep(0.1)
                return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
            return Answer(outcome=Outcome.DONE, leader=LEADER, hosts=(LEADER,))

        gateway.calls.ask = ask  # type: ignore[method-assign]
        await gateway.link.send_keepalive()
        is_lost = True
        keepalive = asyncio.create_task(gateway.link.send_keepalive())
        await asyncio.sleep(0)
        calling = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
        await asyncio.sleep(0.02)
        assert not sent
        assert gateway.withheld_count
        gateway.link.follow("10.0.1.2:7000", Via.LEADER)
        assert (await calling).outcome is Outcome.DONE
        ((host, call),) = sent
        assert host == "10.0.1.2:7000"
        assert isinstance(call, Submit) and not call.may_have_begun
        keepalive.cancel()

    asyncio.run(play())


def test_withheld_job_is_sent_as_soon_as_an_overdue_leader_answers() -> None:
    async def play() -> None:
        clock = build_clock()
        gateway = build_gateways(1, clock)[0]
        connect_with_leader([gateway], lambda asking, host: False, answer_as_leader)
        gateway.link.follow(LEADER, Via.LEADER)
        gateway.link._keepalive_tracker.record_sent(LEADER)
        clock.advance(milliseconds(50))
        assert gateway.link.is_overdue()
        calling = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
        await asyncio.sleep(0)
        assert not calling.done()
        await gateway.link.send_keepalive()
        assert not gateway.link.is_overdue()
        assert (await calling).outcome is Outcome.DONE

    asyncio.run(play())


def test_gateway_cut_off_from_the_control_hosts_is_served_through_a_relay() -> None:
    """Without a relay its callers were not served for as long as the cut lasted."""

    async def play() -> None:
        clock = build_clock()
        cut_off, other = gateways = build_gateways(2, clock)
        connect_with_leader(
            gateways, lambda asking, host: asking is cut_off and host == LEADER, answer_as_leader
        )
        await other.link.send_keepalive()
        cut_off.link.follow(LEADER, Via.LEADER)
        clock.advance(RELAY_AFTER)
        await other.link.send_keepalive()
        await cut_off.link.send_keepalive()
        await cut_off.link.check_failover()
        assert (cut_off.coordinator, cut_off.link.via) == (other.link.own_address, Via.RELAY)
        assert (await cut_off.call(build_submit(), CALL_TIMEOUT)).detail == "led"
        clock.advance(timedelta(seconds=1))
        await other.link.send_keepalive()
        await cut_off.link.check_failover()
        assert cut_off.is_ready()
        assert cut_off.acting_leader is None

    asyncio.run(play())


def test_calls_are_not_sent_to_a_silent_leader() -> None:
    """All durable jobs were sent to a dead leader, so none could be refused as not run."""

    async def play() -> None:
        clock = build_clock()
        (gateway,) = build_gateways(1, clock, keeps_jobs=True)
        connect_with_leader([gateway], lambda asking, host: True, answer_as_leader)
        gateway.link.follow(LEADER, Via.LEADER)
        clock.advance(CALLS_LOST_AFTER - milliseconds(1))
        await gateway.link.check_failover()
        assert gateway.coordinator == LEADER
        clock.advance(milliseconds(1))
        await gateway.link.check_failover()
        assert gateway.coordinator is None
        assert (
            await gateway._try_once(build_submit(), CALL_TIMEOUT)
        ).outcome is Outcome.UNAVAILABLE

    asyncio.run(play())


def test_gateway_returns_from_a_relay_to_the_leader_once_it_reaches_it() -> None:
    async def play() -> None:
        clock = build_clock()
        cut_off, other = gateways = build_gateways(2, clock)
        is_cut = [True]
        connect_with_leader(
            gateways,
            lambda asking, host: is_cut[0] and asking is cut_off and host == LEADER,
            answer_as_leader,
        )
        await other.link.send_keepalive()
        clock.advance(RELAY_AFTER - milliseconds(1))
        await cut_off.link.check_failover()
        assert cut_off.coordinator is None
        clock.advance(milliseconds(1))
        await other.link.send_keepalive()
        await cut_off.link.check_failover()
        assert cut_off.link.via is Via.RELAY
        is_cut[0] = False
        await cut_off.link.send_keepalive()
        assert cut_off.coordinator == LEADER
        assert [gateway.link.via for gateway in gateways] == [Via.LEADER, Via.LEADER]

    asyncio.run(play())


def test_relay_that_has_lost_the_leader_itself_is_unfollowed() -> None:
    async def play() -> None:
        clock = build_clock()
        cut_off, other = gateways = build_gateways(2, clock)
        connect_with_leader(
            gateways, lambda asking, host: asking is cut_off and host == LEADER, answer_as_leader
        )
        clock.advance(RELAY_AFTER)
        await other.link.send_keepalive()
        await cut_off.link.check_failover()
        assert cut_off.link.via is Via.RELAY
        other.link.unfollow(LEADER)
        await cut_off.link.check_failover()
        assert cut_off.coordinator is None

    asyncio.run(play())


@pytest.mark.parametrize("via", [Via.ACTING_LEADER, Via.RELAY])
def test_gateway_that_answers_late_is_not_unfollowed_at_once(via: Via) -> None:
    """After one late answer of a busy acting leader, its gateways sent it all their calls again."""

    async def play() -> None:
        clock = build_clock()
        (gateway,) = build_gateways(1, clock)
        other = "10.0.0.9:7000"
        answers = Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return answers

        gateway.calls.ask = ask  # type: ignore[method-assign]
        gateway.link.follow(other, via)
        clock.advance(CALLS_LOST_AFTER - milliseconds(1))
        await gateway.link.check_failover()
        assert (gateway.coordinator, gateway.link.via) == (other, via)
        clock.advance(milliseconds(1))
        await gateway.link.check_failover()
        assert gateway.coordinator is None

    asyncio.run(play())


@pytest.mark.parametrize("via", [Via.ACTING_LEADER, Via.RELAY])
def test_gateway_that_stopped_acting_as_leader_or_relay_is_unfollowed_at_once(via: Via) -> None:
    async def play() -> None:
        (gateway,) = build_gateways(1, build_clock())
        other = "10.0.0.9:7000"

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_LEADER, hosts=(LEADER,))

        gateway.calls.ask = ask  # type: ignore[method-assign]
        gateway.link.follow(other, via)
        await gateway.link.check_failover()
        assert gateway.coordinator is None

    asyncio.run(play())


FOR_FOUR = HostSize(memory=4 * BYTES_PER_CALL / MIN_MEMORY_SHARE / 1e6)
"""Less than four calls fit, as each has a payload and a step."""
JOB, LONG, WIDE, DENSE = (
    msgspec.structs.replace(build_submit(), spec=msgspec.structs.replace(build_spec(), **changes))
    for changes in (
        {},
        {"payload": "x" * BYTES_PER_CALL},
        {"steps": build_spec().steps * 100},
        {"steps": tuple(StepSpec(count=1, depends_on=(0,) * 500) for _ in range(4))},
    )
)


@pytest.mark.parametrize(
    ("size", "calls", "refused"),
    [
        (UNKNOWN_SIZE, [JOB] * 50, 0),
        (HostSize(descriptors=20), [JOB] * 50, 40),
        (HostSize(memory=160), [LONG] * 1_000, 204),
        (FOR_FOUR, [JOB] * 50, 47),
        (FOR_FOUR, [JOB, LONG, JOB], 1),
        (FOR_FOUR, [WIDE, JOB], 1),
        (FOR_FOUR, [DENSE, JOB], 1),
        # A call that finds no other one is accepted, and a cancel always, since it ends work.
        (HostSize(memory=0.001, descriptors=1), [LONG, LONG, Cancel(host="host", path="/q/1")], 1),
    ],
)
def test_calls_above_the_limit_are_refused(size: HostSize, calls: list[Call], refused: int) -> None:
    """Without a limit, callers that wait for a coordinator exhaust a gateway of 160 MB."""
    limit = CallLimit(size=size, clock=build_clock())
    with contextlib.ExitStack() as waiting:
        for call in calls:
            if limit.refuse(call) is None:
                waiting.enter_context(limit.hold(call))
        assert limit.refused_count == refused
    assert (limit.waiting_calls, limit.waiting_bytes) == (0, 0)


def test_refusal_at_the_limit_is_immediate(monkeypatch: pytest.MonkeyPatch) -> None:
    """A refused job must reach no host, and its caller must not keep a descriptor taken."""
    logged = record_events(monkeypatch, call_limit)

    async def play() -> None:
        clock = build_clock()
        gateway = build_gateway(clock, size=HostSize(descriptors=2))
        tried: list[Call] = []
        gateway._try_once = lambda call, _: tried.append(call) or asyncio.sleep(60)  # type: ignore
        closes = gateway.should_close_connections
        handle = build_caller_handler(gateway.call, gateway.abandon, closes)
        request = HttpRequest(method="POST", path="/q", headers={}, body=b'{"steps":[{}]}')
        waiting = asyncio.create_task(handle(request))
        await asyncio.sleep(0)
        for _ in range(3):
            response = await handle(request)
            assert (response.status, response.headers["retry-after"]) == (429, "1")
            assert AT_LIMIT.encode() in response.body and response.close
            clock.advance(milliseconds(500))
        assert (len(tried), gateway.outcomes["rejected"]) == (1, 3)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert not closes()

    asyncio.run(play())
    assert [rest["refused"] for _, rest in logged] == [1, 3]
