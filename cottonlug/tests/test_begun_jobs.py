"""Reports of a leader to the other control hosts about the best-effort jobs that it has begun.

Failure: a leader is lost, a caller sends its job to another gateway, and the next leader starts the
job again beside a run that it does not know of.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import cast

import msgspec
import pytest
from returns.result import Result, Success

from ..config.options import Address
from ..core.cluster.active_runs import ActiveRun, ActiveRuns
from ..core.cluster.begun_jobs import (
    REPORT_ALL_INTERVAL,
    REPORTED_FOR,
    BegunJobs,
    BegunReport,
    BegunReporter,
)
from ..core.cluster.model import JobId, TaskRef
from ..core.cluster.run_numbers import choose_run_number
from ..core.consensus.types import AppendRequest, Envelope, Index, MemberId, Term
from ..core.control_messages import ConsensusBatch
from ..core.ids import UpstreamId
from ..net.connections import ConnectionPools
from ..net.transport import HttpReply, TransportError
from ..runtime.control_host import ControlHost
from ..runtime.messenger import Messenger
from .gateway_builders import build_clock, raise_error
from .model_hosts import Machine, World, play
from .model_upstreams import milliseconds

FIRST, SECOND = JobId("a" * 16), JobId("b" * 16)
NOW = timedelta(seconds=100)
SETTLING_SECONDS = 3.0
"""Longer than an election takes."""
LOST_FOR_SECONDS = 1.2
"""Longer than `MAX_REPORT_AGE`."""
LOST_AFTER_SECONDS = 0.025
"""From the start of a run to the loss of its leader."""
REPORT_SECONDS = 0.2
"""Longer than a leader sends nothing to the other control hosts."""


def build_report(term: int, *jobs: JobId, is_complete: bool = False) -> BegunReport:
    return BegunReport(term=term, jobs=jobs, is_complete=is_complete)


def test_jobs_are_known_once_the_last_leader_has_reported_all() -> None:
    """Without a report of all, any job may be one that the leader has begun."""
    begun = BegunJobs()
    begun.receive(build_report(3, FIRST), NOW)
    assert begun.find_begun(3, NOW) is None
    begun.receive(build_report(3, SECOND, is_complete=True), NOW)
    assert begun.find_begun(3, NOW) == frozenset({FIRST, SECOND})
    assert begun.find_begun(4, NOW) is None, "another host has led since"


def test_reports_of_an_earlier_leader_do_not_replace_those_of_a_later_one() -> None:
    """Guards against a delayed message of a leader that has been replaced."""
    begun = BegunJobs()
    begun.receive(build_report(4, FIRST, is_complete=True), NOW)
    begun.receive(build_report(3, SECOND, is_complete=True), NOW)
    assert begun.find_begun(4, NOW) == frozenset({FIRST})
    assert begun.find_begun(3, NOW) is None


def test_jobs_of_two_leaders_in_turn_are_remembered() -> None:
    """Runs of the leader before the last one may hold their leases when a third one begins."""
    begun = BegunJobs()
    begun.receive(build_report(3, FIRST, is_complete=True), NOW)
    later = NOW + milliseconds(500)
    begun.receive(build_report(4, is_complete=True), later)
    assert begun.find_begun(4, later) == frozenset({FIRST})


def test_jobs_are_forgotten_when_they_have_not_been_reported_for_a_while() -> None:
    """Guards against growth without end."""
    begun = BegunJobs()
    begun.receive(build_report(3, FIRST, is_complete=True), NOW)
    later = NOW + REPORTED_FOR + milliseconds(1)
    begun.receive(build_report(3, SECOND, is_complete=True), later)
    assert begun.find_begun(3, later) == frozenset({SECOND})


def test_a_leader_reports_all_jobs_first_and_then_those_that_begin() -> None:
    """Each host gets every job once, and all of them again every second."""
    reporter = BegunReporter(term=3, list_begun=lambda: [FIRST])
    assert reporter.build_report("c2", NOW) == build_report(3, FIRST, is_complete=True)
    assert not reporter.has_news("c2")
    assert reporter.build_report("c2", NOW) == build_report(3)
    reporter.record_begun(SECOND)
    assert reporter.has_news("c2")
    assert reporter.build_report("c2", NOW) == build_report(3, SECOND)
    reporter.record_begun(SECOND)
    assert not reporter.has_news("c2")
    later = NOW + REPORT_ALL_INTERVAL
    assert reporter.build_report("c2", later) == build_report(3, FIRST, is_complete=True)


def test_a_leader_reports_all_jobs_after_a_lost_report() -> None:
    """Guards against a job that the next leader takes for new, as its report was lost."""
    reporter = BegunReporter(term=3, list_begun=lambda: [FIRST, SECOND])
    reporter.build_report("c2", NOW)
    reporter.record_begun(SECOND)
    assert reporter.build_report("c2", NOW) == build_report(3, SECOND)
    reporter.handle_lost_report("c2", is_refused=False)
    assert reporter.build_report("c2", NOW) == build_report(3, FIRST, SECOND, is_complete=True)


def test_runs_of_durable_jobs_are_not_reported() -> None:
    """The log tells of them."""
    runs = ActiveRuns()
    begun: list[JobId] = []
    runs.on_best_effort_run = begun.append
    for job, is_durable in ((FIRST, False), (SECOND, True)):
        run = choose_run_number(token=3, last=0, is_durable=is_durable)
        runs.add(TaskRef(job, 0, 0, 0), ActiveRun(run=run, upstream=UpstreamId("u1")))
    assert begun == [FIRST]
    assert runs.list_best_effort_jobs() == {FIRST}


def get_host(world: World) -> ControlHost:
    """Return the control host that leads and schedules."""
    leader = world.find_leader()
    assert leader is not None and leader.process is not None
    host = leader.process.control
    assert host is not None and host.leadership is not None
    return host


def test_the_next_leader_knows_which_jobs_the_last_one_has_begun() -> None:
    """Guards against a report that does not arrive, or is taken for one of another term."""

    async def scenario(world: World) -> None:
        await start_three(world)
        first = get_host(world)
        begin_job(first)
        await asyncio.sleep(REPORT_SECONDS)
        lost = world.find_leader()
        assert lost is not None
        world.kill(lost)
        await asyncio.sleep(SETTLING_SECONDS)
        second = get_host(world)
        assert second is not first and second.leadership is not None
        assert second.leadership.dispatch._term.begun_earlier == frozenset({FIRST})

    assert not play(1, scenario).failures


class RefusingPool:
    """Connections to a host of an earlier version, which refuses batches with a report."""

    def __init__(self, batches: list[ConsensusBatch]) -> None:
        self._batches = batches

    async def call(
        self, method: str, path: str, body: bytes, *, timeout: timedelta
    ) -> Result[HttpReply, TransportError]:
        batch = msgspec.json.decode(body, type=ConsensusBatch)
        self._batches.append(batch)
        status = 200 if batch.begun is None else 400
        answer = ConsensusBatch(sender=MemberId("c2/1"), messages=[])
        return Success(HttpReply(status=status, body=msgspec.json.encode(answer)))


class RefusingPools:
    def __init__(self) -> None:
        self.batches: list[ConsensusBatch] = []

    def get(self, address: Address) -> RefusingPool:
        return RefusingPool(self.batches)


def test_a_host_of_an_earlier_version_gets_the_log_without_reports() -> None:
    """Guards against a log that stands still during an upgrade, as each batch is refused."""

    async def scenario() -> list[ConsensusBatch]:
        pools = RefusingPools()
        messenger = Messenger(
            clock=build_clock(),
            pools=cast(ConnectionPools, pools),
            get_sender=lambda: (MemberId("10.0.1.1:7000/1"), Term(3)),
            on_reply=lambda batch: None,
            on_failure=raise_error,
        )
        reporter = BegunReporter(term=3, list_begun=lambda: [FIRST])
        messenger.build_report = lambda host: reporter.build_report(host, NOW)
        messenger.on_lost_report = lambda host, is_refused: reporter.handle_lost_report(
            host, is_refused=is_refused
        )
        request = AppendRequest(
            term=Term(3),
            sender=MemberId("10.0.1.1:7000/1"),
            previous_index=Index(1),
            previous_term=Term(2),
            commit=Index(1),
        )
        for _ in range(3):
            messenger.post(Envelope(to=MemberId("10.0.1.2:7000/1"), message=request))
            for _ in range(10):
                await asyncio.sleep(0)
        await messenger.stop()
        return pools.batches

    assert [batch.begun is None for batch in asyncio.run(scenario())] == [False, True, True]


async def start_three(world: World) -> list[Machine]:
    """Start three control hosts and wait until one of them leads."""
    machines = [
        world.add(f"c{number}", domain, f"10.0.1.{number}")
        for number, domain in enumerate(("north", "south", "east"), start=1)
    ]
    for machine in machines:
        world.start(machine, machines, may_begin=True)
    await asyncio.sleep(SETTLING_SECONDS)
    return machines


def begin_job(host: ControlHost) -> None:
    """Have a leader begin a best-effort job."""
    assert host.leadership is not None
    run = choose_run_number(token=host.leadership.token, last=0, is_durable=False)
    host.leadership.dispatch.active_runs.add(
        TaskRef(FIRST, 0, 0, 0), ActiveRun(run=run, upstream=UpstreamId("u1"))
    )


def may_be_begun(begun: frozenset[JobId] | None) -> bool:
    return begun is None or FIRST in begun


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_job_that_began_just_before_its_leader_was_lost_is_not_taken_for_new(seed: int) -> None:
    """Guards against a report that goes out only with the next message of the log, 70 ms later."""

    async def scenario(world: World) -> None:
        await start_three(world)
        await asyncio.sleep(0.013 * seed)
        begin_job(get_host(world))
        await asyncio.sleep(LOST_AFTER_SECONDS)
        lost = world.find_leader()
        assert lost is not None
        world.kill(lost)
        await asyncio.sleep(SETTLING_SECONDS)
        second = get_host(world)
        assert second.leadership is not None
        assert may_be_begun(second.leadership.dispatch._term.begun_earlier)

    assert not play(seed, scenario).failures


def test_a_host_that_the_leader_has_not_reached_for_long_does_not_know_what_has_begun() -> None:
    """Guards against a complete report that counts as complete for ever.

    The leader keeps its lease by the second host, and is not cut off from that one.
    """

    async def scenario(world: World) -> None:
        machines = await start_three(world)
        first = get_host(world)
        leading = world.find_leader()
        assert leading is not None and first.leadership is not None
        term = first.leadership.term
        away = next(each for each in machines if each is not leading)
        world.cut(leading, away)
        await asyncio.sleep(LOST_FOR_SECONDS)
        assert world.find_leader() is leading
        begin_job(first)
        await asyncio.sleep(REPORT_SECONDS)
        assert world.find_leader() is leading
        assert away.process is not None and away.process.control is not None
        replica = away.process.control.replica
        assert may_be_begun(replica.begun_jobs.find_begun(term, replica._clock.monotonic()))

    assert not play(1, scenario).failures


def test_a_leader_that_does_not_know_what_has_begun_reports_nothing_as_complete() -> None:
    """Guards against a third leader that takes what the second one knows for all that has begun.

    The second one has missed the reports of the first, and is lost before it has polled the
    upstream where that one's run goes on.
    """
    second, third = BegunJobs(), BegunJobs()
    first_reporter = BegunReporter(term=3, list_begun=lambda: [FIRST])
    report = first_reporter.build_report("c2", NOW)
    assert report is not None
    second.receive(report, NOW)
    assert may_be_begun(second.find_begun(3, NOW))
    second_reporter = BegunReporter(term=4, list_begun=lambda: None)
    report = second_reporter.build_report("c3", NOW + milliseconds(400))
    assert report is not None
    third.receive(report, NOW + milliseconds(400))
    assert may_be_begun(third.find_begun(4, NOW + milliseconds(400)))


def test_a_leader_that_leads_again_at_once_knows_no_more_than_before() -> None:
    """Guards against a leader without reports of the last one that begins a later term itself.

    What it knows of its own term does not contain the runs at upstreams that have not answered.
    """

    async def scenario(world: World) -> None:
        await start_three(world)
        host = get_host(world)
        assert host.leadership is not None
        # As after a leader of an earlier version, and before all upstreams have answered.
        host.leadership.dispatch._term.begun_earlier = None
        host.leadership.dispatch._reconciliation.is_reconciled = False
        term = host.leadership.term
        host.replica.start_new_term()
        await asyncio.sleep(REPORT_SECONDS)
        again = get_host(world)
        assert again is host and again.leadership is not None
        assert again.leadership.term > term
        assert again.leadership.dispatch._term.begun_earlier is None

    assert not play(1, scenario).failures
