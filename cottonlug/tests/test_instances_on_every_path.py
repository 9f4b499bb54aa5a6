"""Two instances of one upstream are kept apart wherever upstreams are stored, sent or ordered."""

from __future__ import annotations

import asyncio
import itertools
import random
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster import instance_table
from ..core.cluster.commands import AddUpstream, RemoveUpstreams, ResizeUpstream, SetDraining
from ..core.cluster.failover_state import merge_failover_state
from ..core.cluster.instance_ids import build_instance_id, is_earlier_instance
from ..core.cluster.model import Capacity, Heartbeat, JobId, JobState, PollReply, UpstreamInfo
from ..core.cluster.orders import StartOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.gateway_registry import GatewayRegistry
from .gateway_builders import build_clock, build_keepalive
from .model_upstreams import World, build_info, build_queue, build_spec, milliseconds
from .test_cluster_out_of_order import build_dispatch
from .test_cluster_spread import build_heartbeat, build_responder, send_reports
from .test_heartbeat_orders import REF, RUN, TOKEN, Exchange, play, run_callbacks
from .wire_site import WireLeader, build_hosts

STARTED_MS = 1_790_000_000_000
GATEWAY = "10.0.0.2:7000"
NOW = timedelta(seconds=1)


def build_instance(number: int, name: str = "u1") -> UpstreamInfo:
    return msgspec.structs.replace(
        build_info(name), id=build_instance_id(name, STARTED_MS + number)
    )


FIRST, SECOND = build_instance(1), build_instance(2)


def build_records() -> Records:
    """Return records in which an upstream has restarted before the first instance was removed."""
    records = Records()
    for info, sequence in ((FIRST, 70), (SECOND, 1)):
        records.apply(AddUpstream(info=info, sequence=sequence))
    records.apply(SetDraining(upstream=FIRST.id))
    return records


def test_the_log_and_its_snapshots_do_not_mix_up_two_instances() -> None:
    records = build_records()
    shrunk = Capacity(cpu_millis=1)
    records.apply(ResizeUpstream(upstream=SECOND.id, capacity=shrunk, sequence=2))
    restored = Records()
    restored.restore(records.encode())
    first, second = restored.upstreams[FIRST.id], restored.upstreams[SECOND.id]
    assert (first.draining, first.sequence, first.info.capacity) == (True, 70, FIRST.capacity)
    assert (second.draining, second.sequence, second.info.capacity) == (False, 2, shrunk)


def test_failover_states_contain_both_instances_and_the_removal_of_one() -> None:
    records = build_records()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    gateways.handle_keepalive(build_keepalive(GATEWAY))
    known = gateways.build_failover_state(records, "")
    assert known is not None
    assert [each.info.id for each in known.upstreams] == [FIRST.id, SECOND.id]
    del records.upstreams[FIRST.id]
    gateways.failover_log.record_upstream_change(FIRST.id)
    received = gateways.build_failover_state(records, known.version)
    assert received is not None
    merged = merge_failover_state(known, received)
    assert merged is not None
    assert [each.info.id for each in merged.upstreams] == [SECOND.id]


# Guards against an acting leader that confuses the instance in its failover state with the present
# one.
def test_an_acting_leader_starts_nothing_at_an_instance_that_has_ended() -> None:
    world = World(random=random.Random(3))
    hosts = build_hosts(world, 1, run_ms=lambda: 60.0)
    (host,) = hosts.values()
    earlier = host.started_ms
    world.run_until(milliseconds(500))
    host.restart()
    records = Records()
    for started_ms in (earlier, host.started_ms):
        info = msgspec.structs.replace(host.info, id=build_instance_id(host.name, started_ms))
        records.apply(AddUpstream(info=info))
    acting_leader = WireLeader(
        world=world,
        upstreams={},
        records=records,
        token=TOKENS_PER_TERM + 1,
        hosts=hosts,
        is_acting=True,
    )
    # No gateway has tried the job before, so it does not wait for leases of other coordinators.
    spec = build_spec(tasks=4)
    acting_leader.submit("a" * 16, spec, build_queue(), reconcile_after=timedelta())
    world.run_until(milliseconds(1_500))
    assert acting_leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED
    assert world.starts == 4
    assert list(acting_leader.dispatch.instances) == [build_instance_id(host.name, host.started_ms)]


def test_a_follower_does_not_answer_the_first_heartbeat_of_a_later_instance_itself() -> None:
    responder, records, _ = build_responder()
    send_reports(responder)
    records.apply(AddUpstream(info=FIRST, sequence=5))
    assert (
        responder.answer_routine(msgspec.structs.replace(build_heartbeat(sequence=6), info=FIRST))
        is not None
    )
    assert (
        responder.answer_routine(msgspec.structs.replace(build_heartbeat(sequence=6), info=SECOND))
        is None
    )


def test_an_answer_to_a_heartbeat_carries_no_order_for_an_earlier_instance() -> None:
    async def scenario(exchange: Exchange) -> None:
        held = PollReply(clock_ms=1_000, running=(), ended=())
        start = StartOrder(
            upstream=FIRST, task=REF, run=RUN, payload="", checkpoint="", expires_ms=2_000
        )
        starting = asyncio.create_task(exchange.port.start(start, TOKEN))
        await run_callbacks()
        later = Heartbeat(info=SECOND, sequence=1, draining=False, poll_reply=held)
        answering = asyncio.create_task(exchange.port.handle_heartbeat(later, TOKEN))
        await run_callbacks()
        assert not answering.done()
        exchange.port.close()
        assert (await answering).starts == ()
        starting.cancel()

    play(scenario)


# Guards against seconds of a leader's time when thousands of upstreams join at once.
def test_the_cost_of_a_joining_upstream_does_not_grow_with_their_number(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compared = itertools.count()

    def count(instance: UpstreamId, other: UpstreamId) -> bool:
        next(compared)
        return is_earlier_instance(instance, other)

    monkeypatch.setattr(instance_table, "is_earlier_instance", count)
    dispatch = build_dispatch([])
    for number in range(2, 500):
        dispatch.handle_heartbeat(
            msgspec.structs.replace(build_heartbeat(), info=build_instance(0, f"u{number}")), NOW
        )
        for command in dispatch.pop_proposals():
            dispatch.handle_applied_command(command, NOW)
    assert len(dispatch.instances) == 499
    assert next(compared) <= 2 * 499


def test_an_earlier_instance_is_polled_once_a_later_one_comes_at_whatever_address() -> None:
    dispatch = build_dispatch([])
    moved = msgspec.structs.replace(build_instance(1), address="10.9.9.9:80")
    for info in (build_instance(0), moved):
        dispatch.handle_applied_command(AddUpstream(info=info), NOW)
    instance = dispatch.instances[build_instance(0).id]
    assert instance.must_poll and instance.poll_due == NOW
    assert not dispatch.instances[moved.id].must_poll
    earlier = msgspec.structs.replace(build_heartbeat(sequence=90), info=build_instance(0))
    dispatch.handle_applied_command(RemoveUpstreams(upstreams=(build_instance(0).id,)), NOW)
    dispatch.handle_heartbeat(earlier, NOW)
    assert dispatch.pop_proposals() == []


def test_instances_of_other_upstreams_are_not_taken_for_earlier_ones() -> None:
    records = build_records()
    records.apply(AddUpstream(info=build_instance(0, "u11")))
    found = records.find_leaving(UpstreamId("u1"))
    assert found is not None and found.info.id == FIRST.id
