"""Calls to other hosts of the cluster; those to a host that is given up as lost end at once.

Jobs that need not be kept go by `job_line`, over few connections. All other calls are short and
have connections of their own, to a port of their own, so that no greeting waits behind jobs:
gateways whose greetings were up to 0.85 s late were given up with all their jobs, which came again.
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
from .job_line import JobChannel

CALL_PATH = "/v1/call"
PASS_ON_TIMEOUT = timedelta(seconds=3)
GREETING_PASSED = timedelta(milliseconds=60)
"""How long a host that passes a greeting on waits: its own answer must not come too late."""
SHORT_CALLS = 8
"""A greeting at a time, and the odd question or cancel."""
LINE_CONNECTIONS = 4
"""A batch of jobs, a question for answers, and one each to take the place of one gone silent."""


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

    def __init__(self, *, own: str = "", urgent_port: int | None = None) -> None:
        self._own = own
        self._pools = ConnectionPools(max_connections=SHORT_CALLS, port=urgent_port)
        self._job_pools = ConnectionPools(max_connections=LINE_CONNECTIONS)
        self._lines: dict[str, JobChannel] = {}
        self.stamp: Callable[[Call], Call] = lambda call: call
        """Called with each call in the moment in which it is sent; returns what is sent."""
        self._lost: dict[str, asyncio.Event] = {}
        """For each host, set when calls that it has not answered are to be sent elsewhere."""

    async def ask(self, host: str, call: Call, timeout: timedelta) -> Answer:
        """Have a host answer a call; `UNAVAILABLE` only where it has surely not seen it."""
        address = parse_address(host)
        if address is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=f"{host} is not an address")
        if isinstance(call, Submit) and call.spec.best_effort:
            return await self._find_line(host, address).submit(call, timeout)
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
        line = self._lines.get(host)
        if line is not None:
            line.fail_pending()

    def close(self) -> None:
        """Close all connections."""
        for line in self._lines.values():
            line.close()
        self._pools.close()
        self._job_pools.close()

    def _find_line(self, host: str, address: Address) -> JobChannel:
        line = self._lines.get(host)
        if line is None:
            line = self._lines[host] = JobChannel(
                own_address=self._own,
                open_pool=lambda: self._job_pools.get(address),
                stamp=lambda call: self.stamp(call),
            )
        return line

    async def _send(
        self, host: str, address: Address, call: Call, timeout: timedelta
    ) -> Result[HttpReply, TransportError] | None:
        """Send a call; None where the host was lost before it answered."""
        lost = self._lost.setdefault(host, asyncio.Event())
        sending = asyncio.create_task(
            self._pools.get(address).call(
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
