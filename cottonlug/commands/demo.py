"""`cottonlug demo`: example jobs on one entry host and five stand-in upstreams in one process."""

from __future__ import annotations

import asyncio
import heapq
import json
import secrets
import socket
import sys
import time
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..config.defaults import (
    BodySettings,
    EntryAddress,
    EntrySettings,
    Listeners,
    RetrySettings,
    SubmissionSettings,
    Tokens,
    UpstreamSettings,
)
from ..config.logs import LogFormat, LogLevel, LogSettings
from ..config.options import Address
from ..core.execution import Delays
from ..core.ids import DomainName, HostId, Incarnation, KindName, SubmissionId, TeamName, UpstreamId
from ..core.limits import Limits
from ..core.messages import (
    JobAnswer,
    JobStatus,
    JobView,
    MintReply,
    MintRequest,
    SingleRequest,
    SubmitRequest,
)
from ..core.policy import Policy
from ..core.states import JobState
from ..net.clients import ApiClient
from ..runtime.clocks import SystemClock
from ..runtime.events import set_up_logging
from ..runtime.node import EntryNode
from ..upstream.daemon import StandInUpstream
from ..upstream.work import choose_alert_recipients, compute_ticket
from .workloads import ExampleWorkload, build_example_job, list_run_times

HOST = HostId("e1")
DOMAIN = DomainName("town-hall-basement")
UPSTREAMS = 5
SLOTS = 16
"""Number of tasks that an upstream runs at a time."""
TASKS = 1_100
"""Number of tasks of each example job."""
SEED = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoRow:
    """Figures of one job, and the guarantees that were violated.

    `ideal_seconds` is how long it takes without overhead. `messages` counts the upstreams' exchange
    requests and their replies; `empty_replies` are those without starts or stops.
    """

    name: str
    tasks: int
    starts: int
    response_seconds: float
    ideal_seconds: float
    messages: int
    empty_replies: int
    violations: list[str]


def run_demo() -> int:
    """Run the jobs from submission to answer; return 0 if no guarantee was violated, else 1."""
    return asyncio.run(_run_demo())


async def _run_demo() -> int:
    set_up_logging(LogSettings(level=LogLevel.ERROR, format=LogFormat.TEXT))
    settings = _build_entry_settings()
    failures: list[BaseException] = []
    node = EntryNode(settings=settings, clock=SystemClock(), on_failure=failures.append)
    error = await node.start()
    if error is not None:
        print(error, file=sys.stderr)
        return 1
    stand_ins = [_build_stand_in(settings, number) for number in range(1, UPSTREAMS + 1)]
    for stand_in in stand_ins:
        stand_in.start()
    while len(node.host.dispatcher.sessions) < UPSTREAMS:
        await asyncio.sleep(0.01)
    print(f"entry host {HOST} on {settings.listen.callers}, {UPSTREAMS} upstreams of {SLOTS} slots")
    client = ApiClient(address=settings.listen.callers, token=settings.tokens.callers)
    rows = [
        await _run_job(ExampleWorkload.AURORA, client, node, stand_ins),
        await _run_job(ExampleWorkload.TICKETS, client, node, stand_ins),
    ]
    rows.append(await _run_payment(client, node, stand_ins))
    await client.close()
    await asyncio.gather(*(each.leave(timedelta(seconds=5)) for each in stand_ins))
    await node.drain()
    for stand_in in stand_ins:
        await stand_in.stop()
    await node.stop()
    _print_table(rows)
    violations = [f"{row.name}: {violation}" for row in rows for violation in row.violations]
    violations += [f"invariant: {failure}" for failure in failures]
    for line in violations:
        print(f"VIOLATED {line}", file=sys.stderr)
    print("every guarantee held" if not violations else f"{len(violations)} guarantees violated")
    return 1 if violations else 0


async def _run_job(
    workload: ExampleWorkload, client: ApiClient, node: EntryNode, stand_ins: list[StandInUpstream]
) -> DemoRow:
    request = build_example_job(workload, TASKS, SEED)
    id = await _mint(client)
    request.id = id
    counters = node.host.dispatcher.counters
    exchanges, empty = counters.exchanges, counters.empty_replies
    began = time.monotonic()
    accepted = await client.call("POST", "/v1/jobs", JobStatus, request)
    violations = [] if not isinstance(accepted, Err) else [f"refused: {accepted.failure().message}"]
    answer = await _wait_for_answer(client, id) if not violations else None
    seconds = time.monotonic() - began
    again = await client.call("POST", "/v1/jobs", JobStatus, request)
    if isinstance(again, Err) or again.unwrap().state is not JobState.COMPLETE:
        violations.append("resending the job did not attach to it")
    starts = sum(each.start_log.by_submission.get(id, 0) for each in stand_ins)
    violations += _check_answer(workload, request, answer, starts, stand_ins)
    return DemoRow(
        name=workload.value,
        tasks=TASKS,
        starts=starts,
        response_seconds=seconds,
        ideal_seconds=_compute_ideal_seconds(list_run_times(request)),
        messages=2 * (counters.exchanges - exchanges),
        empty_replies=counters.empty_replies - empty,
        violations=violations,
    )


