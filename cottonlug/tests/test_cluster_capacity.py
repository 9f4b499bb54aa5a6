"""Upstreams whose capacity shrinks and grows again while they run.

Active runs stay, only starts must fit: the newest report counts, whichever host received it, and at
an upstream that does not enforce its capacity no start relies on a report that may have been out of
date for too long.
The model fails the test at a start over a capacity, once starts by the old one are not tolerated.
"""

from __future__ import annotations

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import ForwardHeartbeat, Outcome
from ..core.cluster.capacity_reports import DEFAULT_REPORT_TERMS, find_refusal_backoff
from ..core.cluster.commands import Command, ResizeUpstream, SetConfiguration
from ..core.cluster.instance_table import InstanceTable
from ..core.cluster.model import (
    Capacity,
    Configuration,
    ConfigurationVersion,
    Heartbeat,
    Service,
)
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .gateway_builders import IdlePort
from .model_upstreams import (
    SERVICE,
    TASK_CPU,
    Leader,
    ModelUpstream,
    World,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_waiting import lead as lead_host

HEARTBEAT_INTERVAL = DEFAULT_REPORT_TERMS.interval
WHOLE, HALF = 2 * TASK_CPU, TASK_CPU
FIRST = UpstreamId("u1")


def build_site(
    seed: int, *, count: int = 2, rejects_overload: bool = True, run_ms: int = 60
) -> tuple[World, dict[UpstreamId, ModelUpstream], Records]:
    """Return upstreams with capacity for two tasks each, and the records of a configuration."""
    world = World(random=random.Random(seed))
    upstreams = {}
    for number in range(1, count + 1):
        info = build_info(f"u{number}", cpu=WHOLE)
        upstreams[info.id] = ModelUpstream(
            world=world,
            info=info,
            rate=world.random.uniform(0.98, 1.0),
            run_times=lambda job: milliseconds(run_ms),
            rejects_overload=rejects_overload,
        )
    records = Records()
    configuration = Configuration(
        version=ConfigurationVersion(1),
        queues=(build_queue(),),
        services=(Service(name=SERVICE, rejects_overload=rejects_overload),),
        max_body_bytes=1_000,
        document="",
    )
    records.apply(SetConfiguration(configuration=configuration))
    return world, upstreams, records


def lead(
    world: World,
    upstreams: dict[UpstreamId, ModelUpstream],
    records: Records,
    term: int = 1,
    known_until: timedelta = timedelta(),
) -> Leader:
    return Leader(
        world=world,
        upstreams=upstreams,
        records=records,
        token=term * TOKENS_PER_TERM,
        known_until=known_until,
    )


def deliver_heartbeats(leader: Leader, *upstreams: ModelUpstream) -> None:
    """Deliver a heartbeat of each upstream at once."""
    for upstream in upstreams:
        leader.dispatch.handle_heartbeat(upstream.build_heartbeat(), leader.world.now)
    leader.act()


def deliver_heartbeats_forever(leader: Leader, upstream: ModelUpstream) -> None:
    if leader.is_over:
        return
    deliver_heartbeats(leader, upstream)
    leader.world.at(HEARTBEAT_INTERVAL, lambda: deliver_heartbeats_forever(leader, upstream))


def run_for(world: World, span_ms: float) -> None:
    world.run_until(world.now + milliseconds(span_ms))


def count_runs(upstream: ModelUpstream) -> int:
    return len(upstream.runs)


def test_nothing_is_started_beyond_a_capacity_that_has_shrunk() -> None:
    """Guards against heartbeats of a known upstream that change nothing of its capacity."""
    world, upstreams, records = build_site(1, rejects_overload=False, run_ms=300)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, *upstreams.values())
    run_for(world, 100)
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(leader, *upstreams.values())
    run_for(world, 100)
    leader.submit("a" * 16, build_spec(tasks=4, run_ms=300), build_queue())
    run_for(world, 100)
    assert [count_runs(each) for each in upstreams.values()] == [1, 2]


