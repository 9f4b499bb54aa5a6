"""Choice of the kind and the rack of upstreams by the predicted end of a job."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from ..core.cluster import dispatch
from ..core.cluster.backlog import Batch
from ..core.cluster.instances import Instance
from ..core.cluster.model import JobId, JobSpec, Needs, StepSpec, UpstreamInfo
from ..core.cluster.placement import Placement, choose_instance
from ..core.cluster.scheduler import Scheduler
from ..core.ids import DomainName, UpstreamId
from .model_upstreams import (
    SERVICE,
    Leader,
    build_info,
    build_queue,
    milliseconds,
    start_site_leader,
)
from .test_cluster_policy import build_batch

FACTORS = {"fast": 0.7, "slow": 1.7}
QUEUE = build_queue()
LONG_MS = 900
"""Its objective is 1,500 ms: 1,530 ms at a slow upstream are too long, 630 ms at a fast one not."""
SHORT_MS = 100
"""Its objective is 220 ms, and it takes 170 ms at a slow upstream."""
TASK = Needs(cpu_millis=8_000)


def build_leader(
    monkeypatch: pytest.MonkeyPatch, *kinds: str, racks: tuple[str, ...] = (), remote: float = 1.0
) -> Leader:
    """Return a leader of upstreams of these kinds, on each of which two tasks fit.

    It does not scan its upstreams: a waiting job depends on changes and on its latest start.
    """
    monkeypatch.setattr(dispatch, "SCAN_INTERVAL", timedelta(minutes=1))
    monkeypatch.setattr(Scheduler, "_find_factor", lambda self, info: FACTORS.get(info.kind, 1.0))
    infos = [
        msgspec.structs.replace(build_info(f"u{number + 1}"), kind=kind, labels=racks[number:][:1])
        for number, kind in enumerate(kinds)
    ]
    leader = start_site_leader(infos, seed=1, run_ms=0, remote_factor=remote)
    for upstream in leader.upstreams.values():
        upstream.run_times = lambda job, info=upstream.info: milliseconds(  # type: ignore[misc]
            int(job.split("-")[0]) * FACTORS.get(info.kind, 1.0)
        )
    return leader


def submit(
    leader: Leader,
    run_ms: int,
    *,
    rack: str = "",
    label: str = "",
    late: bool = False,
    long_running: bool = False,
) -> JobId:
    """Submit a job of one task; its name tells the run time."""
    step = StepSpec(count=1, needs=TASK, estimate_ms=run_ms, data_rack=rack, required_label=label)
    spec = JobSpec(payload="", steps=(step,), best_effort=True, long_running=long_running)
    number = len(leader.world.needs)
    job = JobId(f"{run_ms}-{number}")
    leader.world.needs[job] = TASK
    waited = milliseconds(run_ms * 1.6 + 60) if late else timedelta()
    leader.submit(job, spec, QUEUE, waited=waited)
    return job


def find_upstream(leader: Leader, job: JobId) -> str | None:
    task = next(iter(leader.dispatch.jobs.jobs[job].tasks.values()))
    return task.instance


def test_the_fastest_kind_is_used_while_any_of_it_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load pattern: overload for seconds, with a third of the upstreams 2.4 times slower.

    Guards against short jobs that are sent to slow upstreams to keep fast ones free: they end just
    in time there only if nothing delays them, and under overload half of them were late.
    """
    leader = build_leader(monkeypatch, "slow", "fast", "fast", "fast")
    used = [find_upstream(leader, submit(leader, SHORT_MS)) for _ in range(8)]
    assert used == ["u2", "u2", "u3", "u3", "u4", "u4", "u1", "u1"]


def test_a_job_that_would_be_late_at_a_slow_upstream_waits_for_a_fast_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = build_leader(monkeypatch, "slow", "fast")
    first = [submit(leader, LONG_MS) for _ in range(2)]
    assert [find_upstream(leader, job) for job in first] == ["u2", "u2"]
    job = submit(leader, LONG_MS)
    leader.world.run_until(milliseconds(700))
    assert find_upstream(leader, job) is None, "it does not start at a slow upstream"
    leader.world.run_until(milliseconds(800))
    assert find_upstream(leader, job) == "u2"


