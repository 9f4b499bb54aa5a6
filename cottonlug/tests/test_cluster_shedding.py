"""Overload of a service: who is refused early, in which order the rest is served.

Under overload tasks wait because no upstream has free capacity for them. Outside overload nothing
may differ from the order of service without these mechanisms.
"""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.admission import Rejection
from ..core.cluster.backlog import Backlog, Batch, Tier
from ..core.cluster.early_refusal import EarlyRefusal
from ..core.cluster.model import JobId, Queue
from ..core.cluster.open_job import Submission
from ..core.cluster.overload import MAX_GAP, WINDOW, Overload
from ..core.cluster.priority_order import PriorityOrder
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from .model_upstreams import SERVICE, Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader
from .test_cluster_policy import build_batch


def build_overload(
    waiting: list[Batch], until: timedelta, missed: tuple[Batch, ...] = ()
) -> Overload:
    """Return an overload that was observed every 20 ms.

    Each time a task of the first of `waiting` was started, and the batches `missed` became late.
    """
    overload = Overload()
    now = timedelta()
    while now <= until:
        overload.observe(waiting, now)
        overload.record_start(waiting[0], now)
        overload.record_misses(missed, now)
        now += milliseconds(20)
    return overload


def build_late_batch() -> Batch:
    """Return a late batch of one task of 420 core-milliseconds."""
    batch = build_batch("late", latest_start=0, latest_useful_start=500)
    batch.tier = Tier.LATE
    return batch


def test_nothing_is_measured_in_the_first_half_second_of_overload() -> None:
    """Guards against refusals by a short burst, or by a coordinator that has just begun."""
    waiting = [build_late_batch()]
    overload = build_overload(waiting, WINDOW - milliseconds(1))
    assert overload.measure_started(SERVICE, WINDOW - milliseconds(1)) is None
    overload.observe(waiting, WINDOW)
    started = overload.measure_started(SERVICE, WINDOW)
    assert started is not None
    assert started.find_cores(Tier.LATE) == pytest.approx(420 / 20, rel=0.1)


def test_nothing_is_measured_after_a_gap_or_while_nothing_is_started() -> None:
    """Guards against refusals after an overload or a pause, or while no upstream is available."""
    waiting = [build_late_batch()]
    over = build_overload(waiting, WINDOW * 2)
    assert over.measure_started(SERVICE, WINDOW * 2) is not None
    over.observe([], WINDOW * 2)
    over.observe(waiting, WINDOW * 2)
    assert over.measure_started(SERVICE, WINDOW * 2) is None
    overload = build_overload(waiting, WINDOW * 2)
    resumed_at = WINDOW * 2 + MAX_GAP + milliseconds(20)
    overload.observe(waiting, resumed_at)
    assert overload.measure_started(SERVICE, resumed_at) is None
    idle = Overload()
    for number in range(100):
        idle.observe(waiting, milliseconds(20 * number))
    assert idle.measure_started(SERVICE, milliseconds(1_980)) is None


def start_calm_leader(seed: int) -> Leader:
    """Return a leader that has reached its four upstreams, of two tasks each."""
    world, upstreams = build_world(seed)
    leader = start_leader(world, upstreams, Records(), TOKENS_PER_TERM)
    world.run_until(milliseconds(100))
    return leader


def choose_queue(number: int) -> Queue:
    """Return one of two queues that differ in priority."""
    priority = number % 2 * 2
    return msgspec.structs.replace(build_queue(), name=str(priority), priority=priority)


def submit_steadily(leader: Leader, *, tasks: int, interval_ms: float, until: timedelta) -> None:
    """Submit jobs of tasks of 60 ms, one in each interval."""
    world = leader.world
    while world.now < until:
        job = f"{len(world.begun):08x}{int(world.now / milliseconds(1)):08x}"
        leader.submit(job, build_spec(tasks=tasks, run_ms=60), choose_queue(len(world.begun)))
        world.run_until(world.now + milliseconds(interval_ms))


def test_under_overload_late_jobs_are_refused_before_they_are_of_no_more_use() -> None:
    """Otherwise callers wait for three times their objective (677 did on one day)."""
    leader = start_calm_leader(1)
    leader.dispatch._term.log_decision = lambda name, fields: logged.update({name: fields})
    logged: dict[str, dict[str, str | int]] = {}
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert leader.dispatch.counts.refused_early > 20
    refusal = logged["job_refused_early"]
    assert int(refusal["wait_ms"]) > int(refusal["useful_for_ms"]) > 0
    assert refusal.keys() >= {"queue", "core_ms_ahead", "cores"}