def test_runs_beyond_a_capacity_that_has_shrunk_go_on_and_count() -> None:
    """Only starts must fit: ending a run would lose its work, and no rule asks for it."""
    world, upstreams, records = build_site(2, count=1, rejects_overload=False, run_ms=400)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    leader.submit("a" * 16, build_spec(tasks=2, run_ms=400), build_queue())
    run_for(world, 50)
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(leader, upstreams[FIRST])
    leader.submit("b" * 16, build_spec(tasks=1, run_ms=400), build_queue())
    run_for(world, 250)
    assert {ref.job for ref in upstreams[FIRST].runs} == {"a" * 16}
    run_for(world, 300)
    assert {ref.job for ref in upstreams[FIRST].runs} == {"b" * 16}


def test_a_capacity_that_grows_is_used_at_once() -> None:
    world, upstreams, records = build_site(3, count=1, run_ms=300)
    upstreams[FIRST].resize(HALF)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    leader.submit("a" * 16, build_spec(tasks=2, run_ms=300), build_queue())
    run_for(world, 50)
    assert count_runs(upstreams[FIRST]) == 1
    upstreams[FIRST].resize(WHOLE)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 20)
    assert count_runs(upstreams[FIRST]) == 2


def test_an_older_report_that_arrives_late_changes_nothing() -> None:
    world, upstreams, records = build_site(4, count=1, rejects_overload=False)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    late = upstreams[FIRST].build_heartbeat()
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    leader.dispatch.handle_heartbeat(late, world.now)
    assert leader.dispatch.instances[FIRST].info.capacity.cpu_millis == HALF
    run_for(world, 50)
    assert records.upstreams[FIRST].info.capacity.cpu_millis == HALF


def test_a_capacity_change_while_an_upstream_is_being_added_is_not_lost() -> None:
    """Guards against leaving out what arrives between the first heartbeat and its commit."""
    world, upstreams, records = build_site(5, count=1, rejects_overload=False)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 100)
    assert leader.dispatch.instances[FIRST].info.capacity.cpu_millis == HALF
    assert records.upstreams[FIRST].info.capacity.cpu_millis == HALF


def test_the_next_leader_knows_the_capacity_in_the_log() -> None:
    """Nothing is started beyond it before a heartbeat, and no older report undoes it."""
    world, upstreams, records = build_site(6, count=1, rejects_overload=False, run_ms=300)
    first = lead(world, upstreams, records)
    deliver_heartbeats(first, upstreams[FIRST])
    run_for(world, 50)
    late = upstreams[FIRST].build_heartbeat()
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(first, upstreams[FIRST])
    run_for(world, 50)
    first.is_over = True
    run_for(world, 5_000)
    second = lead(world, upstreams, records, 2, known_until=world.now + milliseconds(2_000))
    second.dispatch.handle_heartbeat(late, world.now)
    run_for(world, 50)
    second.submit("a" * 16, build_spec(tasks=2, run_ms=300), build_queue())
    run_for(world, 100)
    assert count_runs(upstreams[FIRST]) == 1


def test_a_host_without_reports_starts_nothing_where_capacity_is_not_enforced() -> None:
    """An acting leader gets no heartbeats, and no host that it reaches knows what has shrunk."""
    world, upstreams, records = build_site(7, count=1, rejects_overload=False)
    first = lead(world, upstreams, records)
    deliver_heartbeats(first, upstreams[FIRST])
    run_for(world, 50)
    first.is_over = True
    cut_at = world.now
    upstreams[FIRST].resize(HALF)
    until = DEFAULT_REPORT_TERMS.find_valid_until(cut_at)
    acting = lead(world, upstreams, records, 2, known_until=until)
    world.run_until(until - milliseconds(200))
    assert until < cut_at + DEFAULT_REPORT_TERMS.shrink_tolerance
    acting.submit("a" * 16, build_spec(tasks=2), build_queue())
    run_for(world, 150)
    assert world.starts == 2
    world.run_until(cut_at + DEFAULT_REPORT_TERMS.valid_for + milliseconds(10))
    acting.submit("b" * 16, build_spec(tasks=2), build_queue())
    run_for(world, 150)
    assert world.starts == 2