def test_a_job_that_waits_for_a_fast_upstream_starts_elsewhere_once_that_is_too_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against jobs that wait for an upstream with which they would be late, too."""
    leader = build_leader(monkeypatch, "slow", "fast")
    for _ in range(2):
        submit(leader, 3 * LONG_MS)
    job = submit(leader, LONG_MS)
    latest_start = leader.world.now + milliseconds(1_500 - 630)
    leader.world.run_until(latest_start)
    assert find_upstream(leader, job) is None
    leader.world.run_until(latest_start + milliseconds(25))
    assert find_upstream(leader, job) == "u1"


def test_nothing_waits_for_a_kind_that_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = build_leader(monkeypatch, "slow", "fast")
    leader.dispatch.instances[UpstreamId("u2")].draining = True
    assert find_upstream(leader, submit(leader, LONG_MS)) == "u1"


def test_nothing_waits_for_an_upstream_that_is_too_small(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = build_leader(monkeypatch, "slow", "fast")
    fast = leader.dispatch.instances[UpstreamId("u2")]
    small = msgspec.structs.replace(fast.info.capacity, cpu_millis=TASK.cpu_millis - 1)
    fast.info = msgspec.structs.replace(fast.info, capacity=small)
    leader.dispatch._instances.mark_changed(fast)
    assert find_upstream(leader, submit(leader, LONG_MS)) == "u1"


def test_nothing_waits_for_a_kind_that_it_may_not_use(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = build_leader(monkeypatch, "slow", "fast", racks=("r1", "r2"))
    assert find_upstream(leader, submit(leader, LONG_MS, label="r1")) == "u1"


def test_long_running_tasks_wait_for_no_rack(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an endless wait: such tasks are never late."""
    leader = build_leader(monkeypatch, *[""] * 4, racks=("r1", "r2", "r2", "r2"), remote=3.0)
    jobs = [submit(leader, LONG_MS, rack="r2", long_running=True) for _ in range(7)]
    assert find_upstream(leader, jobs[-1]) == "u1"


def test_the_domain_is_preferred_within_a_kind_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against slow upstreams at home where there are fast ones in another domain."""
    leader = build_leader(monkeypatch, "slow", "fast", "fast")
    domains = {"u1": "home", "u2": "other", "u3": "home"}
    for instance in leader.dispatch.instances.values():
        domain = DomainName(domains[instance.info.id])
        instance.info = msgspec.structs.replace(instance.info, domain=domain)
    capacity, batch = leader.dispatch._scheduler._capacity, build_batch(
        "a", latest_start=0, latest_useful_start=0
    )
    capacity.invalidate()
    capacity.refresh_if_due(leader.world.now)
    placement = leader.dispatch._scheduler._placement
    for home, upstream in (("home", "u3"), ("other", "u2")):
        chosen = placement.choose(batch, SERVICE, DomainName(home), leader.world.now)
        assert chosen is not None and chosen.info.id == upstream


def test_a_late_job_takes_the_fastest_kind_with_free_capacity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = build_leader(monkeypatch, "slow", "fast")
    used = [find_upstream(leader, submit(leader, LONG_MS, late=True)) for _ in range(4)]
    assert used == ["u2", "u2", "u1", "u1"]


def test_a_job_waits_for_the_rack_of_its_data_while_that_is_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that take three times as long, although the rack is free soon."""
    leader = build_leader(monkeypatch, "", "", racks=("r1", "r2"), remote=3.0)
    jobs = [submit(leader, run_ms, rack="r2") for run_ms in (SHORT_MS, SHORT_MS, LONG_MS)]
    assert [find_upstream(leader, job) for job in jobs] == ["u2", "u2", None]
    leader.world.run_until(milliseconds(240))
    assert find_upstream(leader, jobs[2]) == "u2"


def test_a_job_runs_outside_the_rack_of_its_data_once_it_would_be_late_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = build_leader(monkeypatch, "", "", racks=("r1", "r2"), remote=3.0)
    for _ in range(2):
        submit(leader, LONG_MS, rack="r2")
    job = submit(leader, SHORT_MS, rack="r2")
    latest_start = leader.world.now + milliseconds(120)
    leader.world.run_until(latest_start)
    assert find_upstream(leader, job) is None
    leader.world.run_until(latest_start + milliseconds(25))
    assert find_upstream(leader, job) == "u1"


