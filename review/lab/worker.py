"""A stand-in worker, by the section "Running tasks" and "Service discovery" of the protocol page.

Each life has its own id. It checks its capacity, keeps the highest fencing token, and kills all
that runs when its lease expires. After a crash its address refuses connections until the next life.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .record import Record
from .wire import Reply, Server, call

MAX_HOLD_MS = 1_000
STOP_S = 0.02
HEARTBEAT_S = 1.5
MAX_LISTED = 500


@dataclass
class Work:
    """What a task needs and how its run goes; `seconds` is None for a task that lasts."""

    cpu: int
    mem_mb: int
    seconds: float | None
    fails: bool = False


@dataclass
class _Run:
    task: str
    run: int
    work: Work
    began_at: float
    timer: asyncio.TimerHandle | None = None
    is_stopping: bool = False


FindWork = Callable[[str], Work | None]


class Worker:
    """A machine with one worker life after the other at the same address."""

    def __init__(
        self,
        *,
        record: Record,
        number: int,
        service: str,
        zone: str,
        rack: str,
        kind: str,
        address: tuple[str, int],
        controls: list[tuple[str, int]],
        find_work: FindWork,
        cpu: int = 32_000,
        mem_mb: int = 65_536,
    ) -> None:
        self.number, self.service, self.zone = number, service, zone
        self.labels = [kind, rack]
        self.address, self._controls = address, controls
        self._record, self._find_work = record, find_work
        self.cpu, self.mem_mb = cpu, mem_mb
        self.is_unhealthy = False
        """Whether starts are refused with 503, and then nothing is done."""
        self.is_up = False
        self._life = 0
        self._clock_base = random.uniform(1e5, 5e6)
        self._clock_at = time.monotonic()
        self._tasks: set[asyncio.Task[None]] = set()

    # Lives

    async def start(self) -> None:
        """Begin a life with a new id, which holds and knows nothing of before."""
        self._life += 1
        self.id = f"i-{self.number:04x}{self._life:02x}{random.randrange(1 << 16):04x}"
        self._token = 0
        self.runs: dict[str, _Run] = {}
        self._done_through: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._expires_ms = 0.0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._sequence = 0
        self._state = "ready"
        self._named: tuple[str, int] | None = None
        self._ended = asyncio.Event()
        self._server = Server(self._handle)
        await self._server.listen(*self.address)
        self.is_up = True
        self._record.add("worker_up", worker=self.id, machine=self.number)
        self._spawn(self._send_heartbeats(self._life))

    def crash(self) -> None:
        """End at once; the machine sends nothing, and its port has no listener."""
        self.is_up = False
        self._server.close()
        for run in self.runs.values():
            if run.timer is not None:
                run.timer.cancel()
            self._record.add("run_lost", worker=self.id, task=run.task, run=run.run)
        self._record.add("worker_crash", worker=self.id, machine=self.number)
        self.runs = {}
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        for task in list(self._tasks):
            task.cancel()

    async def leave(self, drain_s: float) -> None:
        """Leave as planned: report `draining`, serve on after the acknowledgement, and end."""
        self._state = "draining"
        await self._send_heartbeat()
        self._record.add("worker_draining", worker=self.id, machine=self.number)
        await asyncio.sleep(drain_s + 1.0)
        for address in random.sample(self._controls, len(self._controls)):
            reply = await call(address, "DELETE", f"/instances/{self.id}", timeout=1.0)
            if reply is not None and 200 <= reply[0] < 300:
                break
        self.crash()

    def stop(self) -> None:
        if self.is_up:
            self.is_up = False
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @property
    def used_cpu(self) -> int:
        return sum(run.work.cpu for run in self.runs.values())

    # Lease

    def clock_ms(self) -> float:
        return self._clock_base + (time.monotonic() - self._clock_at) * 1_000

    def _extend(self, expires_ms: float) -> None:
        clock = self.clock_ms()
        expires_ms = min(expires_ms, clock + MAX_HOLD_MS)
        if expires_ms <= max(self._expires_ms, clock):
            return
        self._expires_ms = expires_ms
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        loop = asyncio.get_running_loop()
        self._lease_timer = loop.call_later((expires_ms - clock) / 1_000, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self._end(run, "lapsed")

    def _end(self, run: _Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.task]
        self._done_through[run.task] = max(self._done_through.get(run.task, 0), run.run)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._record.add("run_end", worker=self.id, task=run.task, run=run.run, how=how)
        self._ended.set()
        self._ended = asyncio.Event()

    # Orders

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> Reply | None:
        if not self.is_up:
            return None
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._answer(421)
        if method == "GET":
            return self._answer(200)
        try:
            order = json.loads(body)
        except ValueError:
            return self._answer(400)
        if path == "/run-start" and self.is_unhealthy:
            self._record.add("start_refused", worker=self.id, task=order["task"], status=503)
            return self._answer(503)
        token = order.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if path == "/run-start":
            reason = self._start(order)
            if reason is not None:
                self._record.add("start_refused", worker=self.id, task=order["task"], reason=reason)
                return self._answer(409, reason=reason)
            return self._answer(200)
        if path == "/run-stop":
            self._stop_run(order["task"], order["run_id"])
            return self._answer(200)
        if path == "/hold":
            return await self._hold(order)
        return self._answer(404)

    def _start(self, order: dict[str, Any]) -> str | None:
        task, number = order["task"], order["run_id"]
        present = self.runs.get(task)
        if present is not None and present.run == number:
            self._extend(order["expires_ms"])
            return None
        if order["expires_ms"] <= self.clock_ms():
            return "late"
        self._extend(order["expires_ms"])
        if number <= self._done_through.get(task, 0) or present is not None:
            return "old"
        work = self._find_work(task)
        if work is None:
            self._record.add("start_unasked", worker=self.id, task=task, run=number)
            work = Work(cpu=0, mem_mb=0, seconds=0.05)
        used_mem = sum(run.work.mem_mb for run in self.runs.values())
        if self.used_cpu + work.cpu > self.cpu or used_mem + work.mem_mb > self.mem_mb:
            return "room"
        run = _Run(task, number, work, time.monotonic())
        self.runs[task] = run
        if work.seconds is not None:
            run.timer = asyncio.get_running_loop().call_later(
                work.seconds, self._end, run, "failed" if work.fails else "done"
            )
        self._record.add("run_start", worker=self.id, task=task, run=number)
        return None

    def _stop_run(self, task: str, number: int) -> None:
        self._done_through[task] = max(self._done_through.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.run == number and not run.is_stopping:
            run.is_stopping = True
            if run.timer is not None:
                run.timer.cancel()
            run.timer = asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")

    async def _hold(self, order: dict[str, Any]) -> Reply:
        life = self._life
        if "expires_ms" in order:
            self._extend(order["expires_ms"])
        seen = order.get("last_seen", 0)
        for end in self._ends:
            if end[0] <= seen:
                self._record.add("end_noted", worker=self.id, task=end[1], run=end[2], how=end[3])
        self._ends = [end for end in self._ends if end[0] > seen]
        wait_ms = order.get("wait_ms", 0)
        if wait_ms and not self._ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_ms / 1_000)
            except TimeoutError:
                pass
        if life != self._life or not self.is_up:
            return self._answer(421)
        now = time.monotonic()
        running = [
            [run.task, run.run, "", _find_percent(run, now), run.work.cpu]
            for run in self.runs.values()
        ]
        return self._answer(200, running=running, finished=self._ends[:MAX_LISTED])

    def _answer(self, status: int, **fields: Any) -> Reply:
        return status, {"clock_ms": int(self.clock_ms()), **fields}

    # Heartbeats

    async def _send_heartbeats(self, life: int) -> None:
        await asyncio.sleep(random.uniform(0.0, 0.3))
        while life == self._life and self.is_up:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def _send_heartbeat(self) -> None:
        named = [self._named] if self._named else []
        others = random.sample(self._controls, len(self._controls))
        for address in (*named, *others):
            self._sequence += 1
            beat = {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self._state,
                "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": self.labels,
                "clock_ms": int(self.clock_ms()),
                "seq_no": self._sequence,
            }
            reply = await call(address, "PUT", f"/instances/{self.id}", beat, timeout=1.0)
            if reply is not None and 200 <= reply[0] < 300:
                url = json.loads(reply[1] or b"{}").get("heartbeat_url", "")
                host, _, port = url.rpartition(":")
                self._named = (host, int(port)) if host else self._named
                return
            self._named = None

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _find_percent(run: _Run, now: float) -> int:
    passed = now - run.began_at
    if run.work.seconds is None:
        return 100 if passed > 0.1 else 50
    return min(99, int(100 * passed / run.work.seconds))
