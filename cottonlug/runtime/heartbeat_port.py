"""Orders to upstreams that cannot be called: they are sent in the answers to heartbeats.

An upstream sends one heartbeat at a time. The next heartbeat resolves the orders in the answer to
the previous one, that is, shows what became of them: it lists the upstream's runs and ended runs
after that answer was processed or was lost for good, because an upstream discards answers that
arrive later than `ANSWER_EXPIRY`. So a run that is not listed can no longer begin.

The answer to a heartbeat is parked at the leader until there is something to send. An idle upstream
waits long for it; a busy one gets it in time to report the next run that ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import HeartbeatOrders, HeartbeatStart
from ..core.cluster.model import Heartbeat, PollReply, RunNumber, TaskRef
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from ..core.ids import UpstreamId

IDLE_PARK_TIME = timedelta(milliseconds=700)
"""Longest parking for an idle upstream.

On the deployment platform an upstream that gets no answer for 1 s sends its heartbeats to another
control host.
"""
MIN_HEARTBEAT_GAP = timedelta(milliseconds=50)
"""Shortest time from an answer to the upstream's next heartbeat on the deployment platform."""
MAX_BUSY_PARK_TIME = timedelta(milliseconds=150)
"""Longest parking for a busy upstream.

Each answer renews leases, and each heartbeat shows runs that make no progress.
"""
CONFIRMATION_PARK_TIME = timedelta(milliseconds=30)
"""Parking for a busy or draining upstream without a poll to send, and of a poll that must not wait.

The answer confirms ended runs to the upstream; within this time, starts may still be added to it.
"""
MAX_QUEUE_TIME = timedelta(milliseconds=400)
"""An order that was not sent within this time, for want of a heartbeat, is withdrawn."""
ANSWER_EXPIRY = timedelta(seconds=1)
"""An upstream stops waiting for the answer to its heartbeat after this time."""
RESOLUTION_TIMEOUT = ANSWER_EXPIRY + timedelta(milliseconds=500)
"""The outcome of an order is unknown if no heartbeat has resolved it this long after it was sent.

Longer than `ANSWER_EXPIRY`: until then the upstream may still process the answer.
"""
MAX_DELIVERY_DELAY = MAX_QUEUE_TIME + ANSWER_EXPIRY
"""The longest time from the decision on an order to its arrival at the upstream."""
ORDER_CHECK_SECONDS = 0.05
NEXT_HEARTBEAT_DELAY = timedelta(milliseconds=1)
"""How long after an answer the upstream is asked to send its next heartbeat: at once.

On the deployment platform this takes at least `MIN_HEARTBEAT_GAP` all the same.
"""


@dataclass(slots=True, kw_only=True)
class _PendingOrder:
    """An order to one upstream that waits to be sent or, once sent, to be resolved."""

    order: Order
    queued_at: timedelta
    resolved: asyncio.Future[PollReply | None]
    """Gets the lists of runs and ended runs in the heartbeat that follows the answer with the
    order: they show its outcome."""
    sent_at: timedelta | None = None


@dataclass(slots=True, kw_only=True)
class _UpstreamQueue:
    """The orders to one upstream: those waiting, and those sent in the last answer to it."""

    sequence: int = -1
    """Sequence number of its newest heartbeat."""
    waiting: list[_PendingOrder] = field(default_factory=list)
    sent: list[_PendingOrder] = field(default_factory=list)
    confirmed_through: int = 0
    """Number of the last run end that the upstream need no longer list."""
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    """Set when an order was added or the port was closed."""


