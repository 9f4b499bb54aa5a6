"""Calls of operators about evacuations, in the platform's words: requests built, replies read."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from .control import EVACUATION_PATH

_FINAL_STATUSES = frozenset({400, 404, 409, 412, 413, 422})
"""Statuses after which the same call has no better chance at another host."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorCall:
    """One request to a control host."""

    method: str
    path: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OperatorReply:
    """What a control host has answered; `problem` is empty where it did what was asked."""

    is_done: bool = False
    is_final: bool = False
    """Whether another host would say the same."""
    problem: str = ""
    body: bytes = b""


class EvacuatedDomain(msgspec.Struct):
    """A failure domain that is evacuated, since a wall-clock time."""

    domain: str = msgspec.field(name="zone")
    since_ms: int
    revision: int


class EvacuationList(msgspec.Struct):
    """The failure domains that are evacuated."""

    evacuations: list[EvacuatedDomain]


def build_evacuation_call(domain: str, *, begin: bool) -> OperatorCall:
    """Return the call that begins or ends the evacuation of a domain."""
    method = "POST" if begin else "DELETE"
    return OperatorCall(method=method, path=f"{EVACUATION_PATH}/{quote(domain, safe='')}")


def build_list_call() -> OperatorCall:
    """Return the call that asks which domains are evacuated."""
    return OperatorCall(method="GET", path=EVACUATION_PATH)


def read_reply(status: int, body: bytes) -> OperatorReply:
    """Return what a status and a body say."""
    if status == 200:
        return OperatorReply(is_done=True, body=body)
    detail = body.decode(errors="replace")
    return OperatorReply(is_final=status in _FINAL_STATUSES, problem=f"{status} {detail}")


def read_list(reply: OperatorReply) -> EvacuationList | None:
    """Return the list in a reply, or None where there is none."""
    if not reply.is_done:
        return None
    try:
        return msgspec.json.decode(reply.body, type=EvacuationList)
    except msgspec.MsgspecError:
        return None
