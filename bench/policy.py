"""Dispatch policy on seeded workloads: the real core logic with a simulated clock and network.

Simulates one failure domain: 3 entry hosts, 8 upstreams of 8 slots, 0.5 ms of network delay one
way. Each variant changes one mechanism of the policy or of the delays; the naive one has all
mechanisms off. Writes bench/results/policy.json, unless variants are named as arguments.
"""

from __future__ import annotations

import heapq
import json
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import count
from pathlib import Path

from msgspec import Raw
from returns.result import Success

from cottonlug.core.clock import milliseconds
from cottonlug.core.dispatcher import Dispatcher
from cottonlug.core.execution import Assignment, Delays, Executor, Link
from cottonlug.core.ids import (
    DomainName,
    Generation,
    HostId,
    Incarnation,
    KindName,
    SubmissionId,
    TaskKey,
    TeamName,
    UpstreamId,
)
from cottonlug.core.intake import build_job
from cottonlug.core.jobs import Job
from cottonlug.core.limits import Limits
from cottonlug.core.messages import Announcement, ExchangeRequest, SubmitRequest
from cottonlug.core.policy import PlacementOrder, Policy
from cottonlug.core.retries import RetryBudget
from cottonlug.core.states import JobState, ResultStatus
from cottonlug.core.submissions import SubmissionStore

HOSTS = 3
UPSTREAMS = 8
SLOTS = 8
ONE_WAY_DELAY = milliseconds(0.5)
DURATION = timedelta(seconds=30)
LOAD_SHARE = 0.6
"""Share of all slots that the submitted work takes on average."""
SEEDS = 5
SCAN_INTERVAL = milliseconds(250)
TEAMS = 6
BURST_AT = timedelta(seconds=10)
"""Time of the burst, and of the kill of an upstream."""
BURST_SECONDS = 2.0


DELAYS = Delays()
NO_DELAYS = Delays(prefetch=0, coalesce=timedelta(), hold=timedelta())


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """A dispatch policy and the delays of upstreams' requests."""

    policy: Policy = field(default_factory=Policy)
    delays: Delays = DELAYS


NAIVE = Policy(placement=PlacementOrder.FIRST, work_factor=0.0, fair_teams=False, guards=False)
VARIANTS = {
    "ours": Variant(),
    "naive": Variant(policy=NAIVE, delays=NO_DELAYS),
    "first in, first out": Variant(policy=Policy(work_factor=0.0)),
    "short work counts 4 times": Variant(policy=Policy(work_factor=4.0)),
    "one queue for all teams": Variant(policy=Policy(fair_teams=False)),
    "no guards": Variant(policy=Policy(guards=False)),
    "first free upstream": Variant(policy=Policy(placement=PlacementOrder.FIRST)),
    "no prefetch": Variant(delays=replace(DELAYS, prefetch=0)),
    "prefetch 1": Variant(delays=replace(DELAYS, prefetch=1)),
    "prefetch 4": Variant(delays=replace(DELAYS, prefetch=4)),
    "no coalescing": Variant(delays=replace(DELAYS, coalesce=timedelta())),
    "no hold": Variant(delays=replace(DELAYS, hold=timedelta())),
    "hold 20 ms": Variant(delays=replace(DELAYS, hold=timedelta(milliseconds=20))),
    "fullest upstream first": Variant(policy=Policy(placement=PlacementOrder.FULLEST)),
    "hold 150 ms": Variant(delays=replace(DELAYS, hold=timedelta(milliseconds=150))),
}
FAULTS = ("healthy", "black hole", "grey", "killed", "burst")


@dataclass(slots=True)
class Submission:
    """One job of the workload, with its submission time and run times."""

    at: timedelta
    team: str
    run_times: list[timedelta]
    job: Job | None = None


