"""Callers that have been served by a configuration are not served by an older one after that.

A gateway gets the configuration with the answers to its keep-alives. Between two of them the leader
may activate another one, and be lost.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from ..core.clock import ManualClock
from ..core.cluster.calls import (
    NEWER_CONFIGURATION,
    Answer,
    Call,
    FailoverState,
    KeepAlive,
    Outcome,
    Submit,
)
from ..core.cluster.commands import SetConfiguration
from ..core.cluster.model import Configuration, ConfigurationVersion
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.coordinator_link import Via
from ..runtime.gateway import Gateway
from ..runtime.leadership import Leadership
from .gateway_builders import (
    CALL_TIMEOUT,
    JOB,
    answer_in_turn,
    build_clock,
    build_failover_state,
    build_gateway,
    build_gateways,
    build_submit,
    connect,
)
from .model_upstreams import build_queue, build_spec
from .test_cluster_contact import ModelLink, play, run_callbacks, submit_from

OLD, NEW = ConfigurationVersion(1), ConfigurationVersion(2)
ON_NEW_QUEUE = Submit(host="host", path=f"/new/{JOB}", spec=build_spec())


def build_new_configuration() -> Configuration:
    """Return the next configuration, which adds a queue."""
    configuration = build_failover_state().configuration
    assert configuration is not None
    added = msgspec.structs.replace(build_queue(), prefix="/new/", name="new")
    queues = (*configuration.queues, added)
    return msgspec.structs.replace(configuration, version=NEW, queues=queues)


def build_new_state(count: int) -> FailoverState:
    state = build_failover_state(count)
    return msgspec.structs.replace(state, version="1.2", configuration=build_new_configuration())


def activate_new_configuration(leadership: Leadership) -> None:
    command = SetConfiguration(configuration=build_new_configuration())
    leadership._records.apply(command)
    leadership._handle_applied(command)


def test_no_job_begins_while_its_gateway_has_not_heard_of_the_configuration() -> None:
    """Guards against a gateway that answers 404 on a queue whose jobs it has passed on before.

    It acted as leader with the configuration of before, as the leader was lost before its next
    keep-alive.
    """
    heard: list[ConfigurationVersion | None] = []

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        leadership = model_link.leadership
        activate_new_configuration(leadership)
        submit = leadership.dispatch.submit

        def record_submission(*args: Any) -> None:
            heard.append(gateway.link.failover_store.newest_version)
            submit(*args)

        leadership.dispatch.submit = record_submission  # type: ignore[assignment, method-assign]
        calling = asyncio.create_task(gateway.call(ON_NEW_QUEUE, CALL_TIMEOUT))
        await run_callbacks()
        await run_callbacks()
        assert heard == [NEW]
        calling.cancel()

    play(script)


def test_a_job_does_not_wait_without_bound_for_its_gateway_to_hear_of_the_configuration() -> None:
    """Guards against jobs that wait at the leader for a gateway that is away."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        leadership = model_link.leadership
        activate_new_configuration(leadership)
        stale = gateway.link.confirmations.stamp(submit_from(gateway))
        for _ in range(2):
            answer = await leadership.answer(stale)
            assert (answer.outcome, answer.detail) == (Outcome.UNAVAILABLE, NEWER_CONFIGURATION)
        assert leadership.dispatch.jobs.count_jobs() == 0

    play(script)


def test_only_one_job_of_a_gateway_is_sent_again_for_a_new_configuration() -> None:
    """Guards against more load on an overloaded leader whenever the configuration changes.

    The other jobs wait at the leader until the gateway has sent a keep-alive for the first.
    """
    sent: list[Call] = []

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        activate_new_configuration(model_link.leadership)

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            sent.append(call)
            return await model_link.ask(host, call, timeout)

        gateway.calls.ask = ask  # type: ignore[method-assign]
        calls = [
            asyncio.create_task(
                gateway.call(
                    msgspec.structs.replace(ON_NEW_QUEUE, path=f"/new/{number:016x}"), CALL_TIMEOUT
                )
            )
            for number in range(3)
        ]
        await run_callbacks()
        await run_callbacks()
        assert model_link.leadership.dispatch.jobs.count_jobs() == 3
        assert len([call for call in sent if isinstance(call, KeepAlive)]) == 1
        assert len([call for call in sent if isinstance(call, Submit)]) == 4
        for call in calls:
            call.cancel()

    play(script)


