"""Messages of gateways that are delayed on the network or at a busy coordinator.

A gateway passes callers' jobs to the coordinator, the host that schedules them: the leader or,
where none can be reached, a gateway that acts as leader.

Failure: two simultaneous runs of one task after a failure domain was cut off. The leader outside
started the first one for a gateway inside, 0.42 s after the cut; the acting leader inside started
the second one. A coordinator abandons a gateway's jobs 0.3 s after it last heard from it, and the
gateway sends them elsewhere 0.52 s after its last answer. A busy leader processed late what had
arrived before the cut, and a message counted from its processing instead of its sending, so the
two timeouts were unrelated. The leader could start that run only if it had heard from the gateway
within 0.3 s, although nothing sent after the cut could reach it; delaying the messages as below
reproduces this every time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.clock import ManualClock
from ..core.cluster.calls import (
    Abandon,
    AbandonedSubmission,
    Answer,
    Call,
    KeepAlive,
    Outcome,
    Submit,
)
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId
from ..core.cluster.records import UpstreamRecord
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE, ActingLeaderAuthority
from ..runtime.confirmations import MAX_ABANDONED
from ..runtime.gateway import Gateway
from ..runtime.gateway_registry import GATEWAY_TIMEOUT, GatewayRegistry
from ..runtime.leadership import Leadership, LeadershipSettings
from ..runtime.replicated import ReplicatedRecords
from .gateway_builders import (
    CALL_TIMEOUT,
    JOB,
    LEADER,
    IdlePort,
    build_clock,
    build_failover_state,
    build_gateway,
    build_gateways,
    build_keepalive,
    build_submit,
    raise_error,
)
from .model_upstreams import build_info, milliseconds

CALLER_RETRY = timedelta(milliseconds=1_300)
KEEPALIVE_INTERVAL = milliseconds(80)
"""Time between the keep-alives that these tests send."""


@dataclass(slots=True, kw_only=True)
class ModelLink:
    """The link from a gateway to a leader; while it is cut, sent calls are held back."""

    gateway: Gateway
    leadership: Leadership
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
        answer = await self.leadership.answer(call)
        if self.answers_late:
            return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
        if isinstance(call, KeepAlive):
            return msgspec.structs.replace(answer, leader=LEADER, hosts=(LEADER,))
        return answer


def build_leadership(clock: ManualClock) -> Leadership:
    """Return a leader with one upstream."""
    replicated = ReplicatedRecords()
    replicated.records.activate_configuration(build_failover_state().configuration)
    info = build_info("u1")
    replicated.records.upstreams[info.id] = UpstreamRecord(info=info)
    settings = LeadershipSettings(
        lease_terms=choose_lease_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT),
        keep_ended=timedelta(),
        caller_retry=CALLER_RETRY,
        control_address=None,
    )
    return Leadership(
        authority=ActingLeaderAuthority(term=6, replicated=replicated),
        replicated=replicated,
        port=IdlePort(),
        clock=clock,
        settings=settings,
        on_failure=raise_error,
    )


async def send_keepalives(gateway: Gateway, clock: ManualClock) -> None:
    for _ in range(3):
        await gateway.link.send_keepalive()
        clock.advance(KEEPALIVE_INTERVAL)


def submit_from(gateway: Gateway) -> Submit:
    return msgspec.structs.replace(build_submit(), gateway=gateway.link.own_address)


async def run_callbacks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


Script = Callable[[Gateway, ModelLink, ManualClock], Coroutine[None, None, None]]


def play(script: Script) -> None:
    """Run a script with a gateway that is connected to a leader."""

    async def play_whole() -> None:
        gateway, model_link, clock = prepare_link()
        await send_keepalives(gateway, clock)
        await script(gateway, model_link, clock)
        gateway.stop()
        model_link.leadership.stop()

    asyncio.run(play_whole())


def prepare_link() -> tuple[Gateway, ModelLink, ManualClock]:
    clock = build_clock()
    (gateway,) = build_gateways(1, clock)
    model_link = ModelLink(gateway=gateway, leadership=build_leadership(clock))
    gateway.calls.ask = model_link.ask  # type: ignore[method-assign]
    return gateway, model_link, clock


def test_delayed_keepalive_does_not_count_as_current_contact() -> None:
    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        assert model_link.leadership.gateways.is_connected(gateway.link.own_address)
        model_link.is_cut = True
        await gateway.link.send_keepalive()
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None, "from now on its jobs are scheduled here"
        assert model_link.held
        for call in model_link.held:
            await model_link.leadership.answer(call)
        assert not model_link.leadership.gateways.is_connected(gateway.link.own_address)

    play(script)


def test_delayed_submission_starts_no_job() -> None:
    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        model_link.is_cut = True
        await gateway._try_once(submit_from(gateway), CALL_TIMEOUT)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        model_link.is_cut = False
        late = asyncio.create_task(model_link.leadership.answer(model_link.held[0]))
        await run_callbacks()
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))
        assert (await late).outcome is Outcome.UNAVAILABLE

    play(script)


def test_submission_counts_as_contact_of_its_gateway() -> None:
    """A busy host processes keep-alives late: each job was abandoned on its arrival."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        clock.advance(GATEWAY_TIMEOUT - KEEPALIVE_INTERVAL - milliseconds(10))
        waiting = asyncio.create_task(gateway._try_once(submit_from(gateway), CALL_TIMEOUT))
        await run_callbacks()
        clock.advance(milliseconds(20))
        leadership = model_link.leadership
        leadership.dispatch.abandon_silent_gateways(
            leadership.gateways.is_connected, clock.monotonic()
        )
        assert leadership.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()

    play(script)


