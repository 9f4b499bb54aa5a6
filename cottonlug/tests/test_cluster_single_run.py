"""A task starts only when no other run of it can be active, in whatever order this is learned.

A new leader finds a task of a durable job with two runs: the first ended at an upstream that had
been cut off, the second goes on at another one.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from datetime import timedelta

import pytest

from ..core.cluster.commands import AcceptJob, AddUpstream, Command
from ..core.cluster.dispatch import MAX_LISTED_ENDS, Dispatch
from ..core.cluster.model import (
    JobId,
    JobState,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunNumber,
    RunReport,
    TaskRef,
)
from ..core.cluster.orders import PollOrder, StartOrder, StartOutcome, StopOrder
from ..core.cluster.records import Records, TaskRecord
from ..core.cluster.run_numbers import RUN_NUMBERS_PER_TOKEN
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from .gateway_builders import JOB
from .model_upstreams import TERMS, build_info, build_queue, build_spec, milliseconds

REF = TaskRef(JobId(JOB), 0, 0, 0)
FIRST_RUN = RunNumber(TOKENS_PER_TERM * RUN_NUMBERS_PER_TOKEN)
SECOND_RUN = RunNumber(FIRST_RUN + 2)
CUT_OFF, SOUND = build_info("u1"), build_info("u2")
Event = Callable[["NewLeader"], None]


class NewLeader:
    """A new leader whose commands are committed, and whose polls are answered, when a test says."""

    def __init__(self) -> None:
        self.records = Records()
        for info in (CUT_OFF, SOUND):
            self.records.apply(AddUpstream(info=info, sequence=1))
        spec = build_spec(tasks=1, run_ms=4_000, durable=True)
        queue = build_queue(max_attempts=3)
        self.records.apply(AcceptJob(job=REF.job, queue=queue, spec=spec, at_ms=0))
        self.now = timedelta()
        self.clock_ms = 0
        self.proposals: list[Command] = []
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.dispatch = Dispatch(
            records=self.records,
            token=2 * TOKENS_PER_TERM,
            lease_terms=TERMS,
            now=self.now,
            wall_ms=lambda: 0,
            log_decision=lambda name, fields: None,
            on_job_end=lambda job: None,
        )
        self.act()

    def act(self) -> None:
        """Decide a millisecond later, and keep what is to be sent and proposed."""
        self.now += milliseconds(1)
        self.dispatch.tick(self.now)
        for order in self.dispatch.pop_orders():
            if isinstance(order, StartOrder):
                self.starts.append(order)
            elif isinstance(order, StopOrder):
                self.stops.append(order)
        self.proposals += self.dispatch.pop_proposals()

    def receive_list(
        self,
        upstream: UpstreamId,
        *,
        running: tuple[RunReport, ...] = (),
        ended: tuple[RunEndReport, ...] = (),
    ) -> None:
        """Receive an answer to a poll."""
        info = self.dispatch.instances[upstream].info
        order = PollOrder(upstream=info, last_seen=0, expires_ms=None, wait=timedelta())
        self.clock_ms += 1
        reply = PollReply(clock_ms=self.clock_ms, running=running, ended=ended)
        self.dispatch.handle_poll_answer(order, reply, self.now, self.now)
        self.act()

    def commit(self) -> None:
        """Commit all that has been proposed."""
        proposals, self.proposals = self.proposals, []
        for command in proposals:
            self.records.apply(command)
            self.dispatch.handle_applied_command(command, self.now)
        self.act()

    def accept_stops(self) -> None:
        """Have upstreams accept the stops that were sent; the runs go on for a short while."""
        for order in self.stops:
            self.dispatch.handle_stop_answer(order, None, self.now)
        self.act()


def build_end(run: RunNumber, how: RunEndKind, number: int = 1) -> RunEndReport:
    return RunEndReport(number=number, task=REF, run=run, how=how)


def list_first_run(how: RunEndKind) -> Event:
    return lambda leader: leader.receive_list(CUT_OFF.id, ended=(build_end(FIRST_RUN, how),))


def list_second_run(leader: NewLeader) -> None:
    leader.receive_list(SOUND.id, running=(RunReport(task=REF, run=SECOND_RUN, percent=10),))


def list_orders(how: RunEndKind) -> list[tuple[Event, ...]]:
    events = (list_first_run(how), list_second_run, NewLeader.commit, list_second_run)
    return list(itertools.permutations(events))


@pytest.mark.parametrize("how", [RunEndKind.LAPSED, RunEndKind.STOPPED, RunEndKind.FAILED])
def test_no_run_starts_while_an_earlier_leaders_run_goes_on(how: RunEndKind) -> None:
    """Guards against two runs at once when the end of an older run is listed before the newer run.

    The newer run was stopped, and a third one started when the older one's end was committed.
    """
    for events in list_orders(how):
        leader = NewLeader()
        for event in (*events, NewLeader.commit, NewLeader.accept_stops, list_second_run):
            event(leader)
            assert not leader.starts
        assert not leader.stops, "a sound run is stopped"
        end = build_end(SECOND_RUN, RunEndKind.DONE)
        leader.receive_list(SOUND.id, ended=(end,))
        leader.commit()
        assert leader.records.jobs[REF.job].state is JobState.COMPLETED
        assert not leader.starts


def test_a_run_is_stopped_once_another_run_of_its_task_is_recorded_as_done() -> None:
    """Guards against a run that goes on, and renews its lease, after its task is done."""
    for events in list_orders(RunEndKind.DONE):
        leader = NewLeader()
        for event in (*events, NewLeader.commit):
            event(leader)
        assert leader.records.jobs[REF.job].state is JobState.COMPLETED
        assert [(order.upstream.id, order.run) for order in leader.stops] == [
            (SOUND.id, SECOND_RUN)
        ]
        assert not leader.starts


@pytest.mark.parametrize("how", [RunEndKind.STOPPED, RunEndKind.FAILED])
def test_a_task_starts_again_only_when_its_last_run_has_ended(how: RunEndKind) -> None:
    """Guards against a start beside a run that is being stopped, which takes up to 50 ms."""
    for events in list_orders(RunEndKind.LAPSED):
        leader = NewLeader()
        for event in (*events, NewLeader.commit):
            event(leader)
        leader.dispatch.instances[SOUND.id].runs[(REF, SECOND_RUN)].stop_requested = True
        leader.act()
        leader.accept_stops()
        list_second_run(leader)
        assert not leader.starts
        leader.receive_list(SOUND.id, ended=(build_end(SECOND_RUN, how),))
        leader.commit()
        assert [order.task for order in leader.starts] == [REF]


def test_a_second_listed_run_is_awaited_when_the_current_one_ends() -> None:
    """Guards against a start beside a run that is not the current one and is being stopped."""
    leader = NewLeader()
    leader.receive_list(CUT_OFF.id, running=(RunReport(task=REF, run=FIRST_RUN),))
    list_second_run(leader)
    leader.accept_stops()
    leader.receive_list(CUT_OFF.id, ended=(build_end(FIRST_RUN, RunEndKind.LAPSED),))
    leader.commit()
    list_second_run(leader)
    assert not leader.starts
    leader.receive_list(SOUND.id, ended=(build_end(SECOND_RUN, RunEndKind.STOPPED),))
    leader.commit()
    assert [order.task for order in leader.starts] == [REF]


def test_all_runs_of_a_cancelled_job_are_stopped() -> None:
    """Guards against a run that outlives its cancelled job since it was not the current one."""
    for events in itertools.permutations((list_first_run(RunEndKind.LAPSED), list_second_run)):
        leader = NewLeader()
        for event in events:
            event(leader)
        leader.proposals.clear()
        leader.records.jobs[REF.job].state = JobState.CANCELLED
        leader.dispatch.jobs.close_if_ended(REF.job, leader.now)
        leader.act()
        assert [(order.upstream.id, order.run) for order in leader.stops] == [
            (SOUND.id, SECOND_RUN)
        ]


def test_a_refused_start_is_not_repeated_beside_an_earlier_run() -> None:
    """Guards against a start beside a run that is listed while another start is being refused."""
    leader = NewLeader()
    leader.receive_list(CUT_OFF.id)
    leader.receive_list(SOUND.id)
    (order,) = leader.starts
    elsewhere = SOUND.id if order.upstream.id == CUT_OFF.id else CUT_OFF.id
    leader.receive_list(elsewhere, running=(RunReport(task=REF, run=FIRST_RUN),))
    leader.dispatch.handle_start_answer(order, StartOutcome.NO_ROOM, None, leader.now)
    leader.act()
    assert leader.starts == [order]


@pytest.mark.parametrize("how", [RunEndKind.LAPSED, RunEndKind.STOPPED, RunEndKind.FAILED])
def test_a_task_waits_for_the_record_of_every_listed_end(how: RunEndKind) -> None:
    """Guards against a start between the records of two ends, the second of which is a success.

    Two upstreams list an end each; each is recorded by a commit of its own.
    """

    def list_done(leader: NewLeader) -> None:
        done = build_end(SECOND_RUN, RunEndKind.DONE)
        leader.receive_list(SOUND.id, ended=(done,))

    for events in itertools.permutations((list_first_run(how), list_done)):
        leader = NewLeader()
        for event in events:
            event(leader)
        assert len(leader.proposals) == 2
        first, second = leader.proposals
        for command in (first, second):
            leader.proposals = [command]
            leader.commit()
            assert not leader.starts
        assert leader.records.jobs[REF.job].state is JobState.COMPLETED


def test_a_failed_attempt_that_is_listed_late_is_recorded_before_the_next_start() -> None:
    """Guards against a start beyond the attempts of the queue, after a run that was abandoned."""
    leader = NewLeader()
    leader.records.jobs[REF.job].tasks = {"0.0.0": TaskRecord(failed_runs=2)}
    leader.now = TERMS.lapse_after * 2
    leader.dispatch.tick(leader.now)
    leader.receive_list(CUT_OFF.id, ended=(build_end(FIRST_RUN, RunEndKind.FAILED),))
    leader.receive_list(SOUND.id)
    assert not leader.starts
    leader.commit()
    assert leader.records.jobs[REF.job].state is JobState.FAILED
    assert not leader.starts


def test_an_upstream_counts_as_polled_only_when_it_has_listed_all_ends() -> None:
    """Guards against a start of a task whose success is behind the first 500 listed ends."""
    others = [
        RunEndReport(
            number=number,
            task=TaskRef(JobId(f"{number:016x}"), 0, 0, 0),
            run=RunNumber(FIRST_RUN + 1),
            how=RunEndKind.DONE,
        )
        for number in range(1, MAX_LISTED_ENDS + 1)
    ]
    done = build_end(FIRST_RUN, RunEndKind.DONE, number=MAX_LISTED_ENDS + 1)
    leader = NewLeader()
    leader.receive_list(SOUND.id)
    leader.receive_list(CUT_OFF.id, ended=tuple(others))
    assert not leader.starts
    leader.receive_list(CUT_OFF.id, ended=(done,))
    leader.commit()
    assert leader.records.jobs[REF.job].state is JobState.COMPLETED
    assert not leader.starts
