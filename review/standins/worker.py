"""A worker that follows the users' page on running tasks and on service discovery.

It listens on its own loopback address, sends heartbeats, keeps leases by its own clock, refuses
orders below the highest fencing token and runs above its capacity, and lists its runs and ends.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from . import http

MAX_HOLD_MS = 1_000
STOP_MS = 45.0
"""Stops take at most 50 ms (`stop_timeout_ms`)."""
MAX_LISTED = 500
HEARTBEAT_S = 1.5


@dataclass
class Run:
    """One run that is active."""

    task: str
    run: int
    cpu: int
    mem: int
    work_s: float
    how: str
    began: float
    checkpoint: str = ""
    stopping: bool = False
    timer: asyncio.TimerHandle | None = None


@dataclass
class TaskPlan:
    """What a task needs and does; the client's side tells it to the workers."""

    cpu: int = 0
    mem: int = 0
    work_s: float = 1.0
    how: Callable[[int], str] = lambda attempt: "done"


@dataclass
class Event:
    """Something that a worker has seen or done, by the machine's monotonic clock."""

    at: float
    kind: str
    worker: str
    task: str
    run: int
    detail: str = ""


@dataclass
class World:
    """What all workers share: the plans of the jobs and the record."""

    plans: dict[tuple[str, int], TaskPlan] = field(default_factory=dict)
    """Plans by job and step."""
    events: list[Event] = field(default_factory=list)
    guards: bool = True
    """Whether workers reject what does not fit (`rejects_overload`)."""
    starts: dict[str, int] = field(default_factory=dict)
    """Number of runs begun, by task."""

    def note(self, kind: str, worker: str, task: str, run: int, detail: str = "") -> None:
        """Record an event."""
        self.events.append(Event(time.monotonic(), kind, worker, task, run, detail))


