"""Stand-in for an upstream: it carries out orders under leases and can be disrupted.

Ends of runs and of leases count from when they are due, also if the event loop handles them later:
a busy machine must not let a run seem to outlast its lease.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from functools import partial
from itertools import count
from random import Random
from typing import Any
from zlib import crc32

import msgspec

from .record import Event, EventKind, Phase, Record, build_detail
from .wire import (
    Identify,
    Peer,
    Reaches,
    Request,
    Response,
    Server,
    build_client,
    encode_json,
    send,
)

MAX_LEASE = timedelta(seconds=1)
"""Longest lease (`max_hold_ms`); a longer one is shortened."""
MAX_STOP_TIME = timedelta(milliseconds=50)
"""Longest time from the acceptance of a stop until the end of the run (`stop_timeout_ms`)."""
MAX_WAIT = timedelta(seconds=2)
"""Longest `wait_ms` of a poll."""
MAX_LISTED = 500
"""Number of ends that one answer lists."""
MAX_LATENESS = timedelta(seconds=1.2)
"""How much later an order that gets no answer is carried out, at most."""
HEARTBEAT_INTERVAL = timedelta(milliseconds=1_500)
HEARTBEAT_TIMEOUT = timedelta(seconds=1)
"""A heartbeat that is answered later counts as not acknowledged."""
MIN_CLOCK_RATE = 0.98


class RunEnd(Enum):
    """How a run has ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    LOST = "lost"
    """With its upstream, which lists it nowhere; only in the record."""


class Refusal(Enum):
    """Why an order was not carried out, as the answer gives it."""

    FENCED = "fence"
    OUTDATED = "old"
    LATE = "late"
    NO_ROOM = "room"


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What one run of a task takes and does."""

    run_time: timedelta
    cpu_millis: int = 0
    memory_mb: int = 0
    fails: bool = False


@dataclass(slots=True, kw_only=True)
class _Run:
    task: str
    run: int
    work: Work
    began_at: timedelta
    ends_at: timedelta
    end: RunEnd
    """How it ends at `ends_at`, unless the lease expires before."""


class _Order(msgspec.Struct, kw_only=True):
    """The fields of all orders."""

    fencing_token: int = 0
    task: str = ""
    run_id: int = 0
    task_spec: str = ""
    checkpoint: str = ""
    expires_ms: int = 0
    last_seen: int = 0
    wait_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class _End:
    number: int
    task: str
    run: int
    end: RunEnd


def hash_spec(spec: str) -> int:
    """Return a short hash of a task's specification, for the record."""
    return crc32(spec.encode())


def find_job(task: str) -> str:
    """Return the job that a task (JOB.OCCURRENCE.STEP.INDEX) belongs to."""
    return task.partition(".")[0]


def to_ms(duration: timedelta) -> float:
    """Return a duration in milliseconds."""
    return duration / timedelta(milliseconds=1)


