"""Idempotent calls of operators and upstreams, on the control host that receives them.

Such a call may be sent to the leader twice, and counts as carried out once its change is committed
in the local copy of the log.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from ..core.clock import Clock
from ..core.cluster.calls import (
    AskConfiguration,
    Call,
    Configure,
    Evacuate,
    ForwardHeartbeat,
    ForwardLeave,
)
from ..core.cluster.model import OrderId
from ..core.cluster.records import Records, UpstreamRecord
from ..core.ids import HostId

DISCONNECT_GRACE_SECONDS = 0.03
"""How long an evacuation order is delayed before it counts as received and gets an id.

If it arrives late, after a freeze of this host or a network cut, its sender has long since sent it
to another host. The closing of its connection arrives just behind it, and cancels it in this time.
"""


class IdempotentCalls:
    """Assigns ids to evacuation orders, and checks whether calls are committed in the local log."""

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

    async def assign_order_id(self, call: Evacuate) -> Evacuate:
        """Return an order with a new id, and the revision of its failure domain at its receipt.

        The leader refuses it if another order about this domain was carried out in the meantime.
        """
        await asyncio.sleep(DISCONNECT_GRACE_SECONDS)
        revision = self._get_records().evacuations.get(call.domain).revision
        order = OrderId(f"{self._prefix}.{next(self._numbers)}")
        return msgspec.structs.replace(call, base_revision=revision, order=order)

    def is_idempotent(self, call: Call) -> bool:
        """Whether a call may be sent to the leader twice and be answered from the local log.

        A heartbeat that is answered with orders may not: each must reach the leader once, and its
        sender needs the leader's answer.
        """
        if isinstance(call, ForwardHeartbeat):
            return call.heartbeat.draining and not self._orders_by_heartbeat
        return isinstance(call, Configure | AskConfiguration | ForwardLeave | Evacuate)

    def is_committed(self, call: Call) -> bool:
        """Whether the change that a call asks for is committed in the local log."""
        records = self._get_records()
        if isinstance(call, Configure):
            current = records.configuration
            return current is not None and call.configuration.version <= current.version
        if isinstance(call, Evacuate):
            # Compare the order's id: the domain's state may have been changed again since.
            order = records.evacuations.get(call.domain).order
            return bool(call.order) and order == call.order
        if isinstance(call, ForwardLeave):
            return _is_leaving(records.find_leaving(call.upstream))
        if isinstance(call, ForwardHeartbeat) and self.is_idempotent(call):
            return _is_leaving(records.upstreams.get(call.heartbeat.info.id))
        return False


def _is_leaving(known: UpstreamRecord | None) -> bool:
    return known is not None and known.draining