def test_a_delayed_report_counts_from_when_it_was_sent() -> None:
    world, upstreams, records = build_site(8, count=1, rejects_overload=False)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 100)
    delayed = upstreams[FIRST].build_heartbeat()
    run_for(world, 4_000)
    upstreams[FIRST].resize(HALF)
    leader.dispatch.handle_heartbeat(delayed, world.now)
    reported_at = leader.dispatch.instances[FIRST].reported_at
    assert reported_at is not None
    assert reported_at < milliseconds(300)


def test_an_upstream_that_refuses_repeatedly_is_tried_ever_more_rarely() -> None:
    """Its capacity has shrunk, and its heartbeat is lost: each refusal costs a call for nothing.

    Without a backoff it is tried every 50 ms, thirty times until its next heartbeat.
    """
    world, upstreams, records = build_site(9, count=1, run_ms=2_000)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    upstreams[FIRST].resize(0)
    leader.submit("a" * 16, build_spec(tasks=1, run_ms=2_000), build_queue())
    run_for(world, 1_500)
    assert leader.dispatch.counts.starts_without_room == 5
    upstreams[FIRST].resize(HALF)
    deliver_heartbeats(leader, upstreams[FIRST])
    world.run_until(world.now + find_refusal_backoff(5))
    assert count_runs(upstreams[FIRST]) == 1


@pytest.mark.parametrize("seed", range(40))
def test_no_start_exceeds_the_capacity_of_an_upstream_that_does_not_enforce_it(seed: int) -> None:
    """Random capacity changes, lost heartbeats, changes of leader and acting leaders in a cut."""
    play_campaign(seed)


def play_campaign(seed: int) -> int:
    """Play half a minute of such faults; return how many tasks were started."""
    chance = random.Random(seed)
    world, upstreams, records = build_site(seed, count=4, rejects_overload=False, run_ms=150)
    world.lost_share, world.late_share = 0.02, 0.02
    heard_at = {id: timedelta() for id in upstreams}
    leaders = [lead(world, upstreams, records)]
    lost_until, led_at = [timedelta()], [timedelta()]

    def send_heartbeat(upstream: ModelUpstream) -> None:
        """Send a heartbeat, or the next one in its place where it is lost."""
        leader = leaders[-1]
        is_lost = world.now < lost_until[0] or leader.is_over or chance.random() < 0.2
        if is_lost or leader.is_acting:
            world.at(milliseconds(300), lambda: send_heartbeat(upstream))
            return
        deliver_heartbeats(leader, upstream)
        heard_at[upstream.info.id] = world.now
        world.at(HEARTBEAT_INTERVAL - milliseconds(300), lambda: send_heartbeat(upstream))

    def change(upstream: ModelUpstream) -> None:
        upstream.resize(chance.choice((0, HALF, HALF, WHOLE, 2 * WHOLE)))
        world.at(milliseconds(chance.uniform(200, 6_000)), lambda: change(upstream))

    def replace(term: int) -> None:
        """Start another leader, or an acting leader with the records of the last leader."""
        last = leaders[-1]
        last.is_over = True
        gap = milliseconds(chance.uniform(400, 700))
        if not last.is_acting:
            led_at[0] = world.now

        def begin() -> None:
            is_next_acting = chance.random() < 0.4
            known = Records()
            known.restore(records.encode())
            leaders.append(
                Leader(
                    world=world,
                    upstreams=upstreams,
                    records=known if is_next_acting else records,
                    token=term * TOKENS_PER_TERM,
                    is_acting=is_next_acting,
                    known_until=DEFAULT_REPORT_TERMS.find_valid_until(led_at[0]),
                )
            )

        world.at(gap, begin)
        world.at(milliseconds(chance.uniform(2_000, 9_000)), lambda: replace(term + 1))

    def submit(number: int) -> None:
        if not leaders[-1].is_over:
            spec = build_spec(tasks=chance.randint(1, 4), run_ms=150)
            leaders[-1].submit(f"{number:016x}", spec, build_queue(max_attempts=50))
        world.at(milliseconds(chance.uniform(5, 120)), lambda: submit(number + 1))

    def lose_heartbeats() -> None:
        lost_until[0] = world.now + milliseconds(chance.uniform(500, 9_000))
        world.at(milliseconds(chance.uniform(6_000, 20_000)), lose_heartbeats)

    for upstream in upstreams.values():
        send_heartbeat(upstream)
        begins = milliseconds(chance.uniform(500, 3_000))
        world.at(begins, lambda upstream=upstream: change(upstream))  # type: ignore[misc]
    world.at(milliseconds(500), lambda: submit(1))
    world.at(milliseconds(4_000), lambda: replace(2))
    world.at(milliseconds(8_000), lose_heartbeats)
    world.run_until(timedelta(seconds=30))
    return world.starts