class StandInUpstream:
    """An upstream at an address of its own, with one instance after the other."""

    def __init__(
        self,
        *,
        record: Record,
        name: str,
        service: str,
        domain: str,
        rack: str,
        host: str,
        port: int,
        control_addresses: list[tuple[str, int]],
        random: Random,
        work: Callable[[str], Work],
        identify: Identify = lambda peer, local: "",
        reaches: Reaches = lambda sender: True,
        cpu_millis: int = 16_000,
        memory_mb: int = 32_768,
        rejects_overload: bool = True,
        reports_start_time: bool = False,
        clock_rate: float | None = None,
    ) -> None:
        """`identify` names the sender of an order (see `wire.ProcessFinder`).

        `reaches` tells whether orders of a sender arrive now, and the answers to them.

        `work` is called for each run that starts. `reports_start_time` tells the instances under
        one id apart, so `restart` under the same id needs it.
        """
        self.name, self.service, self.domain, self.rack = name, service, domain, rack
        self.kind = "a"
        self.host, self.port = host, port
        self.is_cut = False
        self.is_unhealthy = False
        """Whether starts are refused with 503."""
        self._record, self._random, self._work = record, random, work
        self._controls = control_addresses
        self._identify, self._reaches = identify, reaches
        self._cpu_millis, self._memory_mb = cpu_millis, memory_mb
        self._rejects_overload = rejects_overload
        self._reports_start_time = reports_start_time
        self._clock_rate = clock_rate or random.uniform(MIN_CLOCK_RATE, 1.0)
        self._is_silent = False
        self._late_share = 0.0
        self._life = 0
        self._disrupted_source = f"{name}/*"
        """Source of its disruptions, which may begin and end under different instances."""
        self._is_up = False
        self.instance_id = name
        """Id that the instance announces."""
        self._begin_life(clock_ms=random.uniform(1e5, 5e6))

    def _begin_life(self, *, clock_ms: float) -> None:
        self._born_ms = int(time.time() * 1_000)
        self._clock_began_ms, self._clock_began_at = clock_ms, self._record.now()
        self._token = 0
        self._holders: set[tuple[int, str]] = set()
        self._runs: dict[str, _Run] = {}
        self._refused_through: dict[str, int] = {}
        """Highest run of each task that was stopped or has ended here."""
        self._ends: list[_End] = []
        self._end_numbers = count(1)
        self._sequences = count(1)
        self._expires_ms = 0.0
        self._lease_ends_at: timedelta | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._has_ended = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeat_address: Peer | None = None
        self._server = Server(
            handle=partial(self._handle, self._life),
            identify=self._identify,
            reaches=self._reaches,
        )
        self._client = build_client(self.host)

    @property
    def source(self) -> str:
        """Name of the instance in the record; differs also between instances under one id."""
        return f"{self.name}/{self._life}"

    @property
    def running(self) -> list[str]:
        """Tasks that are active here."""
        self._advance()
        return list(self._runs)

    # Life and faults

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        self._is_up = True
        await self._server.listen(self.host, self.port)
        self._spawn(self._send_heartbeats())

    async def stop(self) -> None:
        """End without a further event."""
        self._is_up = False
        self._server.close()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await self._client.aclose()

    def cut(self) -> None:
        """Cut the upstream off: nothing arrives, nothing leaves, what runs here goes on."""
        self.is_cut = True
        self._record.add_disruption(self._disrupted_source, "cut", Phase.BEGIN)

    def heal(self) -> None:
        """End the cut; connections, with what was on its way in them, are lost."""
        self.is_cut = False
        self._server.abort_connections()
        self._record.add_disruption(self._disrupted_source, "cut", Phase.END)

    @property
    def is_silent(self) -> bool:
        """Whether heartbeats and answers are withheld, while orders are carried out."""
        return self._is_silent

    @is_silent.setter
    def is_silent(self, value: bool) -> None:
        if value != self._is_silent:
            self._is_silent = value
            phase = Phase.BEGIN if value else Phase.END
            self._record.add_disruption(self._disrupted_source, "silent", phase)

    @property
    def late_share(self) -> float:
        """Share of orders that get no answer and are carried out up to `MAX_LATENESS` later."""
        return self._late_share

    @late_share.setter
    def late_share(self, value: float) -> None:
        if bool(value) != bool(self._late_share):
            phase = Phase.BEGIN if value else Phase.END
            self._record.add_disruption(self._disrupted_source, "late", phase)
        self._late_share = value

    async def crash(self) -> None:
        """End at once, with everything that runs here."""
        if not self._is_up:
            return
        self._advance()
        now = self._record.now()
        for run in self._runs.values():
            self._add(EventKind.END, now, run.task, run.run, how=RunEnd.LOST.value, number=0)
        self._runs.clear()
        self._record.add_disruption(self._disrupted_source, "crash")
        await self.stop()

    async def restart(self, *, same_id: bool = False, kind: str | None = None) -> None:
        """Begin a new instance at the same address after a crash, under a new id or the same.

        With `kind` it is of that kind from then on.
        """
        assert not self._is_up, "restart follows a crash"
        assert self._reports_start_time or not same_id, "the start time tells the instances apart"
        self._life += 1
        self.kind = kind or self.kind
        if not same_id:
            self.instance_id = f"{self.name}.{self._life}"
        self._begin_life(clock_ms=0.0)
        await self.start()
        self._record.add_disruption(self._disrupted_source, "restart")

    # Clock, lease and ends

    def clock_ms(self) -> float:
        """Return the time on the upstream's own monotonic clock."""
        passed = to_ms(self._record.now() - self._clock_began_at)
        return self._clock_began_ms + passed * self._clock_rate

    def _extend(self, expires_ms: float) -> None:
        """Extend the lease, never beyond the longest one; a lease is never shortened."""
        clock_ms = self.clock_ms()
        expires_ms = min(expires_ms, clock_ms + to_ms(MAX_LEASE))
        if expires_ms <= max(self._expires_ms, clock_ms):
            return
        self._expires_ms = expires_ms
        left = timedelta(milliseconds=(expires_ms - clock_ms) / self._clock_rate)
        self._lease_ends_at = self._record.now() + left
        self._advance()

    def _advance(self) -> None:
        """Carry out all ends that are due, in the order of their times, and wait for the next."""
        now = self._record.now()
        while self._is_up:
            next_run = min(self._runs.values(), key=lambda run: run.ends_at, default=None)
            lapses_at = self._lease_ends_at
            if lapses_at is not None and (next_run is None or lapses_at <= next_run.ends_at):
                if lapses_at > now:
                    break
                self._lapse(lapses_at)
            elif next_run is not None and next_run.ends_at <= now:
                self._end(next_run, next_run.ends_at, next_run.end)
            else:
                break
        self._set_timer(now)

    def _set_timer(self, now: timedelta) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = [run.ends_at for run in self._runs.values()]
        due += [self._lease_ends_at] if self._lease_ends_at is not None else []
        if due and self._is_up:
            delay = (min(due) - now).total_seconds()
            self._timer = asyncio.get_running_loop().call_later(max(0.0, delay), self._advance)

    def _lapse(self, at: timedelta) -> None:
        self._lease_ends_at = None
        self._add(EventKind.LAPSE, at)
        for run in list(self._runs.values()):
            self._end(run, at, RunEnd.LAPSED)

    def _end(self, run: _Run, at: timedelta, end: RunEnd) -> None:
        del self._runs[run.task]
        self._refuse_through(run.task, run.run)
        listed = _End(number=next(self._end_numbers), task=run.task, run=run.run, end=end)
        self._ends.append(listed)
        self._add(EventKind.END, at, run.task, run.run, how=end.value, number=listed.number)
        self._has_ended.set()
        self._has_ended = asyncio.Event()

    def _refuse_through(self, task: str, run: int) -> None:
        self._refused_through[task] = max(self._refused_through.get(task, 0), run)

    # Orders

    async def _handle(self, life: int, request: Request) -> Response | None:
        if life != self._life or not self._is_up or self.is_cut:
            return None
        if request.method == "POST" and self._random.random() < self._late_share:
            self._spawn(self._carry_out_late(request))
            return None
        response = await self.carry_out(request)
        return None if self.is_cut or self._is_silent or life != self._life else response

    async def _carry_out_late(self, request: Request) -> None:
        await asyncio.sleep(self._random.uniform(0.0, MAX_LATENESS.total_seconds()))
        await self.carry_out(request, is_late=True)

    async def carry_out(self, request: Request, *, is_late: bool = False) -> Response:
        """Carry out an order that has arrived, and return its answer."""
        self._advance()
        expected = request.headers.get("x-expect-instance", self.instance_id)
        if expected != self.instance_id:
            return self._build_answer(421)
        if request.method == "GET":
            return self._build_answer(200)
        try:
            order = msgspec.json.decode(request.body, type=_Order)
        except msgspec.MsgspecError:
            return self._build_answer(400)
        if request.path == "/run-start" and self.is_unhealthy:
            return self._build_answer(503)
        if order.fencing_token < self._token:
            return self._refuse(request.path, order, Refusal.FENCED)
        self._token = order.fencing_token
        holder = (self._token, request.sender)
        if request.sender and holder not in self._holders:
            self._holders.add(holder)
            self._add(EventKind.HOLDER, token=self._token, sender=request.sender)
        if request.path == "/hold":
            return await self._poll(order, request.sender)
        if request.path == "/run-start":
            refusal = self._start(order, request.sender, is_late)
            if refusal is not None:
                return self._refuse(request.path, order, refusal)
        elif request.path == "/run-stop":
            self._stop_run(order, request.sender)
        return self._build_answer(200)

    def _start(self, order: _Order, sender: str, is_late: bool) -> Refusal | None:
        present = self._runs.get(order.task)
        if present is not None and present.run == order.run_id:
            self._extend(order.expires_ms)
            return None
        if order.expires_ms <= self.clock_ms():
            return Refusal.LATE
        self._extend(order.expires_ms)
        is_lower = present is not None and order.run_id < present.run
        if is_lower or order.run_id <= self._refused_through.get(order.task, 0):
            return Refusal.OUTDATED
        work = self._work(order.task)
        if present is not None or not self._fits(work):
            return Refusal.NO_ROOM
        now = self._record.now()
        self._runs[order.task] = _Run(
            task=order.task,
            run=order.run_id,
            work=work,
            began_at=now,
            ends_at=now + work.run_time,
            end=RunEnd.FAILED if work.fails else RunEnd.DONE,
        )
        self._add(
            EventKind.START,
            now,
            order.task,
            order.run_id,
            token=self._token,
            sender=sender,
            spec=hash_spec(order.task_spec),
            checkpoint=order.checkpoint,
            cpu=self._cpu_millis,
            mem_mb=self._memory_mb,
            is_late=is_late,
        )
        self._advance()
        return None

    def _fits(self, work: Work) -> bool:
        works = [work, *(run.work for run in self._runs.values())]
        fits_cpu = sum(each.cpu_millis for each in works) <= self._cpu_millis
        fits_memory = sum(each.memory_mb for each in works) <= self._memory_mb
        return not self._rejects_overload or (fits_cpu and fits_memory)

    def _stop_run(self, order: _Order, sender: str) -> None:
        self._refuse_through(order.task, order.run_id)
        now = self._record.now()
        fields = {"token": self._token, "sender": sender}
        self._add(EventKind.STOP, now, order.task, order.run_id, **fields)
        run = self._runs.get(order.task)
        if run is not None and run.run == order.run_id and run.end is not RunEnd.STOPPED:
            run.end = RunEnd.STOPPED
            run.ends_at = now + MAX_STOP_TIME * self._random.random()
            self._advance()

    async def _poll(self, order: _Order, sender: str) -> Response:
        if not 0 <= order.wait_ms <= to_ms(MAX_WAIT):
            return self._build_answer(400)
        now = self._record.now()
        for end in self._ends:
            if end.number <= order.last_seen:
                fields = {"how": end.end.value, "number": end.number, "sender": sender}
                self._add(EventKind.CONFIRM, now, end.task, end.run, **fields)
        self._ends = [end for end in self._ends if end.number > order.last_seen]
        self._extend(order.expires_ms)
        if not self._ends and order.wait_ms:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._has_ended.wait(), order.wait_ms / 1_000)
        self._advance()
        return self._build_lists()

    def _build_lists(self) -> Response:
        now = self._record.now()
        running = [
            [run.task, run.run, "", _find_percent(run, now), run.work.cpu_millis]
            for run in self._runs.values()
        ]
        ended = [[end.number, end.task, end.run, end.end.value, ""] for end in self._ends]
        fields: dict[str, object] = {"running": running, "finished": ended[:MAX_LISTED]}
        if self._reports_start_time:
            fields["born"] = self._born_ms
        return self._build_answer(200, **fields)

    def _refuse(self, path: str, order: _Order, refusal: Refusal) -> Response:
        fields = {"path": path, "token": order.fencing_token, "reason": refusal.value}
        now = self._record.now()
        self._add(EventKind.ORDER_REFUSED, now, order.task, order.run_id, **fields)
        return self._build_answer(409, reason=refusal.value)

    def _build_answer(self, status: int, **fields: object) -> Response:
        return Response(
            status=status, body=encode_json({"clock_ms": int(self.clock_ms()), **fields})
        )

    # Service discovery

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        while True:
            if not (self.is_cut or self._is_silent):
                await self._send_heartbeat()
            seconds = HEARTBEAT_INTERVAL.total_seconds()
            await asyncio.sleep(seconds * self._random.uniform(0.9, 1.1))

    async def _send_heartbeat(self) -> None:
        """Send a heartbeat to the address named last, else to one control host after another."""
        named = [self._heartbeat_address] if self._heartbeat_address else []
        for address in (*named, *self._random.sample(self._controls, len(self._controls))):
            url = f"http://{address[0]}:{address[1]}/instances/{self.instance_id}"
            content = self._build_heartbeat()
            response = await send(
                self._client, "PUT", url, timeout=HEARTBEAT_TIMEOUT, content=content
            )
            if response is not None and 200 <= response.status < 300:
                host, _, port = response.read_json().get("heartbeat_url", "").rpartition(":")
                self._heartbeat_address = (host, int(port)) if host else self._heartbeat_address
                return
            self._heartbeat_address = None

    def _build_heartbeat(self) -> dict[str, object]:
        heartbeat: dict[str, object] = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self._cpu_millis, "mem_mb": self._memory_mb, "gpu": 0},
            "labels": [self.kind, self.rack],
            "clock_ms": int(self.clock_ms()),
            "seq_no": next(self._sequences),
        }
        if self._reports_start_time:
            heartbeat["born"] = self._born_ms
        return heartbeat

    # Helpers

    def _add(
        self,
        kind: EventKind,
        at: timedelta | None = None,
        task: str = "",
        run: int = 0,
        **fields: object,
    ) -> None:
        at, detail = self._record.now() if at is None else at, build_detail(**fields)
        self._record.add(Event(at, kind, self.source, find_job(task), task, run, detail))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _find_percent(run: _Run, now: timedelta) -> int:
    return min(99, int(100 * ((now - run.began_at) / run.work.run_time)))
