"""Second submissions of an open job, which tell that another coordinator may have begun it."""

from __future__ import annotations

from datetime import timedelta

import pytest

from ..core.cluster.model import JobId, JobSpec, Needs, StepSpec
from ..core.cluster.open_job import Submission
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .gateway_builders import JOB
from .model_upstreams import RECONCILE_AFTER, TASK_CPU, Leader, build_queue, milliseconds
from .test_cluster_dispatch import build_world, start_leader

FAR = UpstreamId("u1")
NEEDS = Needs(cpu_millis=TASK_CPU)
TWO_STEPS = JobSpec(
    payload="payload",
    steps=(
        StepSpec(count=1, needs=NEEDS, estimate_ms=900),
        StepSpec(count=1, needs=NEEDS, estimate_ms=900, depends_on=(0,)),
    ),
    best_effort=True,
)


def submit(leader: Leader, gateway: str, *, of_acting_leader: bool) -> None:
    """Submit the job as `JobAnswers.answer_submit` does."""
    submission = Submission(
        gateway=gateway,
        confirmed_until=timedelta.max,
        may_have_begun=of_acting_leader,
        may_be_of_acting_leader=of_acting_leader,
        reconcile_after=RECONCILE_AFTER if of_acting_leader else timedelta(),
    )
    if leader.dispatch.jobs.is_open(JobId(JOB)):
        leader.dispatch.merge_submission(JobId(JOB), submission, leader.world.now)
    else:
        record = JobRecord(id=JobId(JOB), queue=build_queue(), spec=TWO_STEPS, accepted_ms=0)
        leader.dispatch.submit(record, submission, leader.world.now)
    leader.act()


@pytest.mark.parametrize("gateway", ["second", "first"])
def test_a_later_step_waits_for_an_acting_leader_that_a_second_submission_names(
    gateway: str,
) -> None:
    """Guards against two runs of a task that was blocked when the second submission arrived.

    The caller has sent its job again through the gateway `first`, from which the leader has it,
    while another gateway, or the same one, still holds the first try. An acting leader has finished
    the first step of that, and runs the second at an upstream that the leader does not reach.
    """
    world, upstreams = build_world(14)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(300)
    leader = start_leader(world, upstreams, Records(), 1)
    leader.cut_off = {FAR}
    world.run_until(milliseconds(100))
    copy = Records()
    copy.restore(leader.records.encode())
    acting_leader = Leader(
        world=world,
        upstreams=upstreams,
        records=copy,
        token=TOKENS_PER_TERM + 1_000,
        cut_off=set(upstreams) - {FAR},
        is_acting=True,
    )
    world.run_until(milliseconds(1_500))
    submit(acting_leader, "second", of_acting_leader=False)
    world.run_until(milliseconds(1_650))
    upstreams[FAR].run_times = lambda job: milliseconds(5_000)
    world.run_until(milliseconds(1_850))
    assert [(ref.step, id) for ref, id in world.running.items()] == [(1, FAR)]
    submit(leader, "first", of_acting_leader=False)
    world.run_until(milliseconds(1_900))
    assert len(world.running) == 2, "the leader runs the first step"
    acting_leader.is_over = True
    submit(leader, gateway, of_acting_leader=True)
    world.run_until(world.now + RECONCILE_AFTER + timedelta(seconds=1))
    assert world.starts == 4, "the leader runs the second step once the first run of it has ended"
