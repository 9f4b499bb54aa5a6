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
CHECK_SUBMISSIONS = timedelta(milliseconds=10)
"""Each vouches for its job for a span of its own; half of the time between two decisions."""
PARTS_A_SECOND = 600
"""Large parts of rosters, for all gateways: 140 Mbit/s, and a tenth of the time of a leader.
Whoever is not served now asks with its next greeting."""
NEVER = timedelta.max
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
        self._vouched_until = timedelta()
        """Until when the newest submission, or greeting, vouches for anything."""
        self._check_at = NEVER
        """Until then no gateway falls silent."""
        self.on_silence: Callable[[str], object] = lambda gateway: None
        """Called when a gateway that was silent is counted on again."""
        self.on_restart: Callable[[str], object] = lambda gateway: None
        """Called when another process than before greets from the address of a gateway."""
        self._token = token
        self._clock = clock
        self._late_line_due = timedelta()
        self._sent_at: dict[str, timedelta] = {}
        """When each gateway last sent something, at the earliest, as its contacts tell."""
        self._domains: dict[str, DomainName] = {}
        self._lives: dict[str, int] = {}
        self._keeps_jobs = False
        self._parts_left = float(PARTS_A_SECOND)
        self._parts_at = clock.monotonic()

    def note_kept_jobs(self, are_open: bool) -> None:
        """Tell whether jobs are under way that must be kept."""
        if are_open != self._keeps_jobs:
            self._keeps_jobs = are_open
            self.log.note_other()

    def take_greeting(self, greeting: Greet) -> None:
        """Know a gateway, and count on it for as long as its contact allows."""
        gateway = greeting.gateway
        if not gateway:
            return
        if gateway not in self._domains:
            self._domains[gateway] = greeting.domain
            self.log.note_other()
        if self._lives.setdefault(gateway, greeting.life) != greeting.life:
            self._lives[gateway] = greeting.life
            self.on_restart(gateway)
        sent_at = self.find_sent(gateway, greeting.contact)
        if sent_at is not None:
            self._vouch(gateway, sent_at)

    def find_sent(self, gateway: str, contact: Contact | None) -> timedelta | None:
        """Return when something was sent, at the earliest; None where it counts no more.

        It counts from the sending, never from the arrival: a gateway takes its jobs elsewhere by
        when it was last answered, and what was held up on its way or here says nothing of that.
        """
        if contact is None or contact.token != self._token:
            return None
        now = self._clock.monotonic()
        sent_at = timedelta(milliseconds=contact.answered_ms + contact.since_ms)
        self._note_age(gateway, now - sent_at, now)
        if now - sent_at >= GATEWAY_SILENT:
            return None
        self._vouched_until = max(self._vouched_until, sent_at + GATEWAY_SILENT)
        self._check_at = min(self._check_at, sent_at + GATEWAY_SILENT)
        return sent_at

    def _vouch(self, gateway: str, sent_at: timedelta) -> None:
        """Count on a gateway; what it had submitted before a silence it has taken elsewhere."""
        known = self._sent_at.get(gateway)
        if known is not None and not self.is_heard(gateway):
            self.on_silence(gateway)
        self._sent_at[gateway] = max(sent_at, known or sent_at)

    def make_contact(self) -> Contact:
        """Return what a gateway that is answered now is to return."""
        return Contact(token=self._token, answered_ms=to_milliseconds(self._clock.monotonic()))

    def _note_age(self, gateway: str, age: timedelta, now: timedelta) -> None:
        self.record_age(age / timedelta(milliseconds=1))
        if age >= LATE_GREETING and now >= self._late_line_due:
            self._late_line_due = now + LATE_LINE_EVERY
            log_event(Event.KEEPALIVE_LATE, gateway=gateway, age_ms=to_milliseconds(age))

    def is_heard(self, gateway: str) -> bool:
        """Whether a gateway was heard lately."""
        sent_at = self._sent_at.get(gateway)
        return sent_at is not None and self._clock.monotonic() - sent_at < GATEWAY_SILENT

    def may_be_silent(self) -> bool:
        """Whether a gateway may have fallen silent since this last said so.

        Decisions are thousands a second, and silence comes by the clock.
        """
        now = self._clock.monotonic()
        if now < self._check_at:
            return False
        heard = (at + GATEWAY_SILENT for at in self._sent_at.values() if now - at < GATEWAY_SILENT)
        self._check_at = min(heard, default=NEVER)
        if now < self._vouched_until:
            self._check_at = min(self._check_at, now + CHECK_SUBMISSIONS)
        return True

    def find_domain(self, gateway: str) -> DomainName | None:
        """Return the failure domain of a gateway that was heard."""
        return self._domains.get(gateway)

    def is_any_heard(self) -> bool:
        """Whether any gateway was heard lately."""
        return any(self.is_heard(gateway) for gateway in self._sent_at)

    def may_stand_in(self, domains: set[DomainName]) -> bool:
        """Whether a gateway that was not heard lately may stand in for upstreams of these domains.

        None can where each of the domains has gateways, and all that were ever heard are in touch.
        """
        if not domains <= set(self._domains.values()):
            return True
        return not all(self.is_heard(gateway) for gateway in self._domains)

    def build_roster(self, records: Records, known: str) -> Roster | None:
        """Return what a gateway that has the version `known` must learn next, or None.

        Also None where that has to wait: see `is_current`.
        """
        gateways = tuple(
            GatewayInfo(address=address, domain=domain)
            for address, domain in sorted(self._domains.items())
        )
        if self.log.is_large(records, known) and not self._may_send_part():
            return None
        return self.log.build(records, gateways, keeps_jobs=self._keeps_jobs, known=known)

    def is_current(self, known: str) -> bool:
        """Whether a gateway that has this version has all there is to know."""
        return known == self.log.version

    def _may_send_part(self) -> bool:
        """Whether one more large part may be sent now, and count it if so."""
        now = self._clock.monotonic()
        earned = (now - self._parts_at).total_seconds() * PARTS_A_SECOND
        self._parts_at = now
        self._parts_left = min(self._parts_left + earned, float(PARTS_A_SECOND))
        if self._parts_left < 1.0:
            return False
        self._parts_left -= 1.0
        return True
