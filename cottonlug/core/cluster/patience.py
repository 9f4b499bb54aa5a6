"""How long the answer to an order is waited for, learnt from the answers of each upstream.

Pattern: orders that are carried out seconds late or never, at upstreams that answer all others.
Only once an answer is given up does anybody look whether the task runs, and start it elsewhere; a
job of eight tasks of 60 ms has 60 ms to spare.

The estimate is that of TCP's retransmission timer (RFC 6298): the mean of the times taken and four
times their mean deviation. To give up too soon costs one look, since a run that is listed goes on.
"""

from __future__ import annotations

from datetime import timedelta

LONGEST = timedelta(milliseconds=80)
"""Also before anything was learnt. Answers take a few milliseconds; a lost packet is sent again
after 200 ms, by when a short task is late anyway."""
SHORTEST = timedelta(milliseconds=25)
"""An event loop that is held up by a sync of its disk (9 ms) or a wide job may take that long."""
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4


class Patience:
    """The time that answers of one upstream take."""

    def __init__(self) -> None:
        self._mean: timedelta | None = None
        self._deviation = timedelta()

    def receive_answer(self, taken: timedelta) -> None:
        """Learn how long an answer took."""
        if self._mean is None:
            self._mean, self._deviation = taken, taken / 2
            return
        self._deviation += (abs(taken - self._mean) - self._deviation) * DEVIATION_WEIGHT
        self._mean += (taken - self._mean) * MEAN_WEIGHT

    def find_limit(self) -> timedelta:
        """Return after how long an answer is given up."""
        if self._mean is None:
            return LONGEST
        return min(max(self._mean + self._deviation * DEVIATIONS, SHORTEST), LONGEST)
