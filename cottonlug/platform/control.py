"""The interface for workers and operators: heartbeats, leaving and configurations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Failure as Err

from ..core.cluster.calls import (
    Answer,
    AskConfiguration,
    Beat,
    Call,
    Configure,
    HeartbeatOrders,
    Leave,
    Outcome,
)
from ..core.cluster.checks import find_configuration_problem
from ..core.cluster.model import Capacity, Heartbeat, ServiceName, UpstreamInfo
from ..core.ids import DomainName, UpstreamId
from ..net.asgi import Handler, HttpRequest, HttpResponse
from .configurations import decode_configuration
from .jobs import name_task
from .workers import read_lists

INSTANCES = "/instances/"
CONFIGURATION = "/config"
DRAINING = "draining"

STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.REJECTED: 503,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
    Outcome.INVALID: 400,
}


class _CapacityBody(msgspec.Struct):
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    seq_no: int = 0
    clock_ms: int | None = None  # on the worker's own steady clock
    capacity: _CapacityBody = msgspec.field(default_factory=_CapacityBody)
    labels: list[str] = []
    running: list[list[Any]] = []  # where orders come with the answers: as in a look
    finished: list[list[Any]] = []


_heartbeat_decoder = msgspec.json.Decoder(_HeartbeatBody)


def build_control_handler(answer: Callable[[Call], Awaitable[Answer]]) -> Handler:
    """Return the handler of the platform's control interface."""

    async def handle(request: HttpRequest) -> HttpResponse:
        call = _decode_call(request)
        if isinstance(call, HttpResponse):
            return call
        return _encode_answer(call, await answer(call))

    return handle


def _decode_call(request: HttpRequest) -> Call | HttpResponse:
    if request.path.startswith(INSTANCES):
        id = UpstreamId(request.path[len(INSTANCES) :])
        if request.method == "DELETE":
            return Leave(upstream=id)
        if request.method == "PUT":
            return _decode_heartbeat(id, request.body)
    if request.path == CONFIGURATION:
        if request.method == "GET":
            return AskConfiguration()
        if request.method == "PUT":
            return _decode_configure(request.body)
    return HttpResponse(status=404)


def _decode_heartbeat(id: UpstreamId, body: bytes) -> Call | HttpResponse:
    try:
        read = _heartbeat_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _refuse(str(error))
    info = UpstreamInfo(
        id=id,
        service=ServiceName(read.service),
        address=read.address,
        domain=DomainName(read.zone),
        capacity=Capacity(
            cpu_millis=read.capacity.cpu,
            memory_mb=read.capacity.mem_mb,
            gpus=read.capacity.gpu,
        ),
        labels=tuple(read.labels),
    )
    draining = read.state == DRAINING
    heartbeat = Heartbeat(
        info=info,
        sequence=read.seq_no,
        draining=draining,
        clock_ms=read.clock_ms,
        held=read_lists(read.clock_ms, read.running, read.finished),
    )
    return Beat(heartbeat=heartbeat)


def _decode_configure(body: bytes) -> Call | HttpResponse:
    decoded = decode_configuration(body)
    if isinstance(decoded, Err):
        return _refuse(decoded.failure())
    problem = find_configuration_problem(decoded.unwrap())
    if problem is not None:
        return _refuse(problem)
    return Configure(configuration=decoded.unwrap())


def _encode_answer(call: Call, answer: Answer) -> HttpResponse:
    status = STATUS_OF_OUTCOME.get(answer.outcome, 503)
    if status != 200:
        return HttpResponse(status=status, body=msgspec.json.encode({"error": answer.detail}))
    if answer.document is not None:
        return HttpResponse(status=200, body=answer.document.encode())
    body: dict[str, Any] = {}
    if isinstance(call, Beat) and answer.leader_control is not None:
        body["heartbeat_url"] = answer.leader_control
    if answer.orders is not None:
        body |= _encode_orders(answer.orders)
    return HttpResponse(status=200, body=msgspec.json.encode(body))


def _encode_orders(orders: HeartbeatOrders) -> dict[str, Any]:
    body: dict[str, Any] = {"fencing_token": orders.token, "last_seen": orders.last_seen}
    if orders.lease_ms is not None:
        body["hold_ms"] = orders.lease_ms
    if orders.starts:
        body["start"] = [
            [name_task(start.task), start.run, start.payload, start.checkpoint]
            for start in orders.starts
        ]
    if orders.stops:
        body["stop"] = [[name_task(task), run] for task, run in orders.stops]
    if orders.next_after_ms is not None:
        body["retry_after_ms"] = orders.next_after_ms
    return body


def _refuse(problem: str) -> HttpResponse:
    return HttpResponse(status=400, body=msgspec.json.encode({"error": problem}))
