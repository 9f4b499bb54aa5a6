"""Serving order, rejection and outlier detection under their load patterns, without a network.

The objective of a job is how long it should take from its arrival to its end.
"""

from __future__ import annotations

import random
from dataclasses import replace
from datetime import timedelta

import msgspec

from ..core.cluster.admission import estimate_wait
from ..core.cluster.backlog import Backlog, Batch, Tier
from ..core.cluster.forecast import Forecast
from ..core.cluster.instances import Instance
from ..core.cluster.model import (
    Configuration,
    ConfigurationVersion,
    JobId,
    JobSpec,
    JobState,
    Needs,
    RunNumber,
    Service,
    ServiceName,
    StepSpec,
    TaskRef,
)
from ..core.cluster.orders import Run, RunPhase
from ..core.cluster.placement import choose_instance
from ..core.cluster.queues import QueueIndex
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.upstream_health import MAX_CONSECUTIVE_FAILURES, MAX_SUSPENSION, UpstreamHealth
from ..core.cluster.validation import find_configuration_problem, find_job_problem
from .model_upstreams import (
    SERVICE,
    TERMS,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_dispatch import build_world, start_leader

SECOND = timedelta(seconds=1)


def build_batch(
    name: str, *, latest_start: float, latest_useful_start: float, cpu: int = 7_000
) -> Batch:
    """Return a batch of one task; times are in milliseconds, the CPU in thousandths of a core."""
    step = StepSpec(count=1, needs=Needs(cpu_millis=cpu), estimate_ms=60)
    record = JobRecord(id=JobId(name), queue=build_queue(), spec=build_spec(), accepted_ms=0)
    return Batch(
        job=record,
        occurrence=0,
        step_number=0,
        step=step,
        latest_start=milliseconds(latest_start),
        latest_task_start=milliseconds(latest_start + 40),
        latest_useful_start=milliseconds(latest_useful_start),
        core_ms=420.0,
        waiting=[0],
    )


def test_jobs_that_can_be_on_time_go_before_late_ones() -> None:
    """Guards against a backlog in which every job is late, since all wait for the oldest."""
    backlog = Backlog()
    backlog.add(build_batch("old", latest_start=10, latest_useful_start=500))
    backlog.add(build_batch("urgent", latest_start=100, latest_useful_start=600))
    backlog.add(build_batch("patient", latest_start=300, latest_useful_start=900))
    moved = backlog.demote(milliseconds(50))
    assert [batch.job.id for batch in moved] == ["old"]
    assert [batch.job.id for batch in backlog] == ["urgent", "patient", "old"]
    backlog.demote(milliseconds(550))
    assert [batch.tier for batch in backlog] == [Tier.LATE, Tier.LATE, Tier.HOPELESS]


def test_new_jobs_are_on_time_within_a_second_after_an_outage() -> None:
    """Load pattern: three quarters of the capacity, a second without service, the same again.

    Guards against new jobs that are late because they wait for the old ones.
    """
    world, upstreams = build_world(1)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    chance = random.Random(1)
    for number in range(30):
        leader.submit(f"{number:016x}", build_spec(tasks=2, run_ms=60), build_queue())
    world.run_until(milliseconds(1_100))
    late = []
    for number in range(100, 130):
        job = f"{number:016x}"
        leader.submit(job, build_spec(tasks=2, run_ms=60), build_queue())
        world.run_until(world.now + milliseconds(chance.uniform(30, 50)))
        late.append(job)
    world.run_until(world.now + milliseconds(400))
    states = [leader.dispatch.jobs.find_ended(JobId(job)) for job in late]
    assert states.count(JobState.COMPLETED) >= 27


def test_a_rejection_says_when_to_retry() -> None:
    """Guards against times that are negative, or out of proportion to the work that waits."""
    world, upstreams = build_world(2)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(60):
        leader.submit(f"{number:016x}", build_spec(tasks=8, run_ms=60), build_queue())
    rejection = leader.dispatch.find_rejection(build_queue(), build_spec(), timedelta(), world.now)
    assert rejection is not None
    assert timedelta() < rejection.retry_after < timedelta(seconds=10)


def test_nothing_is_rejected_while_capacity_is_free() -> None:
    """Guards against rejecting jobs although nothing waits."""
    world, upstreams = build_world(3)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    assert (
        leader.dispatch.find_rejection(build_queue(), build_spec(), timedelta(), world.now) is None
    )


def test_the_wait_grows_with_the_work_and_shrinks_with_the_cores() -> None:
    assert estimate_wait(1_000, 10) == milliseconds(100)
    assert estimate_wait(2_000, 10) > estimate_wait(1_000, 10) > estimate_wait(1_000, 20)
    assert estimate_wait(1_000, 0) < timedelta(hours=1), "without any core it is still finite"


def test_late_jobs_wait_as_long_as_they_are_of_use() -> None:
    """Guards against rejecting jobs once they miss their objective, and against losing any."""
    world, upstreams = build_world(8)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(12):
        leader.submit(f"{number:016x}", build_spec(tasks=4, run_ms=60), build_queue())
    job = JobId(f"{11:016x}")
    # The objective is 156 ms; after three times that the job is of no use.
    world.run_until(milliseconds(100 + 300))
    assert job not in leader.dispatch.jobs.rejections
    world.run_until(milliseconds(2_000))
    rejected = leader.dispatch.jobs.rejections
    ended = [leader.dispatch.jobs.find_ended(JobId(f"{number:016x}")) for number in range(12)]
    assert len(rejected) + ended.count(JobState.COMPLETED) == 12


def test_the_forecast_learns_how_far_off_declared_run_times_are() -> None:
    forecast = Forecast()
    queue = build_queue()
    step = StepSpec(count=1, estimate_ms=100)
    for _ in range(100):
        forecast.learn(queue.key, step, milliseconds(200))
    assert milliseconds(190) < forecast.predict(queue.key, step) <= milliseconds(200)


def test_the_objective_follows_the_longest_chain() -> None:
    steps = (
        StepSpec(count=1, estimate_ms=100),
        StepSpec(count=1, estimate_ms=50),
        StepSpec(count=1, estimate_ms=200, depends_on=(0,)),
    )
    spec = JobSpec(payload="", steps=steps)
    objective = Forecast().find_objective(build_queue(target_ms=60), spec)
    assert abs(objective - milliseconds(1.6 * 300 + 60)) < milliseconds(1)


def test_an_upstream_that_fails_all_runs_is_suspended_and_tried_again() -> None:
    """Guards against a failing upstream that gets ever more work, since it is always free."""
    health = UpstreamHealth()
    now = timedelta()
    found = [health.record_failure(now) for _ in range(MAX_CONSECUTIVE_FAILURES)]
    assert found == [False] * (MAX_CONSECUTIVE_FAILURES - 1) + [True]
    assert health.is_suspended(now)
    assert not health.is_suspended(now + MAX_SUSPENSION)


def test_isolated_failures_suspend_no_upstream() -> None:
    """Guards against losing sound upstreams to tasks that fail by themselves."""
    health = UpstreamHealth()
    for _ in range(50):
        assert not health.record_failure(timedelta())
        assert not health.record_success(1.0, timedelta())


def test_a_slow_upstream_is_suspended() -> None:
    """Guards against work for an upstream whose runs take 6.5 times as long as expected."""
    health = UpstreamHealth()
    assert any(health.record_success(6.5, timedelta()) for _ in range(5))


def test_a_poison_job_fails_after_its_attempts() -> None:
    """Guards against starting a task for ever that fails wherever it runs."""
    world, upstreams = build_world(4, failed_share=1.0)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=1), build_queue(max_attempts=3))
    world.run_until(timedelta(seconds=10))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.FAILED
    assert world.starts == 3


