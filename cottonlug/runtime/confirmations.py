"""Confirmations that a gateway adds to the calls that it sends to the coordinator.

The coordinator continues a gateway's jobs only while the gateway confirms that it still waits for
them: it sends back its contact, the time of the coordinator's last answer (`Contact`). A gateway no
longer confirms anything to a coordinator that it has stopped following, nor any submission that it
no longer waits for (an abandoned one).
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import msgspec

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import AbandonedSubmission, Answer, Call, Contact, KeepAlive, Submit

ABANDONED_REPORT_PERIOD = timedelta(seconds=1)
"""How long keep-alives report an abandoned submission. A coordinator that gets no keep-alive for a
third of this time (`GATEWAY_TIMEOUT`) abandons all jobs of the gateway."""
MAX_ABANDONED = 256
"""Maximum number of abandoned submissions that a keep-alive reports; they take 20 KB of it."""


class Confirmations:
    """The last contact with the coordinator, and the submissions abandoned lately."""

    def __init__(self, *, own_address: str, clock: Clock) -> None:
        self.instance = int(clock.now().timestamp() * 1000)
        """Identifies this process by its start time in milliseconds: no earlier process at this
        address started in the same millisecond."""
        self._own_address = own_address
        self._clock = clock
        self._contact: Contact | None = None
        """Contact from the last answer of the coordinator; `_contact_at` is when it arrived."""
        self._contact_at = clock.monotonic()
        self._abandoned: deque[tuple[timedelta, AbandonedSubmission]] = deque(maxlen=MAX_ABANDONED)
        """Abandoned submissions, with the time when each was abandoned."""
        self._paused_until = timedelta()
        """Until then this gateway confirms nothing, since it has too many abandoned submissions."""

    def record_contact(self, answer: Answer) -> None:
        """Record the contact in an answer of the coordinator."""
        self._contact = answer.contact
        self._contact_at = self._clock.monotonic()

    def clear_contact(self) -> None:
        """Stop confirming, since calls go to another coordinator."""
        self._contact = None

    def record_abandoned(self, submission: AbandonedSubmission) -> None:
        """Report a submission as abandoned with the keep-alives of the next second."""
        now = self._clock.monotonic()
        if len(self._list_abandoned()) >= MAX_ABANDONED:
            # Not all can be reported: confirm nothing until the oldest need not be reported.
            self._paused_until = now + ABANDONED_REPORT_PERIOD
        self._abandoned.append((now, submission))

    def stamp(self, call: Call) -> Call:
        """Return a keep-alive or submission of this gateway with its current contact.

        A keep-alive also reports the abandoned submissions. Other calls are returned unchanged, for
        instance those that are relayed for another gateway.
        """
        if not isinstance(call, KeepAlive | Submit) or call.gateway != self._own_address:
            return call
        if isinstance(call, KeepAlive):
            call = msgspec.structs.replace(call, abandoned=self._list_abandoned())
        return msgspec.structs.replace(call, contact=self._find_contact())

    def _find_contact(self) -> Contact | None:
        if self._contact is None or self._clock.monotonic() < self._paused_until:
            return None
        since = self._clock.monotonic() - self._contact_at
        return msgspec.structs.replace(self._contact, since_ms=to_milliseconds(since))

    def _list_abandoned(self) -> tuple[AbandonedSubmission, ...]:
        oldest = self._clock.monotonic() - ABANDONED_REPORT_PERIOD
        while self._abandoned and self._abandoned[0][0] < oldest:
            self._abandoned.popleft()
        return tuple(submission for _, submission in self._abandoned)
