"""Looking for room among many upstreams, with a backlog: what it costs, and what it overlooks."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.life_table import InstanceTable
from ..core.cluster.instances import Instance
from ..core.cluster.model import JobId, JobSpec, Needs, StepSpec
from ..core.cluster.records import Records
from ..core.cluster.rooms import Rooms
from ..core.cluster.term import Term
from .model_upstreams import (
    SERVICE,
    TERMS,
    Leader,
    build_info,
    build_queue,
    build_spec,
    start_site_leader,
    milliseconds,
)

UPSTREAMS = 176
JOBS = 300
"""Those of half a second at four times the usual load."""
MOST_TRIES_A_START = 4


def build_leader(count: int, run_ms: int = 400) -> Leader:
    infos = [build_info(f"u{number + 1}") for number in range(count)]
    return start_site_leader(infos, seed=1, run_ms=run_ms)


def build_wide(cpu_millis: int) -> JobSpec:
    step = StepSpec(count=1, needs=Needs(cpu_millis=cpu_millis), estimate_ms=400)
    return JobSpec(payload="payload", steps=(step,), best_effort=True)


def test_a_backlog_is_not_offered_to_every_upstream_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: a backlog after seconds without service, where half of 300 jobs find no room.

    Each of them was tried with each of 176 upstreams every 20 ms: the decisions alone took more
    than three cores, and a host of half a core fell ever further behind.
    """
    leader = build_leader(UPSTREAMS)
    tries = [0]
    has_free_capacity = Instance.has_free_capacity

    def count(self: Instance, needs: Needs) -> bool:
        tries[0] += 1
        return has_free_capacity(self, needs)

    monkeypatch.setattr(Instance, "has_free_capacity", count)
    queue = msgspec.structs.replace(build_queue(), target_latency_ms=5_000)
    for number in range(JOBS):
        leader.submit(f"{number:016x}", build_spec(tasks=2, run_ms=400), queue)
    leader.world.run_until(milliseconds(300))
    assert leader.dispatch.counts.starts == 2 * UPSTREAMS
    leader.world.run_until(milliseconds(2_000))
    assert leader.dispatch.counts.starts == 2 * JOBS
    assert tries[0] <= MOST_TRIES_A_START * leader.dispatch.counts.starts


def test_nothing_is_started_beside_a_run_that_has_just_come_into_dispute() -> None:
    """Found by reading: what took work at the last sweep, 20 ms ago at most, was taken to do so.

    A start renews the lease of all that runs there, which somebody else counts on to end.
    """
    leader = build_leader(1)
    dispatch = leader.dispatch
    leader.submit("a" * 16, build_spec(tasks=1, run_ms=400), build_queue())
    dispatch.jobs.jobs[JobId("a" * 16)].gateway = "silent"
    queue = msgspec.structs.replace(build_queue(), target_latency_ms=5_000)
    leader.world.needs[JobId("b" * 16)] = Needs(cpu_millis=12_000)
    leader.submit("b" * 16, build_wide(12_000), queue)
    leader.world.run_until(milliseconds(125))
    assert dispatch.counts.starts == 1
    dispatch.abandon_silent(lambda gateway: False, leader.world.now)
    leader.submit("c" * 16, build_spec(tasks=1, run_ms=400), queue)
    assert dispatch.counts.starts == 1
    leader.world.run_until(timedelta(seconds=4))
    assert dispatch.counts.starts == 3


def build_rooms(*cpus: int) -> tuple[Rooms, list[Instance]]:
    """Return upstreams with so much room, in the order in which they came."""
    term = Term(
        number=1,
        began_at=timedelta(),
        records=Records(),
        lease=TERMS,
        wall_ms=lambda: 0,
        log_decision=lambda name, fields: None,
        on_job_end=lambda job: None,
    )
    table = InstanceTable(term=term)
    instances = [
        table.add(build_info(f"u{number}", cpu), 0, False, timedelta())
        for number, cpu in enumerate(cpus, start=1)
    ]
    for instance in instances:
        instance.is_fenced = True
    rooms = Rooms(instances=table)
    rooms.refresh_if_due(timedelta())
    return rooms, instances


def list_names(rooms: Rooms, cpu: int) -> list[str]:
    return [instance.info.id for instance in rooms.iterate_from(SERVICE, cpu, timedelta(), None)]


def test_upstreams_come_with_the_least_room_first_and_alike_ones_as_they_joined() -> None:
    rooms, _ = build_rooms(32_000, 16_000, 48_000, 16_000)
    assert list_names(rooms, 0) == ["u2", "u4", "u1", "u3"]
    assert list_names(rooms, 16_001) == ["u1", "u3"]
    assert rooms.find_most(SERVICE) == 48_000


def test_an_upstream_that_takes_no_work_any_more_is_passed_over() -> None:
    rooms, instances = build_rooms(16_000, 32_000, 48_000)
    instances[0].draining = True
    assert list_names(rooms, 0) == ["u2", "u3"]
    rooms.update(instances[0], timedelta())
    instances[2].is_over = True
    rooms.update(instances[2], timedelta())
    assert rooms.find_most(SERVICE) == 32_000
    instances[0].draining = False
    rooms.update(instances[0], timedelta())
    assert list_names(rooms, 0) == ["u1", "u2"]