def test_a_gateway_of_an_earlier_version_of_the_program_is_served() -> None:
    """Its contacts contain no version of the configuration."""

    async def script(gateway: Gateway, model_link: ModelLink, clock: ManualClock) -> None:
        activate_new_configuration(model_link.leadership)
        submit = gateway.link.confirmations.stamp(submit_from(gateway))
        assert isinstance(submit, Submit) and submit.contact is not None
        contact = msgspec.structs.replace(submit.contact, configuration_version=None)
        answering = asyncio.create_task(
            model_link.leadership.answer(msgspec.structs.replace(submit, contact=contact))
        )
        await run_callbacks()
        assert model_link.leadership.dispatch.jobs.count_jobs() == 1
        answering.cancel()

    play(script)


def build_silent_gateways(count: int, newer: set[int], clock: ManualClock) -> list[Gateway]:
    """Return gateways that reach no leader; those with the numbers `newer` have version `NEW`."""
    gateways = build_gateways(count, clock)
    for number in newer:
        gateways[number].link.receive_failover_state(build_new_state(count))
        gateways[number].link.failover_store.record_version(NEW)
    connect(gateways, lambda asking, host: False)
    clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
    return gateways


def list_acting(gateways: list[Gateway]) -> list[int]:
    return [number for number, each in enumerate(gateways) if each.acting_leader is not None]


def stop_all(gateways: list[Gateway]) -> None:
    for gateway in gateways:
        gateway.stop()


def test_a_gateway_does_not_act_as_leader_by_a_configuration_older_than_it_has_heard_of() -> None:
    async def script() -> None:
        gateways = build_silent_gateways(1, set(), build_clock())
        gateways[0].link.failover_store.record_version(NEW)
        await gateways[0].link.check_failover()
        assert list_acting(gateways) == []
        gateways[0].link.receive_failover_state(build_new_state(1))
        await gateways[0].link.check_failover()
        assert list_acting(gateways) == [0]
        stop_all(gateways)

    asyncio.run(script())


@pytest.mark.parametrize("first", [0, 1])
def test_the_gateway_with_the_newest_configuration_acts_as_leader(first: int) -> None:
    """Guards against a failure domain without an acting leader after a change at the last moment.

    The one with the lowest address would act as leader, but has an older configuration, and may
    already act by it.
    """

    async def script() -> None:
        gateways = build_silent_gateways(2, {1}, build_clock())
        for number in (first, 1 - first, 1, 0):
            await gateways[number].link.check_failover()
        assert list_acting(gateways) == [1]
        assert gateways[0].coordinator == gateways[1].link.own_address
        stop_all(gateways)

    asyncio.run(script())


def test_a_gateway_does_not_follow_an_acting_leader_with_an_older_configuration() -> None:
    """The others still do: their callers have not been served by a newer one."""

    async def script() -> None:
        clock = build_clock()
        gateways = build_silent_gateways(3, set(), clock)
        gateways[1].link.failover_store.record_version(NEW)
        for gateway in gateways:
            await gateway.link.check_failover()
        assert list_acting(gateways) == [0]
        assert gateways[1].coordinator is None
        assert not gateways[1].is_ready()
        assert gateways[2].coordinator == gateways[0].link.own_address
        # One that has followed it leaves it when it hears of a newer configuration.
        gateways[2].link.failover_store.record_version(NEW)
        await gateways[2].link.check_failover()
        assert gateways[2].coordinator is None
        stop_all(gateways)

    asyncio.run(script())


def test_a_job_that_may_have_begun_is_not_answered_as_one_for_an_unknown_queue() -> None:
    """Guards against a 404 for a job that runs: its queue was removed after an unanswered try."""
    gateway = build_gateway(build_clock())
    gateway.link.follow("10.0.1.1:7000", Via.LEADER)
    tried = answer_in_turn(
        gateway, [Answer(outcome=Outcome.UNKNOWN), Answer(outcome=Outcome.NO_QUEUE)]
    )
    assert asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT)).outcome is Outcome.UNKNOWN
    assert len(tried) >= 2


def test_a_job_for_an_unknown_queue_is_answered_at_once() -> None:
    gateway = build_gateway(build_clock())
    tried = answer_in_turn(gateway, [Answer(outcome=Outcome.NO_QUEUE)])
    assert asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT)).outcome is Outcome.NO_QUEUE
    assert len(tried) == 1
