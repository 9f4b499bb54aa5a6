"""Jobs that arrive at a leader faster than it has processor time to take them.

Load pattern: a press of short jobs for some seconds, at 1.3 times of what the leader can take, and
the jobs of a second without a leader that arrive together. No network: the leader's job channels
get the jobs, and each job that is taken moves the clock by the processor time of its starts.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import msgspec

from ..core.cluster.arrivals import MAX_TAKEN_ENTRIES, Arrivals
from ..core.cluster.batches import JobBatch, NumberedJob
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..core.cluster.forecast import WaitLimits
from ..runtime.job_channel_server import JobChannelServer
from .gateway_builders import build_submit
from .model_upstreams import milliseconds

PROCESSOR_TIME_PER_START = timedelta(microseconds=560)
PROCESSOR_TIME_PER_JOB = timedelta(microseconds=280)
CAPACITY_JOBS_PER_SECOND = 440
"""What the processor times above allow, with the mix of kinds below."""
WAY_AFTER_START = timedelta(milliseconds=20)
"""From the moment at which a job is taken to its first run, on a busy leader."""
USEFUL_FACTOR = 3
LONGEST_TURN = timedelta(milliseconds=50)
"""A turn of the event loop may not take longer: gateways leave a leader whose answers are late."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of job, by its tasks, their run time and the objective of its queue."""

    name: str
    share: float
    tasks: int
    run_time: timedelta
    objective: timedelta

    @property
    def wait_in_time(self) -> timedelta:
        return self.objective - self.run_time

    @property
    def wait_useful(self) -> timedelta:
        return self.objective * USEFUL_FACTOR - self.run_time


def build_kind(name: str, share: float, tasks: int, run_ms: float) -> Kind:
    run_time = timedelta(milliseconds=run_ms)
    objective = run_time * 1.6 + timedelta(milliseconds=64)
    return Kind(name=name, share=share, tasks=tasks, run_time=run_time, objective=objective)


KINDS = {
    kind.name: kind
    for kind in (
        build_kind("short", 0.244, 8, 60),
        build_kind("long", 0.044, 4, 900),
        build_kind("middle", 0.712, 2, 200),
    )
}


@dataclass(slots=True, kw_only=True)
class SimulatedClock:
    time: timedelta = timedelta()

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.time

    def monotonic(self) -> timedelta:
        return self.time


@dataclass(slots=True, kw_only=True)
class Leader:
    """A leader that takes jobs, and how long each of them has waited since its caller sent it."""

    clock: SimulatedClock
    sent_at: dict[str, timedelta]
    waits: dict[str, timedelta] = field(default_factory=dict)
    reported_waits: dict[str, timedelta] = field(default_factory=dict)

    async def answer(self, call: Call) -> Answer:
        assert isinstance(call, Submit)
        self.waits[call.path] = self.clock.time - self.sent_at[call.path]
        self.reported_waits[call.path] = timedelta(milliseconds=call.waited_ms)
        if self.waits[call.path] <= find_kind(call).wait_useful:
            self.clock.time += PROCESSOR_TIME_PER_START * find_kind(call).tasks
        self.clock.time += PROCESSOR_TIME_PER_JOB
        return Answer(outcome=Outcome.DONE)


def find_kind(call: Submit) -> Kind:
    return KINDS[call.path.split("/")[1]]


def build_server(leader: Leader) -> JobChannelServer:
    return JobChannelServer(
        answer=leader.answer,
        clock=leader.clock,
        find_limits=lambda call: WaitLimits(
            in_time=find_kind(call).wait_in_time, useful=find_kind(call).wait_useful
        ),
    )


def draw_jobs(
    rate: Callable[[float], float], seconds: float, seed: int
) -> list[tuple[timedelta, Submit]]:
    """Return jobs with the times at which their callers send them, `rate` of them a second."""
    chance = random.Random(seed)
    jobs: list[tuple[timedelta, Submit]] = []
    at = chance.expovariate(rate(0))
    while at < seconds:
        kind = chance.choices(list(KINDS), [each.share for each in KINDS.values()])[0]
        submit = msgspec.structs.replace(build_submit(), path=f"/{kind}/{len(jobs):016x}")
        jobs.append((timedelta(seconds=at), submit))
        at += chance.expovariate(rate(at))
    return jobs


async def play(
    jobs: list[tuple[timedelta, Submit]], arrive_at: Callable[[timedelta], timedelta]
) -> Leader:
    """Send jobs to a leader; return how long each of them has waited until it was taken."""
    clock = SimulatedClock()
    leader = Leader(clock=clock, sent_at={submit.path: at for at, submit in jobs})
    server = build_server(leader)
    coming = [(arrive_at(at), at, submit) for at, submit in jobs]
    coming.reverse()
    number = 0
    while len(leader.waits) < len(jobs):
        arrived: list[NumberedJob] = []
        while coming and coming[-1][0] <= clock.time:
            _, at, submit = coming.pop()
            number += 1
            waited_ms = int((clock.time - at) / timedelta(milliseconds=1))
            stamped = msgspec.structs.replace(submit, waited_ms=waited_ms)
            arrived.append(NumberedJob(number=number, submit=stamped))
        if arrived:
            server.receive(JobBatch(caller="gateway", channel=1, jobs=tuple(arrived)))
        before = clock.time
        await asyncio.sleep(0)
        assert clock.time - before <= LONGEST_TURN, "keep-alives wait for a turn of the loop"
        if clock.time == before and coming:
            clock.time += timedelta(milliseconds=1)
    return leader


