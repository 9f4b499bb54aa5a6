"""The interface for workers and operators: heartbeats, leaving and configurations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result

from ..core.cluster.calls import (
    Answer,
    AskConfiguration,
    AskEvacuations,
    Call,
    Configure,
    Evacuate,
    ForwardHeartbeat,
    ForwardLeave,
    HeartbeatOrders,
    Outcome,
)
from ..core.cluster.evacuations import EvacuationRecord
from ..core.cluster.validation import find_configuration_problem
from ..core.ids import DomainName
from ..net.asgi import Handler, HttpRequest, HttpResponse
from .configurations import decode_configuration
from .heartbeats import decode_heartbeat, decode_leave
from .jobs import name_task

INSTANCES = "/instances/"
CONFIGURATION = "/config"
EVACUATION = "/evacuation"

STATUS_OF_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.REJECTED: 503,
    Outcome.UNAVAILABLE: 503,
    Outcome.UNKNOWN: 504,
    Outcome.INVALID: 400,
    Outcome.NO_DOMAIN: 404,
}


def build_control_handler(
    answer: Callable[[Call], Awaitable[Answer]],
    note_refused: Callable[[str, str], None] = lambda name, reason: None,
) -> Handler:
    """Return the handler of the platform's control interface.

    `note_refused` is told of each heartbeat that names no upstream: under which id, and why.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        call = _decode_call(request, note_refused)
        if isinstance(call, HttpResponse):
            return call
        return _encode_answer(call, await answer(call))

    return handle


def _decode_call(
    request: HttpRequest, note_refused: Callable[[str, str], None]
) -> Call | HttpResponse:
    if request.path.startswith(INSTANCES):
        name = request.path[len(INSTANCES) :]
        if request.method == "DELETE":
            return _take_worker(name, decode_leave(name, request.body), note_refused)
        if request.method == "PUT":
            return _take_worker(name, decode_heartbeat(name, request.body), note_refused)
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


def _take_worker(
    name: str,
    decoded: Result[ForwardHeartbeat, str] | Result[ForwardLeave, str],
    note_refused: Callable[[str, str], None],
) -> Call | HttpResponse:
    if isinstance(decoded, Err):
        note_refused(name, decoded.failure())
        return _refuse(decoded.failure())
    return decoded.unwrap()


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
    if isinstance(call, ForwardHeartbeat) and answer.leader_control is not None:
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
