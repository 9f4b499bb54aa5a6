"""Builders of gateways without a network, for tests of their answers and of acting leaders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

from ..config.cluster import GatewayListeners, GatewaySettings
from ..config.logs import LogSettings
from ..config.options import Address
from ..core.clock import ManualClock
from ..core.cluster.calls import (
    Answer,
    Call,
    FailoverState,
    GatewayInfo,
    KeepAlive,
    Outcome,
    Submit,
)
from ..core.cluster.host_sizes import UNKNOWN_SIZE, HostSize
from ..core.cluster.model import Configuration, ConfigurationVersion, PollReply, Service
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import DomainName, HostId
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from ..runtime.gateway import Gateway
from ..runtime.gateway_registry import GatewayRegistry
from .model_upstreams import SERVICE, build_info, build_queue, build_spec

CALL_TIMEOUT = timedelta(seconds=1)


JOB = "0123456789abcdef"


class IdlePort:
    """Upstreams that accept every start and never end a run."""

    def __init__(self) -> None:
        self.tokens: set[int] = set()

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        return False

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        self.tokens.add(token)
        return StartOutcome.STARTED, 1_000

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        return None

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        self.tokens.add(token)
        await asyncio.sleep(order.wait.total_seconds())
        return PollReply(clock_ms=1_000, running=(), ended=())


def raise_error(error: BaseException) -> None:
    raise error


def build_gateway(clock: ManualClock, number: int = 1, size: HostSize = UNKNOWN_SIZE) -> Gateway:
    peers = Address(f"10.0.0.{number}", 7_000)
    listen = GatewayListeners(
        callers=Address("10.0.0.1", 80),
        readiness=Address("10.0.0.1", 81),
        peers=peers,
        metrics=None,
    )
    settings = GatewaySettings(
        host=HostId(f"g{number}"),
        domain=DomainName("domain"),
        listen=listen,
        seeds=[Address("10.0.1.1", 7_000)],
        longest_lease=timedelta(seconds=1),
        caller_retry=timedelta(milliseconds=1_300),
        drain_limit=timedelta(seconds=5),
        size=size,
        log=LogSettings(),
    )
    gateway = Gateway(settings=settings, clock=clock, port=IdlePort())
    gateway.link.record_term_failure = raise_error
    return gateway


def build_clock() -> ManualClock:
    return ManualClock(start=datetime(2026, 1, 1, tzinfo=UTC))


def build_failover_state(count: int = 2, keeps_jobs: bool = False) -> FailoverState:
    configuration = Configuration(
        version=ConfigurationVersion(1),
        queues=(build_queue(),),
        services=(Service(name=SERVICE),),
        max_body_bytes=1_000,
        document="{}",
    )
    return FailoverState(
        version="1.1",
        term=5,
        configuration=configuration,
        upstreams=(UpstreamRecord(info=build_info("u1")),),
        gateways=tuple(
            GatewayInfo(address=f"10.0.0.{number}:7000", domain=DomainName("domain"))
            for number in range(1, count + 1)
        ),
        has_durable_jobs=keeps_jobs,
    )


def answer_in_turn(gateway: Gateway, answers: list[Answer]) -> list[Call]:
    """Answer a gateway's tries from a list, in order; return the list of calls tried."""
    tried: list[Call] = []

    async def try_once(call: Call, timeout: timedelta) -> Answer:
        tried.append(call)
        return answers.pop(0)

    gateway._try_once = try_once  # type: ignore[method-assign]
    return tried


def build_submit() -> Submit:
    return Submit(host="host", path=f"/q/{JOB}", spec=build_spec())


def connect(gateways: list[Gateway], cut: Callable[[Gateway, str], bool]) -> None:
    """Connect gateways with one another, unless `cut`; control hosts do not answer."""
    by_address = {gateway.link.own_address: gateway for gateway in gateways}

    def build_ask(asking: Gateway) -> Any:
        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            if host not in by_address or cut(asking, host):
                return Answer(outcome=Outcome.UNAVAILABLE, detail="cannot connect")
            return await by_address[host].answer_peer(call)

        return ask

    for gateway in gateways:
        gateway.calls.ask = build_ask(gateway)  # type: ignore[method-assign]


def build_gateways(count: int, clock: ManualClock, **changes: Any) -> list[Gateway]:
    gateways = [build_gateway(clock, number) for number in range(1, count + 1)]
    for gateway in gateways:
        gateway.link.receive_failover_state(build_failover_state(count, **changes))
    return gateways


def build_keepalive(gateway: str, domain: str = "north", version: str = "") -> KeepAlive:
    return KeepAlive(gateway=gateway, domain=DomainName(domain), failover_version=version)


def add_upstream(gateways: GatewayRegistry, records: Records, name: str) -> None:
    info = build_info(name)
    records.upstreams[info.id] = UpstreamRecord(info=info)
    gateways.failover_log.record_upstream_change(info.id)


def build_acting_gateway() -> tuple[Gateway, ManualClock]:
    """Return a gateway that is due to act as leader, and its clock.

    Must be called while an event loop is running. The gateway acts as leader after its next
    `check_failover`.
    """
    clock = build_clock()
    gateway = build_gateways(1, clock)[0]
    connect([gateway], lambda asking, host: False)
    clock.advance(ACT_AS_LEADER_AFTER_SILENCE)
    return gateway, clock


LEADER = "10.0.1.1:7000"


def connect_with_leader(
    gateways: list[Gateway],
    cut: Callable[[Gateway, str], bool],
    answer_leader: Callable[[Call], Answer],
) -> None:
    """Connect gateways with one another and a leader, unless `cut`."""
    by_address = {gateway.link.own_address: gateway for gateway in gateways}

    def build_ask(asking: Gateway) -> Any:
        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            if cut(asking, host):
                return Answer(outcome=Outcome.UNKNOWN, detail="no reply in time")
            if host == LEADER:
                return answer_leader(call)
            return await by_address[host].answer_peer(call)

        return ask

    for gateway in gateways:
        gateway.calls.ask = build_ask(gateway)  # type: ignore[method-assign]


def answer_as_leader(call: Call) -> Answer:
    if isinstance(call, KeepAlive):
        return Answer(outcome=Outcome.DONE, leader=LEADER, hosts=(LEADER,))
    return Answer(outcome=Outcome.DONE, detail="led")
