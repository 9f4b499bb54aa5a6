"""A caller sends its best-effort job again to another gateway, while a leader begins its term.

The new leader does not know what the one before has started, at upstreams that it has not polled.
Nor does the second gateway, whose submission says that no try of it has begun. The first gateway
may still wait for the job: it has read the request late, the connection broke on the caller's side
only, or the caller does not wait as long as expected before it sends the job again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta

import msgspec
import pytest

from ..core.clock import ManualClock
from ..core.cluster.calls import Answer, Submit
from ..core.cluster.instances import choose_lease_terms
from ..core.cluster.model import JobId, PollReply, RunNumber, RunReport, TaskRef
from ..core.cluster.orders import CallFailure, OnAnswer, Order, PollOrder, StartOrder, StartOutcome
from ..core.cluster.records import UpstreamRecord
from ..core.cluster.run_numbers import choose_run_number
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.gateway_registry import GATEWAY_TIMEOUT
from ..runtime.leadership import Leadership, LeadershipSettings
from ..runtime.replicated import ReplicatedRecords
from .gateway_builders import (
    JOB,
    IdlePort,
    build_clock,
    build_failover_state,
    build_keepalive,
    build_submit,
    raise_error,
)
from .model_upstreams import build_info, build_spec, milliseconds
from .test_cluster_contact import CALLER_RETRY
from .test_cluster_waiting import LogLeaderAuthority

GATEWAY = "10.0.0.3:7000"
LATE = UpstreamId("u2")
"""The upstream whose first answer is late, and where the task runs."""
TASK = TaskRef(JobId(JOB), 0, 0, 0)
EARLIER_RUN = choose_run_number(
    token=(LogLeaderAuthority.term - 1) * TOKENS_PER_TERM, last=0, is_durable=False
)
TERMS = choose_lease_terms(timedelta(seconds=1), CALLER_RETRY, GATEWAY_TIMEOUT)


class LatePort(IdlePort):
    """Two upstreams, one of which answers no poll until `answers` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.starts: list[StartOrder] = []
        self.answers = asyncio.Event()
        self.listed: tuple[RunReport, ...] = ()

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        return False

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        self.starts.append(order)
        return await super().start(order, token)

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        if order.upstream.id != LATE:
            return await super().poll(order, token)
        await self.answers.wait()
        return PollReply(clock_ms=1_000, running=self.listed, ended=())


class NewLeader:
    """A leader whose term has just begun, and which has contact with a gateway."""

    def __init__(self, begun_earlier: frozenset[JobId] | None) -> None:
        self.port = LatePort()
        self.clock: ManualClock = build_clock()
        replicated = ReplicatedRecords()
        replicated.records.activate_configuration(build_failover_state().configuration)
        for name in ("u1", str(LATE)):
            info = build_info(name)
            replicated.records.upstreams[info.id] = UpstreamRecord(info=info)
        self.leadership = Leadership(
            authority=LogLeaderAuthority(),
            replicated=replicated,
            port=self.port,
            clock=self.clock,
            on_failure=raise_error,
            settings=LeadershipSettings(
                lease_terms=TERMS,
                keep_ended=timedelta(),
                caller_retry=CALLER_RETRY,
                control_address=None,
                begun_earlier=begun_earlier,
            ),
        )

    async def submit(self) -> asyncio.Task[Answer]:
        """Submit the job from a gateway that knows of no earlier try."""
        call: Submit = msgspec.structs.replace(
            build_submit(),
            spec=build_spec(tasks=1, run_ms=2_500),
            gateway=GATEWAY,
            contact=self.leadership.gateways.build_contact(),
        )
        waiting = asyncio.create_task(self.leadership.answer(call))
        await self.let_pass(timedelta())
        return waiting

    async def let_pass(self, span: timedelta) -> None:
        """Let time pass, in which the gateway sends keep-alives."""
        end = self.clock.monotonic() + span
        while True:
            contact = self.leadership.gateways.build_contact()
            keepalive = msgspec.structs.replace(build_keepalive(GATEWAY), contact=contact)
            self.leadership.gateways.handle_keepalive(keepalive)
            for _ in range(5):
                self.leadership._decide()
                await asyncio.sleep(0)
            if self.clock.monotonic() >= end:
                return
            self.clock.advance(min(milliseconds(20), end - self.clock.monotonic()))


def play(
    script: Callable[[NewLeader], Coroutine[None, None, None]],
    begun_earlier: frozenset[JobId] | None = None,
) -> None:
    """Run a script with a new leader to which the last one has reported jobs, or nothing."""

    async def play_whole() -> None:
        leader = NewLeader(begun_earlier)
        await leader.let_pass(milliseconds(20))
        await script(leader)
        leader.leadership.stop()

    asyncio.run(play_whole())


@pytest.mark.parametrize("begun_earlier", [None, frozenset({JobId(JOB)})])
def test_a_job_sent_again_does_not_start_beside_its_run_at_an_unpolled_upstream(
    begun_earlier: frozenset[JobId] | None,
) -> None:
    """Guards against two runs of a task at once, after a change of leader.

    The new leader started the job at once, since it took for granted that runs of an earlier try
    had ended by the time at which its caller sends it again.
    """

    async def script(leader: NewLeader) -> None:
        waiting = await leader.submit()
        await leader.let_pass(milliseconds(100))
        assert not leader.port.starts
        leader.port.listed = (RunReport(task=TASK, run=RunNumber(EARLIER_RUN), percent=10),)
        leader.port.answers.set()
        await leader.let_pass(milliseconds(100))
        assert not leader.port.starts
        assert leader.leadership.dispatch.jobs.is_open(JobId(JOB))
        waiting.cancel()

    play(script, begun_earlier)


def test_a_job_that_the_last_leader_had_not_begun_starts_at_once() -> None:
    """Guards against jobs that wait for a second after each change of leader."""

    async def script(leader: NewLeader) -> None:
        waiting = await leader.submit()
        await leader.let_pass(milliseconds(40))
        assert len(leader.port.starts) == 1
        waiting.cancel()

    play(script, frozenset())


def test_a_job_sent_again_starts_once_all_upstreams_are_polled() -> None:
    """Guards against a wait for leases that is longer than the answers of the upstreams."""

    async def script(leader: NewLeader) -> None:
        waiting = await leader.submit()
        leader.port.answers.set()
        await leader.let_pass(milliseconds(40))
        assert len(leader.port.starts) == 1
        waiting.cancel()

    play(script)


def test_a_job_sent_again_waits_no_longer_than_the_leases_of_earlier_leaders() -> None:
    """Guards against a job that waits for an unreachable upstream where nothing can run."""

    async def script(leader: NewLeader) -> None:
        waiting = await leader.submit()
        await leader.let_pass(TERMS.lapse_after + milliseconds(20))
        assert len(leader.port.starts) == 1
        waiting.cancel()

    play(script)


@pytest.mark.parametrize("begun_earlier", [None, frozenset({JobId(JOB)})])
def test_a_new_leader_passes_on_what_it_was_told_until_all_upstreams_are_polled(
    begun_earlier: frozenset[JobId] | None,
) -> None:
    """Guards against a third leader that takes jobs of the first one for new."""

    async def script(leader: NewLeader) -> None:
        assert leader.leadership.dispatch.list_begun() == begun_earlier
        leader.port.answers.set()
        await leader.let_pass(milliseconds(40))
        assert leader.leadership.dispatch.list_begun() == frozenset()

    play(script, begun_earlier)
