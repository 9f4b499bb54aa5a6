"""Calls to other hosts of the cluster; those to a host that is given up as lost end at once.

Jobs that need not be kept hold their calls until they have ended. All other calls are short and
have connections of their own, to a port of their own: a greeting that had to open one, behind those
of all jobs that come at once, was not answered in time. A host takes in one connection in each turn
of its loop, and after a power cut 97 gateways open a thousand for the jobs that have waited: their
greetings were up to 0.85 s old for six seconds, so that their jobs were given up and came again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err
from returns.result import Result

from ..config.options import Address
from ..core.cluster.calls import Answer, Call, Greet, Outcome, Submit, answer_decoder, call_decoder
from ..net.asgi import HttpRequest
from ..net.connections import ConnectionPools, parse_address
from ..net.transport import HttpReply, TransportError

CALL_PATH = "/v1/call"
PASS_ON_TIMEOUT = timedelta(seconds=3)
GREETING_PASSED = timedelta(milliseconds=60)
"""How long a host that passes a greeting on waits: its own answer must not come too late."""
HELD_CALLS = 32
"""Calls that last, at one host: as many connections of each gateway must fit a leader's files."""
SHORT_CALLS = 8
"""Calls that do not: a greeting at a time, and the odd question or cancel."""


def decode_greeting(request: HttpRequest) -> Greet | None:
    """Return the greeting that a request is, or None; other calls are not decoded."""
    if request.path != CALL_PATH or _GREETING_MARK not in request.body[:_MARK_END]:
        return None
    try:
        call = call_decoder.decode(request.body)
    except msgspec.MsgspecError:
        return None
    return call if isinstance(call, Greet) else None


_GREETING_MARK = b'"greet"'
"""The tag of a greeting, which stands first in what is sent."""
_MARK_END = 24


class PeerCalls:
    """Calls under way, by the host that is to answer them."""

    def __init__(self, *, urgent_port: int | None = None) -> None:
        self._pools = ConnectionPools(max_connections=SHORT_CALLS, port=urgent_port)
        self._held_pools = ConnectionPools(max_connections=HELD_CALLS)
        self.stamp: Callable[[Call], Call] = lambda call: call
        """Called with each call in the moment in which it is sent; returns what is sent."""
        self._lost: dict[str, asyncio.Event] = {}
        """For each host, set when calls that it has not answered are to be sent elsewhere."""

    async def ask(self, host: str, call: Call, timeout: timedelta) -> Answer:
        """Have a host answer a call; `UNAVAILABLE` only where it has surely not seen it."""
        address = parse_address(host)
        if address is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=f"{host} is not an address")
        sent = await self._send(host, address, call, timeout)
        if sent is None:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} does not decide any more")
        if isinstance(sent, Err):
            error = sent.failure()
            outcome = Outcome.UNAVAILABLE if error.unsent else Outcome.UNKNOWN
            return Answer(outcome=outcome, detail=error.message)
        reply = sent.unwrap()
        if reply.status != 200:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} answered {reply.status}")
        return answer_decoder.decode(reply.body)

    def lose(self, host: str) -> None:
        """End all calls that a host has not answered: their outcome is not known."""
        lost = self._lost.pop(host, None)
        if lost is not None:
            lost.set()

    def close(self) -> None:
        """Close all connections."""
        self._pools.close()
        self._held_pools.close()

    async def _send(
        self, host: str, address: Address, call: Call, timeout: timedelta
    ) -> Result[HttpReply, TransportError] | None:
        """Send a call; None where the host was lost before it answered."""
        lost = self._lost.setdefault(host, asyncio.Event())
        is_held = isinstance(call, Submit) and call.spec.best_effort
        pool = (self._held_pools if is_held else self._pools).get(address)
        sending = asyncio.create_task(
            pool.call(
                "POST",
                CALL_PATH,
                lambda: msgspec.json.encode(self.stamp(call)),
                timeout=timeout,
            )
        )
        losing = asyncio.create_task(lost.wait())
        try:
            await asyncio.wait([sending, losing], return_when=asyncio.FIRST_COMPLETED)
            return sending.result() if sending.done() else None
        finally:
            sending.cancel()
            losing.cancel()
