"""Sends the replicated log's messages to the other members, one batch at a time to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.options import Address
from ..core.clock import Clock
from ..core.cluster.begun_jobs import BegunReport
from ..core.consensus.replacement import get_host
from ..core.consensus.types import (
    AppendReply,
    ConsensusMessage,
    Envelope,
    MemberId,
    SnapshotRequest,
    Term,
)
from ..core.control_messages import ConsensusBatch
from ..net.connections import ConnectionPools, parse_address
from ..net.transport import DECODE_ERRORS, HttpReply, TransportError
from .events import Event
from .failures import log_failure

MESSAGES_PATH = "/v1/consensus"
CALL_TIMEOUT = timedelta(milliseconds=450)
"""How long a peer's answer is waited for before the connection counts as broken; longer than a slow
sync of the peer's disk (270 ms)."""
SNAPSHOT_TIMEOUT = timedelta(seconds=5)
"""The same for a batch with a snapshot, which is large."""

BAD_REQUEST = 400
REPORT_INTERVAL = timedelta(milliseconds=20)
"""Shortest time from a batch to one that contains only a report."""

GetSender = Callable[[], tuple[MemberId, Term]]
"""Returns this host's member id and its current term."""


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another member, the messages waiting for it, and its last acknowledgement."""

    address: Address
    has_messages: asyncio.Event
    outbox: list[ConsensusMessage]
    task: asyncio.Task[None] | None = None
    host: str
    """The address that names it."""
    sent_at: timedelta = timedelta()
    """When the last batch was sent."""
    acked_at: timedelta | None = None
    """When the last batch was sent that it has answered in the current term."""


class Messenger:
    """The connections to all peers, by the addresses that name them."""

    def __init__(
        self,
        *,
        clock: Clock,
        pools: ConnectionPools,
        get_sender: GetSender,
        on_reply: Callable[[ConsensusBatch], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        self._clock = clock
        self._pools = pools
        self._get_sender = get_sender
        self._on_reply = on_reply
        self._on_failure = on_failure
        self.build_report: Callable[[str], BegunReport | None] = lambda host: None
        """Returns what is sent to a host with the messages of the log, if anything."""
        self.has_report: Callable[[str], bool] = lambda host: False
        """Returns whether a report to a host should not wait for the next message of the log."""
        self.on_lost_report: Callable[[str, bool], object] = lambda host, is_refused: None
        """Called with the host that may not have received the last report, and whether it has
        refused it."""
        self.measure: Callable[[], AbstractContextManager[None]] = nullcontext
        """Returns a context in which the preparation of a batch is measured."""
        self._peers: dict[str, Peer] = {}

    async def stop(self) -> None:
        """Stop sending."""
        tasks = [peer.task for peer in self._peers.values() if peer.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def post(self, envelope: Envelope) -> None:
        """Send a message with the next batch."""
        peer = self._open_peer(get_host(envelope.to))
        if peer is None:
            return
        message = envelope.message
        if isinstance(message, SnapshotRequest):
            # Snapshots are large, and only the newest one is useful.
            peer.outbox = [each for each in peer.outbox if not isinstance(each, SnapshotRequest)]
        peer.outbox.append(message)
        peer.has_messages.set()

    def send_reports(self) -> None:
        """Send reports soon, also to hosts for which there are no messages."""
        for peer in self._peers.values():
            peer.has_messages.set()

    def pop_messages(self, host: str) -> list[ConsensusMessage]:
        """Remove and return the messages for a peer that has just called, as its answer."""
        peer = self._peers.get(host)
        if peer is None:
            return []
        messages, peer.outbox = peer.outbox, []
        return messages

    def find_acked_at(self, host: str) -> timedelta | None:
        """Return when the last batch was sent that a peer has answered in the current term.

        The leader's lease counts from then.
        """
        peer = self._peers.get(host)
        return peer.acked_at if peer is not None else None

    def forget_acks(self) -> None:
        """Discard all acknowledgements, since those of an earlier term renew no lease."""
        for peer in self._peers.values():
            peer.acked_at = None

    def _open_peer(self, host: str) -> Peer | None:
        peer = self._peers.get(host)
        if peer is not None:
            return peer
        address = parse_address(host)
        if address is None:
            return None
        peer = Peer(address=address, has_messages=asyncio.Event(), outbox=[], host=host)
        self._peers[host] = peer
        peer.task = asyncio.create_task(self._send_forever(peer))
        return peer

    async def _send_forever(self, peer: Peer) -> None:
        try:
            while True:
                await peer.has_messages.wait()
                peer.has_messages.clear()
                if not peer.outbox and self.has_report(peer.host):
                    await self._wait_for_messages(peer, peer.sent_at + REPORT_INTERVAL)
                messages, peer.outbox = peer.outbox, []
                if messages or self.has_report(peer.host):
                    await self._send(peer, messages)
        except Exception as error:
            log_failure(Event.INVARIANT_BROKEN, error, during="sending", peer=peer.host)
            self._on_failure(error)

    async def _wait_for_messages(self, peer: Peer, until: timedelta) -> None:
        """Wait until there are messages of the log for a peer, at most until that time."""
        while not peer.outbox and (left := until - self._clock.monotonic()) > timedelta():
            try:
                async with asyncio.timeout(left.total_seconds()):
                    await peer.has_messages.wait()
            except TimeoutError:
                return
            peer.has_messages.clear()

    async def _send(self, peer: Peer, messages: list[ConsensusMessage]) -> None:
        sender, term = self._get_sender()
        with self.measure():
            report = self.build_report(peer.host)
            batch = ConsensusBatch(sender=sender, messages=messages, begun=report)
            body = msgspec.json.encode(batch)
        sent_at = peer.sent_at = self._clock.monotonic()
        is_large = any(isinstance(message, SnapshotRequest) for message in messages)
        timeout = SNAPSHOT_TIMEOUT if is_large else CALL_TIMEOUT
        pool = self._pools.get(peer.address)
        sent = await pool.call("POST", MESSAGES_PATH, body, timeout=timeout)
        reply = _read_reply(sent)
        if reply is None:
            # The leader's next heartbeat makes up for lost messages.
            peer.outbox = []
            if report is not None:
                is_refused = isinstance(sent, Success) and sent.unwrap().status == BAD_REQUEST
                self.on_lost_report(peer.host, is_refused)
            return
        if any(isinstance(each, AppendReply) and each.term == term for each in reply.messages):
            peer.acked_at = sent_at
        self._on_reply(reply)


_decoder = msgspec.json.Decoder(ConsensusBatch)


def _read_reply(sent: Result[HttpReply, TransportError]) -> ConsensusBatch | None:
    """Return the messages in a reply; None without one, or if another program has replied."""
    if isinstance(sent, Err) or sent.unwrap().status != 200:
        return None
    try:
        return _decoder.decode(sent.unwrap().body)
    except DECODE_ERRORS:
        return None
