"""Idempotent calls and heartbeats that arrive at a control host that is not the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path

import pytest

from ..config.cluster import ControlListeners, ControlSettings, OrderDelivery
from ..config.logs import LogSettings
from ..config.options import Address
from ..core.cluster.calls import (
    Answer,
    Call,
    ForwardHeartbeat,
    ForwardLeave,
    HeartbeatOrders,
    Outcome,
)
from ..core.cluster.commands import AddUpstream, SetDraining
from ..core.cluster.model import Heartbeat
from ..core.ids import DomainName, HostId
from ..net.connections import ConnectionPools
from ..runtime.control_host import ControlHost
from ..runtime.replica import Replica
from .gateway_builders import IdlePort, build_clock, raise_error
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
    host = ControlHost(
        settings=settings, clock=build_clock(), port=IdlePort(), on_failure=raise_error
    )
    host.replicated.records.apply(AddUpstream(info=INFO))
    return host


def mock_other_leader(
    host: ControlHost, answer_after: float, monkeypatch: pytest.MonkeyPatch
) -> list[Call]:
    """Mock another host as leader that answers after some seconds; return the calls sent to it."""
    sent: list[Call] = []

    async def forward(
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
    monkeypatch.setattr(host, "_forward", forward)
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
        sent = mock_other_leader(host, answer_after, monkeypatch)
        return await script(host), sent

    return asyncio.run(run())


def build_forwarded_heartbeat(*, draining: bool) -> ForwardHeartbeat:
    return ForwardHeartbeat(heartbeat=Heartbeat(info=INFO, sequence=3, draining=draining))


def test_draining_upstream_still_receives_orders_and_its_lease(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An answer from the log carried no lease, and the runs still active there lapsed."""

    async def script(host: ControlHost) -> Answer:
        host.replicated.records.apply(SetDraining(upstream=INFO.id))
        return await host.answer(build_forwarded_heartbeat(draining=True))

    answer, _ = play(OrderDelivery.HEARTBEAT, 0.1, script, tmp_path, monkeypatch)
    assert answer.orders is not None and answer.orders.lease_ms


@pytest.mark.parametrize("orders", list(OrderDelivery))
def test_heartbeat_is_forwarded_to_the_leader_only_once(
    orders: OrderDelivery, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The leader may park a heartbeat for 0.7 s; a second copy would count as overtaken.

    Copies would also put more load on a leader that is late already.
    """

    async def script(host: ControlHost) -> Answer:
        return await host.answer(build_forwarded_heartbeat(draining=False))

    answer, sent = play(orders, 0.5, script, tmp_path, monkeypatch)
    assert len(sent) == 1
    assert answer.outcome is Outcome.DONE


def test_call_committed_in_the_local_log_is_acknowledged_despite_a_late_leader(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def script(host: ControlHost) -> Answer:
        host.replicated.records.apply(SetDraining(upstream=INFO.id))
        leaving = await host.answer(ForwardLeave(upstream=INFO.id))
        assert leaving.outcome is Outcome.DONE
        return await host.answer(build_forwarded_heartbeat(draining=True))

    answer, _ = play(OrderDelivery.CALL, 10.0, script, tmp_path, monkeypatch)
    assert answer.outcome is Outcome.DONE
