"""The gateways that whoever decides has heard, and the roster that it gives them."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from ..core.clock import Clock
from ..core.cluster.calls import Roster
from ..core.cluster.records import Records

GATEWAY_SILENT = timedelta(milliseconds=300)
"""Jobs of a gateway not heard for so long are given up; it takes them elsewhere no sooner."""


class Gateways:
    """Gateways by the address that they greet with."""

    def __init__(self, *, term: int, clock: Clock, takes_calls: bool = True) -> None:
        self._takes_calls = takes_calls
        self._term = term
        self._clock = clock
        self._heard: dict[str, timedelta] = {}
        self._changes = 0
        self._keeps_jobs = False

    @property
    def version(self) -> str:
        """Version of the present roster."""
        return f"{self._term}.{self._changes}"

    def note_kept_jobs(self, are_open: bool) -> None:
        """Tell whether jobs are under way that must be kept."""
        if are_open != self._keeps_jobs:
            self._keeps_jobs = are_open
            self.note_change()

    def note_change(self) -> None:
        """Count a change of what a roster holds."""
        self._changes += 1

    def take_greeting(self, gateway: str) -> None:
        """Count on a gateway for the jobs that it has submitted."""
        if not gateway:
            return
        if gateway not in self._heard:
            self.note_change()
        self._heard[gateway] = self._clock.monotonic()

    def is_heard(self, gateway: str) -> bool:
        """Whether a gateway was heard lately."""
        heard_at = self._heard.get(gateway)
        return heard_at is not None and self._clock.monotonic() - heard_at < GATEWAY_SILENT

    def is_any_heard(self) -> bool:
        """Whether any gateway was heard lately."""
        return any(self.is_heard(gateway) for gateway in self._heard)

    def build_roster(self, records: Records) -> Roster:
        """Return what a gateway must know to stand in; nobody reads a configuration back there."""
        configuration = records.configuration
        if configuration is not None:
            configuration = msgspec.structs.replace(configuration, document="")
        return Roster(
            version=self.version,
            term=self._term,
            configuration=configuration,
            upstreams=tuple(records.upstreams.values()),
            gateways=tuple(sorted(self._heard)),
            keeps_jobs=self._keeps_jobs,
            takes_calls=self._takes_calls,
        )
