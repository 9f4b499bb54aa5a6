"""What a leader of thousands of upstreams and hundreds of gateways is spared.

Load pattern: 3,000 upstreams with a heartbeat every 1.5 s, 300 gateways that greet every 80 ms,
4,096 descriptors a host.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest

from ..core.clock import ManualClock
from ..core.cluster.calls import Answer, Beat, GatewayInfo, Heard, HeardUpstream, Outcome
from ..core.cluster.model import Capacity, Heartbeat
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import UpstreamId
from ..net.connections import IdleConnections
from ..runtime import heartbeat_desk
from ..runtime.decider import LONGEST_GREET_SECONDS
from ..runtime.gateways import GATEWAY_SILENT, PARTS_A_SECOND, Gateways
from ..runtime.heartbeat_desk import SPREAD_FROM, TRUSTED_FOR, Desks, HeartbeatDesk
from ..runtime.leading import Leading
from .gateway_builders import (
    IdlePort,
    add_upstream,
    build_clock,
    build_gateway,
    build_roster,
)
from .model_upstreams import build_info
from .test_cluster_waiting import lead

DESK = "10.1.0.1:80"


def build_desk(upstreams: int = SPREAD_FROM) -> tuple[HeartbeatDesk, Records, ManualClock]:
    clock, records = build_clock(), Records()
    records.put_in_force(build_roster().configuration)
    for number in range(upstreams):
        info = build_info(f"u{number}")
        records.upstreams[info.id] = UpstreamRecord(info=info, sequence=5)
    desk = HeartbeatDesk(control_address=DESK, clock=clock, get_records=lambda: records)
    return desk, records, clock


def tell(desk: HeartbeatDesk, outcome: Outcome = Outcome.DONE) -> list[Heard]:
    told: list[Heard] = []

    async def take(heard: Heard) -> Answer:
        told.append(heard)
        return Answer(outcome=outcome)

    asyncio.run(desk._tell(take))
    return told


def beat(name: str = "u1", sequence: int = 6, **changes: object) -> Heartbeat:
    heartbeat = Heartbeat(info=build_info(name), sequence=sequence, draining=False, clock_ms=70)
    return msgspec.structs.replace(heartbeat, **changes)


def test_a_heartbeat_in_which_nothing_is_new_is_answered_and_told_later() -> None:
    desk, _, clock = build_desk()
    tell(desk)
    answer = desk.take(beat())
    assert answer is not None and answer.leader_control == DESK
    clock.advance(timedelta(milliseconds=100))
    told = tell(desk)
    one = HeardUpstream(upstream=UpstreamId("u1"), sequence=6, clock_ms=70, age_ms=100)
    assert told == [Heard(desk=DESK, upstreams=(one,))]
    assert tell(desk) == [Heard(desk=DESK)]


@pytest.mark.parametrize(
    "heartbeat",
    [
        beat(draining=True),
        beat("u999999"),
        beat(sequence=4),
        beat(has_no_capacity=True),
        beat(cold_left_ms=500),
        beat(info=msgspec.structs.replace(build_info("u1"), capacity=Capacity(cpu_millis=1))),
        beat(info=msgspec.structs.replace(build_info("u1"), address="10.9.9.9:1")),
    ],
)
def test_what_the_log_does_not_say_goes_to_the_leader(heartbeat: Heartbeat) -> None:
    desk, _, _ = build_desk()
    tell(desk)
    assert desk.take(heartbeat) is None


def test_an_upstream_that_guards_nothing_is_heard_by_the_leader_itself() -> None:
    desk, records, _ = build_desk()
    tell(desk)
    configuration = records.configuration
    assert configuration is not None and desk.take(beat()) is not None
    services = tuple(
        msgspec.structs.replace(service, rejects_overload=False)
        for service in configuration.services
    )
    records.put_in_force(msgspec.structs.replace(configuration, services=services))
    assert desk.take(beat()) is None


def test_a_host_out_of_touch_with_the_leader_answers_for_nobody() -> None:
    desk, _, clock = build_desk()
    assert desk.take(beat()) is None, "nobody has taken anything in yet"
    tell(desk, Outcome.UNAVAILABLE)
    assert desk.take(beat()) is None
    tell(desk)
    assert desk.take(beat()) is not None
    clock.advance(TRUSTED_FOR)
    assert desk.take(beat()) is None


def test_few_upstreams_stay_with_the_leader() -> None:
    desk, _, _ = build_desk(SPREAD_FROM - 1)
    tell(desk)
    assert desk.take(beat()) is None


def test_upstreams_are_spread_over_the_hosts_that_answer_and_stay_there() -> None:
    clock = build_clock()
    desks = Desks(clock=clock, own="own")
    ids = [UpstreamId(f"i-{number:08x}") for number in range(1_000)]
    assert {desks.choose(id) for id in ids} == {"own"}
    hosts = [f"10.1.0.{number}:80" for number in range(5)]
    for host in hosts:
        desks.note(host)
    chosen = [desks.choose(id) for id in ids]
    assert all(150 < chosen.count(host) < 250 for host in hosts)
    assert chosen == [desks.choose(id) for id in ids]
    clock.advance(TRUSTED_FOR / 2)
    for host in hosts[1:]:
        desks.note(host)
    clock.advance(TRUSTED_FOR / 2 + timedelta(milliseconds=1))
    assert {desks.choose(id) for id in ids} == set(hosts[1:])


def answer(leading: Leading, call: Beat | Heard) -> Answer:
    async def ask() -> Answer:
        return await leading.answer(call)

    return asyncio.run(ask())


def test_a_leader_counts_on_what_it_is_told_and_sends_upstreams_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def play() -> None:
        leading, _ = lead(IdlePort())
        upstream = UpstreamId("u1")
        life = leading.dispatch.lives[upstream]
        first = beat(sequence=1, info=life.info)
        assert (await leading.answer(Beat(heartbeat=first))).leader_control is None
        monkeypatch.setattr("cottonlug.runtime.leading.SPREAD_FROM", 2)
        told = HeardUpstream(upstream=upstream, sequence=2, clock_ms=90, age_ms=40)
        assert (await leading.answer(Heard(desk=DESK, upstreams=(told,)))).outcome is Outcome.DONE
        assert life.sequence == 2
        assert life.heard_at is not None
        assert leading.read_clock() - life.heard_at <= timedelta(milliseconds=40)
        second = beat(sequence=3, info=life.info)
        assert (await leading.answer(Beat(heartbeat=second))).leader_control == DESK
        leading.stop()

    asyncio.run(play())


def test_rosters_of_many_gateways_are_sent_at_a_bounded_pace() -> None:
    clock = build_clock()
    gateways = Gateways(term=3, token=3_000_000, clock=clock)
    records = Records()
    for number in range(999):
        add_upstream(gateways, records, f"u{number}")
    sent = [gateways.build_roster(records, "") for _ in range(3 * PARTS_A_SECOND)]
    assert sum(part is not None for part in sent) == PARTS_A_SECOND
    assert not gateways.is_current("")
    clock.advance(timedelta(milliseconds=100))
    sent = [gateways.build_roster(records, "") for _ in range(PARTS_A_SECOND)]
    assert sum(part is not None for part in sent) == PARTS_A_SECOND // 10
    version = gateways.log.version
    add_upstream(gateways, records, "new")
    assert gateways.build_roster(records, version) is not None, "small ones go at once"


def test_many_gateways_greet_less_often_and_twice_within_their_silence() -> None:
    gateway = build_gateway(build_clock())
    roster = build_roster()
    usual = gateway.link._find_usual_pause()
    many = tuple(GatewayInfo(address=f"10.0.{each}.1:1") for each in range(300))
    gateway.link.use_roster(msgspec.structs.replace(roster, gateways=many))
    assert usual < gateway.link._find_usual_pause() <= LONGEST_GREET_SECONDS
    assert GATEWAY_SILENT.total_seconds() > 2 * LONGEST_GREET_SECONDS


class _Connection:
    def __init__(self) -> None:
        self.is_open = True

    def close(self) -> None:
        self.is_open = False


def test_connections_not_used_for_the_longest_are_closed_where_there_are_too_many() -> None:
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


def test_a_desk_is_named_only_once_it_has_told_something() -> None:
    assert heartbeat_desk.TELL_EVERY * 3 < TRUSTED_FOR
