"""What a gateway tells of itself with what it sends to whoever decides.

Whoever decides goes on with a gateway's jobs only while something vouches for them (`Contact`); the
gateway vouches to nobody any more once it has left, and for nothing that it waits for no more.
"""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import msgspec

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import Answer, Call, Contact, AbandonedSubmission, KeepAlive, Submit

GIVEN_UP_TOLD = timedelta(seconds=1)
"""For so long greetings tell it: whoever gets none of them for a third of that gives all up."""
MOST_GIVEN_UP = 256
"""In a second of a gateway: 20 KB of a greeting."""


class Vouching:
    """The contact with whoever decides, and what was given up lately."""

    def __init__(self, *, own: str, clock: Clock) -> None:
        self.life = int(clock.now().timestamp() * 1000)
        """Names this process: no earlier one at this address has begun at the same millisecond."""
        self._own = own
        self._clock = clock
        self._contact: Contact | None = None
        """What whoever decides gave with its last answer, and when that arrived."""
        self._contact_at = clock.monotonic()
        self._given_up: deque[tuple[timedelta, AbandonedSubmission]] = deque(maxlen=MOST_GIVEN_UP)
        """What is waited for no more, and since when."""
        self._silent_until = timedelta()

    def take(self, answer: Answer) -> None:
        """Keep the contact that came with an answer of whoever decides."""
        self._contact = answer.contact
        self._contact_at = self._clock.monotonic()

    def end(self) -> None:
        """Vouch to nobody any more, since calls go elsewhere."""
        self._contact = None

    def note_given_up(self, given_up: AbandonedSubmission) -> None:
        """Tell whoever is greeted in the next while that a submission is waited for no more."""
        now = self._clock.monotonic()
        if len(self._list_given_up()) >= MOST_GIVEN_UP:
            # Not all can be told: until the oldest need not be, nothing is vouched for at all.
            self._silent_until = now + GIVEN_UP_TOLD
        self._given_up.append((now, given_up))

    def stamp(self, call: Call) -> Call:
        """Return a call of this gateway with its contact, as of now; others as they are."""
        if not isinstance(call, KeepAlive | Submit) or call.gateway != self._own:
            return call
        if isinstance(call, KeepAlive):
            call = msgspec.structs.replace(call, abandoned=self._list_given_up())
        return msgspec.structs.replace(call, contact=self._find_contact())

    def _find_contact(self) -> Contact | None:
        if self._contact is None or self._clock.monotonic() < self._silent_until:
            return None
        since = self._clock.monotonic() - self._contact_at
        return msgspec.structs.replace(self._contact, since_ms=to_milliseconds(since))

    def _list_given_up(self) -> tuple[AbandonedSubmission, ...]:
        oldest = self._clock.monotonic() - GIVEN_UP_TOLD
        while self._given_up and self._given_up[0][0] < oldest:
            self._given_up.popleft()
        return tuple(given_up for _, given_up in self._given_up)
