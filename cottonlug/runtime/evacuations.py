"""Orders of operators to evacuate failure domains: taken in by a host, decided by a leader."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Hashable

import msgspec

from ..core.clock import Clock
from ..core.cluster.calls import Answer, Evacuate, Outcome
from ..core.cluster.commands import Command, SetEvacuation
from ..core.cluster.model import OrderId
from ..core.cluster.records import Records
from ..core.ids import DomainName, HostId
from .events import Event, log_event
from .ports import Authority

HANG_UP_SECONDS = 0.03
"""How long an order is kept before it counts as received: after a freeze or a cut, the end of its
connection arrives just behind it, and then its sender has long gone to another host."""
SUPERSEDED = "another order about this failure domain came first; send this one again"

Propose = Callable[[Command, Hashable], Awaitable[Answer]]


class OrderDesk:
    """Takes orders in from operators, and knows which of them this host's log holds."""

    def __init__(self, *, host: HostId, clock: Clock, get_records: Callable[[], Records]) -> None:
        self._prefix = f"{host}.{int(clock.now().timestamp() * 1000)}"
        self._numbers = itertools.count(1)
        self._get_records = get_records

    async def receive(self, call: Evacuate) -> Evacuate:
        """Return an order with its id and the revision that it was received at."""
        await asyncio.sleep(HANG_UP_SECONDS)
        revision = self._get_records().evacuations.get(call.domain).revision
        order = OrderId(f"{self._prefix}.{next(self._numbers)}")
        return msgspec.structs.replace(call, base_revision=revision, order=order)

    def is_in_log(self, call: Evacuate) -> bool:
        """Whether this very order was committed and is the last about its domain.

        That the domain is as the order asks says nothing: the log may be behind by a later order.
        """
        record = self._get_records().evacuations.get(call.domain)
        return bool(call.order) and record.order == call.order


class EvacuationAnswers:
    """Decides about orders while this host leads."""

    def __init__(
        self,
        *,
        authority: Authority,
        records: Records,
        domains: frozenset[DomainName],
        propose: Propose,
        read_wall: Callable[[], int],
    ) -> None:
        self._authority = authority
        self._records = records
        self._domains = domains
        self._propose = propose
        self._read_wall = read_wall

    async def answer_order(self, call: Evacuate) -> Answer:
        """Have the log carry out an order; done if the domain is then as it asks."""
        if not self._is_known(call.domain):
            log_event(Event.EVACUATION_REFUSED, domain=call.domain, reason="unknown domain")
            detail = f"no failure domain {call.domain!r} is known"
            return Answer(outcome=Outcome.NO_DOMAIN, detail=detail)
        if self._is_done(call):
            return Answer(outcome=Outcome.DONE)
        if self._is_superseded(call):
            return self._refuse_superseded(call)
        command = SetEvacuation(
            domain=call.domain,
            is_evacuated=call.is_evacuated,
            base_revision=call.base_revision,
            order=call.order,
            at_ms=self._read_wall(),
        )
        answer = await self._propose(command, ("evacuation", call.order))
        if answer.outcome is not Outcome.DONE or self._is_done(call):
            return answer
        return self._refuse_superseded(call)

    def answer_list(self) -> Answer:
        """Tell which domains are evacuated."""
        records = self._records.evacuations.records
        evacuated = tuple(record for record in records if record.is_evacuated)
        return Answer(outcome=Outcome.DONE, evacuations=evacuated)

    def _is_known(self, domain: DomainName) -> bool:
        if domain in self._domains or self._records.evacuations.get(domain).revision:
            return True
        return any(record.info.domain == domain for record in self._records.upstreams.values())

    def _is_done(self, call: Evacuate) -> bool:
        """Whether an order was carried out, or, which takes a lease to know, changes nothing."""
        record = self._records.evacuations.get(call.domain)
        if record.order == call.order:
            return True
        return record.is_evacuated == call.is_evacuated and self._authority.has_lease()

    def _is_superseded(self, call: Evacuate) -> bool:
        return self._records.evacuations.get(call.domain).revision != call.base_revision

    def _refuse_superseded(self, call: Evacuate) -> Answer:
        revision = self._records.evacuations.get(call.domain).revision
        log_event(
            Event.EVACUATION_REFUSED,
            domain=call.domain,
            reason="another order came first",
            base_revision=call.base_revision,
            revision=revision,
        )
        return Answer(outcome=Outcome.UNAVAILABLE, detail=SUPERSEDED)