def arrive_at_once(at: timedelta) -> timedelta:
    return at


def measure_in_time(
    jobs: list[tuple[timedelta, Submit]], leader: Leader, kind: str | None = None
) -> dict[int, float]:
    """Return for each second the share of its callers whose jobs began in time."""
    in_time: dict[int, list[bool]] = defaultdict(list)
    for at, submit in jobs:
        if kind is None or find_kind(submit).name == kind:
            wait = leader.waits[submit.path] + WAY_AFTER_START
            in_time[int(at.total_seconds())].append(wait <= find_kind(submit).wait_in_time)
    return {second: sum(each) / len(each) for second, each in in_time.items()}


def play_press(seed: int) -> tuple[list[tuple[timedelta, Submit]], Leader]:
    """Play a press of 1.3 times the capacity from 1 to 5 s, and 0.8 times before and after it."""
    jobs = draw_jobs(
        lambda at: CAPACITY_JOBS_PER_SECOND * (1.3 if 1 < at < 5 else 0.8), seconds=8, seed=seed
    )
    return jobs, asyncio.run(play(jobs, arrive_at_once))


def test_a_leader_without_processor_time_for_all_serves_what_it_can_in_time() -> None:
    """Guards against all callers being late in a press, for seconds after it as well.

    The most urgent job was taken first, which is the oldest one: each was taken when it was late.
    """
    for seed in range(3):
        jobs, leader = play_press(seed)
        shares = measure_in_time(jobs, leader)
        assert all(shares[second] >= 0.9 / 1.3 for second in range(1, 5)), shares
        assert all(shares[second] >= 0.95 for second in (0, 6, 7)), shares


def test_no_kind_of_job_is_put_behind_the_others_in_a_press() -> None:
    """Guards against serving the other kinds at the cost of the worst one."""
    jobs, leader = play_press(7)
    for kind in KINDS:
        shares = measure_in_time(jobs, leader, kind)
        assert sum(shares[second] for second in range(1, 5)) / 4 >= 0.8 / 1.3, (kind, shares)


def test_jobs_of_a_second_without_a_leader_do_not_delay_those_that_come_after() -> None:
    """Guards against seconds of late jobs after a change of leader."""
    jobs = draw_jobs(lambda at: CAPACITY_JOBS_PER_SECOND * 0.85, seconds=5, seed=3)
    leader_at = timedelta(seconds=1.9)
    is_lost_at = timedelta(seconds=1.1)
    leader = asyncio.run(play(jobs, lambda at: leader_at if is_lost_at <= at < leader_at else at))
    shares = measure_in_time(jobs, leader)
    assert all(shares[second] >= 0.9 for second in (0, 2, 3, 4)), shares


def test_the_time_in_which_a_job_lay_at_the_leader_counts_towards_its_objective() -> None:
    """Guards against late jobs that count as new, and take the place of others a second time."""
    _, leader = play_press(1)
    for path, wait in leader.waits.items():
        assert abs(leader.reported_waits[path] - wait) <= LONGEST_TURN, path


def test_arrivals_take_bounded_memory_under_overload_that_lasts() -> None:
    """Guards against jobs that are kept after they were taken, as newer ones always come first.

    For a third of the arrivals there is no time, until they are of no more use.
    """
    arrivals: Arrivals[int] = Arrivals()
    limits = WaitLimits(in_time=milliseconds(100), useful=milliseconds(400))
    now = timedelta()
    most_waiting = most_entries = 0
    for number in range(20_000):
        now += milliseconds(1)
        arrivals.add(number, waited=timedelta(), limits=limits, now=now)
        has_time = number % 3 > 0
        while has_time and (taken := arrivals.pop(now)) is not None:
            has_time = taken.latest_useful_start < now
        most_waiting = max(most_waiting, len(arrivals))
        most_entries = max(most_entries, arrivals.count_entries())
    assert most_waiting <= 400
    assert most_entries <= 3 * (2 * most_waiting + MAX_TAKEN_ENTRIES)


def test_jobs_that_only_have_to_be_stored_are_taken_first_and_in_their_order() -> None:
    """Guards against durable jobs that are never accepted, as newer ones always come first."""
    arrivals: Arrivals[str] = Arrivals()
    in_time = WaitLimits(in_time=milliseconds(100), useful=milliseconds(400))
    stored = WaitLimits(in_time=milliseconds(100), useful=None)
    for name, limits in (("a", in_time), ("b", stored), ("c", in_time), ("d", stored)):
        arrivals.add(name, waited=timedelta(), limits=limits, now=timedelta())
    now = timedelta(hours=1)
    arrivals.add("e", waited=timedelta(), limits=in_time, now=now)
    taken = [arrivals.pop(now) for _ in range(6)]
    assert [each.job for each in taken if each is not None] == ["b", "d", "a", "c", "e"]
    assert taken[-1] is None
