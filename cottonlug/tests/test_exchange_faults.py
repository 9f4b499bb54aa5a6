"""Long random runs of one entry host and its upstreams over a network with losses and delays.

Dispatcher and executor are the real ones; only the network between them is simulated. The
guarantees are checked where they are observable: starts are counted at the upstreams.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

import pytest
from msgspec import Raw
from returns.result import Success

from ..core.execution import MAX_OPEN_REQUESTS, Executor
from ..core.ids import SubmissionId, TaskKey
from ..core.jobs import Job, build_answer
from ..core.messages import ExchangeReply, ExchangeRequest, JobAnswer
from ..core.states import JobState, ResultStatus
from .builders import HOST, build_dispatcher, build_executor, build_test_job

STEPS = 1_500
UPSTREAMS = 3
MAX_JOBS = 40


@dataclass(slots=True)
class Call:
    """One request and its reply, both possibly still in flight.

    `delivered`: the request has reached the host. `reply`: the host has sent it.
    """

    executor: Executor
    request: ExchangeRequest
    delivered: bool = False
    reply: ExchangeReply | None = None


class ExchangeScenario:
    """Random actions and faults of one entry host, its upstreams and the network between them.

    `starts` counts by submission and task how often an upstream really started it.
    """

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = timedelta()
        self.dispatcher = build_dispatcher()
        self.incarnations = 0
        self.executors = [build_executor(f"w{at}", "0") for at in range(UPSTREAMS)]
        self.calls: list[Call] = []
        self.starts: Counter[tuple[SubmissionId, int]] = Counter()
        self.jobs: dict[SubmissionId, Job] = {}
        self.answers: dict[SubmissionId, JobAnswer] = {}
        for executor in self.executors:
            executor.begin_session(executor.links[HOST])

    # Random actions and faults

    def submit(self) -> None:
        if len(self.jobs) >= MAX_JOBS:
            return
        id = self.dispatcher.store.mint(self.now)
        idempotent = self.chance.random() < 0.2
        count = 1 if idempotent else self.chance.randint(1, 12)
        deadline = self.chance.choice([2_000, 60_000])
        job = build_test_job(id, count, self.now, idempotent=idempotent, deadline_ms=deadline)
        assert isinstance(self.dispatcher.submit(job, None), Success)
        self.jobs[id] = job

    def resend(self) -> None:
        if not self.jobs:
            return
        job = self.chance.choice(list(self.jobs.values()))
        if job.spec.idempotent:
            return
        again = build_test_job(job.id, len(job.states), self.now)
        again.digest = job.digest
        assert isinstance(self.dispatcher.submit(again, None), Success)

    def cancel(self) -> None:
        active = [job for job in self.jobs.values() if not job.ended]
        if active:
            self.dispatcher.cancel(self.chance.choice(active), self.now)

    def send(self) -> None:
        executor = self.chance.choice(self.executors)
        link = executor.links[HOST]
        if link.open_requests < MAX_OPEN_REQUESTS:
            self.calls.append(Call(executor, executor.build_request(link)))

    def deliver_request(self) -> None:
        waiting = [call for call in self.calls if not call.delivered]
        if not waiting:
            return
        call = self.chance.choice(waiting)
        call.delivered = True
        refusal = self.dispatcher.exchange(call.request, self.now)
        if refusal is not None:
            self.break_call(call)
        self.dispatch()

    def deliver_reply(self) -> None:
        answered = [call for call in self.calls if call.reply is not None]
        if not answered:
            return
        call = self.chance.choice(answered)
        self.calls.remove(call)
        assert call.reply is not None
        link = call.executor.links[HOST]
        call.executor.handle_reply(link, call.request.session, call.reply, self.now)

    def break_connection(self) -> None:
        if self.calls:
            self.break_call(self.chance.choice(self.calls))

    def break_call(self, call: Call) -> None:
        """Let the upstream see a transport error; the host may see it, too, or never learn of it.

        Any other call of the session may still arrive at the host later, and its reply at the
        upstream, since the network may delay messages for any time.
        """
        self.calls.remove(call)
        executor = call.executor
        link = executor.links[HOST]
        if executor in self.executors and call.request.session == link.session:
            executor.begin_session(link)
        if call.delivered and call.reply is None and self.chance.random() < 0.5:
            request = call.request
            self.dispatcher.handle_disconnect(
                request.upstream, request.session, request.seq, self.now
            )
        if not call.delivered and self.chance.random() < 0.3:
            self.dispatcher.exchange(call.request, self.now)
            self.dispatch()

    def start_tasks(self) -> None:
        executor = self.chance.choice(self.executors)
        while (assignment := executor.start_next()) is not None:
            key = assignment.key
            self.starts[(key.submission, key.task)] += 1

    def finish_task(self) -> None:
        executor = self.chance.choice(self.executors)
        while executor.pending_stops:
            key = executor.pending_stops.popleft()
            if key in executor.running:
                executor.finish(key, ResultStatus.STOPPED, Raw(b"null"), 0, self.now)
        if not executor.running:
            return
        key = self.chance.choice(list(executor.running))
        succeeds = self.chance.random() < 0.97
        status = ResultStatus.SUCCEEDED if succeeds else ResultStatus.FAILED
        executor.finish(key, status, build_value(key), 1_000, self.now)

    def restart_upstream(self) -> None:
        at = self.chance.randrange(UPSTREAMS)
        self.incarnations += 1
        fresh = build_executor(f"w{at}", str(self.incarnations))
        fresh.begin_session(fresh.links[HOST])
        self.executors[at] = fresh

    def pass_time(self) -> None:
        self.now += timedelta(milliseconds=self.chance.choice([1, 20, 300, 5_000]))
        self.dispatcher.tick(self.now)
        self.dispatch()

    def dispatch(self) -> None:
        for delivery in self.dispatcher.dispatch(self.now):
            for call in self.calls:
                request = call.request
                same = (request.upstream, request.session, request.seq) == (
                    delivery.upstream,
                    delivery.session,
                    delivery.reply.seq,
                )
                if same and call.delivered and call.reply is None:
                    call.reply = delivery.reply
                    break

    # Invariants

    def check(self) -> None:
        for (id, task), count in self.starts.items():
            job = self.jobs[id]
            if not job.spec.idempotent:
                assert count <= 1, f"task {task} of {id} started {count} times"
        for job in self.dispatcher.pop_ended_jobs():
            assert job.id not in self.answers, "a job must not end twice"
            self.answers[job.id] = build_answer(job)
        for id, answer in self.answers.items():
            self.check_answer(self.jobs[id], answer)

    def check_answer(self, job: Job, answer: JobAnswer) -> None:
        assert build_answer(job) == answer, "an answer must not change"
        if answer.state is JobState.COMPLETE:
            expected = [build_value(TaskKey(job.id, at, 0)) for at in range(len(job.states))]
            assert answer.results is not None
            assert list(map(bytes, answer.results)) == list(map(bytes, expected))
            return
        assert answer.results is None and answer.failure is not None
        started = {task for id, task in self.starts if id == job.id}
        assert started <= set(answer.failure.may_have_run), "a task reported as not run was started"

    def run(self, steps: int) -> None:
        actions = [
            (self.submit, 3),
            (self.resend, 1),
            (self.cancel, 1),
            (self.send, 20),
            (self.deliver_request, 25),
            (self.deliver_reply, 25),
            (self.break_connection, 2),
            (self.start_tasks, 10),
            (self.finish_task, 15),
            (self.restart_upstream, 1),
            (self.pass_time, 3),
        ]
        choices = [action for action, weight in actions for _ in range(weight)]
        for _ in range(steps):
            self.chance.choice(choices)()
            self.check()

    def run_without_faults(self) -> None:
        """Check that without further faults every job ends."""
        fault_free_actions = [
            self.send,
            self.deliver_request,
            self.deliver_reply,
            self.start_tasks,
            self.finish_task,
        ]
        for _ in range(400):
            for action in fault_free_actions * 3:
                action()
            self.now += timedelta(seconds=1)
            self.dispatcher.tick(self.now)
            self.dispatch()
            self.check()
        assert all(job.ended for job in self.jobs.values())


def build_value(key: TaskKey) -> Raw:
    return Raw(f'"{key.submission}/{key.task}"'.encode())


@pytest.mark.parametrize("seed", range(40))
def test_no_task_runs_twice_unless_idempotent_and_every_job_ends(seed: int) -> None:
    scenario = ExchangeScenario(seed)
    scenario.run(STEPS)
    scenario.run_without_faults()
    assert scenario.answers, "a run without an answer proves nothing"


def test_random_runs_include_every_kind_of_job_end() -> None:
    ends: Counter[str] = Counter()
    returned = 0
    for seed in range(100, 115):
        scenario = ExchangeScenario(seed)
        scenario.run(STEPS)
        scenario.run_without_faults()
        returned += scenario.dispatcher.counters.returned_unstarted
        for answer in scenario.answers.values():
            ends[answer.failure.reason.value if answer.failure else "complete"] += 1
    assert {"complete", "task_failed", "task_unknown", "cancelled", "deadline"} <= set(ends)
    assert returned > 0, "no task whose reply was lost was returned to the queue"
