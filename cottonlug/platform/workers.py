"""Client for the platform's workers (upstreams): starts, stops and polls.

The platform's word for a lease is hold; the path of polls, which renew leases, is named after it.
"""

from __future__ import annotations

import functools
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result

from ..core.clock import to_milliseconds
from ..core.cluster.instance_ids import find_start_ms, get_upstream_name
from ..core.cluster.model import (
    PollReply,
    RunEndKind,
    RunEndReport,
    RunNumber,
    RunReport,
    UpstreamInfo,
)
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    OrderAnswer,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.ids import UpstreamId
from ..net.connections import ConnectionPool, ConnectionPools, Handshake, parse_address
from ..net.transport import DECODE_ERRORS, HttpReply, TransportError
from .decoding import is_count
from .jobs import build_task_name, parse_task_name

START_PATH = "/run-start"
STOP_PATH = "/run-stop"
POLL_PATH = "/hold"
INSTANCE_HEADER = "X-Expect-Instance"
"""Names the worker that a call is intended for, by its id without the start time."""
WRONG_INSTANCE_STATUS = 421
"""Status of the reply if another worker has received the call."""

FENCED_REASON = "fence"
_OUTCOME_BY_REASON = {  # reasons that come with status 409
    FENCED_REASON: StartOutcome.FENCED,
    "old": StartOutcome.OUTDATED,
    "late": StartOutcome.LATE,
    "room": StartOutcome.NO_ROOM,
}
_RUN_END_BY_WORD = {
    "done": RunEndKind.DONE,
    "failed": RunEndKind.FAILED,
    "stopped": RunEndKind.STOPPED,
    "lapsed": RunEndKind.LAPSED,
    "broken": RunEndKind.BROKEN,
    "alone": RunEndKind.ALONE,
}


