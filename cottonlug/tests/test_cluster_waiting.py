"""Time-outs of jobs that are waited for, and hosts that are no longer the coordinator.

The coordinator is the host that schedules jobs: the leader, or a gateway that acts as leader. Most
tests guard against a job that goes on after its caller has gone, or a host that goes on deciding,
so that a task could run beside the next try of its caller.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
import pytest

from ..core.cluster.calls import Answer, Outcome, Submit
from ..core.cluster.commands import AddUpstream
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId, PollReply, RunEndKind
from ..core.cluster.orders import CallFailure, OnAnswer, Order, PollOrder
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import UpstreamId
from ..runtime.acting_leader import ActingLeaderAuthority
from ..runtime.gateway_registry import GATEWAY_TIMEOUT
from ..runtime.leadership import Leadership, LeadershipSettings
from ..runtime.replicated import ReplicatedRecords
from .gateway_builders import (
    JOB,
    IdlePort,
    build_acting_gateway,
    build_clock,
    build_failover_state,
    build_keepalive,
    build_submit,
    raise_error,
)
from .model_upstreams import (
    RECONCILE_AFTER,
    ModelUpstream,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_contact import CALLER_RETRY, run_callbacks
from .test_cluster_dispatch import build_world, start_leader
from .test_cluster_orphaned_runs import deliver_heartbeats

LONG = build_spec(tasks=1, run_ms=2_500)


class LogLeaderAuthority:
    """Authority of a host that leads the log, with its lease."""

    term = 6

    def has_lease(self) -> bool:
        return True

    def propose(self, data: str) -> bool:
        return True

    def start_new_term(self) -> None:
        return None


class CountingPort(IdlePort):
    """Upstreams whose polls are counted, and which may never answer."""

    def __init__(self, *, answers: bool = True) -> None:
        super().__init__()
        self.polls = 0
        self._answers = answers

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        return False

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        self.polls += 1
        if not self._answers:
            await asyncio.sleep(3_600)
        return await super().poll(order, token)


def lead(
    port: IdlePort, *, keeps_log: bool = True, commits: bool = False
) -> tuple[Leadership, ReplicatedRecords]:
    """Lead two upstreams; with `commits` the log applies proposals at once."""
    replicated = ReplicatedRecords()
    replicated.records.activate_configuration(build_failover_state().configuration)
    for name in ("u1", "u2"):
        info = build_info(name)
        replicated.records.upstreams[info.id] = UpstreamRecord(info=info)
    leadership = Leadership(
        authority=(
            ActingLeaderAuthority(term=1, replicated=replicated)
            if commits
            else LogLeaderAuthority()
        ),
        replicated=replicated,
        port=port,
        clock=build_clock(),
        on_failure=raise_error,
        settings=LeadershipSettings(
            lease_terms=choose_lease_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT),
            keep_ended=timedelta(),
            caller_retry=CALLER_RETRY,
            control_address=None,
            keeps_log=keeps_log,
            level=0 if keeps_log else 1_001,
        ),
    )
    return leadership, replicated


def test_an_acting_leader_waits_no_longer_than_its_caller() -> None:
    """Guards against calls of an acting leader to itself without a time-out.

    The job and its lease would go on long after its caller has gone. For example, a caller outside
    a domain that is cut off, with its gateway inside, times out after 1.5 s and retries elsewhere
    1.3 s later; by then the gateway, as acting leader, has begun the job.
    """

    async def play() -> None:
        gateway, clock = build_acting_gateway()
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        call = msgspec.structs.replace(build_submit(), spec=LONG)
        waiting = asyncio.create_task(gateway.call(call, milliseconds(200)))
        for _ in range(30):
            clock.advance(milliseconds(50))
            await gateway.link.check_failover()
            await asyncio.sleep(0.02)
        acting = gateway.acting_leader
        assert waiting.done() and waiting.result().outcome is Outcome.UNKNOWN
        assert not acting.leadership.dispatch.jobs.is_open(JobId(JOB))
        gateway.stop()

    asyncio.run(play())


def test_an_older_run_end_does_not_free_a_task_whose_success_awaits_its_commit() -> None:
    """Guards against a third run, started 12 ms after the second succeeded.

    The lease of the first lapsed long before. Its upstream can be reached again and lists that end;
    when it is committed, the task must not be queued, as the end of the second awaits its commit.
    """
    world, upstreams = build_world(15)
    for each in upstreams.values():
        each.run_times = lambda job: timedelta(seconds=2)
    leader = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    leader.submit(JOB, build_spec(tasks=1, durable=True, run_ms=2_000), build_queue())
    world.run_until(milliseconds(130))
    first = next(each for each in upstreams.values() if each.runs)
    leader.cut_off = {first.info.id}
    while world.starts < 2:
        world.run_until(world.now + milliseconds(5))
    second = next(each for each in upstreams.values() if each.runs)
    (run,) = second.runs.values()
    assert second is not first
    world.run_until(run.ends_at - milliseconds(4))
    poll_order = PollOrder(upstream=first.info, last_seen=0, expires_ms=None, wait=timedelta())
    reply = first.build_reply()
    assert [end.how for end in reply.ended] == [RunEndKind.LAPSED]
    leader.cut_off = set()
    leader.dispatch.handle_poll_answer(poll_order, reply, world.now, world.now)
    leader.act()
    world.run_until(run.ends_at + timedelta(seconds=3))
    assert world.starts == 2


@pytest.mark.parametrize("trigger", ["a decision that was due", "a commit"])
def test_a_term_that_was_ended_makes_no_more_decisions(trigger: str) -> None:
    """Guards against orders of a host that has handed over, while the next one coordinates.

    It keeps its lease for a while, so the lease does not stop it.
    """

    async def play() -> int:
        port = CountingPort()
        leadership, replicated = lead(port)
        if trigger == "a decision that was due":
            leadership._schedule_decision()
        listener = replicated.listener
        leadership.stop()
        if trigger == "a commit" and listener is not None:
            listener(AddUpstream(info=build_info("u3")))
        await run_callbacks()
        return port.polls

    assert asyncio.run(play()) == 0


@pytest.mark.parametrize(("second", "is_news"), [("b", True), ("a", False)])
def test_a_second_submission_of_an_open_job_adds_what_the_first_did_not_say(
    second: str, is_news: bool
) -> None:
    """Another gateway may have had it begun by another coordinator, whose leases must end first.

    The same gateway only repeats a call without an answer, for which the tasks need not wait again.
    """

    async def play() -> None:
        leadership, _ = lead(CountingPort(answers=False), keeps_log=False)
        clock = leadership._clock

        def deliver_keepalive(gateway: str) -> None:
            contact = leadership.gateways.build_contact()
            leadership.gateways.handle_keepalive(
                msgspec.structs.replace(build_keepalive(gateway), contact=contact)
            )

        def submit(gateway: str) -> asyncio.Task[Answer]:
            call = Submit(
                host="host",
                path=f"/q/{JOB}",
                spec=LONG,
                gateway=gateway,
                number=1,
                may_have_begun=True,
                may_be_of_acting_leader=True,
                contact=leadership.gateways.build_contact(),
            )
            return asyncio.create_task(leadership.answer(call))

        deliver_keepalive("a")
        deliver_keepalive("b")
        waiting = [submit("a")]
        await run_callbacks()
        for _ in range(10):
            clock.advance(milliseconds(100))  # type: ignore[attr-defined]
            deliver_keepalive("a")
            deliver_keepalive("b")
            leadership._decide()
        submitted_at = clock.monotonic()
        waiting.append(submit(second))
        await run_callbacks()
        job = leadership.dispatch.jobs.jobs[JobId(JOB)]
        assert (job.reconcile_at >= submitted_at + CALLER_RETRY) is is_news
        for each in waiting:
            each.cancel()
        leadership.stop()

    asyncio.run(play())


@pytest.mark.parametrize("of_acting_leader", [False, True])
def test_a_crashed_upstream_is_forgotten_where_no_gateway_can_act_as_leader(
    of_acting_leader: bool,
) -> None:
    """Otherwise it is kept for an hour, and each job of an earlier leader waits for its lease.

    A job of an acting leader waits for the leases of all upstreams, as these need not be known.
    """
    world, upstreams = build_world(3)
    records = Records()
    leader = start_leader(world, upstreams, records, 1)
    leader.dispatch.may_have_acting_leader = lambda: False
    world.run_until(milliseconds(100))
    upstreams[UpstreamId("u1")].crash()
    while world.now < timedelta(seconds=14):
        world.run_until(world.now + milliseconds(500))
        for each in upstreams.values():
            if each.is_up:
                leader.deliver_heartbeat(each, sequence=int(world.now / milliseconds(1)))
    assert UpstreamId("u1") not in records.upstreams
    at = world.now
    spec = build_spec(tasks=1)
    leader.submit(
        JOB,
        spec,
        build_queue(),
        may_have_begun=True,
        may_be_of_acting_leader=of_acting_leader,
    )
    while not leader.ended and world.now < at + timedelta(seconds=5):
        world.run_until(world.now + milliseconds(10))
    wait = RECONCILE_AFTER if of_acting_leader else timedelta()
    assert wait < leader.ended_at[JobId(JOB)] - at < wait + milliseconds(500)


def test_a_silent_upstream_is_polled_when_another_instance_takes_its_address() -> None:
    """Guards against keeping an instance as unreachable although a later one has replaced it."""
    world, upstreams = build_world(3)
    records = Records()
    leader = start_leader(world, upstreams, records, 1)
    world.run_until(milliseconds(100))
    old = upstreams[UpstreamId("u1")]
    old.crash()

    def run_with_heartbeats(until: timedelta) -> None:
        while world.now < until:
            world.run_until(world.now + milliseconds(500))
            for each in list(upstreams.values()):
                if each.is_up:
                    leader.deliver_heartbeat(each, sequence=int(world.now / milliseconds(1)))

    run_with_heartbeats(timedelta(seconds=13))
    failed_before = leader.dispatch.instances[old.info.id].failed_polls
    info = msgspec.structs.replace(build_info("u9"), address=old.info.address)
    upstreams[info.id] = ModelUpstream(world=world, info=info, rate=1.0, run_times=old.run_times)
    run_with_heartbeats(timedelta(seconds=14))
    assert leader.dispatch.instances[old.info.id].failed_polls > failed_before


def test_a_failed_run_counts_once_although_its_upstream_was_forgotten_meanwhile() -> None:
    """Guards against a job that fails after fewer attempts than its queue allows.

    The log has recorded the end of a run when its upstream is cut off, before the upstream was told
    so. The leader forgets the upstream, and with it up to which number its ends are recorded. Once
    it has joined again it lists the end again.
    """
    world, upstreams = build_world(15)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: timedelta(seconds=30)
    leader = start_leader(world, upstreams, Records(), 1)
    leader.dispatch.may_have_acting_leader = lambda: False
    world.run_until(milliseconds(100))
    for upstream in upstreams.values():
        upstream.fails_all = True
    leader.submit(JOB, build_spec(tasks=1, durable=True), build_queue(max_attempts=2))
    job = leader.records.jobs[JobId(JOB)]
    while not any(task.failed_runs for task in job.tasks.values()):
        world.run_until(world.now + milliseconds(1))
        for upstream in upstreams.values():
            # The first end alone is a failure.
            upstream.fails_all = not world.starts
        where = next((each for each in upstreams.values() if each.ended), None)
        if where is not None and leader.dispatch.instances[where.info.id].proposed_through:
            leader.cut_off = {where.info.id}
    (away,) = leader.cut_off
    assert upstreams[away].ended, "the upstream has not been told that the end is recorded"
    end = world.now + timedelta(seconds=11)
    while world.now < end:
        deliver_heartbeats(leader, set(upstreams) - {away})
        world.run_until(world.now + milliseconds(100))
    assert away not in leader.records.upstreams
    leader.cut_off = set()
    deliver_heartbeats(leader, {away})
    world.run_until(world.now + timedelta(seconds=2))
    assert job.is_open, "one run has failed, and the queue allows two"
