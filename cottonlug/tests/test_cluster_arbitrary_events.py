"""Answers and heartbeats that no order of this coordinator explains, in any order.

An upstream, or whatever answers at its address, may list runs of jobs, steps and tasks that do not
exist, repeat or skip numbers, and turn its clock back. Nothing of that may raise an exception: that
would end the term, and the next coordinator polls the same upstream.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from ..core.cluster.commands import (
    AcceptJob,
    CancelJob,
    Command,
    ForgetJobs,
    SetConfiguration,
    SetEvacuation,
)
from ..core.cluster.dispatch import Dispatch
from ..core.cluster.model import (
    Configuration,
    ConfigurationVersion,
    Heartbeat,
    JobId,
    JobSpec,
    Needs,
    OrderId,
    PollReply,
    RunEndKind,
    RunEndReport,
    RunNumber,
    RunReport,
    Service,
    StepSpec,
    TaskRef,
    UpstreamInfo,
)
from ..core.cluster.open_job import Submission
from ..core.cluster.orders import CallFailure, Order, PollOrder, StartOrder, StartOutcome
from ..core.cluster.records import JobRecord, Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import DomainName, UpstreamId
from .model_upstreams import (
    SERVICE,
    TERMS,
    ModelRun,
    build_info,
    build_queue,
    build_spec,
    milliseconds,
    start_site_leader,
)

JOBS = tuple(JobId(f"{number:016x}") for number in range(6))
NUMBERS = (-1, 0, 1, 2, 3, 7, 500, TOKENS_PER_TERM * 4_096, 1 << 52)
"""Numbers that may stand anywhere in an answer, valid or not."""


@dataclass(slots=True, kw_only=True)
class ArbitrarySite:
    """One coordinator after the other, with arbitrary answers to its orders."""

    chance: random.Random
    records: Records = field(default_factory=Records)
    now: timedelta = timedelta()
    pending: list[tuple[Order, timedelta]] = field(default_factory=list)
    proposed: list[Command] = field(default_factory=list)
    is_acting: bool = False
    terms: int = 0
    dispatch: Dispatch = field(init=False)

    def begin_term(self) -> None:
        """Replace the coordinator, by an acting leader or by a leader with the same records."""
        self.terms += 1
        self.is_acting = self.terms > 1 and self.chance.random() < 0.4
        known = Records()
        known.restore(self.records.encode())
        if self.is_acting:
            known.jobs = {}
        else:
            self.records = known
        self.proposed = []
        self.dispatch = Dispatch(
            records=known,
            token=self.terms * TOKENS_PER_TERM + int(self.is_acting),
            lease_terms=TERMS,
            now=self.now,
            wall_ms=lambda: int(self.now / milliseconds(1)),
            log_decision=lambda name, fields: None,
            on_job_end=lambda job: None,
            keeps_log=not self.is_acting,
        )
        self.dispatch.may_have_acting_leader = lambda: self.chance.random() < 0.5

    def pick(self, *choices: Any) -> Any:
        return self.chance.choice(choices)

    def build_upstream(self) -> UpstreamInfo:
        number = self.chance.randrange(1, 6)
        info = build_info(f"u{number}", domain=self.pick("d0", "d1"))
        id = UpstreamId(self.pick(f"u{number}", f"u{number}#{self.chance.randrange(1, 9)}"))
        labels = self.pick((), ("a", f"r{number // 3}"), ("b", "r0"))
        return msgspec.structs.replace(info, id=id, labels=labels, kind=self.pick("", "a", "b"))

    def build_ref(self) -> TaskRef:
        """Return a task of a job that may be open; about half of them exist."""
        number = abs(self.pick(0, 0, 0, 1, 2, self.pick(*NUMBERS)))
        job = JobId(self.pick(*JOBS, "f" * 16))
        return TaskRef(job, self.pick(0, 0, number), number, self.pick(0, number))

    def build_run(self) -> RunNumber:
        known = self.dispatch.active_runs.find_latest(self.build_ref())
        if known is not None and self.chance.random() < 0.5:
            return known.run
        return RunNumber(self.pick(*NUMBERS))

    def build_reply(self, upstream: UpstreamId) -> PollReply:
        """Return a list of some known runs, as active or ended, and of others."""
        instance = self.dispatch.instances.get(upstream)
        known = list(instance.runs) if instance is not None else []
        runs = [each for each in known if self.chance.random() < 0.6]
        runs += [(self.build_ref(), self.build_run()) for _ in range(self.pick(0, 0, 1, 3))]
        running: list[RunReport] = []
        ended: list[RunEndReport] = []
        for ref, run in runs:
            if self.chance.random() < 0.5:
                percent = self.pick(0, 50, 100, self.pick(*NUMBERS))
                running.append(RunReport(task=ref, run=run, percent=percent))
                continue
            through = instance.proposed_through if instance is not None else 0
            number = self.pick(through + 1 + len(ended), self.pick(*NUMBERS))
            how = self.pick(*RunEndKind)
            ended.append(RunEndReport(number=number, task=ref, run=run, how=how))
        clock_ms = self.pick(int(self.now / milliseconds(1)), self.pick(*NUMBERS))
        return PollReply(clock_ms=clock_ms, running=tuple(running), ended=tuple(ended))

    # Events

    def answer(self) -> None:
        """Answer one of the pending orders, or one that was answered before."""
        if not self.pending:
            return
        number = self.chance.randrange(len(self.pending))
        order, sent_at = self.pending[number]
        if self.chance.random() < 0.95:
            del self.pending[number]
        if isinstance(order, StartOrder):
            outcome = self.pick(StartOutcome.STARTED, StartOutcome.STARTED, *StartOutcome)
            clock_ms = self.pick(None, *NUMBERS)
            self.dispatch.handle_start_answer(order, outcome, clock_ms, self.now)
        elif isinstance(order, PollOrder):
            lists = [self.build_reply(order.upstream.id) for _ in range(6)]
            reply = self.pick(*lists, *CallFailure)
            self.dispatch.handle_poll_answer(order, reply, sent_at, self.now)
        else:
            self.dispatch.handle_stop_answer(order, self.pick(None, None, *CallFailure), self.now)

    def send_heartbeat(self) -> None:
        if self.is_acting:
            return
        info = self.build_upstream()
        sequence = self.chance.randrange(9)
        if self.chance.random() < 0.2:
            self.dispatch.handle_reported_heartbeat(
                info.id, sequence, self.pick(None, 0, 1 << 52), self.now
            )
            return
        heartbeat = Heartbeat(
            info=info,
            sequence=sequence,
            draining=self.chance.random() < 0.1,
            clock_ms=self.pick(None, 0, 1 << 52, int(self.now / milliseconds(1))),
            cold_left_ms=self.pick(0, 900),
        )
        self.dispatch.handle_heartbeat(heartbeat, self.now)

    def leave(self) -> None:
        self.dispatch.handle_leave(self.build_upstream().id)

    def listen(self) -> None:
        self.dispatch.set_listening(self.build_upstream().id, self.chance.random() < 0.5)

    def build_spec(self, *, best_effort: bool) -> JobSpec:
        count = self.pick(1, 2, 3)
        steps = tuple(
            StepSpec(
                count=self.pick(1, 2, 3),
                needs=Needs(cpu_millis=self.pick(0, 5_000)),
                estimate_ms=self.pick(0, 60, 3_000),
                depends_on=tuple(each for each in range(number) if self.chance.random() < 0.5),
                max_per_upstream=self.pick(0, 0, 1),
                data_rack=self.pick("", "r0"),
            )
            for number in range(count)
        )
        return JobSpec(
            payload="payload",
            steps=steps,
            best_effort=best_effort,
            long_running=self.chance.random() < 0.1,
            repeat_count=self.pick(0, 0, 0, 3),
            start_at_ms=int(self.now / milliseconds(1)),
            interval_ms=self.pick(0, 500),
        )

    def submit(self) -> None:
        job, queue = self.pick(*JOBS), build_queue(max_attempts=self.pick(1, 3))
        best_effort = self.is_acting or self.chance.random() < 0.5
        spec = self.build_spec(best_effort=best_effort)
        if not best_effort:
            self.commit(AcceptJob(job=job, queue=queue, spec=spec, at_ms=0))
            return
        submission = Submission(
            gateway=self.pick("", "g1", "g2"),
            may_have_begun=self.chance.random() < 0.5,
            may_be_of_acting_leader=self.chance.random() < 0.3,
            reconcile_after=timedelta(seconds=self.pick(0, 1.5)),
        )
        if self.dispatch.jobs.is_open(job):
            self.dispatch.merge_submission(job, submission, self.now)
        elif job not in self.records.jobs or self.is_acting:
            self.dispatch.find_rejection(queue, spec, timedelta(), self.now)
            record = JobRecord(id=job, queue=queue, spec=spec, accepted_ms=0)
            self.dispatch.submit(record, submission, self.now)

    def end_job(self) -> None:
        job = self.pick(*JOBS)
        if self.is_acting or self.chance.random() < 0.3:
            self.dispatch.cancel(job, self.now)
        elif self.chance.random() < 0.5:
            self.commit(CancelJob(job=job, at_ms=0))
        else:
            self.dispatch.abandon(job, self.pick("", "g1", "g2"), self.now)

    def lose_gateway(self) -> None:
        self.dispatch.abandon_silent_gateways(lambda each: self.chance.random() < 0.5, self.now)

    def operate(self) -> None:
        """Change the configuration, evacuate a domain or forget ended jobs."""
        if self.is_acting:
            return
        ended = tuple(each.id for each in self.records.jobs.values() if not each.is_open)
        configuration = Configuration(
            version=ConfigurationVersion(self.terms),
            queues=(),
            services=(Service(name=SERVICE, rejects_overload=self.chance.random() < 0.5),),
            max_body_bytes=1_000,
            document="{}",
        )
        domain = DomainName(self.pick("d0", "d1"))
        evacuation = SetEvacuation(
            domain=domain,
            is_evacuated=self.chance.random() < 0.5,
            base_revision=self.records.evacuations.get(domain).revision,
            order=OrderId(f"{self.chance.random()}"),
            at_ms=0,
        )
        self.commit(
            self.pick(SetConfiguration(configuration=configuration), evacuation, ForgetJobs(ended))
        )

    def commit(self, command: Command) -> None:
        self.dispatch._term.records.apply(command)
        self.dispatch.handle_applied_command(command, self.now)

    def decide(self) -> None:
        """Decide, with more or less delay, and commit what was proposed, if not all of it."""
        self.now += timedelta(seconds=self.pick(0.01, 0.02, 0.1, 0.3, self.pick(1.0, 12.0, 70.0)))
        self.dispatch.tick(self.now)
        self.pending += [(order, self.now) for order in self.dispatch.pop_orders()]
        self.pending = self.pending[-100:]
        self.proposed += self.dispatch.pop_proposals()
        for command in self.proposed[: self.chance.randrange(1, 9)]:
            self.proposed.pop(0)
            self.commit(command)


def play_arbitrary_events(seed: int, count: int = 1_500) -> None:
    """Play that many events in an order of the seed."""
    site = ArbitrarySite(chance=random.Random(seed))
    site.begin_term()
    events: list[tuple[Callable[[], None], int]] = [
        (site.answer, 40),
        (site.decide, 30),
        (site.send_heartbeat, 15),
        (site.submit, 10),
        (site.end_job, 3),
        (site.leave, 1),
        (site.listen, 1),
        (site.lose_gateway, 1),
        (site.operate, 1),
        (site.begin_term, 1),
    ]
    acts, weights = zip(*events, strict=True)
    for act in site.chance.choices(acts, weights, k=count):
        act()


@pytest.mark.parametrize("seed", range(20))
def test_no_order_of_answers_raises_an_exception(seed: int) -> None:
    """Guards against a look-up that takes for granted what an upstream answers, and when."""
    play_arbitrary_events(seed)


@pytest.mark.parametrize("durable", [False, True])
def test_a_run_of_a_task_that_its_job_does_not_have_is_stopped_and_does_not_count(
    durable: bool,
) -> None:
    """Guards against a job that is complete by ends of tasks that it does not have."""
    leader = start_site_leader([build_info("u1")], seed=1, run_ms=60_000)
    upstream = leader.upstreams[UpstreamId("u1")]
    job = JobId("a" * 16)
    leader.submit(job, build_spec(tasks=2, durable=durable), build_queue(target_ms=60_000))
    leader.world.run_until(milliseconds(300))
    assert {run.ref.step for run in upstream.runs.values()} == {0}
    foreign = [TaskRef(job, 0, 7, 0), TaskRef(job, 0, 0, 2), TaskRef(job, 1, 0, 0)]
    for ref in foreign:
        upstream.runs[ref] = ModelRun(
            ref=ref,
            run=RunNumber(1),
            needs=Needs(),
            began_at=leader.world.now,
            ends_at=leader.world.now + timedelta(minutes=1),
            how=RunEndKind.DONE,
        )
    leader.world.run_until(milliseconds(700))
    assert not set(foreign) & set(upstream.runs)
    for ref in foreign:
        upstream.last_end_number += 1
        upstream.ended.append(
            RunEndReport(
                number=upstream.last_end_number, task=ref, run=RunNumber(1), how=RunEndKind.DONE
            )
        )
    leader.world.run_until(milliseconds(1_200))
    assert leader.dispatch.jobs.is_open(job)
    assert leader.dispatch.jobs.jobs[job].record.done_count == 0