class Run:
    """Simulation of one seed with one variant and one fault."""

    def __init__(self, seed: int, variant: Variant, fault: str) -> None:
        self.now = timedelta()
        self.variant = variant
        self.fault = fault
        self.chance = random.Random(seed)
        self.events: list[tuple[timedelta, int, Callable[[], None]]] = []
        self.order = count()
        self.hosts = {HostId(f"e{at}"): self.build_host(HostId(f"e{at}")) for at in range(HOSTS)}
        self.executors = [self.build_executor(at) for at in range(UPSTREAMS)]
        self.dead: set[UpstreamId] = set()
        self.run_times: dict[tuple[SubmissionId, int], timedelta] = {}
        self.submissions = build_workload(self.chance, fault)
        for submission in self.submissions:
            self.schedule(submission.at, lambda each=submission: self.submit(each))
        for executor in self.executors:
            for link in executor.links.values():
                executor.begin_session(link)
                self.send_if_due(executor, link)
        self.schedule(SCAN_INTERVAL, self.scan_hosts)
        if fault == "killed":
            self.schedule(BURST_AT, lambda: self.dead.add(self.executors[0].upstream))

    def build_host(self, host: HostId) -> Dispatcher:
        numbers = count(1)
        store = SubmissionStore(
            domain=DomainName("d"),
            host=host,
            generation=Generation("00000001"),
            started_at=timedelta(),
            id_lifetime=timedelta(hours=1),
            retention=timedelta(hours=1),
            random_hex=lambda size: f"{next(numbers):0{2 * size}x}",
        )
        budget = RetryBudget(ratio=0.1, burst=10)
        return Dispatcher(
            store=store, limits=Limits(), retry_budget=budget, policy=self.variant.policy
        )

    def build_executor(self, at: int) -> Executor:
        return Executor(
            upstream=UpstreamId(f"w{at}"),
            incarnation=Incarnation("0"),
            announcement=Announcement(slots=SLOTS, processors=32.0, memory_mb=65_536),
            hosts=self.hosts,
            delays=self.variant.delays,
        )

    def schedule(self, at: timedelta, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), action))

    def run(self) -> None:
        limit = DURATION + timedelta(seconds=90)
        while self.events and self.now < limit:
            self.now, _, action = heapq.heappop(self.events)
            action()
            if self.now > DURATION and all(s.job and s.job.ended for s in self.submissions):
                return

    # Callers

    def submit(self, submission: Submission) -> None:
        name = self.chance.choice(list(self.hosts))
        host = self.hosts[name]
        request = SubmitRequest(
            team=TeamName(submission.team),
            kind=KindName("k"),
            tasks=[Raw(b"1")] * len(submission.run_times),
            deadline_ms=60_000,
        )
        id = host.store.mint(self.now)
        job = build_job(id=id, request=request, rule=None, idempotent=False, now=self.now).unwrap()
        submission.job = job
        for task, run_time in enumerate(submission.run_times):
            self.run_times[(id, task)] = run_time
        assert isinstance(host.submit(job, None), Success)
        self.dispatch(host)

    # Network

    def dispatch(self, host: Dispatcher) -> None:
        for delivery in host.dispatch(self.now):
            executor = self.executors[int(delivery.upstream[1:])]
            link = executor.links[host.store.host]

            def arrive(
                executor: Executor = executor, link: Link = link, delivery: object = delivery
            ) -> None:
                if executor.upstream in self.dead:
                    return
                executor.handle_reply(link, delivery.session, delivery.reply, self.now)  # type: ignore[attr-defined]
                self.start_tasks(executor)
                self.stop_tasks(executor)
                self.send_if_due(executor, link)

            self.schedule(self.now + ONE_WAY_DELAY, arrive)

    def send_if_due(self, executor: Executor, link: Link) -> None:
        """Send a request if one is due, or schedule the next check for when one is due.

        The due time includes the delay for coalescing results.
        """
        if executor.upstream in self.dead:
            return
        due = executor.find_next_request_time(link)
        if due is None:
            return
        if due > self.now:
            # A result that comes earlier leads to an earlier check, as it may change the due time.
            self.schedule(due, lambda: self.send_if_due(executor, link))
            return
        request = executor.build_request(link)
        host = self.hosts[link.host]
        self.schedule(self.now + ONE_WAY_DELAY, lambda: self.deliver_request(host, request))

    def deliver_request(self, host: Dispatcher, request: ExchangeRequest) -> None:
        assert host.exchange(request, self.now) is None
        self.dispatch(host)

    def scan_hosts(self) -> None:
        for host in self.hosts.values():
            host.tick(self.now)
            self.dispatch(host)
        self.schedule(self.now + SCAN_INTERVAL, self.scan_hosts)

    # Upstreams

    def start_tasks(self, executor: Executor) -> None:
        while (assignment := executor.start_next()) is not None:
            run_time, status = self.find_run_end(executor, assignment)
            key = assignment.key

            def end(key: TaskKey = key, status: ResultStatus = status) -> None:
                self.finish(executor, key, status)

            self.schedule(self.now + run_time, end)

    def find_run_end(
        self, executor: Executor, assignment: Assignment
    ) -> tuple[timedelta, ResultStatus]:
        run_time = self.run_times[(assignment.key.submission, assignment.key.task)]
        if executor is self.executors[0]:
            if self.fault == "black hole":
                return milliseconds(1), ResultStatus.FAILED
            if self.fault == "grey":
                return 4 * run_time, ResultStatus.SUCCEEDED
        return run_time, ResultStatus.SUCCEEDED

    def stop_tasks(self, executor: Executor) -> None:
        while executor.pending_stops:
            self.finish(executor, executor.pending_stops.popleft(), ResultStatus.STOPPED)

    def finish(self, executor: Executor, key: TaskKey, status: ResultStatus) -> None:
        if executor.upstream in self.dead or key not in executor.running:
            return
        run_time = self.run_times[(key.submission, key.task)]
        host = executor.finish(
            key, status, Raw(b"1"), int(run_time.total_seconds() * 1e6), self.now
        )
        self.start_tasks(executor)
        self.send_if_due(executor, executor.links[host])