async def _run_payment(
    client: ApiClient, node: EntryNode, stand_ins: list[StandInUpstream]
) -> DemoRow:
    """Send one non-idempotent request twice under one id, and check that it runs once."""
    counters = node.host.dispatcher.counters
    exchanges, empty = counters.exchanges, counters.empty_replies
    id = await _mint(client)
    payload = {"ms": 50, "ticket": 1, "gross_kg": 20_000, "tare_kg": 9_000, "material": "ferrous"}
    request = SingleRequest(
        id=id,
        team=TeamName("al-mizan"),
        kind=KindName("weigh.ticket"),
        payload=msgspec.Raw(json.dumps(payload).encode()),
    )
    began = time.monotonic()
    first = await client.call("POST", "/v1/requests", JobAnswer, request)
    seconds = time.monotonic() - began
    second = await client.call("POST", "/v1/requests", JobAnswer, request)
    starts = sum(each.start_log.by_submission.get(id, 0) for each in stand_ins)
    violations = [] if starts == 1 else [f"a payment started {starts} times"]
    if first != second:
        violations.append("two requests for one payment got different answers")
    return DemoRow(
        name="payment",
        tasks=1,
        starts=starts,
        response_seconds=seconds,
        ideal_seconds=0.05,
        messages=2 * (counters.exchanges - exchanges),
        empty_replies=counters.empty_replies - empty,
        violations=violations,
    )


async def _mint(client: ApiClient) -> SubmissionId:
    minted = await client.call("POST", "/v1/ids", MintReply, MintRequest(count=1))
    reply: MintReply = minted.unwrap()
    return reply.ids[0]


async def _wait_for_answer(client: ApiClient, id: SubmissionId) -> JobAnswer | None:
    while True:
        path = f"/v1/jobs/{id}/answer?wait_ms=250"
        reply = await client.call("GET", path, JobView)
        if isinstance(reply, Err):
            return None
        message = reply.unwrap()
        if isinstance(message, JobAnswer):
            return message
        print(f"  {message.succeeded:5d} of {message.total} tasks done", flush=True)


def _check_answer(
    workload: ExampleWorkload,
    request: SubmitRequest,
    answer: JobAnswer | None,
    starts: int,
    stand_ins: list[StandInUpstream],
) -> list[str]:
    violations: list[str] = []
    if answer is None or answer.state is not JobState.COMPLETE or answer.results is None:
        return [f"no complete answer: {answer}"]
    if starts != len(request.tasks):
        violations.append(f"{starts} starts for {len(request.tasks)} tasks")
    if any(each.start_log.duplicates for each in stand_ins):
        violations.append("a task started twice")
    work = choose_alert_recipients if workload is ExampleWorkload.AURORA else compute_ticket
    expected = [work(json.loads(bytes(task))).unwrap() for task in request.tasks]
    if [json.loads(bytes(result)) for result in answer.results] != expected:
        violations.append("the answer differs from the expected results")
    return violations


def _compute_ideal_seconds(run_times_ms: list[int]) -> float:
    """Return how long the tasks take on all slots without overhead, started longest first."""
    slots = [0.0] * (UPSTREAMS * SLOTS)
    for run_time in sorted(run_times_ms, reverse=True):
        heapq.heappush(slots, heapq.heappop(slots) + run_time / 1000)
    return max(slots)


def _print_table(rows: list[DemoRow]) -> None:
    head = ("job", "tasks", "starts", "response", "ideal", "ratio", "messages", "/task", "empty")
    print(" ".join(f"{title:>9}" for title in head))
    for row in rows:
        ratio = row.response_seconds / row.ideal_seconds
        cells = (
            row.name,
            str(row.tasks),
            str(row.starts),
            f"{row.response_seconds:.3f}s",
            f"{row.ideal_seconds:.3f}s",
            f"{ratio:.2f}",
            str(row.messages),
            f"{row.messages / row.tasks:.2f}",
            str(row.empty_replies),
        )
        print(" ".join(f"{cell:>9}" for cell in cells))


def _build_entry_settings() -> EntrySettings:
    ports = _find_ports(4)
    listen = [Address("127.0.0.1", port) for port in ports]
    return EntrySettings(
        host=HOST,
        domain=DOMAIN,
        listen=Listeners(
            callers=listen[0], operators=listen[1], upstreams=listen[2], peers=listen[3]
        ),
        tokens=Tokens(
            callers=secrets.token_hex(8),
            operators=secrets.token_hex(8),
            upstreams=secrets.token_hex(8),
            peers=secrets.token_hex(8),
        ),
        peers=[],
        rules=None,
        data_folder=None,
        voters=[],
        limits=Limits(),
        policy=Policy(),
        submissions=SubmissionSettings(),
        retries=RetrySettings(),
        bodies=BodySettings(),
        drain_limit=timedelta(seconds=5),
        drain_linger=timedelta(0),
        log=LogSettings(),
    )


def _build_stand_in(entry: EntrySettings, number: int) -> StandInUpstream:
    settings = UpstreamSettings(
        upstream=UpstreamId(f"w{number}"),
        domain=entry.domain,
        rack="r1",
        slots=SLOTS,
        processors=32.0,
        memory_mb=65_536,
        accelerators=0,
        labels={},
        hosts=[EntryAddress(host=entry.host, address=entry.listen.upstreams)],
        token=entry.tokens.upstreams,
        listen=None,
        operator_token=None,
        delays=Delays(),
        log=LogSettings(),
    )
    return StandInUpstream(settings=settings, incarnation=Incarnation(secrets.token_hex(8)))


def _find_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports
