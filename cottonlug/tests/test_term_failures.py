"""Unexpected errors in a term: they end the term, and neither the process nor the next term."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from ..core.cluster.dispatch import Dispatch
from ..core.cluster.instance_table import InstanceTable
from ..core.cluster.model import PollReply
from ..core.cluster.orders import PollOrder
from ..core.ids import UpstreamId
from ..runtime import failures
from ..runtime.coordinator_link import ACT_AS_LEADER_AGAIN_AFTER
from ..runtime.events import Event
from ..runtime.failures import PAUSE_AFTER_FAILURE_SECONDS, repeat
from ..runtime.upstream_isolation import ISOLATION_TIME
from .model_hosts import ModelUpstream, Operator, World, play
from .test_begun_jobs import SETTLING_SECONDS, get_host, start_three
from .test_cluster_events import record_events

FAULTY, SOUND = UpstreamId("faulty"), UpstreamId("sound")
HEARTBEAT_SECONDS = 0.5


def raise_for(upstream: UpstreamId, handle: Callable[..., None]) -> Callable[..., None]:
    """Return a handler of answers that raises an exception for the lists of one upstream."""

    def handle_or_raise(self: Dispatch, order: PollOrder, reply: object, *rest: Any) -> None:
        if order.upstream.id == upstream and isinstance(reply, PollReply):
            raise LookupError("a look-up that takes an answer for granted")
        handle(self, order, reply, *rest)

    return handle_or_raise


async def add_upstreams(world: World) -> None:
    """Add two upstreams that send heartbeats from now on."""
    operator = Operator(world, random.Random(1))
    world.upstreams = {
        name: ModelUpstream(name, f"10.0.9.{number}", "north")
        for number, name in enumerate((FAULTY, SOUND), start=1)
    }

    async def send_forever(upstream: ModelUpstream) -> None:
        while True:
            await operator.send_heartbeat(upstream)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    for upstream in world.upstreams.values():
        world._exchanges.add(asyncio.create_task(send_forever(upstream)))


def count_process_failures(world: World) -> int:
    return len(world.failures) - len(world.term_failures)


def test_an_error_on_one_upstreams_answer_ends_one_term_of_each_control_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against control hosts that end one after the other by the same upstream."""
    handle = raise_for(FAULTY, Dispatch.handle_poll_answer)
    monkeypatch.setattr(Dispatch, "handle_poll_answer", handle)

    async def scenario(world: World) -> None:
        await start_three(world)
        await add_upstreams(world)
        await asyncio.sleep(10)
        host = get_host(world)
        assert host.leadership is not None
        term = host.leadership.term
        await asyncio.sleep(20)
        assert get_host(world) is host
        assert host.leadership.term == term
        instances = host.leadership.dispatch.instances
        assert instances[SOUND].is_fenced
        assert FAULTY not in instances or not instances[FAULTY].is_fenced

    world = play(1, scenario)
    assert count_process_failures(world) == 0
    assert 1 <= len(world.term_failures) <= 3


