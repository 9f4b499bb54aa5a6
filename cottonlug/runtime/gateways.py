"""The gateways that whoever decides has heard, and the rosters that it gives them."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Contact, GatewayInfo, Greet, Roster
from ..core.cluster.records import Records
from ..core.cluster.rosters import RosterLog
from ..core.ids import DomainName
from .events import Event, log_event

GATEWAY_SILENT = timedelta(milliseconds=300)
"""Jobs of a gateway not heard for so long are given up; it takes them elsewhere no sooner."""
LATE_GREETING = timedelta(milliseconds=150)
"""A greeting takes some milliseconds; one that took as long was held up, on its way or here."""
LATE_LINE_EVERY = timedelta(seconds=1)
"""How often a line is written about late greetings: a leader held up gets them from everybody."""


class Gateways:
    """Gateways by the address that they greet with."""

    def __init__(self, *, term: int, token: int, clock: Clock, takes_calls: bool = True) -> None:
        self.log = RosterLog(term=term, takes_calls=takes_calls)
        self.record_age: Callable[[float], object] = lambda age_ms: None
        """Called with how old each greeting was when it was taken in, in milliseconds."""
        self._token = token
        self._clock = clock
        self._late_line_due = timedelta()
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
        now = self._clock.monotonic()
        self._heard[gateway] = now
        sent_at = self._find_sent(greeting.contact)
        if sent_at is not None:
            self._note_age(gateway, now - sent_at, now)

    def make_contact(self) -> Contact:
        """Return what a gateway that is answered now is to return."""
        return Contact(token=self._token, answered_ms=to_milliseconds(self._clock.monotonic()))

    def _find_sent(self, contact: Contact | None) -> timedelta | None:
        """Return since when at the latest something was sent; None where that cannot be told."""
        if contact is None or contact.token != self._token:
            return None
        return timedelta(milliseconds=contact.answered_ms + contact.since_ms)

    def _note_age(self, gateway: str, age: timedelta, now: timedelta) -> None:
        self.record_age(age / timedelta(milliseconds=1))
        if age >= LATE_GREETING and now >= self._late_line_due:
            self._late_line_due = now + LATE_LINE_EVERY
            log_event(Event.GREETING_LATE, gateway=gateway, age_ms=to_milliseconds(age))

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
