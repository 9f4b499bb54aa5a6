"""Which gateway acts as leader while none can be reached, when, and with which authority."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import (
    NO_LOG,
    Answer,
    AskConfiguration,
    AskState,
    Call,
    Cancel,
    GatewayInfo,
    Outcome,
    Submit,
)
from ..core.cluster.failover_state import (
    MAX_UPSTREAMS_FOR_ONE_ACTING_LEADER,
    choose_queried_gateways,
)
from ..core.cluster.instances import MIN_LEASE, choose_lease_terms
from ..core.cluster.records import UpstreamRecord
from ..core.ids import DomainName
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER, ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.coordinator_link import ACT_AS_LEADER_AGAIN_AFTER, CALLS_LOST_AFTER, Via
from ..runtime.gateway_registry import GATEWAY_TIMEOUT
from .gateway_builders import (
    CALL_TIMEOUT,
    JOB,
    LEADER,
    build_acting_gateway,
    build_clock,
    build_failover_state,
    build_gateway,
    build_gateways,
    build_keepalive,
    build_submit,
    connect,
)
from .model_upstreams import build_info, build_spec, milliseconds


def test_gateway_with_the_lowest_address_acts_as_leader_and_the_others_follow() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(3, clock)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        for gateway in reversed(gateways):
            await gateway.link.check_failover()
        assert [gateway.acting_leader is not None for gateway in gateways] == [True, False, False]
        for gateway in gateways[1:]:
            await gateway.link.check_failover()
            assert gateway.coordinator == gateways[0].link.own_address
            assert gateway.is_ready()
        gateways[0].stop()

    asyncio.run(play())


def test_no_gateway_acts_as_leader_too_early_or_while_another_reaches_the_leader() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(2, clock)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE - milliseconds(1))
        await gateways[0].link.check_failover()
        assert gateways[0].acting_leader is None
        gateways[1].link.follow("10.0.1.1:7000", Via.LEADER)
        clock.advance(milliseconds(2))
        await gateways[0].link.check_failover()
        assert gateways[0].acting_leader is None

    asyncio.run(play())


def test_each_domain_has_its_own_acting_leader_with_many_upstreams() -> None:
    """One gateway, a small host, was too slow as the acting leader of 176 upstreams."""

    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(4, clock)
        infos = tuple(
            GatewayInfo(address=gateway.link.own_address, domain=DomainName(domain))
            for gateway, domain in zip(gateways, ("north", "north", "south", "south"), strict=True)
        )
        upstreams = tuple(
            UpstreamRecord(info=build_info(f"u{number}", domain="north"))
            for number in range(MAX_UPSTREAMS_FOR_ONE_ACTING_LEADER + 1)
        )
        failover_state = msgspec.structs.replace(
            build_failover_state(4), gateways=infos, upstreams=upstreams
        )
        for gateway in gateways:
            gateway.link.receive_failover_state(failover_state)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        for gateway in reversed(gateways):
            await gateway.link.check_failover()
        domains = [
            gateway.acting_leader.domain if gateway.acting_leader else None for gateway in gateways
        ]
        assert domains == ["north", None, "south", None]
        for gateway in gateways:
            await gateway.link.check_failover()
        followed = [gateway.coordinator for gateway in gateways]
        assert followed == [infos[0].address] * 2 + [infos[2].address] * 2
        for gateway in gateways:
            gateway.stop()

    asyncio.run(play())


def test_no_gateway_acts_as_leader_while_durable_jobs_are_open() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(1, clock, keeps_jobs=True)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateways[0].link.check_failover()
        assert gateways[0].acting_leader is None

    asyncio.run(play())


def test_tokens_of_acting_leaders_increase_and_stay_below_that_of_the_next_leader() -> None:
    async def play() -> list[int]:
        clock = build_clock()
        gateways = build_gateways(2, clock)
        connect(gateways, lambda asking, host: True)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        tokens = []
        for gateway in (gateways[0], gateways[1], gateways[0]):
            await gateway.link.check_failover()
            assert gateway.acting_leader is not None
            tokens.append(gateway.acting_leader.leadership.token)
            gateway.link.step_down()
        return tokens

    tokens = asyncio.run(play())
    assert tokens == sorted(set(tokens))
    assert tokens[0] > 5_000_000 and tokens[-1] < 6_000_000


def test_delayed_acting_leader_steps_down() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(1, clock)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateways[0].link.check_failover()
        assert gateways[0].acting_leader is not None
        clock.advance(timedelta(seconds=3))
        await gateways[0].link.check_failover()
        assert gateways[0].acting_leader is None

    asyncio.run(play())


def test_fenced_off_acting_leader_does_not_act_again_at_once() -> None:
    """Beside an overloaded leader, a gateway acted as leader 26 times in 8 s.

    Each time it had the same outdated failover state.
    """

    async def play() -> None:
        clock = build_clock()
        (gateway,) = build_gateways(1, clock)
        connect([gateway], lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        gateway.acting_leader.authority.start_new_term()
        for _ in range(10):
            clock.advance(milliseconds(180))
            await gateway.link.check_failover()
            assert gateway.acting_leader is None
        clock.advance(ACT_AS_LEADER_AGAIN_AFTER)
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        gateway.stop()

    asyncio.run(play())


def test_leader_requests_a_later_term_after_an_acting_leader() -> None:
    """An acting leader's token is above that of the leader of the same term.

    So this leader must not continue with its own token.
    """

    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(1, clock)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateways[0].link.check_failover()
        acting_leader = gateways[0].acting_leader
        assert acting_leader is not None
        # The acting leader represents a leader here: it has the same term as the one before it.
        call = Submit(host="host", path=f"/q/{JOB}", spec=build_spec(), acting_leader_term=5)
        answer = await acting_leader.leadership.answer(call)
        assert answer.outcome is Outcome.UNKNOWN
        assert acting_leader.authority.is_over
        gateways[0].stop()

    asyncio.run(play())


def test_jobs_of_a_silent_gateway_are_abandoned_before_it_may_move_them() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(1, clock)
        connect(gateways, lambda asking, host: False)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateways[0].link.check_failover()
        acting_leader = gateways[0].acting_leader
        assert acting_leader is not None
        leadership = acting_leader.leadership
        answer = await leadership.answer(build_keepalive("10.0.0.9:7000"))
        call = Submit(
            host="host",
            path=f"/q/{JOB}",
            spec=build_spec(),
            gateway="10.0.0.9:7000",
            contact=answer.contact,
        )
        waiting = asyncio.create_task(leadership.answer(call))
        await asyncio.sleep(0)
        assert leadership.dispatch.jobs.count_jobs() == 1
        clock.advance(GATEWAY_TIMEOUT)
        leadership.dispatch.abandon_silent_gateways(
            leadership.gateways.is_connected, clock.monotonic()
        )
        assert leadership.dispatch.jobs.count_jobs() == 0
        assert (await waiting).outcome is Outcome.UNKNOWN
        gateways[0].stop()

    assert GATEWAY_TIMEOUT + milliseconds(200) < ACT_AS_LEADER_AFTER_SILENCE < ACT_AS_LEADER_AFTER
    asyncio.run(play())


@pytest.mark.parametrize("longest_ms", [300, 1_000, 5_000])
def test_leases_have_expired_before_a_caller_that_lost_its_gateway_retries(
    longest_ms: float,
) -> None:
    """Otherwise, for 1.1 s, each job of a domain that was cut off waited for 0.24 s."""
    longest, retry = milliseconds(longest_ms), timedelta(milliseconds=1_300)
    terms = choose_lease_terms(longest, retry, GATEWAY_TIMEOUT)
    assert terms.lapse_after + GATEWAY_TIMEOUT <= retry
    assert terms.longest <= longest


def test_leases_are_long_enough_to_outlast_a_change_of_leader() -> None:
    terms = choose_lease_terms(timedelta(seconds=1), milliseconds(200), GATEWAY_TIMEOUT)
    assert terms.longest == MIN_LEASE


def test_gateway_without_a_leader_contacts_only_a_few_of_many_others() -> None:
    """Contacting all others was too much: 44 gateways did, and they acted as leader 105 times."""
    gateways = [
        GatewayInfo(address=f"10.{domain}.0.{number:02}:7000", domain=DomainName(str(domain)))
        for domain in range(1, 5)
        for number in range(10, 21)
    ]
    asked = choose_queried_gateways(gateways, "10.2.0.15:7000")
    assert asked == [
        "10.1.0.10:7000", "10.1.0.11:7000",
        "10.2.0.10:7000", "10.2.0.11:7000", "10.2.0.12:7000",
        "10.3.0.10:7000", "10.3.0.11:7000",
        "10.4.0.10:7000", "10.4.0.11:7000",
    ]  # fmt: skip


def test_lower_gateway_that_is_not_usually_contacted_still_takes_precedence() -> None:
    async def play() -> None:
        clock = build_clock()
        gateways = build_gateways(6, clock)
        down = {gateway.link.own_address for gateway in gateways[:4]}
        connect(gateways, lambda asking, host: host in down)
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateways[5].link.check_failover()
        assert gateways[5].acting_leader is None
        await gateways[4].link.check_failover()
        assert gateways[4].acting_leader is not None
        gateways[4].stop()

    asyncio.run(play())


@pytest.mark.parametrize(
    "call",
    [
        Submit(host="host", path=f"/q/{JOB}", spec=build_spec(durable=True)),
        AskState(host="host", path=f"/q/{JOB}"),
        AskState(host="host", path="/q/"),
        Cancel(host="host", path=f"/q/{JOB}"),
        AskConfiguration(),
    ],
)
def test_acting_leader_refuses_calls_that_need_the_log(call: Call) -> None:
    """An acting leader accepted durable jobs, and answered that it knew of none."""

    async def play() -> Outcome:
        gateway, _ = build_acting_gateway()
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        answer = await gateway.acting_leader.leadership.answer(call)
        gateway.stop()
        return answer.outcome

    assert asyncio.run(play()) is Outcome.UNAVAILABLE


def test_term_of_an_acting_leader_is_that_of_its_failover_state() -> None:
    """Otherwise the next leader started two later terms after one acting leader."""
    gateway = build_gateway(build_clock())
    gateway.link.receive_failover_state(build_failover_state())
    gateway.link.follow("10.0.0.2:7000", Via.ACTING_LEADER)

    async def answer_during_change(call: Call, timeout: timedelta) -> Answer:
        # The failover state of the next leader arrives while the call is pending.
        gateway.link.receive_failover_state(msgspec.structs.replace(build_failover_state(), term=6))
        assert not isinstance(call, Submit) or call.acting_leader_term in (0, 5)
        if isinstance(call, Submit) and call.may_have_begun:
            return Answer(outcome=Outcome.DONE)
        return Answer(outcome=Outcome.UNKNOWN)

    gateway._try_once = answer_during_change  # type: ignore[method-assign]
    assert asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT)).outcome is Outcome.DONE


def test_refused_call_does_not_abandon_the_pending_calls_at_an_acting_leader() -> None:
    async def play() -> None:
        gateway = build_gateway(build_clock())
        gateway.link.follow("10.0.0.2:7000", Via.ACTING_LEADER)

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=NO_LOG, is_acting_leader=True)

        gateway.calls.ask = ask  # type: ignore[method-assign]
        await gateway._try_once(AskState(host="host", path="/q/"), CALL_TIMEOUT)
        assert gateway.coordinator == "10.0.0.2:7000"

    asyncio.run(play())


def test_no_gateway_acts_as_leader_while_an_election_is_possible() -> None:
    """Control hosts that answer but have no leader are electing one; silent ones cannot."""

    async def play() -> None:
        clock = build_clock()
        (gateway,) = build_gateways(1, clock)
        answers = Answer(outcome=Outcome.UNAVAILABLE, hosts=(LEADER,))

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return answers

        gateway.calls.ask = ask  # type: ignore[method-assign]
        clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.send_keepalive()
        await gateway.link.check_failover()
        assert gateway.acting_leader is None
        clock.advance(ACT_AS_LEADER_AFTER - ACT_AS_LEADER_AFTER_SILENCE)
        await gateway.link.send_keepalive()
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        gateway.stop()

    asyncio.run(play())


def test_acting_leader_that_steps_down_answers_its_pending_calls() -> None:
    """With all control hosts down, the other gateways got an internal error (status 500)."""

    async def play() -> None:
        gateway, _ = build_acting_gateway()
        await gateway.link.check_failover()
        answering = asyncio.create_task(gateway.answer_peer(build_submit()))
        await asyncio.sleep(0.05)
        gateway.link.step_down()
        answer = await answering
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.is_acting_leader

    asyncio.run(play())


def test_busy_acting_leader_is_not_unfollowed_for_one_unanswered_keepalive() -> None:
    """With all control hosts down, a small host got 150 jobs at once and all unfollowed it.

    Their jobs were sent again, a second gateway acted as leader, and the two fenced each other off.
    """

    async def play() -> None:
        clock = build_clock()
        _, follower = build_gateways(2, clock)
        acting_leader = "10.0.0.1:7000"

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            clock.advance(timeout)
            return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")

        follower.calls.ask = ask  # type: ignore[method-assign]
        follower.link.follow(acting_leader, Via.ACTING_LEADER)
        # The next keep-alive is due at once, so that it arrives before the jobs are abandoned.
        assert await follower.link.check_failover()
        assert follower.coordinator == acting_leader
        await follower.link.check_failover()
        clock.advance(CALLS_LOST_AFTER)
        await follower.link.check_failover()
        assert follower.coordinator is None

    asyncio.run(play())


def test_gateway_that_no_longer_acts_as_leader_is_unfollowed_at_once() -> None:
    async def play() -> None:
        _, follower = build_gateways(2, build_clock())

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return Answer(outcome=Outcome.UNAVAILABLE, detail="cannot connect")

        follower.calls.ask = ask  # type: ignore[method-assign]
        follower.link.follow("10.0.0.1:7000", Via.ACTING_LEADER)
        assert not await follower.link.check_failover()
        assert follower.coordinator is None

    asyncio.run(play())
