"""Client side of the evacuation API: builds operators' requests and reads the replies."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from .control import EVACUATION_PATH

_FINAL_STATUSES = frozenset({400, 404, 409, 412, 413, 422})
"""Statuses after which another host would give the same answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorCall:
    """A request to a control host."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorReply:
    """A control host's reply; `problem` is empty if the request succeeded."""

    is_done: bool = False
    is_final: bool = False
    """Whether another host would give the same answer."""
    problem: str = ""
    body: bytes = b""


class EvacuatedDomain(msgspec.Struct):
    """An evacuated failure domain; `since_ms` is a wall-clock time in Unix ms."""

    domain: str = msgspec.field(name="zone")
    since_ms: int
    revision: int


class EvacuationList(msgspec.Struct):
    """All evacuated failure domains."""

    evacuations: list[EvacuatedDomain]


def build_evacuation_call(domain: str, *, begin: bool) -> OperatorCall:
    """Build the request that begins or ends the evacuation of a domain."""
    method = "POST" if begin else "DELETE"
    return OperatorCall(method=method, path=f"{EVACUATION_PATH}/{quote(domain, safe='')}")


def build_list_call() -> OperatorCall:
    """Build the request that lists the evacuated domains."""
    return OperatorCall(method="GET", path=EVACUATION_PATH)


def read_reply(status: int, body: bytes) -> OperatorReply:
    """Interpret the status and body of a reply."""
    if status == 200:
        return OperatorReply(is_done=True, body=body)
    detail = body.decode(errors="replace")
    return OperatorReply(is_final=status in _FINAL_STATUSES, problem=f"{status} {detail}")


def read_list(reply: OperatorReply) -> EvacuationList | None:
    """Decode the list in a reply, or return None if the reply has none."""
    if not reply.is_done:
        return None
    try:
        return msgspec.json.decode(reply.body, type=EvacuationList)
    except msgspec.MsgspecError:
        return None
