"""Messages of gateways that were held up, on their way or at whoever decides.

Seen: two runs of one task at once beside a failure domain that was cut off. The leader outside
began the first for a gateway inside, 0.42 s after the cut; the deputy inside began the second.
How it came about: whoever decides gives up a gateway's jobs 0.3 s after it last heard it, and the
gateway takes them elsewhere 0.52 s after it was last answered. The leader was busy, and took in
late what had come before the cut.
Cause: a message counted as of the moment at which it was taken in, not at which it was sent, so
that the two spans had nothing to do with each other.
Proof: the leader could begin that run only if it had heard the gateway within 0.3 s, and nothing
sent after the cut could reach it; with the messages below held up, it does the same every time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.clock import ManualClock
from ..core.cluster.calls import Abandon, Answer, Call, GivenUp, Greet, Outcome, Submit
from ..core.cluster.lives import choose_terms
from ..core.cluster.model import JobId
from ..core.cluster.records import UpstreamRecord
from ..runtime.deputy import ACT_AS_LEADER_AFTER_SILENCE, ActingLeaderAuthority
from ..runtime.gateway import Gateway
from ..runtime.gateways import GATEWAY_TIMEOUT, GatewayRegistry
from ..runtime.leading import Leading, LeadingSettings
from ..runtime.replicated import ReplicatedRecords
from ..runtime.vouching import MAX_ABANDONED
from .gateway_builders import (
    JOB,
    LEADER,
    CALL_TIMEOUT,
    IdlePort,
    build_clock,
    build_gateway,
    build_failover_state,
    raise_error,
    build_keepalive,
    build_gateways,
    build_submit,
)
from .model_upstreams import build_info, milliseconds

CALLER_RETRY = timedelta(milliseconds=1_300)
BETWEEN_GREETINGS = milliseconds(80)


@dataclass(slots=True, kw_only=True)
class Way:
    """The way from a gateway to a leader; while it is cut, what is sent is held."""

    gateway: Gateway
    leading: Leading
    is_cut: bool = False
    holds_submissions: bool = False
    answers_late: bool = False
    held: list[Call] = field(default_factory=list)

    async def ask(self, host: str, call: Call, timeout: timedelta) -> Answer:
        call = self.gateway.link.confirmations.stamp(call)
        if host != LEADER:
            return Answer(outcome=Outcome.UNAVAILABLE, detail="cannot connect")
        if isinstance(call, Abandon):
            return Answer(outcome=Outcome.UNKNOWN, detail="lost")
        if self.is_cut or (self.holds_submissions and isinstance(call, Submit)):
            self.held.append(call)
            return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
        answer = await self.leading.answer(call)
        if self.answers_late:
            return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
        if isinstance(call, Greet):
            return msgspec.structs.replace(answer, leader=LEADER, hosts=(LEADER,))
        return answer


def build_leading(clock: ManualClock) -> Leading:
    """Return a leader of one upstream."""
    replicated = ReplicatedRecords()
    replicated.records.put_in_force(build_failover_state().configuration)
    info = build_info("u1")
    replicated.records.upstreams[info.id] = UpstreamRecord(info=info)
    settings = LeadingSettings(
        terms=choose_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT),
        keep_ended=timedelta(),
        caller_retry=CALLER_RETRY,
        control_address=None,
    )
    return Leading(
        authority=ActingLeaderAuthority(term=6, replicated=replicated),
        replicated=replicated,
        port=IdlePort(),
        clock=clock,
        settings=settings,
        on_failure=raise_error,
    )


async def greet_for_a_while(gateway: Gateway, clock: ManualClock) -> None:
    for _ in range(3):
        await gateway.link.send_keepalive()
        clock.advance(BETWEEN_GREETINGS)


def submit_from(gateway: Gateway) -> Submit:
    return msgspec.structs.replace(build_submit(), gateway=gateway.link.own_address)


async def let_run() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


Script = Callable[[Gateway, Way, ManualClock], Coroutine[None, None, None]]


def play(script: Script) -> None:
    """Play a script with a gateway that is in touch with a leader."""

    async def play_whole() -> None:
        gateway, way, clock = prepare_way()
        await greet_for_a_while(gateway, clock)
        await script(gateway, way, clock)
        gateway.stop()
        way.leading.stop()

    asyncio.run(play_whole())


def prepare_way() -> tuple[Gateway, Way, ManualClock]:
    clock = build_clock()
    (gateway,) = build_gateways(1, clock)
    way = Way(gateway=gateway, leading=build_leading(clock))
    gateway.calls.ask = way.ask  # type: ignore[method-assign]
    return gateway, way, clock


def test_a_greeting_that_was_held_up_says_nothing_of_the_present() -> None:
    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        assert way.leading.gateways.is_connected(gateway.link.own_address)
        way.is_cut = True
        await gateway.link.send_keepalive()
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.replace_leader()
        assert gateway.acting_leader is not None, "its jobs are decided about here from now on"
        assert way.held
        for call in way.held:
            await way.leading.answer(call)
        assert not way.leading.gateways.is_connected(gateway.link.own_address)

    play(script)


def test_a_submission_that_was_held_up_begins_nothing() -> None:
    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        way.is_cut = True
        await gateway._try_once(submit_from(gateway), CALL_TIMEOUT)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.replace_leader()
        assert gateway.acting_leader is not None
        way.is_cut = False
        late = asyncio.create_task(way.leading.answer(way.held[0]))
        await let_run()
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))
        assert (await late).outcome is Outcome.UNAVAILABLE

    play(script)


def test_a_submission_shows_that_its_gateway_is_there() -> None:
    """A busy host takes in greetings late: each job was given up on its arrival."""

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        clock.advance(GATEWAY_TIMEOUT - BETWEEN_GREETINGS - milliseconds(10))
        waiting = asyncio.create_task(gateway._try_once(submit_from(gateway), CALL_TIMEOUT))
        await let_run()
        clock.advance(milliseconds(20))
        leading = way.leading
        leading.dispatch.abandon_silent(leading.gateways.is_connected, clock.monotonic())
        assert leading.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()

    play(script)


def test_silence_is_looked_for_only_when_it_may_have_come() -> None:
    """To ask for the gateway of each open job at each decision was a third of a leader's time."""
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)

    def hear(gateway: str) -> None:
        contact = gateways.build_contact()
        gateways.handle_keepalive(
            msgspec.structs.replace(build_keepalive(gateway), contact=contact)
        )

    assert not gateways.may_have_timed_out()
    hear("a")
    clock.advance(milliseconds(100))
    hear("b")
    clock.advance(GATEWAY_TIMEOUT - milliseconds(101))
    assert not gateways.may_have_timed_out()
    clock.advance(milliseconds(1))
    assert gateways.may_have_timed_out() and not gateways.is_connected("a")
    assert not gateways.may_have_timed_out()
    clock.advance(milliseconds(100))
    assert gateways.may_have_timed_out() and not gateways.is_connected("b")
    clock.advance(timedelta(seconds=9))
    assert not gateways.may_have_timed_out()
    hear("a")
    clock.advance(GATEWAY_TIMEOUT)
    assert gateways.may_have_timed_out()