def build_workload(chance: random.Random, fault: str) -> list[Submission]:
    """Return jobs of 1 to 1,100 tasks at a load of `LOAD_SHARE`; most tasks take 50 ms to 1 s."""
    work_per_second = LOAD_SHARE * UPSTREAMS * SLOTS
    submissions: list[Submission] = []
    at = 0.0
    while at < DURATION.total_seconds():
        size = draw_size(chance)
        run_times = [draw_run_time(chance) for _ in range(size)]
        work = sum(run_times, timedelta()).total_seconds()
        submissions.append(Submission(timedelta(seconds=at), draw_team(chance), run_times))
        burst_start = BURST_AT.total_seconds()
        is_burst = fault == "burst" and burst_start <= at < burst_start + BURST_SECONDS
        rate = work_per_second * (10 if is_burst else 1)
        at += chance.expovariate(1.0) * work / rate
    return submissions


def draw_size(chance: random.Random) -> int:
    number = chance.random()
    if number < 0.6:
        return chance.randint(1, 8)
    if number < 0.95:
        return chance.randint(8, 80)
    return chance.randint(100, 1_100)


def draw_run_time(chance: random.Random) -> timedelta:
    if chance.random() < 0.003:
        return timedelta(seconds=chance.uniform(2, 5))
    return timedelta(seconds=min(max(chance.lognormvariate(-1.8, 0.6), 0.05), 1.0))


def draw_team(chance: random.Random) -> str:
    return f"team-{min(int(chance.expovariate(0.7)), TEAMS - 1)}"


def compute_ideal(run_times: list[timedelta]) -> float:
    """Return a lower bound of the response time in seconds.

    It is the longest task, or all work spread evenly over all slots, whichever is longer.
    """
    seconds = [run_time.total_seconds() for run_time in run_times]
    return max(max(seconds), sum(seconds) / (UPSTREAMS * SLOTS))


def measure(run: Run) -> dict[str, object]:
    """Return the figures of one run."""
    ratios: list[float] = []
    by_team: dict[str, list[float]] = {}
    failed = 0
    for submission in run.submissions:
        job = submission.job
        if job is None or job.state is not JobState.COMPLETE or job.ended_at is None:
            failed += 1
            continue
        ratio = (job.ended_at - submission.at).total_seconds() / compute_ideal(submission.run_times)
        ratios.append(ratio)
        by_team.setdefault(submission.team, []).append(ratio)
    exchanges = sum(host.counters.exchanges for host in run.hosts.values())
    empty = sum(host.counters.empty_replies for host in run.hosts.values())
    starts = sum(host.counters.starts for host in run.hosts.values())
    means = [statistics.mean(values) for values in by_team.values() if len(values) >= 5]
    return {
        "ratios": ratios,
        "failed": failed,
        "jobs": len(run.submissions),
        "starts": starts,
        "exchanges": exchanges,
        "empty": empty,
        "unfairness": max(means) / min(means) if means else 1.0,
    }


def summarise(parts: list[dict[str, object]]) -> dict[str, float]:
    """Return the figures of the runs of all seeds, taken together."""
    ratios = sorted(ratio for part in parts for ratio in part["ratios"])  # type: ignore[attr-defined]
    starts = sum(part["starts"] for part in parts)  # type: ignore[misc]
    return {
        "p50": ratios[len(ratios) // 2],
        "p99": ratios[int(len(ratios) * 0.99)],
        "worst": ratios[-1],
        "mean": statistics.mean(ratios),
        "failed_share": sum(p["failed"] for p in parts) / sum(p["jobs"] for p in parts),  # type: ignore
        "messages_per_task": 2 * sum(p["exchanges"] for p in parts) / starts,  # type: ignore
        "empty_replies_per_task": sum(p["empty"] for p in parts) / starts,  # type: ignore
        "unfairness": statistics.mean(part["unfairness"] for part in parts),  # type: ignore
    }


def main() -> None:
    names = sys.argv[1:] or list(VARIANTS)
    results: dict[str, dict[str, dict[str, float]]] = {}
    for fault in FAULTS:
        results[fault] = {}
        for name in names:
            parts = []
            for seed in range(SEEDS):
                run = Run(seed, VARIANTS[name], fault)
                run.run()
                parts.append(measure(run))
            results[fault][name] = summarise(parts)
            row = " ".join(f"{value:8.3f}" for value in results[fault][name].values())
            print(f"{fault:10s} {name:26s} {row}", file=sys.stderr)
    file = Path(__file__).parent / "results" / "policy.json"
    if not sys.argv[1:]:
        file.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
