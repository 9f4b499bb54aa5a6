"""Client for the platform's workers (upstreams): starts, stops and polls.

The platform's word for a lease is hold; the path of polls, which renew leases, is named after it.
"""

from __future__ import annotations

import functools
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
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.ids import UpstreamId
from ..net.connections import ConnectionPools, Handshake, parse_address
from ..net.transport import HttpReply, TransportError
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


class WorkerClient:
    """Sends the coordinator's orders to the platform's workers; nothing else calls them."""

    def __init__(self, *, pools: ConnectionPools) -> None:
        self._pools = pools

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start; return its outcome and the worker's clock in ms, if reported."""
        body: dict[str, Any] = {
            "task": build_task_name(order.task),
            "run_id": order.run,
            "task_spec": order.payload,
            "expires_ms": order.expires_ms,
            "fencing_token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        sent = await self._call(order.upstream, START_PATH, body, order.response_timeout)
        if isinstance(sent, Err):
            return _classify_failed_start(sent.failure()), None
        reply = sent.unwrap()
        parsed = _read_reply(reply)
        clock_ms = parsed.clock_ms if parsed is not None else None
        return _find_start_outcome(reply.status, parsed), clock_ms

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop; return the failure, or None if the worker accepted it."""
        body = {"task": build_task_name(order.task), "run_id": order.run, "fencing_token": token}
        sent = await self._call(order.upstream, STOP_PATH, body, order.response_timeout)
        if isinstance(sent, Err):
            return _classify_failed_call(sent.failure())
        return _find_failure(sent.unwrap())

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        """Poll a worker: list its runs and ended runs, and renew its lease."""
        body: dict[str, Any] = {"fencing_token": token, "last_seen": order.last_seen}
        if order.expires_ms is not None:
            body["expires_ms"] = order.expires_ms
        wait_ms = to_milliseconds(order.wait)
        if wait_ms:
            body["wait_ms"] = wait_ms
        sent = await self._call(
            order.upstream, POLL_PATH, body, order.response_timeout + order.wait
        )
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

    async def _call(
        self, upstream: UpstreamInfo, path: str, body: dict[str, Any], timeout: timedelta
    ) -> Result[HttpReply, TransportError]:
        address = parse_address(upstream.address)
        if address is None:
            return Err(
                TransportError(message=f"{upstream.address} is not a valid address", unsent=True)
            )
        pool = self._pools.get(address)
        headers = {INSTANCE_HEADER: get_upstream_name(upstream.id)}
        data = msgspec.json.encode(body)
        handshake = None
        if find_start_ms(upstream.id) is not None:
            # Such a poll changes nothing at the worker, so it needs no handshake before it.
            is_read_only = path == POLL_PATH and not body["last_seen"] and "expires_ms" not in body
            handshake = _build_handshake(upstream.id, body["fencing_token"], is_read_only)
        return await pool.call(
            "POST", path, data, timeout=timeout, headers=headers, handshake=handshake
        )


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
    if clock_ms is None:
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
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def _read_run(row: list[Any]) -> RunReport | None:
    """Decode a listed run, or return None if it belongs to none of this system's tasks."""
    ref = parse_task_name(row[0])
    if ref is None:
        return None
    run, checkpoint, percent = row[1:4]
    if type(run) is not int or type(checkpoint) is not str or type(percent) not in (int, float):
        raise ValueError
    return RunReport(task=ref, run=RunNumber(run), checkpoint=checkpoint, percent=int(percent))


def _read_end(row: list[Any]) -> RunEndReport | None:
    """Decode a listed run end, or return None if it belongs to none of this system's tasks."""
    number, name, run, word = row[:4]
    checkpoint = row[4] or ""
    ref, how = parse_task_name(name), _RUN_END_BY_WORD.get(word)
    if ref is None or how is None:
        return None
    if type(number) is not int or type(run) is not int or type(checkpoint) is not str:
        raise ValueError
    return RunEndReport(number=number, task=ref, run=RunNumber(run), how=how, checkpoint=checkpoint)
