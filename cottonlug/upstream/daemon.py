"""Stand-in upstream: links to the entry hosts of its failure domain, and slots that run tasks."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec
from msgspec import Raw
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.defaults import UpstreamSettings
from ..core.execution import MAX_OPEN_REQUESTS, NULL_VALUE, Assignment, Executor, Link
from ..core.ids import HostId, Incarnation, SubmissionId, TaskKey
from ..core.messages import Announcement, ExchangeReply, TaskName
from ..core.states import ResultStatus
from ..net.clients import HttpClient
from ..net.codec import decode, encode
from ..net.transport import HttpReply, TransportError
from ..runtime.dump import UpstreamDump, build_links_dump
from ..runtime.events import Event, log_event
from .work import run_work

EXCHANGE_PATH = "/v1/exchange"
MAX_REMEMBERED_STARTS = 500_000
_TIMEOUT_SECONDS = 60.0
_FIRST_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
_FINAL_RESULTS_TIMEOUT_SECONDS = 10.0
"""How long a leaving upstream tries to report its last results."""
_SESSION_CLOSE_TIMEOUT_SECONDS = 2.0
_CHECK_INTERVAL_SECONDS = 0.02
_DRAINING_PAUSE_SECONDS = 0.5
"""Pause between requests while the entry host is draining or this upstream is leaving."""


class _TaskId(NamedTuple):
    submission: SubmissionId
    task: int


class StartLog:
    """Record of all starts at this upstream, which shows whether a task started twice.

    Only the last `MAX_REMEMBERED_STARTS` tasks are compared.
    """

    def __init__(self) -> None:
        self.started = 0
        self.duplicates = 0
        self.by_submission: OrderedDict[SubmissionId, int] = OrderedDict()
        self._seen: OrderedDict[_TaskId, None] = OrderedDict()

    def record(self, key: TaskKey) -> None:
        """Count one start of a task."""
        self.started += 1
        task = _TaskId(key.submission, key.task)
        if task in self._seen:
            self.duplicates += 1
        self._seen[task] = None
        self.by_submission[key.submission] = self.by_submission.get(key.submission, 0) + 1
        if len(self._seen) > MAX_REMEMBERED_STARTS:
            oldest, _ = self._seen.popitem(last=False)
            self.by_submission.pop(oldest.submission, None)


class StandInUpstream:
    """One stand-in upstream, with all of its state on one event loop."""

    def __init__(self, *, settings: UpstreamSettings, incarnation: Incarnation) -> None:
        self.settings = settings
        self.start_log = StartLog()
        self.executor = Executor(
            upstream=settings.upstream,
            incarnation=incarnation,
            announcement=Announcement(
                slots=settings.slots,
                labels={**settings.labels, "domain": settings.domain, "rack": settings.rack},
                rack=settings.rack,
                processors=settings.processors,
                memory_mb=settings.memory_mb,
                accelerators=settings.accelerators,
            ),
            hosts=[entry.host for entry in settings.hosts],
            delays=settings.delays,
        )
        self._updates = {entry.host: asyncio.Event() for entry in settings.hosts}
        self._loops: list[asyncio.Task[None]] = []
        self._running: dict[TaskKey, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Start a link to every entry host."""
        for entry in self.settings.hosts:
            link = self.executor.links[entry.host]
            clients = [
                HttpClient(
                    address=entry.address,
                    token=self.settings.token,
                    timeout_seconds=_TIMEOUT_SECONDS,
                )
                for _ in range(MAX_OPEN_REQUESTS)
            ]
            self._loops.append(asyncio.create_task(self._maintain_link(link, clients)))

    async def leave(self, limit: timedelta) -> None:
        """Accept no new tasks, finish running ones, report all results and close the sessions.

        `limit` is how long running tasks are waited for.
        """
        self.executor.leave()
        for host in self._updates:
            self._signal_update(host)
        await _wait_until(lambda: not self.executor.running, limit.total_seconds())
        await _wait_until(self.executor.is_done, _FINAL_RESULTS_TIMEOUT_SECONDS)
        await _wait_until(self._are_sessions_closed, _SESSION_CLOSE_TIMEOUT_SECONDS)

    async def stop(self) -> None:
        """Cancel all links and running tasks."""
        tasks = [*self._loops, *self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def build_dump(self) -> UpstreamDump:
        """Return the state of this process."""
        executor = self.executor
        return UpstreamDump(
            upstream=executor.upstream,
            leaving=executor.leaving,
            slots=executor.announcement.slots,
            waiting=len(executor.waiting),
            running=[TaskName(*key) for key in executor.running],
            links=build_links_dump(executor),
            started=self.start_log.started,
            duplicate_starts=self.start_log.duplicates,
            started_by_submission=dict(self.start_log.by_submission),
        )

    def get_counters(self) -> dict[str, float]:
        """Return all counters."""
        log = self.start_log
        return {"started": log.started, "duplicate_starts": log.duplicates}

    def get_gauges(self) -> dict[str, float]:
        """Return the current sizes."""
        executor = self.executor
        return {"running": len(executor.running), "waiting": len(executor.waiting)}

    # Links

    def _are_sessions_closed(self) -> bool:
        return all(link.closed for link in self.executor.links.values())

    async def _maintain_link(self, link: Link, clients: list[HttpClient]) -> None:
        """Begin a new session whenever one is lost; return once one was closed.

        The pause before a new session doubles each time, up to a limit; it starts again from the
        shortest after a session that lasted longer than the last pause.
        """
        backoff = _FIRST_BACKOFF_SECONDS
        while True:
            self.executor.begin_session(link)
            began = time.monotonic()
            error = await self._run_session(link, clients)
            if error is None:
                return
            log_event(
                Event.SESSION_LOST, upstream=self.settings.upstream, host=link.host, error=error
            )
            session_seconds = time.monotonic() - began
            backoff = _FIRST_BACKOFF_SECONDS if session_seconds > backoff else backoff * 2
            backoff = min(backoff, _MAX_BACKOFF_SECONDS)
            await asyncio.sleep(backoff)

    async def _run_session(self, link: Link, clients: list[HttpClient]) -> str | None:
        """Exchange messages until an error; return it, or None once the session is closed."""
        free = list(clients)
        calls: dict[asyncio.Task[str | None], HttpClient] = {}
        updates = self._updates[link.host]
        try:
            while not link.closed:
                if free and await self._is_request_due(link):
                    client = free.pop()
                    call = asyncio.create_task(self._exchange(link, client))
                    calls[call] = client
                waiter = asyncio.ensure_future(updates.wait())
                await asyncio.wait([*calls, waiter], return_when=asyncio.FIRST_COMPLETED)
                waiter.cancel()
                updates.clear()
                for call in [call for call in calls if call.done()]:
                    error = call.result()
                    if error is not None:
                        return error
                    free.append(calls.pop(call))
            return None
        finally:
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)

    async def _is_request_due(self, link: Link) -> bool:
        """Return whether to send a request now; if one is due later, plan a check for that time.

        If no request is open, one is due at once, or after a pause while draining.
        """
        if link.open_requests == 0:
            is_draining = link.draining or self.executor.leaving
            if is_draining and not self.executor.has_updates(link):
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._updates[link.host].wait(), _DRAINING_PAUSE_SECONDS)
            return True
        due = self.executor.find_next_request_time(link)
        if due is None:
            return False
        wait = (due - _read_clock()).total_seconds()
        if wait <= 0:
            return True
        # A result that comes earlier signals too, and the due time is then computed again.
        asyncio.get_running_loop().call_later(wait, self._signal_update, link.host)
        return False

    async def _exchange(self, link: Link, client: HttpClient) -> str | None:
        request = self.executor.build_request(link)
        sent = await client.send("POST", EXCHANGE_PATH, encode(request))
        reply = _read_reply(sent)
        if isinstance(reply, Err):
            why: str = reply.failure()
            return why
        self.executor.handle_reply(link, request.session, reply.unwrap(), _read_clock())
        self._start_tasks()
        self._stop_tasks()
        return None

    def _signal_update(self, host: HostId) -> None:
        self._updates[host].set()

    # Tasks

    def _start_tasks(self) -> None:
        while (assignment := self.executor.start_next()) is not None:
            self.start_log.record(assignment.key)
            task = asyncio.create_task(self._run_task(assignment))
            task.add_done_callback(self._build_done_callback(assignment.key))
            self._running[assignment.key] = task

    def _stop_tasks(self) -> None:
        pending_stops = self.executor.pending_stops
        while pending_stops:
            task = self._running.get(pending_stops.popleft())
            if task is not None:
                task.cancel()

    async def _run_task(self, assignment: Assignment) -> None:
        began = time.monotonic()
        status, value = await self._run_with_timeout(assignment)
        ran_us = int((time.monotonic() - began) * 1e6)
        del self._running[assignment.key]
        host = self.executor.finish(assignment.key, status, value, ran_us, _read_clock())
        self._signal_update(host)
        self._start_tasks()

    def _build_done_callback(self, key: TaskKey) -> Callable[[asyncio.Task[None]], None]:
        return lambda _: self._report_if_never_run(key)

    def _report_if_never_run(self, key: TaskKey) -> None:
        """Report a task as stopped if it was cancelled before its coroutine began to run."""
        if self._running.pop(key, None) is not None:
            self._signal_update(
                self.executor.finish(key, ResultStatus.STOPPED, NULL_VALUE, 0, _read_clock())
            )

    async def _run_with_timeout(self, assignment: Assignment) -> tuple[ResultStatus, Raw]:
        try:
            async with asyncio.timeout(assignment.timeout_ms / 1000):
                result = await run_work(assignment.kind, assignment.payload)
        except TimeoutError:
            return ResultStatus.FAILED, Raw(b'"timeout"')
        except asyncio.CancelledError:
            return ResultStatus.STOPPED, NULL_VALUE
        if isinstance(result, Success):
            return ResultStatus.SUCCEEDED, result.unwrap()
        return ResultStatus.FAILED, Raw(msgspec.json.encode(result.failure()))


def _read_clock() -> timedelta:
    return timedelta(seconds=time.monotonic())


async def _wait_until(is_true: Callable[[], bool], seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not is_true() and time.monotonic() < deadline:
        await asyncio.sleep(_CHECK_INTERVAL_SECONDS)


def _read_reply(sent: Result[HttpReply, TransportError]) -> Result[ExchangeReply, str]:
    if isinstance(sent, Err):
        return Err(sent.failure().message)
    reply = sent.unwrap()
    if reply.status != 200:
        return Err(f"status {reply.status}: {reply.body[:200]!r}")
    decoded = decode(reply.body, ExchangeReply)
    return decoded.alt(lambda refusal: refusal.message)
