"""The gateways that whoever decides has heard, and the rosters that it gives them."""

from __future__ import annotations

from datetime import timedelta

from ..core.clock import Clock
from ..core.cluster.calls import GatewayInfo, Greet, Roster
from ..core.cluster.records import Records
from ..core.cluster.rosters import RosterLog
from ..core.ids import DomainName

GATEWAY_SILENT = timedelta(milliseconds=300)
"""Jobs of a gateway not heard for so long are given up; it takes them elsewhere no sooner."""


class Gateways:
    """Gateways by the address that they greet with."""

    def __init__(self, *, term: int, clock: Clock, takes_calls: bool = True) -> None:
        self.log = RosterLog(term=term, takes_calls=takes_calls)
        self._clock = clock
        self._heard: dict[str, timedelta] = {}
        self._domains: dict[str, DomainName] = {}
        self._keeps_jobs = False

    def note_kept_jobs(self, are_open: bool) -> None:
        """Tell whether jobs are under way that must be kept."""
        if are_open != self._keeps_jobs:
            self._keeps_jobs = are_open
            self.log.note_other()

    def take_greeting(self, greeting: Greet) -> None:
        """Count on a gateway for the jobs that it has submitted."""
        gateway = greeting.gateway
        if not gateway:
            return
        if gateway not in self._heard:
            self._domains[gateway] = greeting.domain
            self.log.note_other()
        self._heard[gateway] = self._clock.monotonic()

    def is_heard(self, gateway: str) -> bool:
        """Whether a gateway was heard lately."""
        heard_at = self._heard.get(gateway)
        return heard_at is not None and self._clock.monotonic() - heard_at < GATEWAY_SILENT

    def is_any_heard(self) -> bool:
        """Whether any gateway was heard lately."""
        return any(self.is_heard(gateway) for gateway in self._heard)

    def build_roster(self, records: Records, known: str) -> Roster | None:
        """Return what a gateway that has the version `known` must learn to stand in, or None."""
        gateways = tuple(
            GatewayInfo(address=address, domain=domain)
            for address, domain in sorted(self._domains.items())
        )
        return self.log.build(records, gateways, keeps_jobs=self._keeps_jobs, known=known)
