"""HTTP API for workers and operators: heartbeats, leaving, configurations and evacuations.

The platform's words are worker for an upstream, zone for a failure domain and hold for a lease.
"""

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
from .jobs import build_task_name

INSTANCES_PATH = "/instances/"
CONFIGURATION_PATH = "/config"
EVACUATION_PATH = "/evacuation"

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
    on_refused: Callable[[str, str], None] = lambda name, reason: None,
) -> Handler:
    """Return the handler of the platform's control API.

    `on_refused` is called with the id and the reason for each invalid heartbeat or leave message.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        call = _decode_call(request, on_refused)
        if isinstance(call, HttpResponse):
            return call
        return _encode_answer(call, await answer(call))

    return handle


def _decode_call(
    request: HttpRequest, on_refused: Callable[[str, str], None]
) -> Call | HttpResponse:
    if request.path.startswith(INSTANCES_PATH):
        name = request.path[len(INSTANCES_PATH) :]
        if request.method == "DELETE":
            return _unwrap_or_refuse(name, decode_leave(name, request.body), on_refused)
        if request.method == "PUT":
            return _unwrap_or_refuse(name, decode_heartbeat(name, request.body), on_refused)
    if request.path == CONFIGURATION_PATH:
        if request.method == "GET":
            return AskConfiguration()
        if request.method == "PUT":
            return _decode_configure(request.body)
    if request.path == EVACUATION_PATH and request.method == "GET":
        return AskEvacuations()
    if request.path.startswith(f"{EVACUATION_PATH}/") and request.method in ("POST", "DELETE"):
        return _decode_evacuation(request)
    return HttpResponse(status=404)


def _decode_evacuation(request: HttpRequest) -> Call | HttpResponse:
    """Decode an evacuation order, which is defined by method and path alone."""
    if request.body.strip():
        return _build_refusal(
            "an evacuation order must not have a body; the order was not executed"
        )
    zone = request.path[len(EVACUATION_PATH) + 1 :]
    if not zone:
        return _build_refusal("the path does not name a zone")
    return Evacuate(domain=DomainName(zone), is_evacuated=request.method == "POST")


def _unwrap_or_refuse(
    name: str,
    decoded: Result[ForwardHeartbeat, str] | Result[ForwardLeave, str],
    on_refused: Callable[[str, str], None],
) -> Call | HttpResponse:
    if isinstance(decoded, Err):
        on_refused(name, decoded.failure())
        return _build_refusal(decoded.failure())
    return decoded.unwrap()


def _decode_configure(body: bytes) -> Call | HttpResponse:
    decoded = decode_configuration(body)
    if isinstance(decoded, Err):
        return _build_refusal(decoded.failure())
    problem = find_configuration_problem(decoded.unwrap())
    if problem is not None:
        return _build_refusal(problem)
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
            [build_task_name(start.task), start.run, start.payload, start.checkpoint]
            for start in orders.starts
        ]
    if orders.stops:
        body["stop"] = [[build_task_name(task), run] for task, run in orders.stops]
    if orders.next_after_ms is not None:
        body["retry_after_ms"] = orders.next_after_ms
    return body


def _build_refusal(problem: str) -> HttpResponse:
    return HttpResponse(status=400, body=msgspec.json.encode({"error": problem}))
