"""Search for free capacity among many upstreams, with a backlog: its cost and correctness."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.capacity_index import CapacityIndex
from ..core.cluster.instance_table import InstanceTable
from ..core.cluster.instances import Instance
from ..core.cluster.model import JobId, JobSpec, Needs, StepSpec
from ..core.cluster.records import Records
from ..core.cluster.term import Term
from .model_upstreams import (
    SERVICE,
    TERMS,
    Leader,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
    start_site_leader,
)

UPSTREAMS = 176
JOBS = 300
"""Jobs of half a second at four times the usual load."""
MOST_TRIES_A_START = 4


def build_leader(count: int, run_ms: int = 400) -> Leader:
    infos = [build_info(f"u{number + 1}") for number in range(count)]
    return start_site_leader(infos, seed=1, run_ms=run_ms)


def build_wide(cpu_millis: int) -> JobSpec:
    step = StepSpec(count=1, needs=Needs(cpu_millis=cpu_millis), estimate_ms=400)
    return JobSpec(payload="payload", steps=(step,), best_effort=True)


def test_a_backlog_is_not_tried_repeatedly_on_every_upstream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: a backlog after seconds without service, where half of 300 jobs do not fit.

    Trying each of them on each of 176 upstreams every 20 ms takes more than three cores for the
    decisions alone, and a host of half a core falls ever further behind.
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


def test_nothing_is_started_beside_a_run_that_has_just_become_disputed() -> None:
    """Guards against relying on the last scan, up to 20 ms ago, for which upstreams accept work.

    A start renews the lease of all runs there, which another host relies on to end.
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
    dispatch.abandon_silent_gateways(lambda gateway: False, leader.world.now)
    leader.submit("c" * 16, build_spec(tasks=1, run_ms=400), queue)
    assert dispatch.counts.starts == 1
    leader.world.run_until(timedelta(seconds=4))
    assert dispatch.counts.starts == 3


def build_index(*cpus: int) -> tuple[CapacityIndex, list[Instance]]:
    """Return an index and instances with so much CPU, in the order in which they were added."""
    term = Term(
        token=1,
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
    index = CapacityIndex(instances=table)
    index.refresh_if_due(timedelta())
    return index, instances


def list_names(index: CapacityIndex, cpu: int) -> list[str]:
    return [
        instance.info.id for instance in index.iterate_instances(SERVICE, cpu, timedelta(), None)
    ]


def test_upstreams_are_sorted_by_free_cpu_and_equal_ones_by_joining() -> None:
    index, _ = build_index(32_000, 16_000, 48_000, 16_000)
    assert list_names(index, 0) == ["u2", "u4", "u1", "u3"]
    assert list_names(index, 16_001) == ["u1", "u3"]
    assert index.find_max_free_cpu(SERVICE) == 48_000


def test_an_upstream_that_no_longer_accepts_work_is_skipped() -> None:
    index, instances = build_index(16_000, 32_000, 48_000)
    instances[0].draining = True
    assert list_names(index, 0) == ["u2", "u3"]
    index.update(instances[0], timedelta())
    instances[2].is_over = True
    index.update(instances[2], timedelta())
    assert index.find_max_free_cpu(SERVICE) == 32_000
    instances[0].draining = False
    index.update(instances[0], timedelta())
    assert list_names(index, 0) == ["u1", "u2"]