def test_the_campaign_finds_a_start_by_an_outdated_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """Injected fault: reports that stay valid for ever."""
    monkeypatch.setattr(InstanceTable, "_is_report_valid", lambda self, instance, now: True)
    with pytest.raises(AssertionError, match="a start brings"):
        for seed in range(20):
            play_campaign(seed)


def test_a_capacity_in_the_log_is_not_undone_by_an_older_one() -> None:
    records = Records()
    world, upstreams, records = build_site(10, count=1)
    leader = lead(world, upstreams, records)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    capacity = upstreams[FIRST].info.capacity
    newer: Command = ResizeUpstream(
        upstream=FIRST, capacity=build_info("u", HALF).capacity, sequence=9
    )
    records.apply(newer)
    records.apply(ResizeUpstream(upstream=FIRST, capacity=capacity, sequence=8))
    assert records.upstreams[FIRST].info.capacity.cpu_millis == HALF


def test_an_unreadable_capacity_is_logged_once_and_counts_as_none() -> None:
    world, upstreams, records = build_site(11, count=1)
    leader = lead(world, upstreams, records)
    decisions: list[str] = []
    leader.dispatch._term.log_decision = lambda name, fields: decisions.append(name)
    deliver_heartbeats(leader, upstreams[FIRST])
    run_for(world, 50)
    upstreams[FIRST].resize(0)
    for _ in range(3):
        unreadable = msgspec.structs.replace(
            upstreams[FIRST].build_heartbeat(), is_capacity_unreadable=True
        )
        leader.dispatch.handle_heartbeat(unreadable, world.now)
        run_for(world, 50)
    assert decisions.count("capacity_unreadable") == 1
    leader.submit("a" * 16, build_spec(tasks=1), build_queue())
    run_for(world, 50)
    assert world.starts == 0


def test_a_smaller_capacity_is_acknowledged_only_after_its_commit() -> None:
    """Every later leader must know of it before the upstream relies on that."""

    async def play() -> None:
        leadership, _ = lead_host(IdlePort())
        record = leadership._records.upstreams[FIRST]
        capacity = Capacity(cpu_millis=HALF, memory_mb=1)
        info = msgspec.structs.replace(record.info, capacity=capacity)
        call = ForwardHeartbeat(heartbeat=Heartbeat(info=info, sequence=3, draining=False))
        answering = asyncio.create_task(leadership.answer(call))
        await asyncio.sleep(0)
        assert not answering.done()
        leadership._handle_applied(ResizeUpstream(upstream=FIRST, capacity=capacity, sequence=3))
        assert (await answering).outcome is Outcome.DONE
        leadership.stop()

    asyncio.run(play())
