"""Jobs that pass from an acting leader to a leader, and the runs that are left of them.

An acting leader orders by a copy of the records. The leader may have dropped upstreams since that
are in the copy, so that it cannot tell from its own list of upstreams that all runs of the acting
leader have been polled. The reverse, upstreams that have joined since, is in `test_cluster_pauses`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import pytest

from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..core.cluster.commands import (
    Command,
    RecordCrash,
    RemoveUpstreams,
    SetDraining,
)
from ..core.cluster.model import JobId
from ..core.cluster.orders import PollOrder
from ..core.cluster.records import Records
from ..core.cluster.silent_upstreams import SILENT_AFTER
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.coordinator_link import Via
from .gateway_builders import JOB, answer_in_turn, build_clock, build_gateways, build_submit
from .model_site import CALL_TIMEOUT
from .model_upstreams import (
    RECONCILE_AFTER,
    Leader,
    World,
    build_queue,
    build_spec,
    milliseconds,
)
from .test_cluster_dispatch import build_world
from .test_cluster_orphaned_runs import deliver_heartbeats

FAR = UpstreamId("u1")
LONG_RUN_MS = 5_000
"""Run time of tasks that outlast every lease."""
SPEC = build_spec(tasks=1, run_ms=LONG_RUN_MS)
DROPS: dict[str, Callable[[UpstreamId], Command]] = {
    "removed": lambda id: RemoveUpstreams(upstreams=(id,)),
    "crashed": lambda id: RecordCrash(upstream=id, blamed=(), others=(), unanswered=(), at_ms=0),
}


def cut_off_leader(seed: int) -> tuple[Leader, Records]:
    """Return the leader of term 2, which has never reached `FAR`, and a copy of its records."""
    world, upstreams = build_world(seed)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    first = Leader(world=world, upstreams=upstreams, records=Records(), token=TOKENS_PER_TERM)
    deliver_heartbeats(first, set(upstreams))
    world.run_until(milliseconds(100))
    copy = Records()
    copy.restore(first.records.encode())
    first.is_over = True
    second = Leader(
        world=world,
        upstreams=upstreams,
        records=first.records,
        token=2 * TOKENS_PER_TERM,
        cut_off={FAR},
    )
    return second, copy


def wait_cut_off(leader: Leader, span: timedelta) -> None:
    """Let time pass in which all upstreams but `FAR` send heartbeats."""
    end = leader.world.now + span
    while leader.world.now < end:
        leader.world.run_until(min(leader.world.now + milliseconds(100), end))
        deliver_heartbeats(leader, set(leader.upstreams) - {FAR})


def start_far_run(leader: Leader, copy: Records) -> Leader:
    """Have an acting leader, which reaches only `FAR`, start the job there; return it."""
    acting_leader = Leader(
        world=leader.world,
        upstreams=leader.upstreams,
        records=copy,
        token=TOKENS_PER_TERM + 1_000,
        cut_off=set(leader.upstreams) - {FAR},
        is_acting=True,
    )
    leader.world.run_until(leader.world.now + milliseconds(50))
    acting_leader.submit(JOB, SPEC, build_queue(), reconcile_after=timedelta())
    leader.world.run_until(leader.world.now + milliseconds(50))
    assert list(leader.world.running.values()) == [FAR]
    return acting_leader


def take_over(leader: Leader) -> None:
    """Give the leader the job, as its gateway does which an acting leader has not answered."""
    leader.submit(JOB, SPEC, build_queue(), may_have_begun=True, may_be_of_acting_leader=True)


def expect_second_run_after_first(leader: Leader) -> None:
    """The model of upstreams fails if a task runs twice at a time."""
    world: World = leader.world
    taken_at = world.now
    world.run_until(taken_at + RECONCILE_AFTER - milliseconds(50))
    assert world.starts == 1, "the lease of the first run may still hold"
    world.run_until(taken_at + RECONCILE_AFTER + timedelta(seconds=1))
    assert world.starts == 2, "no lease of the first run can hold any more"


@pytest.mark.parametrize("cut_seconds", [1, 9, 11, 32])
def test_a_heal_after_any_time_starts_no_job_beside_the_run_of_an_acting_leader(
    cut_seconds: int,
) -> None:
    """Guards against two runs, as a leader forgets upstreams when their gateways reconnect.

    While a failure domain is cut off, its upstreams are kept for the sake of its acting leader. Its
    gateways reconnect before the upstreams have answered a poll.
    """
    leader, copy = cut_off_leader(seed=13)
    is_cut = True
    leader.dispatch.may_have_acting_leader = lambda: is_cut
    wait_cut_off(leader, timedelta(seconds=cut_seconds))
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    is_cut = False
    wait_cut_off(leader, milliseconds(150))
    take_over(leader)
    expect_second_run_after_first(leader)


@pytest.mark.parametrize("how", DROPS)
def test_a_job_of_an_acting_leader_waits_for_upstreams_that_are_not_in_the_records(
    how: str,
) -> None:
    """Guards against two runs, whatever has dropped the upstream from what the leader knows."""
    leader, copy = cut_off_leader(seed=14)
    leader._commit(DROPS[how](FAR))
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    take_over(leader)
    assert FAR not in leader.dispatch.instances
    expect_second_run_after_first(leader)


def test_a_job_of_an_acting_leader_waits_for_an_upstream_that_has_left() -> None:
    """Guards against two runs at an upstream that reported its leave to a leader alone."""
    leader, copy = cut_off_leader(seed=15)
    leader._commit(SetDraining(upstream=FAR))
    wait_cut_off(leader, SILENT_AFTER + timedelta(seconds=1))
    assert FAR not in leader.dispatch.instances
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    take_over(leader)
    expect_second_run_after_first(leader)


def test_a_leader_polls_silent_upstreams_as_soon_as_their_gateways_are_back() -> None:
    """Guards against runs that are found, and upstreams used, only with the next heartbeat.

    The upstreams were forgotten when the last gateway of their failure domain reconnected, and
    joined again up to 1.7 s later.
    """
    leader, copy = cut_off_leader(seed=17)
    is_cut = True
    leader.dispatch.may_have_acting_leader = lambda: is_cut
    wait_cut_off(leader, timedelta(seconds=12))
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    is_cut = False
    leader.cut_off = set()
    take_over(leader)
    leader.world.run_until(leader.world.now + timedelta(seconds=6))
    assert leader.world.starts == 1, "the run is found without a heartbeat, and goes on"
    assert not leader.dispatch.jobs.is_open(JobId(JOB))


def test_an_upstream_that_stays_silent_after_a_heal_is_forgotten() -> None:
    """Guards against keeping upstreams for ever that have crashed during a partition."""
    leader, _ = cut_off_leader(seed=18)
    is_cut = True
    leader.dispatch.may_have_acting_leader = lambda: is_cut
    wait_cut_off(leader, timedelta(seconds=12))
    is_cut = False
    wait_cut_off(leader, SILENT_AFTER - milliseconds(200))
    assert FAR in leader.dispatch.instances
    wait_cut_off(leader, milliseconds(400))
    assert FAR not in leader.dispatch.instances


def test_a_list_of_an_upstream_that_is_being_forgotten_does_not_hold_a_task() -> None:
    """Guards against a task that waits for a run at an upstream that is not tracked any more.

    The answer to a poll arrives after the leader has proposed to remove the upstream, and before
    that is committed. The upstream is cut off again before it has joined.
    """
    leader, copy = cut_off_leader(seed=19)
    leader.dispatch.may_have_acting_leader = lambda: False
    leader.commits = lambda command: not isinstance(command, RemoveUpstreams)
    wait_cut_off(leader, SILENT_AFTER + milliseconds(200))
    instance = leader.dispatch.instances[FAR]
    assert instance.is_over
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    take_over(leader)
    poll = PollOrder(
        upstream=instance.info,
        last_seen=0,
        expires_ms=None,
        wait=timedelta(),
        first_end=timedelta(),
        response_timeout=timedelta(),
    )
    now = leader.world.now
    reply = leader.upstreams[FAR].build_reply()
    leader.dispatch.handle_poll_answer(poll, reply, now, now)
    leader._commit(RemoveUpstreams(upstreams=(FAR,)))
    expect_second_run_after_first(leader)


def test_a_run_of_an_acting_leader_goes_on_where_its_upstream_joins_again() -> None:
    """Guards against a wait to the end of the lease although the run has been found."""
    leader, copy = cut_off_leader(seed=16)
    leader._commit(RemoveUpstreams(upstreams=(FAR,)))
    acting_leader = start_far_run(leader, copy)
    acting_leader.is_over = True
    leader.cut_off = set()
    take_over(leader)
    deliver_heartbeats(leader, {FAR})
    leader.world.run_until(leader.world.now + timedelta(seconds=6))
    assert leader.world.starts == 1
    assert not leader.dispatch.jobs.is_open(JobId(JOB))


def test_a_job_that_a_relay_has_not_answered_may_be_of_an_acting_leader() -> None:
    """Guards against a submission without the mark for which a leader waits for all leases."""

    async def play() -> list[Call]:
        gateway = build_gateways(1, build_clock())[0]
        gateway.link.follow("10.0.0.9:7000", Via.RELAY)
        answers = [Answer(outcome=Outcome.UNKNOWN), Answer(outcome=Outcome.DONE)]
        tried = answer_in_turn(gateway, answers)
        await gateway._call(build_submit(), CALL_TIMEOUT)
        gateway.stop()
        return tried

    _, second = asyncio.run(play())
    assert isinstance(second, Submit)
    assert second.may_have_begun and second.may_be_of_acting_leader