class _ReplyBody(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""
    running: list[list[Any]] = []  # [task, run, checkpoint, percent, ...]
    finished: list[list[Any]] = []  # [number, task, run, how, checkpoint]
    born: int | None = None  # start time of the worker in Unix ms, sent with the lists


_decoder = msgspec.json.Decoder(_ReplyBody)
_CallResult = Result[HttpReply, TransportError]


class WorkerClient:
    """Sends the coordinator's orders to the platform's workers; nothing else calls them."""

    def __init__(self, *, pools: ConnectionPools) -> None:
        self._pools = pools

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        """Send an order at once if a connection is ready for it; return whether it was sent."""
        call = _build_call(order, token)
        pool = self._find_pool(order.upstream)
        if pool is None:
            return False
        return pool.try_call(
            "POST",
            call.path,
            msgspec.json.encode(call.body),
            lambda result: on_answer(_read_answer(order, result)),
            timeout=call.timeout,
            headers={INSTANCE_HEADER: get_upstream_name(order.upstream.id)},
            handshake=call.handshake,
        )

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start; return its outcome and the worker's clock in ms, if reported."""
        return _read_start(await self._send(order, token))

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop; return the failure, or None if the worker accepted it."""
        return _read_stop(await self._send(order, token))

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        """Poll a worker: list its runs and ended runs, and renew its lease."""
        return _read_poll(order, await self._send(order, token))

    def _find_pool(self, upstream: UpstreamInfo) -> ConnectionPool | None:
        address = parse_address(upstream.address)
        return self._pools.get(address) if address is not None else None

    async def _send(self, order: Order, token: int) -> _CallResult:
        pool = self._find_pool(order.upstream)
        if pool is None:
            message = f"{order.upstream.address} is not a valid address"
            return Err(TransportError(message=message, unsent=True))
        call = _build_call(order, token)
        return await pool.call(
            "POST",
            call.path,
            msgspec.json.encode(call.body),
            timeout=call.timeout,
            headers={INSTANCE_HEADER: get_upstream_name(order.upstream.id)},
            handshake=call.handshake,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _WorkerCall:
    """An order as a call of the platform's interface."""

    path: str
    body: dict[str, Any]
    timeout: timedelta
    handshake: Handshake | None = None


def _build_call(order: Order, token: int) -> _WorkerCall:
    if isinstance(order, PollOrder):
        return _build_poll(order, token)
    path, body = (
        (START_PATH, _build_start_body(order, token))
        if isinstance(order, StartOrder)
        else (STOP_PATH, _build_stop_body(order, token))
    )
    return _WorkerCall(
        path=path,
        body=body,
        timeout=order.response_timeout,
        handshake=_find_handshake(order.upstream, token, is_read_only=False),
    )


def _build_start_body(order: StartOrder, token: int) -> dict[str, Any]:
    body: dict[str, Any] = {
        "task": build_task_name(order.task),
        "run_id": order.run,
        "task_spec": order.payload,
        "expires_ms": order.expires_ms,
        "fencing_token": token,
    }
    if order.checkpoint:
        body["checkpoint"] = order.checkpoint
    return body


def _build_stop_body(order: StopOrder, token: int) -> dict[str, Any]:
    return {"task": build_task_name(order.task), "run_id": order.run, "fencing_token": token}


def _build_poll(order: PollOrder, token: int) -> _WorkerCall:
    body: dict[str, Any] = {"fencing_token": token, "last_seen": order.last_seen}
    if order.expires_ms is not None:
        body["expires_ms"] = order.expires_ms
    wait_ms = to_milliseconds(order.wait)
    if wait_ms:
        body["wait_ms"] = wait_ms
    # Such a poll changes nothing at the worker, so it needs no handshake before it.
    is_read_only = not order.last_seen and order.expires_ms is None
    return _WorkerCall(
        path=POLL_PATH,
        body=body,
        timeout=order.response_timeout + order.wait,
        handshake=_find_handshake(order.upstream, token, is_read_only=is_read_only),
    )


def _find_handshake(upstream: UpstreamInfo, token: int, *, is_read_only: bool) -> Handshake | None:
    """Return the handshake before a call; None for a worker that reports no start time."""
    if find_start_ms(upstream.id) is None:
        return None
    return _build_handshake(upstream.id, token, is_read_only)


def _read_answer(order: Order, sent: _CallResult) -> OrderAnswer:
    if isinstance(order, StartOrder):
        return _read_start(sent)
    if isinstance(order, StopOrder):
        return _read_stop(sent)
    return _read_poll(order, sent)


def _read_start(sent: _CallResult) -> tuple[StartOutcome, int | None]:
    if isinstance(sent, Err):
        return _classify_failed_start(sent.failure()), None
    reply = sent.unwrap()
    parsed = _read_reply(reply)
    clock_ms = parsed.clock_ms if parsed is not None else None
    return _find_start_outcome(reply.status, parsed), clock_ms if is_count(clock_ms) else None


def _read_stop(sent: _CallResult) -> CallFailure | None:
    if isinstance(sent, Err):
        return _classify_failed_call(sent.failure())
    return _find_failure(sent.unwrap())


def _read_poll(order: PollOrder, sent: _CallResult) -> PollReply | CallFailure:
    if isinstance(sent, Err):
        return _classify_failed_call(sent.failure())
    failure = _find_failure(sent.unwrap())
    if failure is not None:
        return failure
    parsed = _read_reply(sent.unwrap())
    if (
        parsed is not None
        and parsed.born is not None
        and not _is_same_instance(order.upstream.id, parsed)
    ):
        # An upstream recorded without a start time, as in logs of earlier versions, may be this
        # instance or another.
        is_known = find_start_ms(order.upstream.id) is not None
        return CallFailure.INSTANCE_ENDED if is_known else CallFailure.REFUSED
    lists = read_run_lists(parsed.clock_ms, parsed.running, parsed.finished) if parsed else None
    return lists if lists is not None else CallFailure.REFUSED


@functools.lru_cache(maxsize=8_192)
def _build_handshake(upstream: UpstreamId, token: int, is_own_handshake: bool) -> Handshake:
    """Return the handshake by which a worker confirms which of its instances answers.

    `INSTANCE_HEADER` carries only the worker's id, which a later instance may share.
    """
    return Handshake(
        identity=upstream,
        confirms=lambda reply: _is_same_instance(upstream, _read_reply(reply)),
        path="" if is_own_handshake else POLL_PATH,
        build_body=lambda: msgspec.json.encode({"fencing_token": token, "last_seen": 0}),
    )


def _is_same_instance(upstream: UpstreamId, parsed: _ReplyBody | None) -> bool:
    return parsed is not None and parsed.born == find_start_ms(upstream)


def _classify_failed_start(error: TransportError) -> StartOutcome:
    if error.is_identity_mismatch:
        return StartOutcome.INSTANCE_ENDED
    return StartOutcome.NOT_SENT if error.unsent else StartOutcome.UNKNOWN


def _classify_failed_call(error: TransportError) -> CallFailure:
    return CallFailure.INSTANCE_ENDED if error.is_identity_mismatch else CallFailure.NO_ANSWER


def read_run_lists(
    clock_ms: int | None, running: list[list[Any]], finished: list[list[Any]]
) -> PollReply | None:
    """Decode a worker's runs and ended runs; return None if malformed or without a clock."""
    if clock_ms is None or not is_count(clock_ms):
        return None
    try:
        return PollReply(
            clock_ms=clock_ms,
            running=tuple(run for row in running if (run := _read_run(row)) is not None),
            ended=tuple(end for row in finished if (end := _read_end(row)) is not None),
        )
    except (AttributeError, IndexError, TypeError, ValueError):
        return None


def _find_start_outcome(status: int, parsed: _ReplyBody | None) -> StartOutcome:
    if status == 200:
        return StartOutcome.STARTED
    if status == 409:
        reason = parsed.reason if parsed is not None else ""
        return _OUTCOME_BY_REASON.get(reason, StartOutcome.INVALID)
    if status in (429, 503):
        return StartOutcome.UNHEALTHY
    if status == WRONG_INSTANCE_STATUS:
        return StartOutcome.INSTANCE_ENDED
    if status == 400:
        return StartOutcome.INVALID
    return StartOutcome.UNKNOWN


def _find_failure(reply: HttpReply) -> CallFailure | None:
    if reply.status == 200:
        return None
    if reply.status == WRONG_INSTANCE_STATUS:
        return CallFailure.INSTANCE_ENDED
    parsed = _read_reply(reply)
    is_fenced = reply.status == 409 and parsed is not None and parsed.reason == FENCED_REASON
    return CallFailure.FENCED if is_fenced else CallFailure.REFUSED


def _read_reply(reply: HttpReply) -> _ReplyBody | None:
    try:
        return _decoder.decode(reply.body)
    except DECODE_ERRORS:
        return None


def _read_run(row: list[Any]) -> RunReport | None:
    """Decode a listed run, or return None if it belongs to none of this system's tasks."""
    ref = parse_task_name(row[0])
    if ref is None:
        return None
    run, checkpoint, percent = row[1:4]
    if not is_count(run) or type(checkpoint) is not str or type(percent) not in (int, float):
        raise ValueError
    percent = int(min(max(percent, 0), 100))
    return RunReport(task=ref, run=RunNumber(run), checkpoint=checkpoint, percent=percent)


def _read_end(row: list[Any]) -> RunEndReport | None:
    """Decode a listed run end, or return None if it belongs to none of this system's tasks."""
    number, name, run, word = row[:4]
    checkpoint = row[4] or ""
    ref, how = parse_task_name(name), _RUN_END_BY_WORD.get(word)
    if ref is None or how is None:
        return None
    if not (is_count(number) and is_count(run)) or type(checkpoint) is not str:
        raise ValueError
    return RunEndReport(number=number, task=ref, run=RunNumber(run), how=how, checkpoint=checkpoint)
