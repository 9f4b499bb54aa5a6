"""How long the reported capacity of an upstream can be relied on.

Load pattern that this is made for: the capacity of an upstream shrinks and grows again while it
runs, as its heartbeats report. An upstream that enforces its capacity refuses what does not fit.
One that does not starts it all the same, and starts beyond a capacity that has shrunk are tolerated
for a while only: see `ReportTerms`. So nothing is started there by a report that may have been
out of date for longer than that.

If an upstream of the second kind has missed a heartbeat, that is recorded in the replicated log and
in the failover state, a copy that gateways get with the answers to their keep-alives, in case they
must act as leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

MAX_TIME_WITHOUT_LEADER = timedelta(milliseconds=700)
"""How long a host may still name a leader, after hearing it for the last time: as long as an
election timeout at the most. So that leader may have failed this long before it was last named."""
MISSED_HEARTBEAT_DELAY = timedelta(milliseconds=400)
"""A heartbeat counts as missed once it is later than its interval by this much."""
PROPAGATION_TIME = timedelta(milliseconds=500)
"""Time from when a heartbeat was due until all hosts that may be the next coordinator know that it
was missed: `MISSED_HEARTBEAT_DELAY`, a commit, and a keep-alive of a gateway (which may act as
leader next)."""
FIRST_REFUSAL_BACKOFF = timedelta(milliseconds=50)
"""How long nothing is started at an upstream after its first refusal for lack of capacity. The next
poll, which lists its runs, may show by then what occupies it."""
MAX_BACKOFF_DOUBLINGS = 4
"""Each further refusal in a row doubles the time, up to 0.8 s from the fifth on. A capacity report,
which comes with each heartbeat (every 1.5 s), begins the count anew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportTerms:
    """How soon an upstream reports a changed capacity, and what is tolerated until then.

    These are terms in the sense of conditions; they have nothing to do with a leader's term.
    """

    interval: timedelta = timedelta(milliseconds=1_500)
    """The interval of its heartbeats."""
    shrink_tolerance: timedelta = timedelta(seconds=3)
    """How long, beyond one interval, starts that fit only the old capacity are tolerated after it
    has shrunk."""

    @property
    def valid_for(self) -> timedelta:
        """How long a report is relied on at an upstream that does not enforce its capacity."""
        return self.interval + self.shrink_tolerance

    @property
    def missed_after(self) -> timedelta:
        """Age of the last report at which a heartbeat counts as missed."""
        return self.interval + MISSED_HEARTBEAT_DELAY

    def find_valid_until(self, current_at: timedelta) -> timedelta:
        """Return until when a new coordinator can rely on the capacities in its records.

        `current_at` is the time up to which its records are complete, as it had contact with the
        leader then. They name the upstreams that missed a heartbeat due `PROPAGATION_TIME` earlier.
        At all others, a change that is not in the records came at most an interval before that, and
        is tolerated for `valid_for`.
        """
        return current_at + self.shrink_tolerance - PROPAGATION_TIME


DEFAULT_REPORT_TERMS = ReportTerms()


def find_refusal_backoff(refusals: int) -> timedelta:
    """Return how long to start nothing at an upstream that just refused for lack of capacity.

    `refusals` is how often it has refused since its last successful start or capacity report, this
    one included: several show that its capacity has shrunk and that this is not reported yet.
    """
    return FIRST_REFUSAL_BACKOFF * (1 << min(refusals - 1, MAX_BACKOFF_DOUBLINGS))
