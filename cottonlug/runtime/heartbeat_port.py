"""Orders to upstreams that cannot be called: they travel in the answers to heartbeats.

An upstream has one heartbeat under way at a time. What its answer carried is settled by the next
one, which lists runs and ends after the answer was taken in, or lost for good: an answer that comes
later than `ANSWER_VOID` is thrown away. So nothing that is not listed can begin any more.

An answer is kept until there is something to say: an idle upstream so waits at its leader, and a
busy one comes back every few milliseconds to tell what has ended.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import HeartbeatOrders, HeartbeatStart
from ..core.cluster.model import Heartbeat, LookReply, RunNumber, TaskRef
from ..core.cluster.orders import (
    CallFailure,
    LookOrder,
    Order,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.ids import UpstreamId

IDLE_KEPT = timedelta(milliseconds=700)
"""An upstream goes to another host when it had no answer for 1 s (the users' platform)."""
SHORTEST_GAP = timedelta(milliseconds=50)
"""An upstream sends no heartbeat sooner after an answer (seen on the users' platform)."""
LONGEST_BUSY_KEPT = timedelta(milliseconds=150)
"""Leases are renewed with each answer, and runs that stand still are seen."""
NEWS_KEPT = timedelta(milliseconds=30)
"""How long the confirmation of ends may wait for orders to go with it."""
QUEUED_AT_MOST = timedelta(milliseconds=400)
"""An upstream that was not heard for so long gets no order that is older."""
ANSWER_VOID = timedelta(seconds=1)
"""After so long an upstream waits no more for an answer to its heartbeat."""
SETTLED_WITHIN = ANSWER_VOID + timedelta(milliseconds=500)
DELIVERY = QUEUED_AT_MOST + ANSWER_VOID
"""How much later than decided an order may reach an upstream."""
CHECK_SECONDS = 0.05
NEXT_AFTER = timedelta(milliseconds=1)
"""When an upstream is to send its next heartbeat."""


@dataclass(slots=True, kw_only=True)
class _Item:
    """An order on its way; its future tells what has become of it."""

    order: Order
    queued_at: timedelta
    settled: asyncio.Future[LookReply | None]
    """The lists of the heartbeat after the one that took it, or None where it was not sent."""
    sent_at: timedelta | None = None


@dataclass(slots=True, kw_only=True)
class _Line:
    """What goes to one upstream."""

    sequence: int = -1
    waiting: list[_Item] = field(default_factory=list)
    sent: list[_Item] = field(default_factory=list)
    last_seen: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class HeartbeatPort:
    """The orders of one term, by upstream."""

    def __init__(
        self,
        *,
        clock: Clock,
        lease: timedelta,
        note_listening: Callable[[UpstreamId, bool], None],
    ) -> None:
        self._clock = clock
        self._note_listening = note_listening
        self._lease = lease
        self._lines: dict[UpstreamId, _Line] = {}
        self._is_over = False

    def close(self) -> None:
        """Answer all heartbeats that are kept, without orders."""
        self._is_over = True
        for line in self._lines.values():
            line.changed.set()

    # For whoever decides

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start with the next answer."""
        item = await self._send(order)
        if item.sent_at is None:
            return StartOutcome.NOT_SENT, None
        lists = item.settled.result() if item.settled.done() else None
        if lists is None:
            return StartOutcome.UNKNOWN, None
        key = (order.task, order.run)
        is_there = _has_run(lists, key)
        return (StartOutcome.STARTED if is_there else StartOutcome.IGNORED), lists.clock_ms

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop with the next answer."""
        item = await self._send(order)
        return None if item.settled.done() and item.sent_at is not None else CallFailure.NO_ANSWER

    async def poll(self, order: LookOrder, token: int) -> LookReply | CallFailure:
        """Renew a lease, and return the lists of the heartbeat after that."""
        item = await self._send(order)
        lists = item.settled.result() if item.settled.done() else None
        return lists if lists is not None else CallFailure.NO_ANSWER

    async def _send(self, order: Order) -> _Item:
        """Queue an order and wait until it is settled, or until that cannot be any more."""
        line = self._lines.setdefault(order.upstream.id, _Line())
        settled: asyncio.Future[LookReply | None] = asyncio.get_running_loop().create_future()
        item = _Item(order=order, queued_at=self._clock.monotonic(), settled=settled)
        line.waiting.append(item)
        line.changed.set()
        while not settled.done():
            await asyncio.wait([settled], timeout=CHECK_SECONDS)
            now = self._clock.monotonic()
            if item.sent_at is None and now - item.queued_at > QUEUED_AT_MOST:
                if item in line.waiting:
                    line.waiting.remove(item)
                return item
            if item.sent_at is not None and now - item.sent_at > SETTLED_WITHIN:
                return item
        return item

    # For heartbeats

    async def exchange(self, heartbeat: Heartbeat, token: int) -> HeartbeatOrders:
        """Take in what a heartbeat lists, and return the orders for its answer."""
        line = self._lines.setdefault(heartbeat.info.id, _Line())
        if heartbeat.sequence <= line.sequence or heartbeat.held is None:
            # Overtaken by a later one, which has an answer of its own.
            return HeartbeatOrders(token=token, last_seen=0)
        line.sequence = heartbeat.sequence
        self._settle(line, heartbeat.held)
        self._note_listening(heartbeat.info.id, True)
        await self._keep(line, heartbeat)
        if self._is_over or heartbeat.sequence != line.sequence:
            return HeartbeatOrders(token=token, last_seen=0)
        self._note_listening(heartbeat.info.id, False)
        return self._take_orders(line, token)

    def _settle(self, line: _Line, lists: LookReply) -> None:
        sent, line.sent = line.sent, []
        for item in sent:
            if not item.settled.done():
                item.settled.set_result(lists)

    async def _keep(self, line: _Line, heartbeat: Heartbeat) -> None:
        """Keep an answer until there is something to say, or the upstream is to report again."""
        began_at = self._clock.monotonic()
        while not self._is_over and heartbeat.sequence == line.sequence:
            line.changed.clear()
            if any(not isinstance(item.order, LookOrder) for item in line.waiting):
                return
            left = began_at + _find_kept(line, heartbeat) - self._clock.monotonic()
            if left <= timedelta():
                return
            try:
                async with asyncio.timeout(left.total_seconds()):
                    await line.changed.wait()
            except TimeoutError:
                continue

    def _take_orders(self, line: _Line, token: int) -> HeartbeatOrders:
        now = self._clock.monotonic()
        items, line.waiting = line.waiting, []
        for item in items:
            item.sent_at = now
        line.sent = items
        starts: list[HeartbeatStart] = []
        stops: list[tuple[TaskRef, RunNumber]] = []
        is_lease_wanted = False
        for item in items:
            order = item.order
            if isinstance(order, StartOrder):
                is_lease_wanted = True
                starts.append(
                    HeartbeatStart(
                        task=order.task,
                        run=order.run,
                        payload=order.payload,
                        checkpoint=order.checkpoint,
                    )
                )
            elif isinstance(order, StopOrder):
                stops.append((order.task, order.run))
            else:
                line.last_seen = max(line.last_seen, order.last_seen)
                is_lease_wanted = is_lease_wanted or order.expires_ms is not None
        return HeartbeatOrders(
            token=token,
            last_seen=line.last_seen,
            lease_ms=to_milliseconds(self._lease) if is_lease_wanted else None,
            starts=tuple(starts),
            stops=tuple(stops),
            next_after_ms=to_milliseconds(NEXT_AFTER),
        )


def _has_run(lists: LookReply, key: tuple[TaskRef, RunNumber]) -> bool:
    return any((run.task, run.run) == key for run in lists.running) or any(
        (end.task, end.run) == key for end in lists.ended
    )


def _find_kept(line: _Line, heartbeat: Heartbeat) -> timedelta:
    """Return how long an answer is kept while there is no start or stop to go with it."""
    looks = [item.order for item in line.waiting if isinstance(item.order, LookOrder)]
    if not looks:
        return NEWS_KEPT if heartbeat.draining or _is_busy(heartbeat) else IDLE_KEPT
    if any(not order.wait for order in looks):
        return NEWS_KEPT
    until_report = min(order.first_end for order in looks) - SHORTEST_GAP
    return min(max(until_report, timedelta()), LONGEST_BUSY_KEPT)


def _is_busy(heartbeat: Heartbeat) -> bool:
    return heartbeat.held is not None and bool(heartbeat.held.running or heartbeat.held.ended)
