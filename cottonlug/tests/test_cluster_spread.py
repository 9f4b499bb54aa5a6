"""Load taken off a leader of thousands of upstreams and hundreds of gateways.

Load pattern: 3,000 upstreams with a heartbeat every 1.5 s, 300 gateways with a keep-alive every
80 ms, 4,096 descriptors a host.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest

from ..core.clock import ManualClock
from ..core.cluster.calls import (
    Answer,
    ForwardHeartbeat,
    GatewayInfo,
    Outcome,
    ReportedHeartbeat,
    ReportHeartbeats,
)
from ..core.cluster.model import Capacity, Heartbeat
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import UpstreamId
from ..net.connections import IdleConnections
from ..runtime import heartbeat_responder
from ..runtime.coordinator_link import MAX_KEEPALIVE_SECONDS
from ..runtime.gateway_registry import GATEWAY_TIMEOUT, MAX_LARGE_PARTS_PER_SECOND, GatewayRegistry
from ..runtime.heartbeat_responder import (
    RESPONDER_TRUST_PERIOD,
    SPREAD_MIN_UPSTREAMS,
    HeartbeatResponder,
    ResponderDirectory,
)
from ..runtime.leadership import Leadership
from .gateway_builders import (
    IdlePort,
    add_upstream,
    build_clock,
    build_failover_state,
    build_gateway,
)
from .model_upstreams import build_info
from .test_cluster_waiting import lead

RESPONDER = "10.1.0.1:80"


def build_responder(
    upstreams: int = SPREAD_MIN_UPSTREAMS,
) -> tuple[HeartbeatResponder, Records, ManualClock]:
    clock, records = build_clock(), Records()
    records.activate_configuration(build_failover_state().configuration)
    for number in range(upstreams):
        info = build_info(f"u{number}")
        records.upstreams[info.id] = UpstreamRecord(info=info, sequence=5)
    responder = HeartbeatResponder(
        control_address=RESPONDER, clock=clock, get_records=lambda: records
    )
    return responder, records, clock


def send_reports(
    responder: HeartbeatResponder, outcome: Outcome = Outcome.DONE
) -> list[ReportHeartbeats]:
    reported: list[ReportHeartbeats] = []

    async def accept_report(report: ReportHeartbeats) -> Answer:
        reported.append(report)
        return Answer(outcome=outcome)

    asyncio.run(responder._report(accept_report))
    return reported


def build_heartbeat(name: str = "u1", sequence: int = 6, **changes: object) -> Heartbeat:
    heartbeat = Heartbeat(info=build_info(name), sequence=sequence, draining=False, clock_ms=70)
    return msgspec.structs.replace(heartbeat, **changes)


def test_a_heartbeat_without_news_is_answered_and_reported_later() -> None:
    responder, _, clock = build_responder()
    send_reports(responder)
    answer = responder.answer_routine(build_heartbeat())
    assert answer is not None and answer.leader_control == RESPONDER
    clock.advance(timedelta(milliseconds=100))
    reported = send_reports(responder)
    one = ReportedHeartbeat(upstream=UpstreamId("u1"), sequence=6, clock_ms=70, age_ms=100)
    assert reported == [ReportHeartbeats(responder=RESPONDER, upstreams=(one,))]
    assert send_reports(responder) == [ReportHeartbeats(responder=RESPONDER)]


@pytest.mark.parametrize(
    "heartbeat",
    [
        build_heartbeat(draining=True),
        build_heartbeat("u999999"),
        build_heartbeat(sequence=4),
        build_heartbeat(is_capacity_unreadable=True),
        build_heartbeat(cold_left_ms=500),
        build_heartbeat(
            info=msgspec.structs.replace(build_info("u1"), capacity=Capacity(cpu_millis=1))
        ),
        build_heartbeat(info=msgspec.structs.replace(build_info("u1"), address="10.9.9.9:1")),
    ],
)
def test_a_heartbeat_with_news_goes_to_the_leader(heartbeat: Heartbeat) -> None:
    responder, _, _ = build_responder()
    send_reports(responder)
    assert responder.answer_routine(heartbeat) is None


def test_heartbeats_of_upstreams_that_enforce_no_capacity_go_to_the_leader() -> None:
    responder, records, _ = build_responder()
    send_reports(responder)
    configuration = records.configuration
    assert configuration is not None and responder.answer_routine(build_heartbeat()) is not None
    services = tuple(
        msgspec.structs.replace(service, rejects_overload=False)
        for service in configuration.services
    )
    records.activate_configuration(msgspec.structs.replace(configuration, services=services))
    assert responder.answer_routine(build_heartbeat()) is None


def test_a_host_without_contact_to_the_leader_answers_no_heartbeats() -> None:
    responder, _, clock = build_responder()
    assert responder.answer_routine(build_heartbeat()) is None, "no report was accepted yet"
    send_reports(responder, Outcome.UNAVAILABLE)
    assert responder.answer_routine(build_heartbeat()) is None
    send_reports(responder)
    assert responder.answer_routine(build_heartbeat()) is not None
    clock.advance(RESPONDER_TRUST_PERIOD)
    assert responder.answer_routine(build_heartbeat()) is None


def test_few_upstreams_stay_with_the_leader() -> None:
    responder, _, _ = build_responder(SPREAD_MIN_UPSTREAMS - 1)
    send_reports(responder)
    assert responder.answer_routine(build_heartbeat()) is None


def test_upstreams_are_spread_over_the_hosts_that_answer_and_stay_there() -> None:
    clock = build_clock()
    responders = ResponderDirectory(clock=clock, own_address="own")
    ids = [UpstreamId(f"i-{number:08x}") for number in range(1_000)]
    assert {responders.choose(id) for id in ids} == {"own"}
    hosts = [f"10.1.0.{number}:80" for number in range(5)]
    for host in hosts:
        responders.record_report(host)
    chosen = [responders.choose(id) for id in ids]
    assert all(150 < chosen.count(host) < 250 for host in hosts)
    assert chosen == [responders.choose(id) for id in ids]
    clock.advance(RESPONDER_TRUST_PERIOD / 2)
    for host in hosts[1:]:
        responders.record_report(host)
    clock.advance(RESPONDER_TRUST_PERIOD / 2 + timedelta(milliseconds=1))
    assert {responders.choose(id) for id in ids} == set(hosts[1:])


def answer(leadership: Leadership, call: ForwardHeartbeat | ReportHeartbeats) -> Answer:
    async def ask() -> Answer:
        return await leadership.answer(call)

    return asyncio.run(ask())


def test_a_leader_relies_on_reported_heartbeats_and_redirects_upstreams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        leadership, _ = lead(IdlePort())
        upstream = UpstreamId("u1")
        instance = leadership.dispatch.instances[upstream]
        first = build_heartbeat(sequence=1, info=instance.info)
        assert (await leadership.answer(ForwardHeartbeat(heartbeat=first))).leader_control is None
        monkeypatch.setattr("cottonlug.runtime.leadership.SPREAD_MIN_UPSTREAMS", 2)
        reported = ReportedHeartbeat(upstream=upstream, sequence=2, clock_ms=90, age_ms=40)
        assert (
            await leadership.answer(ReportHeartbeats(responder=RESPONDER, upstreams=(reported,)))
        ).outcome is Outcome.DONE
        assert instance.sequence == 2
        assert instance.heard_at is not None
        assert leadership.read_clock() - instance.heard_at <= timedelta(milliseconds=40)
        second = build_heartbeat(sequence=3, info=instance.info)
        assert (
            await leadership.answer(ForwardHeartbeat(heartbeat=second))
        ).leader_control == RESPONDER
        leadership.stop()

    asyncio.run(play())


def test_failover_state_is_sent_to_many_gateways_at_a_bounded_rate() -> None:
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    records = Records()
    for number in range(999):
        add_upstream(gateways, records, f"u{number}")
    sent = [
        gateways.build_failover_state(records, "") for _ in range(3 * MAX_LARGE_PARTS_PER_SECOND)
    ]
    assert sum(part is not None for part in sent) == MAX_LARGE_PARTS_PER_SECOND
    assert not gateways.is_current("")
    clock.advance(timedelta(milliseconds=100))
    sent = [gateways.build_failover_state(records, "") for _ in range(MAX_LARGE_PARTS_PER_SECOND)]
    assert sum(part is not None for part in sent) == MAX_LARGE_PARTS_PER_SECOND // 10
    version = gateways.failover_log.version
    add_upstream(gateways, records, "new")
    assert (
        gateways.build_failover_state(records, version) is not None
    ), "small ones are sent at once"


def test_many_gateways_send_fewer_keepalives_but_two_within_the_timeout() -> None:
    gateway = build_gateway(build_clock())
    failover_state = build_failover_state()
    usual = gateway.link._choose_usual_pause()
    many = tuple(GatewayInfo(address=f"10.0.{each}.1:1") for each in range(300))
    gateway.link.receive_failover_state(msgspec.structs.replace(failover_state, gateways=many))
    assert usual < gateway.link._choose_usual_pause() <= MAX_KEEPALIVE_SECONDS
    assert GATEWAY_TIMEOUT.total_seconds() > 2 * MAX_KEEPALIVE_SECONDS


class _Connection:
    def __init__(self) -> None:
        self.is_open = True

    def close(self) -> None:
        self.is_open = False


def test_the_longest_idle_connections_are_closed_beyond_the_limit() -> None:
    idle = IdleConnections(limit=3)
    connections = [_Connection() for _ in range(5)]
    for connection in connections[:3]:
        idle.add(connection)  # type: ignore[arg-type]
    idle.discard(connections[0])  # type: ignore[arg-type]
    idle.add(connections[0])  # type: ignore[arg-type]
    for connection in connections[3:]:
        idle.add(connection)  # type: ignore[arg-type]
    assert [each.is_open for each in connections] == [True, False, False, True, True]
    assert idle.closed_count == 2


def test_a_responder_reports_often_enough_to_stay_trusted() -> None:
    assert heartbeat_responder.REPORT_INTERVAL * 3 < RESPONDER_TRUST_PERIOD