def test_silent_gateways_are_searched_only_when_due() -> None:
    """Checking the gateway of each open job at each decision took a third of a leader's time."""
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)

    def receive_keepalive(gateway: str) -> None:
        contact = gateways.build_contact()
        gateways.handle_keepalive(
            msgspec.structs.replace(build_keepalive(gateway), contact=contact)
        )

    assert not gateways.may_have_timed_out()
    receive_keepalive("a")
    clock.advance(milliseconds(100))
    receive_keepalive("b")
    clock.advance(GATEWAY_TIMEOUT - milliseconds(101))
    assert not gateways.may_have_timed_out()
    clock.advance(milliseconds(1))
    assert gateways.may_have_timed_out() and not gateways.is_connected("a")
    assert not gateways.may_have_timed_out()
    clock.advance(milliseconds(100))
    assert gateways.may_have_timed_out() and not gateways.is_connected("b")
    clock.advance(timedelta(seconds=9))
    assert not gateways.may_have_timed_out()
    receive_keepalive("a")
    clock.advance(GATEWAY_TIMEOUT)
    assert gateways.may_have_timed_out()


def test_silence_is_checked_when_the_confirmation_by_a_submission_ends() -> None:
    """Otherwise a job that only its own submission confirmed would not be abandoned."""
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


async def submit_by(gateway: Gateway, model_link: ModelLink) -> asyncio.Task[Answer]:
    """Submit a caller's job to the leader and leave it in progress."""
    waiting = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
    await run_callbacks()
    assert model_link.leadership.dispatch.jobs.is_open(JobId(JOB))
    return waiting