class Worker:
    """One worker."""

    def __init__(
        self,
        *,
        world: World,
        name: str,
        service: str,
        zone: str,
        rack: str,
        host: str,
        port: int,
        controls: list[tuple[str, int]],
        cpu: int = 16_000,
        mem: int = 32_768,
        chance: random.Random,
    ) -> None:
        self.world, self.id, self.service = world, name, service
        self.zone, self.rack, self.host, self.port = zone, rack, host, port
        self.controls, self.cpu, self.mem, self.chance = controls, cpu, mem, chance
        self.is_cut = False
        self.is_mute = False
        """Whether what it sends is lost, while all arrives that is sent to it."""
        self.late_share = 0.0
        """Share of the orders that get no answer and are carried out 2 to 12 s later."""
        self._born = time.monotonic() - chance.uniform(100.0, 5_000.0)
        self._token = 0
        self._runs: dict[str, Run] = {}
        self._barred: dict[str, int] = {}
        """The highest run of each task that was stopped or ended here."""
        self._ends: list[list[Any]] = []
        self._numbers = itertools.count(1)
        self._noted = 0
        self._lives = 0
        self._lease_ms = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._lapsed_at = 0.0
        self._ended_at: dict[int, float] = {}
        self._changed = asyncio.Event()
        self._beats = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._heartbeat_to: tuple[str, int] | None = None

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._tasks.append(asyncio.create_task(self._beat_forever()))

    async def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    def cut(self) -> None:
        """Be partitioned from all machines: nothing arrives and nothing leaves."""
        self.is_cut = True
        self.world.note("cut", self.id, "", 0)

    def heal(self) -> None:
        """End the partition; connections of before are lost with what was on its way in them."""
        self.is_cut = False
        for writer in list(self._writers):
            writer.transport.abort()
        self.world.note("heal", self.id, "", 0)

    async def crash(self) -> None:
        """End at once, with everything that runs here."""
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        self.world.note("crash", self.id, "", 0)
        for run in list(self._runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.world.note("end", self.id, run.task, run.run, "gone with its worker")
        self._runs.clear()

    async def come_back(self) -> None:
        """Start again at the same address as another incarnation with a new id."""
        self._lives += 1
        self.id = f"{self.id.split('.')[0]}.{self._lives}"
        self._born = time.monotonic()
        self._token = self._noted = 0
        self._barred.clear()
        self._ends.clear()
        self._ended_at.clear()
        self._numbers = itertools.count(1)
        self._beats = itertools.count(1)
        self._lease_ms = self._lapsed_at = 0.0
        self._heartbeat_to = None
        await self.start()
        self.world.note("back", self.id, "", 0)

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run here."""
        return list(self._runs)

    # Clock and lease

    def _clock(self) -> float:
        return (time.monotonic() - self._born) * 1000.0

    def _extend(self, expires_ms: float) -> None:
        until = min(expires_ms, self._clock() + MAX_HOLD_MS)
        if until <= self._lease_ms:
            return
        self._lease_ms = until
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        delay = max(0.0, (until - self._clock()) / 1000.0)
        self._lease_timer = asyncio.get_running_loop().call_later(delay, self._lapse)

    def _lapse(self) -> None:
        if self._clock() + 0.5 < self._lease_ms:
            delay = (self._lease_ms - self._clock()) / 1000.0
            self._lease_timer = asyncio.get_running_loop().call_later(delay, self._lapse)
            return
        self._lapsed_at = time.monotonic()
        self.world.note("lease-lapsed", self.id, "", 0)
        for run in list(self._runs.values()):
            self._end(run, "lapsed")

    # Runs

    def _end(self, run: Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self._runs[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        number = next(self._numbers)
        self._ends.append([number, run.task, run.run, how, run.checkpoint])
        self._ended_at[number] = time.monotonic()
        self.world.note("end", self.id, run.task, run.run, f"{how} end={number}")
        self._changed.set()
        self._changed = asyncio.Event()

    def _begin(self, task: str, run: int, plan: TaskPlan, checkpoint: str) -> None:
        attempt = self.world.starts[task] = self.world.starts.get(task, 0) + 1
        how = plan.how(attempt)
        begun = Run(task, run, plan.cpu, plan.mem, plan.work_s, how, time.monotonic(), checkpoint)
        self._runs[task] = begun
        loop = asyncio.get_running_loop()
        begun.timer = loop.call_later(plan.work_s, lambda: self._end(begun, how))
        self.world.note("start", self.id, task, run, checkpoint)

    # Calls

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await http.read_request(reader)
                if request is None:
                    return
                if self.is_cut:
                    # It is lost: the connection is reset when the partition ends.
                    await asyncio.sleep(3_600)
                if request.method == "POST" and self.chance.random() < self.late_share:
                    # The order gets no answer and is carried out late.
                    late = asyncio.create_task(self._carry_out_late(request))
                    self._tasks.append(late)
                    await asyncio.sleep(3_600)
                status, body = await self._answer(request)
                if self.is_cut or self.is_mute:
                    await asyncio.sleep(3_600)
                writer.write(http.encode_reply(status, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _carry_out_late(self, request: http.Request) -> None:
        await asyncio.sleep(self.chance.uniform(2.0, 12.0))
        await self._answer(request)

    async def _answer(self, request: http.Request) -> tuple[int, Any]:
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": int(self._clock())}
        if request.method == "GET":
            return 200, {}
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return 409, {"clock_ms": int(self._clock()), "reason": "fence"}
        self._token = token
        if request.path == "/run-start":
            status, answer = self._answer_start(body)
        elif request.path == "/run-stop":
            status, answer = self._answer_stop(body)
        elif request.path == "/hold":
            return await self._answer_hold(body)
        else:
            status, answer = 404, {}
        return status, {"clock_ms": int(self._clock()), **answer}

    def _answer_start(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run_id"]
        self.world.note("told", self.id, task, run, body.get("checkpoint", ""))
        active = self._runs.get(task)
        if active is not None and active.run == run:
            return 200, {}
        if body["expires_ms"] <= self._clock():
            return 409, {"reason": "late"}
        self._extend(body["expires_ms"])
        if run <= self._barred.get(task, 0) or active is not None:
            return 409, {"reason": "old"}
        job, _, step, _ = task.split(".")
        plan = self.world.plans.get((job, int(step)))
        if plan is None:
            self.world.note("unasked", self.id, task, run)
            return 400, {}
        used_cpu = sum(each.cpu for each in self._runs.values())
        used_mem = sum(each.mem for each in self._runs.values())
        if used_cpu + plan.cpu > self.cpu or used_mem + plan.mem > self.mem:
            if self.world.guards:
                return 409, {"reason": "room"}
            self.world.note("over", self.id, task, run)
        self._begin(task, run, plan, body.get("checkpoint", ""))
        return 200, {}

    def _answer_stop(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        task, run = body["task"], body["run_id"]
        self.world.note("stop", self.id, task, run)
        active = self._runs.get(task)
        if active is None or active.run != run:
            if active is None:
                self._barred[task] = max(self._barred.get(task, 0), run)
            return 200, {}
        if not active.stopping:
            active.stopping = True
            if active.timer is not None:
                active.timer.cancel()
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000.0, lambda: self._end(active, "stopped"))
        return 200, {}

    async def _answer_hold(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        seen = body.get("last_seen", 0)
        for number, task, run, how, _ in self._ends:
            if number <= seen:
                # An end isn't taken note of if the lease lapsed between the two.
                is_late = self._lapsed_at >= self._ended_at[number]
                kind = "noted-after-lapse" if is_late else "noted"
                self.world.note(kind, self.id, task, run, f"{how} end={number}")
        self._ends = [row for row in self._ends if row[0] > seen]
        if "expires_ms" in body:
            self._extend(body["expires_ms"])
        wait_s = min(body.get("wait_ms", 0), 2_000) / 1000.0
        if wait_s and not self._ends:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [each.task, each.run, each.checkpoint, _find_percent(each, now), each.cpu]
            for each in self._runs.values()
        ]
        return 200, {
            "clock_ms": int(self._clock()),
            "running": running,
            "finished": self._ends[:MAX_LISTED],
        }

    # Heartbeats

    async def _beat_forever(self) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, 0.3))
        while True:
            if not (self.is_cut or self.is_mute):
                await self._beat()
            await asyncio.sleep(HEARTBEAT_S * self.chance.uniform(0.9, 1.1))

    async def _beat(self) -> None:
        body = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": int(self._clock()),
            "seq_no": next(self._beats),
        }
        targets = [self._heartbeat_to] if self._heartbeat_to is not None else []
        targets += self.chance.sample(self.controls, len(self.controls))
        for host, port in targets:
            reply = await http.request(host, port, "PUT", f"/instances/{self.id}", body)
            if reply is None or reply.status >= 300:
                self._heartbeat_to = None
                continue
            named = (reply.json() or {}).get("heartbeat_url")
            if named:
                address = named.removeprefix("http://").split("/")[0]
                to, _, at = address.rpartition(":")
                self._heartbeat_to = (to, int(at))
            return


def _find_percent(run: Run, now: float) -> int:
    return min(99, int(100.0 * (now - run.began) / run.work_s))
