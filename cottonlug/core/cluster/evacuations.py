"""Failure domains that operators have evacuated, so that their upstreams get no new work.

An order begins or ends the evacuation of one domain. Operators give it no version, so it is decided
by compare-and-set: the host that receives it adds the domain's revision in its copy of the log. A
delayed order finds a later revision and changes nothing, and so cannot undo what was acknowledged
in the meantime.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..ids import DomainName
from .commands import SetEvacuation
from .model import OrderId, Value


class EvacuationRecord(Value, frozen=True):
    """The last order about a failure domain; kept after the evacuation ends, for its revision."""

    domain: DomainName
    is_evacuated: bool = False
    revision: int = 0
    """Number of orders about the domain that were carried out."""
    order: OrderId = OrderId("")
    """The last order that was carried out, as numbered by the host that received it."""
    since_ms: int = 0
    """Wall-clock time at which the leader proposed that order to the log."""


class Evacuations:
    """The last order about each failure domain, as part of the replicated state."""

    def __init__(self, records: Iterable[EvacuationRecord] = ()) -> None:
        self._by_domain = {record.domain: record for record in records}
        self._evacuated = frozenset(
            record.domain for record in self._by_domain.values() if record.is_evacuated
        )

    @property
    def records(self) -> tuple[EvacuationRecord, ...]:
        """The records of all domains about which an order was ever carried out."""
        return tuple(self._by_domain.values())

    @property
    def evacuated(self) -> frozenset[DomainName]:
        """The domains that are evacuated now."""
        return self._evacuated

    def get(self, domain: DomainName) -> EvacuationRecord:
        """Return the last order about a domain; its revision is 0 if there was none."""
        return self._by_domain.get(domain, EvacuationRecord(domain=domain))

    def apply(self, command: SetEvacuation) -> bool:
        """Carry out an order; return False if its base revision is no longer the current one."""
        current = self.get(command.domain)
        if command.base_revision != current.revision:
            return False
        self._by_domain[command.domain] = EvacuationRecord(
            domain=command.domain,
            is_evacuated=command.is_evacuated,
            revision=current.revision + 1,
            order=command.order,
            since_ms=command.at_ms,
        )
        change = {command.domain}
        self._evacuated = (
            self._evacuated | change if command.is_evacuated else self._evacuated - change
        )
        return True