def test_keepalive_reports_the_abandoned_jobs_of_its_gateway() -> None:
    """The message that a caller has left can be lost; its job continued and was submitted again.

    A coordinator relies on a gateway that sends keep-alives, so these must report abandoned jobs.
    """

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        waiting.cancel()
        await run_callbacks()
        await gateway.link.send_keepalive()
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_submission_that_arrives_after_its_abandonment_starts_no_job() -> None:
    """No caller waits for it any more, and its job may have been submitted again elsewhere."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        model_link.holds_submissions = True
        waiting = asyncio.create_task(gateway.call(build_submit(), CALL_TIMEOUT))
        await run_callbacks()
        waiting.cancel()
        await run_callbacks()
        await gateway.link.send_keepalive()
        answer = await asyncio.wait_for(model_link.leadership.answer(model_link.held[0]), timeout=1)
        assert answer.outcome is Outcome.UNKNOWN
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_submission_confirms_only_its_own_job() -> None:
    """Unlike a keep-alive, it does not report which jobs its gateway has abandoned."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        clock.advance(GATEWAY_TIMEOUT - KEEPALIVE_INTERVAL - milliseconds(10))
        other = msgspec.structs.replace(submit_from(gateway), path=f"/q/{'f' * 16}")
        also_waiting = asyncio.create_task(gateway._try_once(other, CALL_TIMEOUT))
        await run_callbacks()
        clock.advance(KEEPALIVE_INTERVAL + milliseconds(20))
        leadership = model_link.leadership
        leadership.dispatch.abandon_silent_gateways(
            leadership.gateways.is_connected, clock.monotonic()
        )
        assert not leadership.dispatch.jobs.is_open(JobId(JOB))
        assert leadership.dispatch.jobs.is_open(JobId("f" * 16))
        clock.advance(GATEWAY_TIMEOUT)
        assert leadership.gateways.may_have_timed_out()
        leadership.dispatch.abandon_silent_gateways(
            leadership.gateways.is_connected, clock.monotonic()
        )
        assert not leadership.dispatch.jobs.count_jobs()
        waiting.cancel()
        also_waiting.cancel()

    play(script)


def test_leader_abandons_left_jobs_before_their_caller_resubmits() -> None:
    """Keep-alives that arrived but were answered too late kept jobs open at a slow leader."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        waiting.cancel()
        await run_callbacks()
        model_link.answers_late = True
        while gateway.coordinator is not None:
            clock.advance(milliseconds(50))
            await gateway.link.send_keepalive()
            await gateway.link.check_failover()
        left_at = clock.monotonic()
        while clock.monotonic() < left_at + GATEWAY_TIMEOUT:
            clock.advance(milliseconds(50))
            await gateway.link.send_keepalive()
            model_link.leadership._decide()
        model_link.leadership._decide()
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_jobs_of_a_silent_gateway_are_abandoned_when_it_returns() -> None:
    """Also if its next keep-alive precedes the next decision, as after a time without a lease."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        clock.advance(GATEWAY_TIMEOUT)
        gateway.link.unfollow(LEADER)
        waiting.cancel()
        await run_callbacks()
        for _ in range(2):
            await gateway.link.send_keepalive()
        assert model_link.leadership.gateways.is_connected(gateway.link.own_address)
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))

    play(script)


def test_jobs_of_a_restarted_gateway_are_abandoned() -> None:
    """Its callers saw their connections break; its new keep-alives do not confirm their jobs."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        clock.advance(milliseconds(100))
        restarted = build_gateway(clock, number=1)
        assert restarted.link.own_address == gateway.link.own_address
        restarted.calls.ask = model_link.ask  # type: ignore[method-assign]
        model_link.gateway = restarted
        await restarted.link.send_keepalive()
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()
        restarted.stop()

    play(script)


def test_gateway_with_too_many_abandoned_jobs_to_report_confirms_nothing() -> None:
    """Its keep-alives would confirm the abandoned jobs that they have no space to report."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        waiting = await submit_by(gateway, model_link)
        waiting.cancel()
        await run_callbacks()
        for number in range(MAX_ABANDONED):
            other = AbandonedSubmission(host="host", path=f"/q/{number:016x}", number=-number - 1)
            gateway.link.confirmations.record_abandoned(other)
        until = clock.monotonic() + GATEWAY_TIMEOUT
        while clock.monotonic() < until:
            await gateway.link.send_keepalive()
            clock.advance(KEEPALIVE_INTERVAL)
            model_link.leadership._decide()
        model_link.leadership._decide()
        assert not model_link.leadership.dispatch.jobs.is_open(JobId(JOB))

    play(script)
