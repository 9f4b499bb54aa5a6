"""How long what an upstream has said of its capacity can be counted on.

Pattern: the capacity of an upstream shrinks and grows again while it runs, and its heartbeats tell.
An upstream that guards its capacity refuses what does not fit; one that guards nothing starts it
all the same, and starts by a capacity that has shrunk are borne for a while only. So at those,
nothing is started by a report that may have been overtaken for longer than that.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MAX_ELECTION_TIME = timedelta(milliseconds=700)
"""How long there may have been no leader when a new one begins that has known the last one."""
MISSED_HEARTBEAT_DELAY = timedelta(milliseconds=400)
PROPAGATION_TIME = timedelta(milliseconds=500)
"""A heartbeat that comes later than its interval by the first counts as missed; all who may decide
next know of that by the second: a commit and a greeting of a gateway come between."""
FIRST_REFUSAL_BACKOFF = timedelta(milliseconds=50)
"""After a refusal for want of room: the next look may show what runs there."""
MAX_BACKOFF_DOUBLINGS = 4
"""An upstream that has refused five times in a row is tried again each 0.8 s, or once it has said
something new of itself: that comes with its next heartbeat, within 1.5 s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportTerms:
    """How soon an upstream tells that its capacity has changed, and what is borne until then."""

    interval: timedelta = timedelta(milliseconds=1_500)
    """The interval of its heartbeats."""
    shrink_tolerance: timedelta = timedelta(seconds=3)
    """How long after a capacity has shrunk starts by the old one are borne, besides an interval."""

    @property
    def valid_for(self) -> timedelta:
        """How long a report holds at an upstream that guards nothing."""
        return self.interval + self.shrink_tolerance

    @property
    def missed_after(self) -> timedelta:
        """How old a report is once a heartbeat was missed."""
        return self.interval + MISSED_HEARTBEAT_DELAY

    def find_valid_until(self, led_at: timedelta) -> timedelta:
        """Return until when capacities in a record hold that was up to date at a moment.

        It says of which upstreams a heartbeat was missed; all others, if they had changed by then
        without being heard, had done so within an interval.
        """
        return led_at + self.shrink_tolerance - PROPAGATION_TIME


DEFAULT_REPORT_TERMS = ReportTerms()


def find_refusal_backoff(refusals: int) -> timedelta:
    """Return how long nothing is started at an upstream that has just refused for want of room.

    `refusals` in a row say that its room has shrunk, and that no heartbeat has told it yet.
    """
    return FIRST_REFUSAL_BACKOFF * (1 << min(refusals - 1, MAX_BACKOFF_DOUBLINGS))