def test_a_single_host_leads_again_after_a_failed_term(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a host that can transfer leadership to no other one, and leads no more."""
    handle = raise_for(FAULTY, Dispatch.handle_poll_answer)
    monkeypatch.setattr(Dispatch, "handle_poll_answer", handle)

    async def scenario(world: World) -> None:
        machine = world.add("c1", "north", "10.0.1.1")
        world.start(machine, [machine], may_begin=True)
        await asyncio.sleep(SETTLING_SECONDS)
        await add_upstreams(world)
        await asyncio.sleep(5)
        leadership = get_host(world).leadership
        assert leadership is not None and leadership.dispatch.instances[SOUND].is_fenced

    world = play(1, scenario)
    assert (count_process_failures(world), len(world.term_failures)) == (0, 1)


def test_an_isolated_upstream_is_used_again_after_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an upstream that is lost for good by one error."""
    handle = Dispatch.handle_poll_answer
    monkeypatch.setattr(Dispatch, "handle_poll_answer", raise_for(FAULTY, handle))

    async def scenario(world: World) -> None:
        await start_three(world)
        await add_upstreams(world)
        await asyncio.sleep(10)
        monkeypatch.setattr(Dispatch, "handle_poll_answer", handle)
        await asyncio.sleep(ISOLATION_TIME.total_seconds() + 5)
        leadership = get_host(world).leadership
        assert leadership is not None and leadership.dispatch.instances[FAULTY].is_fenced

    assert count_process_failures(play(1, scenario)) == 0


def test_an_error_at_the_start_of_a_term_ends_no_control_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against hosts that end one after the other by what the records contain."""
    build = InstanceTable.__init__
    is_faulty = True

    def build_or_raise(self: InstanceTable, **arguments: Any) -> None:
        if is_faulty:
            raise LookupError("a record that the table does not expect")
        build(self, **arguments)

    async def scenario(world: World) -> None:
        nonlocal is_faulty
        await start_three(world)
        await asyncio.sleep(5)
        assert world.find_leader() is None
        is_faulty = False
        await asyncio.sleep(5)
        assert world.find_leader() is not None

    monkeypatch.setattr(InstanceTable, "__init__", build_or_raise)
    world = play(1, scenario)
    assert count_process_failures(world) == 0
    assert world.term_failures


def test_another_gateway_acts_as_leader_after_a_failed_term(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against gateways that wait for one which takes precedence, and pauses."""
    handle = Dispatch.handle_poll_answer
    failed: list[Dispatch] = []

    def fail_once(self: Dispatch, *arguments: Any) -> None:
        if not failed:
            failed.append(self)
            raise LookupError("a look-up that takes an answer for granted")
        handle(self, *arguments)

    async def scenario(world: World) -> None:
        machines = await start_three(world)
        gateways = [
            world.start_gateway(f"g{number}", "north", f"10.0.2.{number}", machines)
            for number in (1, 2)
        ]
        await add_upstreams(world)
        await Operator(world, random.Random(1)).configure(1)
        await asyncio.sleep(3)
        monkeypatch.setattr(Dispatch, "handle_poll_answer", fail_once)
        for machine in machines:
            world.kill(machine)
        while not failed:
            await asyncio.sleep(0.01)
        await asyncio.sleep(ACT_AS_LEADER_AGAIN_AFTER.total_seconds() / 2)
        acting = [each for each in gateways if each.acting_leader is not None]
        assert len(acting) == 1
        assert acting[0].link.failed_terms == 0

    world = play(1, scenario)
    assert (count_process_failures(world), len(world.term_failures)) == (0, 1)


def test_an_error_at_the_start_of_an_acting_leaders_term_ends_no_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a gateway that tries to act as leader ten times a second."""
    build = InstanceTable.__init__

    def build_or_raise(self: InstanceTable, **arguments: Any) -> None:
        if not arguments["term"].keeps_log:
            raise LookupError("a record that the table does not expect")
        build(self, **arguments)

    async def scenario(world: World) -> None:
        machines = await start_three(world)
        gateway = world.start_gateway("g1", "north", "10.0.2.1", machines)
        await add_upstreams(world)
        await Operator(world, random.Random(1)).configure(1)
        await asyncio.sleep(3)
        for machine in machines:
            world.kill(machine)
        await asyncio.sleep(4 * ACT_AS_LEADER_AGAIN_AFTER.total_seconds())
        assert gateway.acting_leader is None
        monkeypatch.setattr(InstanceTable, "__init__", build)
        await asyncio.sleep(ACT_AS_LEADER_AGAIN_AFTER.total_seconds() + 1)
        assert gateway.acting_leader is not None

    monkeypatch.setattr(InstanceTable, "__init__", build_or_raise)
    world = play(1, scenario)
    assert count_process_failures(world) == 0
    assert 2 <= len(world.term_failures) <= 4


@pytest.mark.parametrize("name", ["tick", "handle_applied_command"])
def test_an_error_in_a_decision_or_on_an_entry_of_the_log_ends_one_term(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a replica that stops in the middle of the entries that it applies."""
    handle = getattr(Dispatch, name)
    failed: list[object] = []

    def fail_once(self: Dispatch, *arguments: Any) -> None:
        if not failed:
            failed.append(self)
            raise LookupError("a look-up that takes an entry for granted")
        handle(self, *arguments)

    async def scenario(world: World) -> None:
        machines = await start_three(world)
        first = get_host(world).replica.term
        monkeypatch.setattr(Dispatch, name, fail_once)
        await Operator(world, random.Random(1)).configure(1)
        await asyncio.sleep(5)
        assert get_host(world).replica.term > first
        versions = [
            each.process.control.replicated.records.configuration
            for each in machines
            if each.process is not None and each.process.control is not None
        ]
        assert len(versions) == 3
        assert all(each is not None and each.version == 1 for each in versions)

    world = play(1, scenario)
    assert (count_process_failures(world), len(world.term_failures)) == (0, 1)


def test_an_error_on_one_upstreams_answer_ends_no_gateway_that_acts_as_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a gateway that is lost with the connections of its callers."""
    handle = raise_for(FAULTY, Dispatch.handle_poll_answer)

    async def scenario(world: World) -> None:
        machines = await start_three(world)
        gateway = world.start_gateway("g1", "north", "10.0.2.1", machines)
        await add_upstreams(world)
        await Operator(world, random.Random(1)).configure(1)
        await asyncio.sleep(3)
        monkeypatch.setattr(Dispatch, "handle_poll_answer", handle)
        for machine in machines:
            world.kill(machine)
        await asyncio.sleep(2)
        assert gateway.acting_leader is None
        await asyncio.sleep(ACT_AS_LEADER_AGAIN_AFTER.total_seconds() + 1)
        acting_leader = gateway.acting_leader
        assert acting_leader is not None
        await asyncio.sleep(10)
        assert gateway.acting_leader is acting_leader
        instances = acting_leader.leadership.dispatch.instances
        assert (instances[SOUND].is_fenced, instances[FAULTY].is_fenced) == (True, False)
        assert gateway.link.failed_terms == 1

    world = play(1, scenario)
    assert (count_process_failures(world), len(world.term_failures)) == (0, 1)


def test_a_periodic_task_goes_on_after_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a process that goes on but does nothing, without a line in the log."""
    logged = record_events(monkeypatch, failures)
    done: list[int] = []

    async def step() -> float:
        done.append(len(done))
        if len(done) == 1:
            raise LookupError("an answer that cannot be read")
        return PAUSE_AFTER_FAILURE_SECONDS

    async def run() -> None:
        task = asyncio.create_task(repeat(step, during="a test"))
        await asyncio.sleep(3.5 * PAUSE_AFTER_FAILURE_SECONDS)
        task.cancel()

    asyncio.run(run())
    assert len(done) >= 2
    assert [event for event, _ in logged] == [Event.STEP_FAILED]