def test_a_job_runs_at_the_fastest_upstream_outside_the_rack_while_much_is_free(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = build_leader(monkeypatch, "slow", "slow", "fast", racks=("r1", "r2", "r2"), remote=1.2)
    used = [find_upstream(leader, submit(leader, SHORT_MS, rack="r1")) for _ in range(3)]
    assert used == ["u1", "u1", "u3"]


@pytest.mark.parametrize(("remote", "upstream"), [(2.0, "u2"), (3.0, "u1")])
def test_a_late_job_takes_the_rack_of_its_data_unless_it_runs_faster_elsewhere(
    remote: float, upstream: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    leader = build_leader(monkeypatch, "slow", "fast", racks=("r1", "r2"), remote=remote)
    job = submit(leader, LONG_MS, rack="r1", late=True)
    assert find_upstream(leader, job) == upstream


def test_without_a_remote_factor_the_rack_is_only_preferred(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = build_leader(monkeypatch, "", "", racks=("r1", "r2"))
    used = [find_upstream(leader, submit(leader, SHORT_MS, rack="r2")) for _ in range(3)]
    assert used == ["u2", "u2", "u1"]


def choose_as_before(
    self: Placement,
    batch: Batch,
    service: Any,
    home: DomainName | None,
    now: timedelta,
    *,
    needs_empty: bool = False,
) -> Instance | None:
    """Choose as before kinds were told apart: domain by domain, the least free CPU first."""
    table, places = self._capacity._instances, self._capacity._places.values()
    indexed = [place.entry[2] for place in places if place.entry[2].info.service == service]
    domains = list(next(iter(self._capacity._pools[service].values())))
    free = {
        domain: sum(each.free_cpu for each in indexed if each.info.domain == domain)
        for domain in domains
    }
    instances = sorted(
        (each for each in indexed if table.accepts_work(each, now)),
        key=lambda each: (
            each.is_cold(now),
            each.info.domain != home,
            -free[each.info.domain],
            domains.index(each.info.domain),
            each.free_cpu,
            each.arrival_number,
        ),
    )
    return choose_instance(batch, instances, is_sorted=True, needs_empty=needs_empty)


def play_seeded_load(seed: int) -> None:
    """Play a load with bursts, on upstreams of two kinds that do not differ."""
    infos: list[UpstreamInfo] = [
        msgspec.structs.replace(
            build_info(f"u{number}", 16_000 + number % 3 * 8_000, f"domain-{number % 2}"),
            kind="ab"[number % 5 // 3],
            labels=(f"r{number // 4}",),
        )
        for number in range(1, 13)
    ]
    leader = start_site_leader(infos, seed=seed, run_ms=0)
    chance = random.Random(seed)
    for upstream in leader.upstreams.values():
        upstream.run_times = lambda job: milliseconds(int(job.split("-")[0]) % 500 + 20)
    for number in range(250):
        needs = Needs(cpu_millis=chance.randint(2_000, 15_000))
        job = JobId(f"{chance.randrange(10_000)}-{number}")
        leader.world.needs[job] = needs
        step = StepSpec(
            count=chance.randint(1, 6), needs=needs, estimate_ms=chance.randint(30, 500)
        )
        leader.submit(job, JobSpec(payload="", steps=(step,), best_effort=True), QUEUE)
        leader.world.run_until(leader.world.now + milliseconds(chance.choice((0, 3, 60, 90))))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_service_whose_kinds_do_not_differ_is_served_as_before(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against other choices of upstreams where a site has no need of kinds."""
    starts: list[tuple[Any, ...]] = []
    start = Scheduler._start

    def record(
        self: Scheduler, batch: Batch, task_index: int, instance: Instance, now: timedelta
    ) -> None:
        starts.append((now, batch.job.id, task_index, instance.info.id))
        start(self, batch, task_index, instance, now)

    monkeypatch.setattr(Scheduler, "_start", record)
    play_seeded_load(seed)
    new = starts.copy()
    starts.clear()
    monkeypatch.setattr(Placement, "choose", choose_as_before)
    play_seeded_load(seed)
    assert len(starts) > 400
    assert new == starts
