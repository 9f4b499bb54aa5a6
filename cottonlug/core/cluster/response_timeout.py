"""Time-out for the answer to an order, learnt from the answers of each upstream.

Failure pattern that this is made for: orders that are carried out seconds late or never, at
upstreams that answer all others. Only after the time-out is the upstream polled to learn whether
the task runs there, and if not, the task is started elsewhere. The time-out must be short: a job of
eight tasks of 60 ms has 60 ms to spare.

The estimate is that of TCP's retransmission timer (RFC 6298): the mean response time plus four
times its mean deviation. Timing out too soon costs one poll, since a run that is listed goes on.
"""

from __future__ import annotations

from datetime import timedelta

MAX_RESPONSE_TIMEOUT = timedelta(milliseconds=80)
"""Upper bound, also used before the first answer. Answers take a few milliseconds; a lost packet is
sent again after 200 ms, by when a short task is late anyway."""
MIN_RESPONSE_TIMEOUT = timedelta(milliseconds=25)
"""Lower bound: an answer may take that long where a disk sync (9 ms) or the start of a job of many
tasks delays an event loop."""
MEAN_WEIGHT = 1 / 8
"""Weight of the newest response time in the mean."""
DEVIATION_WEIGHT = 1 / 4
"""The same in the mean deviation."""
DEVIATION_FACTOR = 4
"""How many mean deviations the time-out adds to the mean."""


class ResponseTimeout:
    """Estimate of the time that answers of one upstream take."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None
        self._deviation = timedelta()

    def record_response_time(self, response_time: timedelta) -> None:
        """Update the estimate with the time that an answer took."""
        if self._mean is None:
            self._mean, self._deviation = response_time, response_time / 2
            return
        self._deviation += (abs(response_time - self._mean) - self._deviation) * DEVIATION_WEIGHT
        self._mean += (response_time - self._mean) * MEAN_WEIGHT

    def find_timeout(self) -> timedelta:
        """Return after how long a missing answer counts as lost."""
        if self._mean is None:
            return MAX_RESPONSE_TIMEOUT
        return min(
            max(self._mean + self._deviation * DEVIATION_FACTOR, MIN_RESPONSE_TIMEOUT),
            MAX_RESPONSE_TIMEOUT,
        )
