"""Calls to other hosts of the cluster; calls to a host that counts as lost end immediately.

Best-effort jobs are sent through `job_channel`, over few connections. All other calls are short and
have separate connections to a separate port, so that no keep-alive waits behind jobs: gateways
whose keep-alives were up to 0.85 s late were abandoned with all their jobs, which then arrived
again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
from returns.result import Failure as Err
from returns.result import Result

from ..config.options import Address
from ..core.cluster.calls import (
    Answer,
    Call,
    KeepAlive,
    Outcome,
    Submit,
    answer_decoder,
    call_decoder,
)
from ..net.asgi import HttpRequest
from ..net.connections import ConnectionPools, parse_address
from ..net.transport import DECODE_ERRORS, HttpReply, TransportError
from .job_channel import JobChannel

CALL_PATH = "/v1/call"
FORWARD_TIMEOUT = timedelta(seconds=3)
"""How long a host that forwards a call waits for the leader's answer."""
KEEPALIVE_FORWARD_TIMEOUT = timedelta(milliseconds=60)
"""The same for a keep-alive, so that the host's own answer to the gateway is not too late."""
MAX_CALL_CONNECTIONS = 8
"""Per host. Enough for one keep-alive at a time and occasional queries or cancellations."""
JOB_CHANNEL_CONNECTIONS = 4
"""Per host. One for a batch of jobs, one for a poll for answers, and a spare for each of them."""


def decode_keepalive(request: HttpRequest) -> KeepAlive | None:
    """Return the keep-alive in a request, or None; other calls are not decoded."""
    if request.path != CALL_PATH or _KEEPALIVE_TAG not in request.body[:_TAG_SEARCH_BYTES]:
        return None
    try:
        call = call_decoder.decode(request.body)
    except msgspec.MsgspecError:
        return None
    return call if isinstance(call, KeepAlive) else None


_KEEPALIVE_TAG = b'"greet"'
"""The tag of a keep-alive; the tag is the first field of an encoded call."""
_TAG_SEARCH_BYTES = 24


def read_answer(host: str, reply: HttpReply) -> Answer:
    """Return the answer in a reply of a host; it is unknown if the reply cannot be read.

    Another program may answer at an address that was a host's before.
    """
    if reply.status != 200:
        return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} answered {reply.status}")
    try:
        return answer_decoder.decode(reply.body)
    except DECODE_ERRORS as error:
        return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} answered what is no answer: {error}")


class PeerCalls:
    """Sends calls, and keeps track of those in progress by the host that is to answer them."""

    def __init__(self, *, own_address: str = "", urgent_port: int | None = None) -> None:
        self._own_address = own_address
        self._pools = ConnectionPools(max_connections=MAX_CALL_CONNECTIONS, port=urgent_port)
        self._job_pools = ConnectionPools(max_connections=JOB_CHANNEL_CONNECTIONS)
        self._job_channels: dict[str, JobChannel] = {}
        self.stamp: Callable[[Call], Call] = lambda call: call
        """Called with each call right before it is sent, so that the confirmations which a gateway
        adds are current; returns the call to send."""
        self._abandoned: dict[str, asyncio.Event] = {}
        """For each host, set when the calls that it has not answered are to be sent elsewhere."""

    async def ask(self, host: str, call: Call, timeout: timedelta) -> Answer:
        """Send a call to a host; answer `UNAVAILABLE` only if that certainly did not receive it."""
        address = parse_address(host)
        if address is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=f"{host} is not an address")
        if isinstance(call, Submit) and call.spec.best_effort:
            return await self._get_job_channel(host, address).submit(call, timeout)
        sent = await self._send(host, address, call, timeout)
        if sent is None:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"the call to {host} was abandoned")
        if isinstance(sent, Err):
            error = sent.failure()
            outcome = Outcome.UNAVAILABLE if error.unsent else Outcome.UNKNOWN
            return Answer(outcome=outcome, detail=error.message)
        return read_answer(host, sent.unwrap())

    def abandon_calls(self, host: str) -> None:
        """End all calls that a host has not answered, with an unknown outcome."""
        abandoned = self._abandoned.pop(host, None)
        if abandoned is not None:
            abandoned.set()
        channel = self._job_channels.get(host)
        if channel is not None:
            channel.fail_pending()

    def close(self) -> None:
        """Close all connections."""
        for channel in self._job_channels.values():
            channel.close()
        self._pools.close()
        self._job_pools.close()

    def _get_job_channel(self, host: str, address: Address) -> JobChannel:
        channel = self._job_channels.get(host)
        if channel is None:
            channel = self._job_channels[host] = JobChannel(
                own_address=self._own_address,
                open_pool=lambda: self._job_pools.get(address),
                stamp=lambda call: self.stamp(call),
            )
        return channel

    async def _send(
        self, host: str, address: Address, call: Call, timeout: timedelta
    ) -> Result[HttpReply, TransportError] | None:
        """Send a call; return None if the host counts as lost before it answers."""
        abandoned = self._abandoned.setdefault(host, asyncio.Event())
        sending = asyncio.create_task(
            self._pools.get(address).call(
                "POST",
                CALL_PATH,
                lambda: msgspec.json.encode(self.stamp(call)),
                timeout=timeout,
            )
        )
        abandonment = asyncio.create_task(abandoned.wait())
        try:
            await asyncio.wait([sending, abandonment], return_when=asyncio.FIRST_COMPLETED)
            return sending.result() if sending.done() else None
        finally:
            sending.cancel()
            abandonment.cancel()
