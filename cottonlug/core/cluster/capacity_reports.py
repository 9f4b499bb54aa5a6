"""How long the reported capacity of an upstream can be relied on.

Load pattern: the capacity of an upstream shrinks and grows again while it runs, as its heartbeats
report. An upstream that enforces its capacity refuses what does not fit. One that does not starts
it all the same, and starts beyond a capacity that has shrunk are tolerated for a while only. So
nothing is started there by a report that may have been out of date for longer than that.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MAX_TIME_WITHOUT_LEADER = timedelta(milliseconds=700)
"""Longest time without a leader until a host that knew the last one leads in its place."""
MISSED_HEARTBEAT_DELAY = timedelta(milliseconds=400)
"""A heartbeat counts as missed once it is later than its interval by this much."""
PROPAGATION_TIME = timedelta(milliseconds=500)
"""Time within which all hosts that may be the next coordinator know of a missed heartbeat: a commit
and a keep-alive of a gateway come between."""
FIRST_REFUSAL_BACKOFF = timedelta(milliseconds=50)
"""How long nothing is started after a first refusal for lack of capacity: the next poll may show
what runs there."""
MAX_BACKOFF_DOUBLINGS = 4
"""An upstream that has refused five times in a row is tried again every 0.8 s, or once it has
reported something new: that comes with its next heartbeat, within 1.5 s."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportTerms:
    """How soon an upstream reports a changed capacity, and what is tolerated until then."""

    interval: timedelta = timedelta(milliseconds=1_500)
    """The interval of its heartbeats."""
    shrink_tolerance: timedelta = timedelta(seconds=3)
    """How long starts by the old capacity are tolerated once it has shrunk, beyond an interval."""

    @property
    def valid_for(self) -> timedelta:
        """How long a report is relied on at an upstream that does not enforce its capacity."""
        return self.interval + self.shrink_tolerance

    @property
    def missed_after(self) -> timedelta:
        """Age of the last report at which a heartbeat counts as missed."""
        return self.interval + MISSED_HEARTBEAT_DELAY

    def find_valid_until(self, current_at: timedelta) -> timedelta:
        """Return until when recorded capacities can be relied on, if current at `current_at`.

        The records say which upstreams had missed a heartbeat by then. At all others, a change that
        was not reported by then was less than an interval old.
        """
        return current_at + self.shrink_tolerance - PROPAGATION_TIME


DEFAULT_REPORT_TERMS = ReportTerms()


def find_refusal_backoff(refusals: int) -> timedelta:
    """Return how long to start nothing at an upstream that just refused for lack of capacity.

    `refusals` in a row show that its capacity has shrunk, and that no heartbeat has reported it.
    """
    return FIRST_REFUSAL_BACKOFF * (1 << min(refusals - 1, MAX_BACKOFF_DOUBLINGS))