def test_without_half_a_second_of_overload_nothing_is_refused_early() -> None:
    """Load pattern: a burst that takes 0.25 s to serve, then work that fits."""
    leader = start_calm_leader(2)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(200))
    submit_steadily(leader, tasks=1, interval_ms=60, until=milliseconds(3_000))
    assert leader.dispatch.counts.refused_early == 0


def test_nothing_is_refused_early_where_priorities_do_not_differ(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change in deployments that have no use for it: fewer were served there."""
    monkeypatch.setitem(globals(), "choose_queue", lambda number: build_queue())
    leader = start_calm_leader(6)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert leader.dispatch.counts.refused_early == 0
    assert leader.dispatch.counts.rejected_jobs > 20


def test_a_job_that_may_have_begun_is_not_refused_early() -> None:
    """Guards against telling a caller that nothing has run, while another host may have begun."""
    leader = start_calm_leader(3)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(1_500))
    tried = JobId("f" * 16)
    leader.submit(tried, build_spec(tasks=4), build_queue(), may_have_begun=True)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert leader.dispatch.counts.refused_early > 0
    assert tried not in leader.dispatch.jobs.rejections


def test_jobs_whose_tasks_were_unknown_are_not_refused_early() -> None:
    """Load pattern: overload from the first moment of a leader, before upstreams have answered it.

    Guards against refusing jobs as not run that an earlier leader may have begun.
    """
    earlier = start_calm_leader(7)
    earlier.is_over = True
    leader = start_leader(earlier.world, earlier.upstreams, earlier.records, TOKENS_PER_TERM * 2)
    refused: list[str] = []
    leader.dispatch._term.log_decision = lambda name, fields: (
        refused.append(str(fields["job"])) if name == "job_refused_early" else None
    )
    unsure = [f"f{number:015x}" for number in range(30)]
    for number, job in enumerate(unsure):
        leader.submit(job, build_spec(tasks=4, run_ms=300), choose_queue(number))
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert refused
    assert not set(unsure) & set(refused)


def test_a_second_submission_that_may_have_begun_forbids_a_refusal_as_not_run() -> None:
    """Guards against rejecting a job as not run that another coordinator may have begun."""
    leader = start_calm_leader(4)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(300))
    job = JobId("f" * 16)
    leader.submit(job, build_spec(tasks=4), build_queue())
    again = Submission(gateway="other", may_have_begun=True, reconcile_after=timedelta())
    leader.dispatch.merge_submission(job, again, leader.world.now)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert not leader.dispatch.jobs.is_open(job)
    assert job not in leader.dispatch.jobs.rejections


def test_a_job_that_was_abandoned_after_it_had_begun_is_not_refused_as_not_run() -> None:
    """Guards against a false answer to its second submission, which names no earlier try."""
    leader = start_calm_leader(5)
    job = JobId("f" * 16)
    leader.submit(job, build_spec(tasks=2), build_queue())
    leader.world.run_until(milliseconds(150))
    leader.dispatch.abandon(job, "", leader.world.now)
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(1_500))
    assert leader.dispatch.jobs.has_begun_before(job)
    leader.submit(job, build_spec(tasks=4), build_queue())
    submit_steadily(leader, tasks=4, interval_ms=15, until=milliseconds(2_500))
    assert not leader.dispatch.jobs.is_open(job)
    assert job not in leader.dispatch.jobs.rejections


@pytest.mark.parametrize("seed", range(4))
def test_refusals_as_not_run_are_true_under_faults(seed: int) -> None:
    """Load pattern: overload, orders lost and seconds late, leaders in turn that get jobs again.

    Guards against a refusal of a job of which any coordinator has started a task, or starts one.
    """
    world, upstreams = build_world(seed, lost_share=0.05, late_share=0.05)
    chance = random.Random(seed)
    leader = start_leader(world, upstreams, Records(), TOKENS_PER_TERM)
    refused: dict[JobId, timedelta] = {}
    early = number = 0
    submitted: list[JobId] = []
    for term in range(2, 5):
        ends_at = world.now + milliseconds(2_500)
        while world.now < ends_at:
            number += 1
            job = JobId(f"{number:016x}")
            submitted.append(job)
            leader.submit(job, build_spec(tasks=chance.randint(1, 6)), choose_queue(number))
            world.run_until(world.now + milliseconds(chance.uniform(5, 25)))
        early += leader.dispatch.counts.refused_early
        refused.update(dict.fromkeys(leader.dispatch.jobs.rejections, world.now))
        leader.is_over = True
        leader = start_leader(world, upstreams, Records(), TOKENS_PER_TERM * term)
        for job in submitted[-40:]:
            if job not in refused:
                leader.submit(job, build_spec(), build_queue(), may_have_begun=True)
    world.run_until(world.now + timedelta(seconds=13))
    assert early > 20, "the load was meant to be too much"
    assert not refused.keys() & {ref.job for ref, _ in world.begun}


def list_decisions(seed: int, *, burst: bool) -> list[tuple[str, tuple[object, ...]]]:
    """Return all decisions about a load of two priorities that fits, with or without a burst."""
    leader = start_calm_leader(seed)
    decisions: list[tuple[str, tuple[object, ...]]] = []
    leader.dispatch._term.log_decision = lambda name, fields: decisions.append(
        (name, tuple(fields.items()))
    )
    chance = random.Random(seed)
    for number in range(150):
        spec = build_spec(tasks=chance.randint(1, 4), run_ms=60)
        leader.submit(f"{number:016x}", spec, choose_queue(number))
        is_burst = burst and 60 <= number < 68
        leader.world.run_until(
            leader.world.now + milliseconds(chance.expovariate(1 / (10 if is_burst else 45)))
        )
    leader.world.run_until(leader.world.now + timedelta(seconds=2))
    return decisions


@pytest.mark.parametrize("burst", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_decisions_on_a_calm_load_are_the_same(
    seed: int, burst: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against any effect of load shedding outside half a second of overload."""
    ours = list_decisions(seed, burst=burst)
    monkeypatch.setattr(EarlyRefusal, "refuse", lambda self, now: None)
    monkeypatch.setattr(PriorityOrder, "find_rank", lambda self, batch: 0)
    assert Counter(name for name, _ in ours)["run_started"] > 200
    assert ours == list_decisions(seed, burst=burst)


def test_retry_times_under_overload_are_spread() -> None:
    """Guards against callers that all return at the same time, or at once."""
    soon = Rejection(reason="", retry_after=timedelta(), is_spread=True)
    times = {soon.find_retry_time(JobId(f"{number:016x}")) for number in range(100)}
    assert len(times) > 90
    assert milliseconds(100) <= min(times) < max(times) <= milliseconds(150)
    exact = Rejection(reason="", retry_after=milliseconds(70))
    assert exact.find_retry_time(JobId("a")) == milliseconds(70)


def build_prioritised(name: str, priority: int, latest_start: float) -> Batch:
    """Return an on-time batch of a queue with this priority."""
    batch = build_batch(name, latest_start=latest_start, latest_useful_start=latest_start + 500)
    batch.priority = priority
    return batch


def list_order(
    first: Batch, batches: list[Batch], *, until: timedelta = WINDOW, is_severe: bool = True
) -> list[str]:
    """Return the order of service after tasks of `first` were started, every 20 ms.

    `is_severe` says whether as much work became late meanwhile.
    """
    missed = (build_late_batch(),) if is_severe else ()
    overload = build_overload([first, *batches], until, missed)
    order = PriorityOrder(overload=overload)
    backlog = Backlog()
    backlog.find_rank = order.find_rank
    for batch in batches:
        backlog.add(batch)
    order.update(until)
    backlog.update_ranks()
    return [batch.job.id for batch in backlog]


def test_under_overload_on_time_jobs_are_served_by_priority() -> None:
    """Guards against urgent jobs of the lowest priority that take the place of the highest."""
    batches = [
        build_prioritised("low", 2, 10),
        build_prioritised("high_later", 0, 300),
        build_prioritised("middle", 1, 20),
        build_prioritised("high", 0, 200),
    ]
    lowest_started = build_prioritised("started", 2, 0)
    before = list_order(lowest_started, batches, until=WINDOW / 2)
    assert before == ["low", "middle", "high", "high_later"]
    assert list_order(lowest_started, batches, is_severe=False) == before
    after = list_order(lowest_started, batches)
    assert after == ["high", "high_later", "middle", "low"]


def test_the_lowest_priority_is_served_first_while_it_is_below_its_share() -> None:
    """Guards against starving it; jobs that have begun still come before all."""
    begun = build_prioritised("begun", 1, 400)
    begun.has_begun = True
    batches = [build_prioritised("high", 0, 10), build_prioritised("low", 2, 300), begun]
    highest_started = build_prioritised("started", 0, 0)
    order = list_order(highest_started, batches)
    assert order == ["begun", "low", "high"]


def test_late_batches_are_found_wherever_they_stand_in_the_order_of_priority() -> None:
    """Guards against late jobs of low priorities that stay on time behind urgent ones."""
    backlog = Backlog()
    backlog.find_rank = lambda batch: batch.priority
    backlog.add(build_prioritised("high", 0, 100))
    backlog.add(build_prioritised("low", 2, 10))
    assert [batch.job.id for batch in backlog.demote(milliseconds(50))] == ["low"]
    assert backlog.measure_work_ahead(milliseconds(200)) == 420.0