def test_what_a_submission_vouches_for_is_looked_at_when_that_ends() -> None:
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    contact = gateways.build_contact()
    gateways.handle_keepalive(msgspec.structs.replace(build_keepalive("a"), contact=contact))
    clock.advance(milliseconds(200))
    assert gateways.find_send_time("b", gateways.build_contact()) is not None
    clock.advance(milliseconds(100))
    assert gateways.may_have_timed_out() and not gateways.is_connected("a")
    clock.advance(milliseconds(200))
    assert gateways.may_have_timed_out()
    assert not gateways.may_have_timed_out()


async def submit_by(gateway: Gateway, way: Way) -> asyncio.Task[Answer]:
    """Have a caller's job under way at the leader."""
    waiting = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
    await let_run()
    assert way.leading.dispatch.jobs.is_open(JobId(JOB))
    return waiting


def test_greetings_tell_what_their_gateway_waits_for_no_more() -> None:
    """The message that a caller has left can be lost; its job went on, and its caller came again.

    Whoever decides counts on a gateway while it greets: so the greetings must tell.
    """

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        waiting.cancel()
        await let_run()
        await gateway.link.send_keepalive()
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_a_submission_that_comes_after_its_end_was_told_begins_nothing() -> None:
    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        way.holds_submissions = True
        waiting = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
        await let_run()
        waiting.cancel()
        await let_run()
        await gateway.link.send_keepalive()
        answer = await asyncio.wait_for(way.leading.answer(way.held[0]), timeout=1)
        assert answer.outcome is Outcome.UNKNOWN
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_a_submission_vouches_for_its_own_job_only() -> None:
    """It does not tell what its gateway waits for no more, as greetings do."""

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        clock.advance(GATEWAY_TIMEOUT - BETWEEN_GREETINGS - milliseconds(10))
        other = msgspec.structs.replace(submit_from(gateway), path=f"/q/{'f' * 16}")
        also_waiting = asyncio.create_task(gateway._try_once(other, CALL_TIMEOUT))
        await let_run()
        clock.advance(BETWEEN_GREETINGS + milliseconds(20))
        leading = way.leading
        leading.dispatch.abandon_silent(leading.gateways.is_connected, clock.monotonic())
        assert not leading.dispatch.jobs.is_open(JobId(JOB))
        assert leading.dispatch.jobs.is_open(JobId("f" * 16))
        clock.advance(GATEWAY_TIMEOUT)
        assert leading.gateways.may_have_timed_out()
        leading.dispatch.abandon_silent(leading.gateways.is_connected, clock.monotonic())
        assert not leading.dispatch.jobs.count_jobs()
        waiting.cancel()
        also_waiting.cancel()

    play(script)


