"""Hosts that join a cluster at work, and control hosts at new addresses, in simulated time."""

from __future__ import annotations

import asyncio
import random

import pytest

from ..runtime.gateway import Gateway
from .model_hosts import Machine, World, play
from .test_acknowledgements import (
    CATCH_UP_SECONDS,
    Day,
    delay_loop,
    get_control,
    get_leader,
    play_core,
)

CONTACT_SECONDS = 2.0
"""Time in which a host that joins, or whose link is back, is connected."""


def start_gateways(
    world: World, numbers: range, seeds: list[Machine], prefix: str = "edge"
) -> list[Gateway]:
    return [
        world.start_gateway(
            f"{prefix}-{number}", f"d{number % 4}", f"10.{number % 4}.1.{number + 1}", seeds
        )
        for number in numbers
    ]


@pytest.mark.parametrize("seed", range(2))
def test_gateways_that_join_a_late_leader_are_ready_within_seconds(seed: int) -> None:
    """Guards against newcomers that a busy leader keeps waiting, or that cannot replace it."""

    async def day(world: World, machines: list[Machine]) -> None:
        start_gateways(world, range(8), machines[:3])
        upstreams = Day(world, seed)
        for upstream in world.upstreams.values():
            upstreams.begin(upstreams.send_heartbeats_forever(upstream))
        leader = get_leader(world)
        assert leader.process is not None
        leader.process.run(delay_loop(leader.process, 0.02))
        await asyncio.sleep(1.0)
        joined = start_gateways(world, range(8, 32), machines[:3])
        await asyncio.sleep(CONTACT_SECONDS)
        for gateway in joined:
            state = gateway.link.failover_store.current
            assert gateway.link.has_direct_leader() and state is not None
            assert len(state.upstreams) == len(world.upstreams)
        leadership = get_control(get_leader(world)).leadership
        assert leadership is not None
        assert all(leadership.gateways.is_connected(each.link.own_address) for each in joined)

    play_core(seed, day)


@pytest.mark.parametrize("seed", range(2))
def test_control_hosts_that_join_under_orders_become_members(seed: int) -> None:
    """Guards against a newcomer that stays outside while the log is written all the time."""

    async def day(world: World) -> None:
        for number in range(6):
            world.add(f"core-{number}", f"d{number % 3}", f"10.{number % 3}.0.{number + 1}")
        machines = list(world.machines.values())
        for machine in machines[:3]:
            world.start(machine, machines[:3], may_begin=True)
        await asyncio.sleep(3.0)
        orders = Day(world, seed)
        orders.begin(orders.send_orders_forever())
        await asyncio.sleep(2.0)
        for machine in machines[3:]:
            world.start(machine, machines[:3])
            await asyncio.sleep(random.Random(seed).uniform(0, 1))
        await asyncio.sleep(CATCH_UP_SECONDS)
        versions = set()
        for machine in machines:
            control = get_control(machine)
            member = control.replica.member
            assert member is not None and member.members.has(member.id)
            assert len(member.members.voters) == 5
            configuration = control.replicated.records.configuration
            versions.add(configuration.version if configuration is not None else 0)
        assert max(versions) > 0 and max(versions) - min(versions) <= 1

    play(seed, day)


async def replace_seeds(world: World, machines: list[Machine]) -> list[Machine]:
    """Replace the first three hosts, one after the other, by hosts at other addresses."""
    added = []
    for number in range(3):
        others = [each for each in machines[3:] if each.process is not None]
        world.kill(machines[number], power=True, wipe=True)
        await asyncio.sleep(CATCH_UP_SECONDS)
        machine = world.add(f"core-{8 + number}", f"d{number}", f"10.{number}.0.{9 + number}")
        world.start(machine, others[:3])
        added.append(machine)
        await asyncio.sleep(CATCH_UP_SECONDS)
    return added


def test_gateways_follow_replaced_seeds() -> None:
    """Guards against gateways that know only addresses which no control host has any more."""

    async def day(world: World, machines: list[Machine]) -> None:
        (before,) = start_gateways(world, range(1), machines[:3])
        added = await replace_seeds(world, machines)
        for machine in machines[3:]:
            world.kill(machine)
            await asyncio.sleep(CATCH_UP_SECONDS)
        (after,) = start_gateways(world, range(1, 2), added)
        await asyncio.sleep(CONTACT_SECONDS)
        assert before.link.has_direct_leader() and after.link.has_direct_leader()

    play_core(1, day)


def test_new_seeds_are_kept_though_a_removed_control_host_names_the_old_ones() -> None:
    """Guards against a gateway that forgets new seeds before it has reached one of them.

    It was cut off while the control hosts were replaced. One of the old ones still runs, without
    contact to the others, and names the old ones. The new ones can be reached only later.
    """

    async def day(world: World, machines: list[Machine]) -> None:
        old, new = machines[:3], machines[3:6]
        (gateway,) = start_gateways(world, range(1), old)
        await asyncio.sleep(CONTACT_SECONDS)
        own = world.gateways["edge-0"]
        for machine in machines:
            if machine is not old[0]:
                world.cut(own, machine)
                world.cut(old[0], machine)
        gateway.link.hosts = [str(each.peers) for each in old]
        get_control(old[0]).replica._membership.hosts = set(gateway.link.hosts)
        await asyncio.sleep(CONTACT_SECONDS)
        gateway.add_seeds([each.peers for each in new])
        await asyncio.sleep(CONTACT_SECONDS)
        world.heal()
        for machine in machines[1:]:
            world.cut(old[0], machine)
        for machine in old[1:]:
            world.cut(own, machine)
        # An old host that leads is reached through a new one only, and not with each keep-alive.
        checks = 20
        has_reached_leader = []
        for _ in range(checks):
            await asyncio.sleep(CONTACT_SECONDS / checks)
            has_reached_leader.append(gateway.link.has_direct_leader())
        assert any(has_reached_leader)
        assert {str(each.peers) for each in new} <= set(gateway.link.hosts)

    play_core(1, day)
