"""HTTP API of the replicated configuration (the rules), for other entry hosts and operators."""

from __future__ import annotations

from typing import Any

from litestar import Request, Response, get, post
from litestar.handlers import HTTPRouteHandler
from returns.result import Failure as Err

from ..core.configuration import ChangeCommand
from ..core.control_messages import ConsensusBatch
from ..core.messages import Refusal
from ..core.states import RefusalCode
from ..runtime.control import Control
from ..runtime.voter import Voter
from .apps import build_guard
from .codec import decode
from .replies import reply_json, reply_refusal

_Request = Request[Any, Any, Any]
_MAX_WAIT_MS = 60_000


def build_peer_control_handlers(control: Control, token: str) -> list[HTTPRouteHandler]:
    """Return the route handlers for other entry hosts."""
    guards = [build_guard(token)]

    @get("/v1/control/view", guards=guards)
    async def view_configuration(request: _Request) -> Response[bytes]:
        """Return the active configuration, waiting for one newer than version `after`."""
        after = request.query_params.get("after", "0")
        wait_ms = request.query_params.get("wait_ms", "0")
        if not after.isdecimal() or not wait_ms.isdecimal() or int(wait_ms) > _MAX_WAIT_MS:
            message = f"after and wait_ms are whole numbers, wait_ms at most {_MAX_WAIT_MS}"
            return reply_refusal(Refusal(code=RefusalCode.INVALID, message=message))
        return reply_json(await control.wait_view(int(after), int(wait_ms) / 1000))

    @post("/v1/control/change", guards=guards)
    async def change_configuration(request: _Request) -> Response[bytes]:
        """Decide on a change; every outcome is returned with status 200."""
        return await _handle_change(control, request)

    handlers: list[HTTPRouteHandler] = [view_configuration, change_configuration]
    if isinstance(control, Voter):
        handlers += _build_voter_handlers(control, token)
    return handlers


def build_operator_control_handlers(control: Control, token: str) -> list[HTTPRouteHandler]:
    """Return the route handler by which operators change the rules."""

    @post("/v1/rules", guards=[build_guard(token)])
    async def apply_rules(request: _Request) -> Response[bytes]:
        """Replace the rules if their version is still the base version of the change.

        Every decision is returned with status 200; `decision` says whether it was accepted.
        """
        return await _handle_change(control, request)

    return [apply_rules]


def _build_voter_handlers(voter: Voter, token: str) -> list[HTTPRouteHandler]:
    guards = [build_guard(token)]

    @get("/v1/control/hello", guards=guards)
    async def greet() -> Response[bytes]:
        """Return the member id on this voter's disk, and whether it ever took part."""
        return reply_json(voter.build_hello())

    @post("/v1/consensus", guards=guards)
    async def exchange_messages(request: _Request) -> Response[bytes]:
        """Receive another member's messages and return the answers."""
        decoded = decode(await request.body(), ConsensusBatch)
        if isinstance(decoded, Err):
            return reply_refusal(decoded.failure())
        return reply_json(voter.receive(decoded.unwrap()))

    return [greet, exchange_messages]


async def _handle_change(control: Control, request: _Request) -> Response[bytes]:
    decoded = decode(await request.body(), ChangeCommand)
    if isinstance(decoded, Err):
        return reply_refusal(decoded.failure())
    decided = await control.change(decoded.unwrap())
    if isinstance(decided, Err):
        return reply_refusal(decided.failure())
    return reply_json(decided.unwrap())