def test_a_stalled_run_is_moved() -> None:
    """Guards against jobs that wait for a minute for an upstream at which nothing progresses."""
    world, upstreams = build_world(5)
    hanging = next(iter(upstreams.values()))
    hanging.run_times = lambda job: timedelta(seconds=60)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit("a" * 16, build_spec(tasks=8), build_queue())
    world.run_until(timedelta(seconds=2))
    assert leader.dispatch.jobs.find_ended(JobId("a" * 16)) is JobState.COMPLETED


def build_instance(name: str, cpu: int) -> Instance:
    return Instance(info=build_info(name, cpu), lease_terms=TERMS, recorded_through=0)


def test_the_tightest_fit_is_chosen() -> None:
    """Otherwise no upstream stays free for tasks that need many cores."""
    instances = [
        build_instance("u1", 32_000),
        build_instance("u2", 15_000),
        build_instance("u3", 20_000),
    ]
    batch = build_batch("a", latest_start=0, latest_useful_start=0, cpu=14_000)
    chosen = choose_instance(batch, instances)
    assert chosen is not None
    assert chosen.info.id == "u2"


def test_capacity_is_left_for_runs_whose_jobs_are_not_known() -> None:
    """Otherwise upstreams refuse starts after changes of leader (57 were refused).

    A run whose job is not known has unknown needs; it is assumed to need as much as the new task.
    """
    instance = build_instance("u1", 32_000)
    batch = build_batch("a", latest_start=0, latest_useful_start=0, cpu=14_000)
    orphaned_run = Run(
        task=TaskRef(JobId("b"), 0, 0, 0),
        run=RunNumber(1),
        needs=Needs(),
        phase=RunPhase.RUNNING,
        since=timedelta(),
        is_orphaned=True,
    )
    instance.add_run(orphaned_run)
    assert choose_instance(batch, [instance]) is instance
    instance.add_run(replace(orphaned_run, run=RunNumber(2)))
    assert choose_instance(batch, [instance]) is None
    instance.remove_run((orphaned_run.task, orphaned_run.run))
    assert choose_instance(batch, [instance]) is instance