class HeartbeatPort:
    """An `UpstreamPort` that sends a leader's orders of one term in the answers to heartbeats.

    The fencing token that upstreams get is that of the answer (`handle_heartbeat`); those passed
    with single orders are not used. `on_listening_change` is called with True while the answer to
    an upstream's heartbeat is parked, so that an order would reach it at once.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lease: timedelta,
        on_listening_change: Callable[[UpstreamId, bool], None],
    ) -> None:
        self._clock = clock
        self._on_listening_change = on_listening_change
        self._lease = lease
        self._queues: dict[UpstreamId, _UpstreamQueue] = {}
        self._is_closed = False

    def close(self) -> None:
        """Answer all parked heartbeats, without orders."""
        self._is_closed = True
        for queue in self._queues.values():
            queue.changed.set()

    # Orders of the coordinator

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        """Send nothing at once: an order waits for the next heartbeat of its upstream."""
        return False

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start with the next answer; return its outcome and the upstream's clock in ms."""
        item = await self._queue_order(order)
        if item.sent_at is None:
            return StartOutcome.NOT_SENT, None
        run_lists = item.resolved.result() if item.resolved.done() else None
        if run_lists is None:
            return StartOutcome.UNKNOWN, None
        key = (order.task, order.run)
        has_run = _has_run(run_lists, key)
        return (StartOutcome.STARTED if has_run else StartOutcome.IGNORED), run_lists.clock_ms

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop with the next answer; return None once it has arrived."""
        item = await self._queue_order(order)
        return None if item.resolved.done() and item.sent_at is not None else CallFailure.NO_ANSWER

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        """Renew a lease with the next answer, and return the run lists of the next heartbeat."""
        item = await self._queue_order(order)
        run_lists = item.resolved.result() if item.resolved.done() else None
        return run_lists if run_lists is not None else CallFailure.NO_ANSWER

    async def _queue_order(self, order: Order) -> _PendingOrder:
        """Queue an order and wait until it is resolved or can no longer be."""
        queue = self._queues.setdefault(order.upstream.id, _UpstreamQueue())
        resolved: asyncio.Future[PollReply | None] = asyncio.get_running_loop().create_future()
        item = _PendingOrder(order=order, queued_at=self._clock.monotonic(), resolved=resolved)
        queue.waiting.append(item)
        queue.changed.set()
        while not resolved.done():
            await asyncio.wait([resolved], timeout=ORDER_CHECK_SECONDS)
            now = self._clock.monotonic()
            if item.sent_at is None and now - item.queued_at > MAX_QUEUE_TIME:
                if item in queue.waiting:
                    queue.waiting.remove(item)
                return item
            if item.sent_at is not None and now - item.sent_at > RESOLUTION_TIMEOUT:
                return item
        return item

    # Heartbeats of the upstreams

    async def handle_heartbeat(self, heartbeat: Heartbeat, token: int) -> HeartbeatOrders:
        """Process the run lists of a heartbeat, and return the orders for its answer."""
        queue = self._queues.setdefault(heartbeat.info.id, _UpstreamQueue())
        if heartbeat.sequence <= queue.sequence or heartbeat.poll_reply is None:
            # Without run lists, or overtaken by a later heartbeat, which gets its own answer.
            return HeartbeatOrders(token=token, last_seen=0)
        queue.sequence = heartbeat.sequence
        self._resolve_sent(queue, heartbeat.poll_reply)
        self._on_listening_change(heartbeat.info.id, True)
        await self._park(queue, heartbeat)
        if self._is_closed or heartbeat.sequence != queue.sequence:
            return HeartbeatOrders(token=token, last_seen=0)
        self._on_listening_change(heartbeat.info.id, False)
        return self._build_orders(queue, token)

    def _resolve_sent(self, queue: _UpstreamQueue, run_lists: PollReply) -> None:
        sent, queue.sent = queue.sent, []
        for item in sent:
            if not item.resolved.done():
                item.resolved.set_result(run_lists)

    async def _park(self, queue: _UpstreamQueue, heartbeat: Heartbeat) -> None:
        """Park an answer until there is an order to send or the upstream is to report again."""
        began_at = self._clock.monotonic()
        while not self._is_closed and heartbeat.sequence == queue.sequence:
            queue.changed.clear()
            if any(not isinstance(item.order, PollOrder) for item in queue.waiting):
                return
            left = began_at + _find_park_time(queue, heartbeat) - self._clock.monotonic()
            if left <= timedelta():
                return
            try:
                async with asyncio.timeout(left.total_seconds()):
                    await queue.changed.wait()
            except TimeoutError:
                continue

    def _build_orders(self, queue: _UpstreamQueue, token: int) -> HeartbeatOrders:
        now = self._clock.monotonic()
        items, queue.waiting = queue.waiting, []
        for item in items:
            item.sent_at = now
        queue.sent = items
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
                queue.confirmed_through = max(queue.confirmed_through, order.last_seen)
                is_lease_wanted = is_lease_wanted or order.expires_ms is not None
        return HeartbeatOrders(
            token=token,
            last_seen=queue.confirmed_through,
            lease_ms=to_milliseconds(self._lease) if is_lease_wanted else None,
            starts=tuple(starts),
            stops=tuple(stops),
            next_after_ms=to_milliseconds(NEXT_HEARTBEAT_DELAY),
        )


def _has_run(run_lists: PollReply, key: tuple[TaskRef, RunNumber]) -> bool:
    return any((run.task, run.run) == key for run in run_lists.running) or any(
        (end.task, end.run) == key for end in run_lists.ended
    )


def _find_park_time(queue: _UpstreamQueue, heartbeat: Heartbeat) -> timedelta:
    """Return how long an answer is parked while there is no start or stop to send with it."""
    polls = [item.order for item in queue.waiting if isinstance(item.order, PollOrder)]
    if not polls:
        return (
            CONFIRMATION_PARK_TIME if heartbeat.draining or _is_busy(heartbeat) else IDLE_PARK_TIME
        )
    if any(not order.wait for order in polls):
        return CONFIRMATION_PARK_TIME
    until_report = min(order.first_end for order in polls) - MIN_HEARTBEAT_GAP
    return min(max(until_report, timedelta()), MAX_BUSY_PARK_TIME)


def _is_busy(heartbeat: Heartbeat) -> bool:
    return heartbeat.poll_reply is not None and bool(
        heartbeat.poll_reply.running or heartbeat.poll_reply.ended
    )
