"""Callers: they submit jobs, send them again as the platform does, poll, cancel and leave.

Their connections stay open until the process behind them is gone.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from itertools import count
from random import Random

import msgspec

from .jobs import Plan, Step
from .record import Event, EventKind, Record, build_detail
from .upstreams import Work, find_job
from .wire import Peer, build_client, send

MAX_TASKS = 12
SHORTEST_RUN, LONGEST_RUN = timedelta(milliseconds=60), timedelta(seconds=5)
UNKNOWN_WORK = Work(run_time=timedelta(milliseconds=100))
"""Work of a task that nobody has submitted; that it starts is a violation anyway."""
ENDED_STATES = ("completed", "failed", "cancelled")
REFUSED = (404, 429, 503)
"""Statuses of a submission that was not accepted and never runs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerSettings:
    """How many jobs the callers submit, and how they behave; shares are of all jobs."""

    queue_host: str = "jobs.example"
    prefix: str = "/jobs/"
    max_attempts: int = 3
    """As the configuration gives it for the queue."""
    rate_per_s: float = 6.0
    timeout: timedelta = timedelta(milliseconds=1_500)
    retry_delay: timedelta = timedelta(milliseconds=1_300)
    """From the failure of a best-effort job's submission to the next one (`retransmit_ms`)."""
    durable_retry_delay: timedelta = timedelta(milliseconds=300)
    best_effort_tries: int = 4
    durable_tries: int = 20
    durable_share: float = 0.5
    resend_share: float = 0.1
    """Durable jobs that are submitted again some time after their acceptance."""
    resend_within: timedelta = timedelta(seconds=5)
    poll_within: timedelta = timedelta(seconds=1)
    """Longest time between two questions for the state of a job."""
    cancel_share: float = 0.08
    give_up_share: float = 0.05
    failed_share: float = 0.02
    """Share of the runs that fail."""
    poison_share: float = 0.01
    """Jobs whose runs all fail."""
    unknown_share: float = 0.05
    """Share of the jobs beside which the state of one is asked for that nobody submitted."""
    finish: timedelta = timedelta(seconds=14)
    """How long durable jobs may take beyond their work once all faults are over (`finish_s`)."""