def test_an_upstream_that_enforces_no_capacity_gets_no_work_beside_unknown_runs() -> None:
    """Otherwise a coordinator that does not know what runs there starts more than fits."""
    world, upstreams = build_world(12)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(400)
    records = Records()
    service = Service(name=SERVICE, rejects_overload=False)
    records.activate_configuration(build_configuration(services=(service,)))
    first = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    first.submit("a" * 16, build_spec(tasks=8), build_queue())
    world.run_until(milliseconds(200))
    first.is_over = True
    second = start_leader(world, upstreams, records, 2)
    world.run_until(milliseconds(220))
    second.submit("b" * 16, build_spec(tasks=1), build_queue())
    world.run_until(milliseconds(400))
    assert second.dispatch.counts.starts == 0
    world.run_until(timedelta(seconds=3))
    assert second.dispatch.counts.starts > 0


def test_nothing_fits_without_free_capacity() -> None:
    batch = build_batch("a", latest_start=0, latest_useful_start=0, cpu=14_000)
    assert choose_instance(batch, [build_instance("u1", 13_999)]) is None


def build_configuration(**changes: object) -> Configuration:
    values: dict[str, object] = {
        "version": ConfigurationVersion(1),
        "queues": (build_queue(),),
        "services": (Service(name=SERVICE),),
        "max_body_bytes": 1_000,
        "document": "{}",
    }
    return Configuration(**{**values, **changes})  # type: ignore[arg-type]


def test_invalid_configurations_are_found() -> None:
    assert find_configuration_problem(build_configuration()) is None
    assert find_configuration_problem(build_configuration(services=()))
    assert find_configuration_problem(build_configuration(queues=(build_queue(), build_queue())))
    other = Service(name=ServiceName("other"))
    assert find_configuration_problem(build_configuration(services=(other,)))
    assert find_configuration_problem(build_configuration(version=0))


def test_invalid_jobs_are_found() -> None:
    assert find_job_problem(build_spec()) is None
    assert find_job_problem(JobSpec(payload="", steps=()))
    assert find_job_problem(JobSpec(payload="x" * 4_001, steps=build_spec().steps))
    backwards = (StepSpec(count=1, depends_on=(0,)),)
    assert find_job_problem(JobSpec(payload="", steps=backwards))


def test_an_urgent_job_is_not_rejected_for_less_urgent_work_behind_it() -> None:
    """Guards against rejecting short jobs within 5 ms because of long ones in the backlog."""
    world, upstreams = build_world(6)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    for number in range(20):
        leader.submit(f"{number:016x}", build_spec(tasks=8, run_ms=5_000), build_queue())
    assert (
        leader.dispatch.find_rejection(build_queue(), build_spec(run_ms=60), timedelta(), world.now)
        is None
    )


def test_a_new_leader_counts_upstreams_that_have_not_answered_yet() -> None:
    """Otherwise nearly everything is rejected right after a change of leader, for lack of cores."""
    world, upstreams = build_world(7)
    records = Records()
    leader = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    leader.is_over = True
    second = start_leader(world, upstreams, records, 2)
    second.cut_off = set(list(upstreams)[1:])
    world.run_until(milliseconds(130))
    for number in range(8):
        second.submit(f"{number:016x}", build_spec(tasks=2, run_ms=60), build_queue())
    assert (
        second.dispatch.find_rejection(build_queue(), build_spec(), timedelta(), world.now) is None
    )


def test_the_longest_prefix_selects_the_queue() -> None:
    """Guards against the wrong queue where one prefix begins with another, or a port is given."""
    short, long = build_queue(), msgspec.structs.replace(build_queue(), prefix="/q/long/")
    queues = QueueIndex(configuration=build_configuration(queues=(short, long)))
    assert queues.find_queue("host:80", "/q/abc") == (short, "abc")
    assert queues.find_queue("host", "/q/long/abc") == (long, "abc")
    assert queues.find_queue("host", "/other") is None
    assert queues.find_queue("other", "/q/abc") is None


def test_an_upstream_on_probation_gets_one_run_at_a_time() -> None:
    """Otherwise each return of an upstream that still stalls costs all jobs tried there.

    A good run ends the probation. (See bench/cluster.py.)
    """
    health = UpstreamHealth()
    assert health.record_stall(timedelta())
    assert health.is_on_probation
    instance = build_instance("u1", 32_000)
    instance.is_on_probation = True
    batch = build_batch("a", latest_start=0, latest_useful_start=0, cpu=7_000)
    assert choose_instance(batch, [instance]) is instance
    ref = TaskRef(JobId("a"), 0, 0, 0)
    run = Run(
        task=ref,
        run=RunNumber(1),
        needs=batch.needs,
        phase=RunPhase.RUNNING,
        since=timedelta(),
    )
    instance.add_run(run)
    assert choose_instance(batch, [instance]) is None
    health.record_success(1.0, MAX_SUSPENSION)
    assert not health.is_on_probation
