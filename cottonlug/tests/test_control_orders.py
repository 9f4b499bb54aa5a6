"""What a control host that does not lead does with orders and heartbeats that come to it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import pytest

from ..config.cluster import ControlListeners, ControlSettings, OrderDelivery
from ..config.logs import LogSettings
from ..config.options import Address
from ..core.cluster.calls import Answer, Beat, Call, HeartbeatOrders, Leave, Outcome
from ..core.cluster.commands import AddUpstream, SetDraining
from ..core.cluster.model import Heartbeat
from ..core.ids import DomainName, HostId
from ..net.connections import ConnectionPools
from ..runtime.control_host import ControlHost
from ..runtime.replica import Replica
from .gateway_builders import IdlePort, build_clock, fail
from .model_upstreams import build_info

LEADER = "10.0.1.2:7000"
INFO = build_info("u1")


def build_host(orders: OrderDelivery, folder: Path) -> ControlHost:
    address = Address("10.0.1.1", 7_000)
    settings = ControlSettings(
        host=HostId("c1"),
        domain=DomainName("domain"),
        listen=ControlListeners(control=address, peers=address, metrics=None),
        seeds=[],
        may_begin=False,
        data_folder=folder,
        longest_lease=timedelta(seconds=1),
        drain_limit=timedelta(seconds=5),
        caller_retry=timedelta(milliseconds=1_300),
        keep_ended=timedelta(seconds=10),
        orders=orders,
        log=LogSettings(),
    )
    host = ControlHost(settings=settings, clock=build_clock(), port=IdlePort(), on_failure=fail)
    host.replicated.records.apply(AddUpstream(info=INFO))
    return host


def lead_elsewhere(
    host: ControlHost, answer_after: float, monkeypatch: pytest.MonkeyPatch
) -> list[Call]:
    """Have another host lead that answers after some seconds; return what is sent to it."""
    sent: list[Call] = []

    async def pass_on(
        leader: str, call: Call, timeout: timedelta, pools: ConnectionPools
    ) -> Answer:
        sent.append(call)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await asyncio.sleep(answer_after)
        except TimeoutError:
            return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
        orders = HeartbeatOrders(token=1, last_seen=0, lease_ms=1_000)
        return Answer(outcome=Outcome.DONE, leader_control=LEADER, orders=orders)

    monkeypatch.setattr(Replica, "leader_host", LEADER)
    monkeypatch.setattr(host, "_pass_on", pass_on)
    return sent


def play(
    orders: OrderDelivery,
    answer_after: float,
    script: Callable[[ControlHost], Awaitable[Answer]],
    folder: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[Answer, list[Call]]:
    async def run() -> tuple[Answer, list[Call]]:
        host = build_host(orders, folder)
        sent = lead_elsewhere(host, answer_after, monkeypatch)
        return await script(host), sent

    return asyncio.run(run())


def beat(*, draining: bool) -> Beat:
    return Beat(heartbeat=Heartbeat(info=INFO, sequence=3, draining=draining))


def test_a_leaving_upstream_gets_its_orders_with_its_heartbeat(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Answered from the log, it had no lease, and what still ran there lapsed."""

    async def script(host: ControlHost) -> Answer:
        host.replicated.records.apply(SetDraining(upstream=INFO.id))
        return await host.answer(beat(draining=True))

    answer, _ = play(OrderDelivery.HEARTBEAT, 0.1, script, tmp_path, monkeypatch)
    assert answer.orders is not None and answer.orders.lease_ms


@pytest.mark.parametrize("orders", list(OrderDelivery))
def test_a_heartbeat_goes_to_the_leader_once(
    orders: OrderDelivery, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader may keep it for 0.7 s; a second one would count as overtaken, and be for nothing.

    Beside a leader that is late, each would make it later.
    """

    async def script(host: ControlHost) -> Answer:
        return await host.answer(beat(draining=False))

    answer, sent = play(orders, 0.5, script, tmp_path, monkeypatch)
    assert len(sent) == 1
    assert answer.outcome is Outcome.DONE


def test_what_its_own_log_says_is_acknowledged_though_the_leader_is_late(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def script(host: ControlHost) -> Answer:
        host.replicated.records.apply(SetDraining(upstream=INFO.id))
        leaving = await host.answer(Leave(upstream=INFO.id))
        assert leaving.outcome is Outcome.DONE
        return await host.answer(beat(draining=True))

    answer, _ = play(OrderDelivery.CALL, 10.0, script, tmp_path, monkeypatch)
    assert answer.outcome is Outcome.DONE
