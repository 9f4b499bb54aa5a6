"""Orders to evacuate, sent through real control hosts while these are killed, cut off and frozen.

Failure pattern: an acknowledgement is lost and the operator sends the same order to another host;
the first host, frozen or cut off, carries it out seconds later, when the opposite order has been
acknowledged. An acknowledged order must also hold after any loss that the cluster tolerates.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from ..config.options import Address
from ..core.ids import DomainName
from ..net.asgi import HttpRequest
from .model_hosts import CLIENT_TIMEOUT_SECONDS, CONTROL_PORT, Machine, World, play
from .test_acknowledgements import (
    ACKNOWLEDGED_WITHIN,
    CONTACT_SECONDS,
    Day,
    get_control,
    get_leader,
    play_core,
)

SAMPLE_SECONDS = 0.02
LOST_ACKNOWLEDGEMENTS = 0.4
DOMAINS = [DomainName("d0"), DomainName("d1")]


async def send_order(world: World, machine: Machine, method: str, domain: str) -> int:
    """Send one order and return its status; 0 if none came within the operator's timeout."""
    request = HttpRequest(method=method, path=f"/evacuation/{domain}", headers={}, body=b"")
    try:
        async with asyncio.timeout(CLIENT_TIMEOUT_SECONDS):
            address = Address(machine.ip, CONTROL_PORT)
            sent = await world.exchange(None, address, request, [])
    except TimeoutError:
        return 0
    return sent.unwrap().status if sent.value_or(None) is not None else 0


class Operator:
    """Begins and ends the evacuation of one domain in turn; repeats orders until acknowledged."""

    def __init__(self, world: World, domain: DomainName, chance: random.Random) -> None:
        self.domain = domain
        self.expected: bool | None = False
        """The last acknowledged state; None while the next order is pending."""
        self.orders = 0
        self.refusals: list[int] = []
        self._world = world
        self._chance = chance

    async def send_orders_forever(self) -> None:
        while True:
            await asyncio.sleep(self._chance.uniform(0.3, 3.0))
            begin = not self.expected
            self.expected = None
            await self._send_until_acknowledged("POST" if begin else "DELETE")
            self.expected = begin
            self.orders += 1

    async def _send_until_acknowledged(self, method: str) -> None:
        backoff, last = 0.1, ""
        while True:
            others = [name for name in self._world.machines if name != last]
            last = self._chance.choice(others)
            machine = self._world.machines[last]
            status = await send_order(self._world, machine, method, self.domain)
            if status == 200 and self._chance.random() >= LOST_ACKNOWLEDGEMENTS:
                return
            if 400 <= status < 500:
                self.refusals.append(status)
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, 0.8)


class EvacuationDay(Day):
    """A random day with two operators; the leader's state must follow acknowledged orders."""

    def __init__(self, world: World, seed: int) -> None:
        super().__init__(world, seed)
        self.operators = [
            Operator(world, domain, random.Random(seed * 7 + number))
            for number, domain in enumerate(DOMAINS)
        ]
        self.problems: list[str] = []

    async def send_orders_forever(self) -> None:
        for operator in self.operators:
            self.begin(operator.send_orders_forever())
        self.begin(self.watch_forever())
        await super().send_orders_forever()

    async def watch_forever(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            leader = self.world.find_leader()
            if leader is not None:
                self._compare(leader)

    def _compare(self, leader: Machine) -> None:
        evacuated = get_control(leader).replicated.records.evacuations.evacuated
        for operator in self.operators:
            found = operator.domain in evacuated
            if operator.expected is not None and found != operator.expected:
                at = self.world.loop.time()
                self.problems.append(f"{at:.2f} {operator.domain} {found} at {leader.name}")

    def find_problems(self) -> list[str]:
        refused = [
            f"{operator.domain} refused: {operator.refusals}"
            for operator in self.operators
            if operator.refusals
        ]
        return [*super().find_problems(), *refused, *self.problems[:3]]


def play_day(seed: int) -> EvacuationDay:
    days: list[EvacuationDay] = []

    async def begin(world: World) -> None:
        days.append(EvacuationDay(world, seed))
        await days[0].play()

    play(seed, begin)
    return days[0]


@pytest.mark.parametrize("seed", range(2))
def test_the_last_acknowledged_order_holds_through_any_faults(seed: int) -> None:
    day = play_day(seed)
    assert not day.find_problems(), day.faults
    assert sum(operator.orders for operator in day.operators) > 3


def test_an_order_that_a_frozen_host_forwards_late_does_not_undo_a_later_one() -> None:
    async def day(world: World, machines: list[Machine]) -> None:
        leader = get_leader(world)
        frozen, other = [machine for machine in machines if machine is not leader][:2]
        world.freeze(frozen, 4.0)
        assert await send_order(world, frozen, "POST", "d1") == 0
        assert await send_order(world, other, "POST", "d1") == 200
        assert await send_order(world, other, "DELETE", "d1") == 200
        await asyncio.sleep(5.0)
        for machine in machines:
            assert not get_control(machine).replicated.records.evacuations.evacuated

    play_core(1, day)


@pytest.mark.parametrize("power", [False, True])
def test_an_acknowledged_order_holds_after_all_hosts_were_lost(power: bool) -> None:
    async def day(world: World, machines: list[Machine]) -> None:
        assert await send_order(world, machines[3], "POST", "d1") == 200
        wiped = machines[:2] if power else []
        for machine in machines:
            world.kill(machine, power=power, wipe=machine in wiped)
        await asyncio.sleep(1.0)
        for machine in machines:
            world.start(machine, machines[:3])
        await asyncio.sleep(CONTACT_SECONDS + ACKNOWLEDGED_WITHIN)
        for machine in machines:
            assert get_control(machine).replicated.records.evacuations.evacuated == {"d1"}

    play_core(2, day)


def test_gateways_learn_of_an_evacuation_with_their_next_keep_alive() -> None:
    async def day(world: World, machines: list[Machine]) -> None:
        gateway = world.start_gateway("g1", "d1", "10.8.0.1", machines[:3])
        await asyncio.sleep(1.0)
        assert await send_order(world, machines[4], "POST", "d1") == 200
        await asyncio.sleep(0.3)
        state = gateway.link.failover_store.current
        assert state is not None
        assert [each.domain for each in state.evacuations if each.is_evacuated] == ["d1"]

    play_core(3, day)
