"""Decoding and validation of the heartbeats and leave messages of workers (upstreams).

A heartbeat may be sent or forwarded by other software: fields may be missing or of the wrong type,
the state unknown or the body undecodable. All of that is checked here, so later code need not.
"""

from __future__ import annotations

from typing import Any

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.cluster.calls import ForwardHeartbeat, ForwardLeave
from ..core.cluster.instance_ids import SEPARATOR, build_instance_id
from ..core.cluster.model import Capacity, Heartbeat, ServiceName, UpstreamInfo
from ..core.ids import DomainName, UpstreamId
from ..net.connections import parse_address
from ..net.transport import DECODE_ERRORS
from .decoding import describe_error, is_count
from .workers import read_run_lists

READY = "ready"
DRAINING = "draining"

_CAPACITY_FIELDS = ("cpu", "mem_mb", "gpu")  # cpu is in thousandths of a core
_MAX_AMOUNT = 1_000_000_000
"""A million cores or a petabyte: a larger amount cannot be right."""
_MAX_NAME_CHARS = 256
"""Names are limited because upstream records go into the replicated log and to every gateway."""
_MAX_LABELS = 64


class _HeartbeatBody(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    seq_no: int
    cold_left_ms: Any = 0  # checked separately, like the capacity
    clock_ms: int | None = None  # the worker's monotonic clock
    born: int | msgspec.UnsetType = msgspec.UNSET  # start time in Unix ms, if reported
    capacity: Any = None  # checked separately: an invalid one must not void the rest
    labels: list[str] = []
    running: list[list[Any]] = []  # as in a poll reply, if orders come with heartbeat answers
    finished: list[list[Any]] = []


class _LeaveBody(msgspec.Struct):
    born: int | msgspec.UnsetType = msgspec.UNSET


_leave_decoder = msgspec.json.Decoder(_LeaveBody)
_heartbeat_decoder = msgspec.json.Decoder(_HeartbeatBody)


def decode_heartbeat(name: str, body: bytes) -> Result[ForwardHeartbeat, str]:
    """Decode the heartbeat of the worker with this id, or return the reason why it is invalid."""
    try:
        parsed = _heartbeat_decoder.decode(body)
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
    problem = _find_problem(name, parsed)
    if problem is not None:
        return Err(problem)
    capacity = _read_capacity(parsed.capacity)
    info = UpstreamInfo(
        id=_build_instance_id(name, parsed.born),
        service=ServiceName(parsed.service),
        address=parsed.address,
        domain=DomainName(parsed.zone),
        capacity=capacity or Capacity(),
        labels=tuple(parsed.labels),
        kind=parsed.labels[0] if parsed.labels else "",  # the labels are the kind and the rack
    )
    heartbeat = Heartbeat(
        info=info,
        sequence=parsed.seq_no,
        draining=parsed.state == DRAINING,
        clock_ms=parsed.clock_ms,
        is_capacity_unreadable=capacity is None,
        cold_left_ms=_read_cold_left(parsed.cold_left_ms),
        poll_reply=read_run_lists(parsed.clock_ms, parsed.running, parsed.finished),
    )
    return Success(ForwardHeartbeat(heartbeat=heartbeat))


def decode_leave(name: str, body: bytes) -> Result[ForwardLeave, str]:
    """Decode the leave message of the worker with this id, or return why it is invalid."""
    try:
        parsed = _leave_decoder.decode(body) if body.strip() else _LeaveBody()
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
    if not _is_valid_name(name):
        return Err("the path names no worker")
    if not _is_valid_start_time(parsed.born):
        return Err("born is out of range")
    return Success(ForwardLeave(upstream=_build_instance_id(name, parsed.born)))


def _find_problem(name: str, parsed: _HeartbeatBody) -> str | None:
    """Return the reason why a heartbeat is invalid, or None."""
    if not _is_valid_name(name):
        return "the path names no worker"
    if parsed.state not in (READY, DRAINING):
        return f"unknown state {parsed.state[:_MAX_NAME_CHARS]}"
    if parse_address(parsed.address) is None:
        return "the address is not of the form HOST:PORT"
    texts = (parsed.service, parsed.zone, parsed.address, *parsed.labels)
    if not parsed.service or not parsed.zone or max(map(len, texts)) > _MAX_NAME_CHARS:
        return "a name is empty or too long"
    if len(parsed.labels) > _MAX_LABELS:
        return "too many labels"
    if not (is_count(parsed.seq_no) and is_count(parsed.clock_ms or 0)):
        return "a count is out of range"
    return None if _is_valid_start_time(parsed.born) else "born is out of range"


def _is_valid_name(name: str) -> bool:
    return 0 < len(name) <= _MAX_NAME_CHARS and SEPARATOR not in name


def _is_valid_start_time(born: int | msgspec.UnsetType) -> bool:
    return isinstance(born, msgspec.UnsetType) or is_count(born)


def _build_instance_id(name: str, born: int | msgspec.UnsetType) -> UpstreamId:
    return build_instance_id(name, None if isinstance(born, msgspec.UnsetType) else born)


def _read_capacity(body: Any) -> Capacity | None:
    """Return a worker's capacity, or None if it is malformed or impossible."""
    if not isinstance(body, dict):
        return None
    amounts = [body.get(name, 0) for name in _CAPACITY_FIELDS]
    if not all(type(amount) is int and 0 <= amount <= _MAX_AMOUNT for amount in amounts):
        return None
    return Capacity(cpu_millis=amounts[0], memory_mb=amounts[1], gpus=amounts[2])


def _read_cold_left(value: Any) -> int:
    """Return for how many ms a worker still runs tasks slowly, or 0 if the value is invalid."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return int(value) if is_number and 0 < value < _MAX_AMOUNT else 0