def test_a_leader_has_given_up_what_its_gateway_left_by_the_time_its_caller_comes_again() -> None:
    """Greetings that arrive, and are answered too late, kept jobs at a leader that was too slow."""

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        waiting.cancel()
        await let_run()
        way.answers_late = True
        while gateway.coordinator is not None:
            clock.advance(milliseconds(50))
            await gateway.link.send_keepalive()
            await gateway.link.replace_leader()
        left_at = clock.monotonic()
        while clock.monotonic() < left_at + GATEWAY_TIMEOUT:
            clock.advance(milliseconds(50))
            await gateway.link.send_keepalive()
            way.leading._decide()
        way.leading._decide()
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_a_gateway_that_was_silent_has_left_what_it_had_submitted() -> None:
    """Also where it greets again before anything is decided, as after a time without a lease."""

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        clock.advance(GATEWAY_TIMEOUT)
        gateway.link.unfollow(LEADER)
        waiting.cancel()
        await let_run()
        for _ in range(2):
            await gateway.link.send_keepalive()
        assert way.leading.gateways.is_connected(gateway.link.own_address)
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_a_gateway_that_began_anew_has_left_what_it_had_submitted() -> None:
    """Its callers saw their connections break; what it greets with now is not for their jobs."""

    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        clock.advance(milliseconds(100))
        reborn = build_gateway(clock, number=1)
        assert reborn.link.own_address == gateway.link.own_address
        reborn.calls.ask = way.ask  # type: ignore[method-assign]
        way.gateway = reborn
        await reborn.link.send_keepalive()
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()
        reborn.stop()

    play(script)


def test_with_more_given_up_than_can_be_told_nothing_is_vouched_for() -> None:
    async def script(gateway: Gateway, way: Way, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, way)
        waiting.cancel()
        await let_run()
        for number in range(MAX_ABANDONED):
            other = GivenUp(host="host", path=f"/q/{number:016x}", number=-number - 1)
            gateway.link.confirmations.record_abandoned(other)
        until = clock.monotonic() + GATEWAY_TIMEOUT
        while clock.monotonic() < until:
            await gateway.link.send_keepalive()
            clock.advance(BETWEEN_GREETINGS)
            way.leading._decide()
        way.leading._decide()
        assert not way.leading.dispatch.jobs.is_open(JobId(JOB))

    play(script)
