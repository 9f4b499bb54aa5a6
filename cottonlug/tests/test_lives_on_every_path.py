"""Two lives of one upstream are two, wherever upstreams are kept, told or ordered."""

from __future__ import annotations

import asyncio
import itertools
import random
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster import life_table
from ..core.cluster.commands import AddUpstream, RemoveUpstreams, ResizeUpstream, SetDraining
from ..core.cluster.identity import is_earlier, name_life
from ..core.cluster.model import Capacity, Heartbeat, JobId, JobState, LookReply, UpstreamInfo
from ..core.cluster.orders import StartOrder
from ..core.cluster.records import Records
from ..core.cluster.rosters import merge_roster
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.gateways import Gateways
from .gateway_builders import build_clock, greet
from .model_upstreams import World, build_info, build_queue, build_spec, milliseconds
from .test_cluster_overtaken import build_dispatch
from .test_cluster_spread import beat, build_desk, tell
from .test_heartbeat_orders import REF, RUN, TOKEN, Exchange, play, settle
from .wire_site import WireLeader, build_hosts

BORN = 1_790_000_000_000
GATEWAY = "10.0.0.2:7000"
NOW = timedelta(seconds=1)


def build_life(number: int, name: str = "u1") -> UpstreamInfo:
    return msgspec.structs.replace(build_info(name), id=name_life(name, BORN + number))


FIRST, SECOND = build_life(1), build_life(2)


def build_records() -> Records:
    """Return records of a site where an upstream has started again before the first was removed."""
    records = Records()
    for info, sequence in ((FIRST, 70), (SECOND, 1)):
        records.apply(AddUpstream(info=info, sequence=sequence))
    records.apply(SetDraining(upstream=FIRST.id))
    return records


def test_the_log_and_its_snapshots_keep_the_counts_of_lives_apart() -> None:
    records = build_records()
    shrunk = Capacity(cpu_millis=1)
    records.apply(ResizeUpstream(upstream=SECOND.id, capacity=shrunk, sequence=2))
    restored = Records()
    restored.restore(records.encode())
    first, second = restored.upstreams[FIRST.id], restored.upstreams[SECOND.id]
    assert (first.draining, first.sequence, first.info.capacity) == (True, 70, FIRST.capacity)
    assert (second.draining, second.sequence, second.info.capacity) == (False, 2, shrunk)


def test_rosters_tell_of_both_lives_and_of_the_end_of_one() -> None:
    records = build_records()
    gateways = Gateways(term=3, token=3_000_000, clock=build_clock())
    gateways.take_greeting(greet(GATEWAY))
    known = gateways.build_roster(records, "")
    assert known is not None
    assert [each.info.id for each in known.upstreams] == [FIRST.id, SECOND.id]
    del records.upstreams[FIRST.id]
    gateways.log.note_upstream(FIRST.id)
    received = gateways.build_roster(records, known.version)
    assert received is not None
    merged = merge_roster(known, received)
    assert merged is not None
    assert [each.info.id for each in merged.upstreams] == [SECOND.id]


# Guards against a host that stands in and takes the life that its roster names for the one there.
def test_a_deputy_starts_nothing_at_a_life_that_has_ended() -> None:
    world = World(random=random.Random(3))
    hosts = build_hosts(world, 1, run_ms=lambda: 60.0)
    (host,) = hosts.values()
    earlier = host.started_ms
    world.run_until(milliseconds(500))
    host.restart()
    records = Records()
    for born in (earlier, host.started_ms):
        info = msgspec.structs.replace(host.info, id=name_life(host.name, born))
        records.apply(AddUpstream(info=info))
    deputy = WireLeader(
        world=world,
        upstreams={},
        records=records,
        token=TOKENS_PER_TERM + 1,
        hosts=hosts,
        is_deputy=True,
    )
    deputy.submit("a" * 16, build_spec(tasks=4), build_queue())
    world.run_until(milliseconds(1_500))
    assert deputy.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert world.starts == 4
    assert list(deputy.dispatch.lives) == [name_life(host.name, host.started_ms)]


def test_a_host_that_does_not_lead_passes_on_the_first_heartbeat_of_a_later_life() -> None:
    desk, records, _ = build_desk()
    tell(desk)
    records.apply(AddUpstream(info=FIRST, sequence=5))
    assert desk.take(msgspec.structs.replace(beat(sequence=6), info=FIRST)) is not None
    assert desk.take(msgspec.structs.replace(beat(sequence=6), info=SECOND)) is None


def test_an_answer_to_a_heartbeat_carries_no_order_for_an_earlier_life() -> None:
    async def scenario(exchange: Exchange) -> None:
        held = LookReply(clock_ms=1_000, running=(), ended=())
        start = StartOrder(
            upstream=FIRST, task=REF, run=RUN, payload="", checkpoint="", expires_ms=2_000
        )
        starting = asyncio.create_task(exchange.port.start(start, TOKEN))
        await settle()
        later = Heartbeat(info=SECOND, sequence=1, draining=False, held=held)
        answering = asyncio.create_task(exchange.port.exchange(later, TOKEN))
        await settle()
        assert not answering.done()
        exchange.port.close()
        assert (await answering).starts == ()
        starting.cancel()

    play(scenario)


# Guards against seconds of a leader's time when thousands of upstreams join at once.
def test_what_an_upstream_costs_that_joins_does_not_grow_with_their_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compared = itertools.count()

    def count(life: UpstreamId, other: UpstreamId) -> bool:
        next(compared)
        return is_earlier(life, other)

    monkeypatch.setattr(life_table, "is_earlier", count)
    dispatch = build_dispatch([])
    for number in range(2, 500):
        dispatch.take_heartbeat(
            msgspec.structs.replace(beat(), info=build_life(0, f"u{number}")), NOW
        )
        for command in dispatch.take_proposals():
            dispatch.take_applied(command, NOW)
    assert len(dispatch.lives) == 499
    assert next(compared) <= 2 * 499


def test_an_earlier_life_is_looked_at_once_a_later_one_comes_at_whatever_address() -> None:
    dispatch = build_dispatch([])
    moved = msgspec.structs.replace(build_life(1), address="10.9.9.9:80")
    for info in (build_life(0), moved):
        dispatch.take_applied(AddUpstream(info=info), NOW)
    life = dispatch.lives[build_life(0).id]
    assert life.must_check and life.look_due == NOW
    assert not dispatch.lives[moved.id].must_check
    earlier = msgspec.structs.replace(beat(sequence=90), info=build_life(0))
    dispatch.take_applied(RemoveUpstreams(upstreams=(build_life(0).id,)), NOW)
    dispatch.take_heartbeat(earlier, NOW)
    assert dispatch.take_proposals() == []


def test_lives_of_other_upstreams_are_not_taken_for_earlier_ones() -> None:
    records = build_records()
    records.apply(AddUpstream(info=build_life(0, "u11")))
    found = records.find_leaving(UpstreamId("u1"))
    assert found is not None and found.info.id == FIRST.id