class Callers:
    """All callers of a run; `gateways` gives the address for callers of each gateway."""

    def __init__(
        self,
        *,
        record: Record,
        gateways: Mapping[str, Peer],
        random: Random,
        settings: CallerSettings | None = None,
        host: str | None = None,
    ) -> None:
        """`host` is the IP number that connections come from, any one if not given."""
        self.settings = settings or CallerSettings()
        self._record, self._gateways, self._random = record, gateways, random
        self._plans: dict[str, Plan] = {}
        self._starts: Counter[str] = Counter()
        self._calls = count(1)
        self._client = build_client(host)
        self._until = timedelta()

    async def run(self, until: float) -> None:
        """Submit jobs until this second of the record's clock, then wait for the durable ones."""
        self._until = timedelta(seconds=until)
        playing: set[asyncio.Task[None]] = set()
        while self._record.now() < self._until:
            # Each job draws from a source of its own, so that a seed gives the same jobs again.
            chance = Random(self._random.getrandbits(64))
            playing.add(asyncio.create_task(self._play(chance)))
            await asyncio.sleep(self._random.expovariate(self.settings.rate_per_s))
        await asyncio.gather(*playing)
        await self._client.aclose()

    def find_work(self, task: str) -> Work:
        """Return what the next run of a task takes and does; upstreams ask for it at each start."""
        self._starts[task] += 1
        plan = self._plans.get(find_job(task))
        step = plan.find_step(task) if plan is not None else None
        if plan is None or step is None:
            return UNKNOWN_WORK
        draw = Random(f"{task} {self._starts[task]}").random()
        return Work(
            run_time=timedelta(milliseconds=plan.steps[step].run_ms),
            cpu_millis=plan.steps[step].cpu_millis,
            memory_mb=plan.steps[step].memory_mb,
            fails=plan.always_fails or draw < self.settings.failed_share,
        )

    # One job

    async def _play(self, chance: Random) -> None:
        plan = self._draw_plan(chance)
        self._plans[plan.id] = plan
        fate = chance.random()
        gives_up = fate < self.settings.give_up_share
        cancels = not gives_up and fate < self.settings.give_up_share + self.settings.cancel_share
        if chance.random() < self.settings.unknown_share:
            await self._call("GET", _draw_id(chance), chance)
        submitting = asyncio.create_task(self._submit(plan, chance))
        if gives_up or (cancels and not plan.is_durable):
            await asyncio.wait([submitting], timeout=chance.uniform(0.05, 1.0))
            if not submitting.done():
                submitting.cancel()
        with suppress(asyncio.CancelledError):
            await submitting
        is_accepted = not submitting.cancelled() and submitting.result()
        if cancels and (is_accepted or not plan.is_durable):
            await asyncio.sleep(chance.uniform(0.0, 2.0) if plan.is_durable else 0.0)
            await self._cancel(plan, chance)
        if is_accepted and plan.is_durable:
            again = self._submit_again(plan, chance)
            await asyncio.gather(self._watch(plan, chance), again)

    async def _submit(self, plan: Plan, chance: Random) -> bool:
        """Submit a job until there is a clear answer; return whether it was accepted."""
        settings = self.settings
        tries = settings.durable_tries if plan.is_durable else settings.best_effort_tries
        delay = settings.durable_retry_delay if plan.is_durable else settings.retry_delay
        for _ in range(tries):
            status, _ = await self._call("POST", plan.id, chance, plan)
            if 200 <= status < 300 or status in REFUSED:
                return status < 300
            await asyncio.sleep(delay.total_seconds())
        return False

    async def _submit_again(self, plan: Plan, chance: Random) -> None:
        if chance.random() < self.settings.resend_share:
            await asyncio.sleep(
                chance.uniform(0.2, 1.0) * self.settings.resend_within.total_seconds()
            )
            await self._call("POST", plan.id, chance, plan)

    async def _cancel(self, plan: Plan, chance: Random) -> None:
        for _ in range(self.settings.durable_tries):
            status, _ = await self._call("DELETE", plan.id, chance)
            if 200 <= status < 300 or status == 410:
                return
            await asyncio.sleep(self.settings.durable_retry_delay.total_seconds())

    async def _watch(self, plan: Plan, chance: Random) -> None:
        """Ask for the state until the job has ended or should have, and once more later."""
        allowed = plan.find_longest_time(self.settings.finish)
        deadline = max(self._until, self._record.now()) + allowed + timedelta(seconds=1)
        while self._record.now() < deadline:
            await asyncio.sleep(
                chance.uniform(0.3, 1.0) * self.settings.poll_within.total_seconds()
            )
            _, state = await self._call("GET", plan.id, chance)
            if state in ENDED_STATES:
                break
        await asyncio.sleep(chance.uniform(0.0, 2.0) * self.settings.poll_within.total_seconds())
        await self._call("GET", plan.id, chance)

    async def _call(
        self, method: str, job: str, chance: Random, plan: Plan | None = None
    ) -> tuple[int, str]:
        """Send a request to any gateway; return its status (0 without a response) and the state."""
        gateway = chance.choice(sorted(self._gateways))
        host, port = self._gateways[gateway]
        fields = {"call": next(self._calls), "method": method}
        if plan is not None:
            submitted = {**fields, "plan": msgspec.to_builtins(plan)}
            self._add(EventKind.SUBMIT, gateway, job, submitted)
        else:
            self._add(EventKind.CALL, gateway, job, fields)
        timeout_ms = self.settings.timeout // timedelta(milliseconds=1)
        headers = {"Host": self.settings.queue_host, "X-Timeout-Ms": str(timeout_ms)}
        status, state = 0, ""
        try:
            response = await send(
                self._client,
                method,
                f"http://{host}:{port}{self.settings.prefix}{job}",
                timeout=self.settings.timeout,
                content=plan.build_body() if plan is not None else None,
                headers=headers,
            )
            if response is not None:
                status, state = response.status, str(response.read_json().get("state", ""))
        finally:
            # Also if the caller leaves before the answer.
            self._add(EventKind.ANSWER, gateway, job, {**fields, "status": status, "state": state})
        return status, state

    def _add(self, kind: EventKind, gateway: str, job: str, fields: Mapping[str, object]) -> None:
        detail = build_detail(**fields)
        self._record.add(Event(self._record.now(), kind, gateway, job, detail=detail))

    def _draw_plan(self, chance: Random) -> Plan:
        """Return a job of one to three steps and at most `MAX_TASKS` tasks."""
        total = chance.randint(1, MAX_TASKS)
        steps: list[Step] = []
        while total > 0 and len(steps) < 3:
            size = total if len(steps) == 2 or chance.random() < 0.6 else chance.randint(1, total)
            total -= size
            earlier = range(len(steps))
            depends_on = tuple(step for step in earlier if chance.random() < 0.7)
            # Short runs are as frequent as long ones on a logarithmic scale.
            run_time = SHORTEST_RUN * (LONGEST_RUN / SHORTEST_RUN) ** chance.random()
            step = Step(
                count=size,
                run_ms=run_time // timedelta(milliseconds=1),
                cpu_millis=chance.choice((500, 1_000, 2_000, 6_800)),
                memory_mb=chance.choice((64, 512, 2_048)),
                depends_on=depends_on,
            )
            steps.append(step)
        return Plan(
            id=_draw_id(chance),
            steps=tuple(steps),
            is_durable=chance.random() < self.settings.durable_share,
            max_attempts=self.settings.max_attempts,
            spec=f"spec {chance.getrandbits(32):08x}",
            always_fails=chance.random() < self.settings.poison_share,
        )


def _draw_id(chance: Random) -> str:
    return f"{chance.getrandbits(64):016x}"
