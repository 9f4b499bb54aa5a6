"""Orders of operators and upstreams as the host takes them in that they reach."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from ..core.clock import Clock
from ..core.cluster.calls import (
    AskConfiguration,
    ForwardHeartbeat,
    Call,
    Configure,
    Evacuate,
    ForwardLeave,
)
from ..core.cluster.model import OrderId
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import HostId

HANG_UP_SECONDS = 0.03
"""How long an order is kept before it counts as received: after a freeze or a cut, the end of its
connection arrives just behind it, and then its sender has long gone to another host."""


class OrderDesk:
    """Numbers the orders that need it, and knows which orders this host's own log holds."""

    def __init__(
        self,
        *,
        host: HostId,
        clock: Clock,
        get_records: Callable[[], Records],
        orders_by_heartbeat: bool,
    ) -> None:
        self._prefix = f"{host}.{int(clock.now().timestamp() * 1000)}"
        self._numbers = itertools.count(1)
        self._get_records = get_records
        self._orders_by_heartbeat = orders_by_heartbeat

    async def receive(self, call: Evacuate) -> Evacuate:
        """Return an order with its id and the revision that it was received at."""
        await asyncio.sleep(HANG_UP_SECONDS)
        revision = self._get_records().evacuations.get(call.domain).revision
        order = OrderId(f"{self._prefix}.{next(self._numbers)}")
        return msgspec.structs.replace(call, base_revision=revision, order=order)

    def is_order(self, call: Call) -> bool:
        """Whether a call may be sent to the leader twice, and answered from this host's own log.

        Not a heartbeat that is answered with orders: each must come once, and with its answer.
        """
        if isinstance(call, ForwardHeartbeat):
            return call.heartbeat.draining and not self._orders_by_heartbeat
        return isinstance(call, Configure | AskConfiguration | ForwardLeave | Evacuate)

    def is_in_log(self, call: Call) -> bool:
        """Whether what a call asks for was committed, as far as this host knows."""
        records = self._get_records()
        if isinstance(call, Configure):
            current = records.configuration
            return current is not None and call.configuration.version <= current.version
        if isinstance(call, Evacuate):
            # This very order: that the domain is as it asks may be undone already.
            order = records.evacuations.get(call.domain).order
            return bool(call.order) and order == call.order
        if isinstance(call, ForwardLeave):
            return _is_leaving(records.find_leaving(call.upstream))
        if isinstance(call, ForwardHeartbeat) and self.is_order(call):
            return _is_leaving(records.upstreams.get(call.heartbeat.info.id))
        return False


def _is_leaving(known: UpstreamRecord | None) -> bool:
    return known is not None and known.draining
