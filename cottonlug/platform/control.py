"""The interface for workers and operators: heartbeats, leaving and configurations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Failure as Err

from ..core.cluster.calls import (
    Answer,
    AskConfiguration,
    AskEvacuations,
    Beat,
    Call,
    Configure,
    Evacuate,
    HeartbeatOrders,
    Leave,
    Outcome,
)
from ..core.cluster.checks import find_configuration_problem
from ..core.cluster.evacuations import EvacuationRecord
from ..core.cluster.identity import SEPARATOR, name_life
from ..core.cluster.model import Capacity, Heartbeat, ServiceName, UpstreamInfo
from ..core.ids import DomainName, UpstreamId
from ..net.asgi import Handler, HttpRequest, HttpResponse
from .configurations import decode_configuration
from .jobs import name_task
from .workers import read_lists

INSTANCES = "/instances/"
CONFIGURATION = "/config"
EVACUATION = "/evacuation"
DRAINING = "draining"

STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.REJECTED: 503,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
    Outcome.INVALID: 400,
    Outcome.NO_DOMAIN: 404,
}


_CAPACITY_FIELDS = ("cpu", "mem_mb", "gpu")  # the first in thousandths of a core
_MOST_OF_ANYTHING = 1_000_000_000
"""A million cores, a petabyte: what claims to have more cannot be right."""
_LAST_MOMENT_MS = 1 << 52
"""Unix milliseconds; far beyond any start, and exact in every reader of JSON."""


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str = ""
    state: str = "ready"
    seq_no: int = 0
    cold_left_ms: Any = 0  # by itself, like the capacity
    clock_ms: int | None = None  # on the worker's own steady clock
    born: int | msgspec.UnsetType = msgspec.UNSET  # Unix milliseconds of its start, if it tells
    capacity: Any = None  # by itself, so that a bad one costs nothing else
    labels: list[str] = []
    running: list[list[Any]] = []  # where orders come with the answers: as in a look
    finished: list[list[Any]] = []


class _LeaveBody(msgspec.Struct):
    born: int | msgspec.UnsetType = msgspec.UNSET


_leave_decoder = msgspec.json.Decoder(_LeaveBody)
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
        name = request.path[len(INSTANCES) :]
        if not name or SEPARATOR in name:
            return _refuse("the path names no worker")
        if request.method == "DELETE":
            return _decode_leave(name, request.body)
        if request.method == "PUT":
            return _decode_heartbeat(name, request.body)
    if request.path == CONFIGURATION:
        if request.method == "GET":
            return AskConfiguration()
        if request.method == "PUT":
            return _decode_configure(request.body)
    if request.path == EVACUATION and request.method == "GET":
        return AskEvacuations()
    if request.path.startswith(f"{EVACUATION}/") and request.method in ("POST", "DELETE"):
        return _decode_evacuation(request)
    return HttpResponse(status=404)


def _decode_evacuation(request: HttpRequest) -> Call | HttpResponse:
    """Decode an order about a zone; its whole meaning is in method and path."""
    if request.body.strip():
        return _refuse("an order about an evacuation has no body; it was not carried out")
    zone = request.path[len(EVACUATION) + 1 :]
    if not zone:
        return _refuse("the path names no zone")
    return Evacuate(domain=DomainName(zone), is_evacuated=request.method == "POST")


def _decode_leave(name: str, body: bytes) -> Call | HttpResponse:
    try:
        read = _leave_decoder.decode(body) if body.strip() else _LeaveBody()
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _refuse(str(error))
    life = _name_life(name, read.born)
    return Leave(upstream=life) if life is not None else _refuse("born is out of range")


def _name_life(name: str, born: int | msgspec.UnsetType) -> UpstreamId | None:
    """Return the id of the life that speaks, or None where its start cannot be right."""
    if isinstance(born, msgspec.UnsetType):
        return name_life(name, None)
    return name_life(name, born) if 0 <= born <= _LAST_MOMENT_MS else None


def _decode_heartbeat(name: str, body: bytes) -> Call | HttpResponse:
    try:
        read = _heartbeat_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _refuse(str(error))
    life = _name_life(name, read.born)
    if life is None:
        return _refuse("born is out of range")
    capacity = _read_capacity(read.capacity)
    info = UpstreamInfo(
        id=life,
        service=ServiceName(read.service),
        address=read.address,
        domain=DomainName(read.zone),
        capacity=capacity or Capacity(),
        labels=tuple(read.labels),
    )
    draining = read.state == DRAINING
    heartbeat = Heartbeat(
        info=info,
        sequence=read.seq_no,
        draining=draining,
        clock_ms=read.clock_ms,
        has_no_capacity=capacity is None,
        cold_left_ms=_read_cold_left(read.cold_left_ms),
        held=read_lists(read.clock_ms, read.running, read.finished),
    )
    return Beat(heartbeat=heartbeat)


def _read_capacity(body: Any) -> Capacity | None:
    """Return what a worker has to give, or None where that cannot be read or cannot be."""
    if not isinstance(body, dict):
        return None
    amounts = [body.get(name, 0) for name in _CAPACITY_FIELDS]
    if not all(type(amount) is int and 0 <= amount <= _MOST_OF_ANYTHING for amount in amounts):
        return None
    return Capacity(cpu_millis=amounts[0], memory_mb=amounts[1], gpus=amounts[2])


def _read_cold_left(value: Any) -> int:
    """Return for how many milliseconds a worker is still slow; 0 where that cannot be read."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return int(value) if is_number and 0 < value < _MOST_OF_ANYTHING else 0


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
    if answer.evacuations is not None:
        return HttpResponse(status=200, body=_encode_evacuations(answer.evacuations))
    if answer.document is not None:
        return HttpResponse(status=200, body=answer.document.encode())
    body: dict[str, Any] = {}
    if isinstance(call, Beat) and answer.leader_control is not None:
        body["heartbeat_url"] = answer.leader_control
    if answer.orders is not None:
        body |= _encode_orders(answer.orders)
    return HttpResponse(status=200, body=msgspec.json.encode(body))


def _encode_evacuations(evacuations: tuple[EvacuationRecord, ...]) -> bytes:
    rows = [
        {"zone": each.domain, "since_ms": each.since_ms, "revision": each.revision}
        for each in evacuations
    ]
    return msgspec.json.encode({"evacuations": rows})


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
