"""Detection of stalled and slow runs by the progress that their upstreams report.

Failure patterns that this is made for: tasks that stall on an upstream whose heartbeats are good,
and upstreams that have become several times slower. A stalled or slow run is moved, that is,
stopped and started elsewhere. Only what an upstream has answered counts: while its answers are
lost, nothing is known of its runs, which may have succeeded.

The expected time of a run is the declared one, corrected by what was learned of its queue. A
sibling is a run of another task of the same step.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .orders import Run

STALLED_AFTER_SHARE = 0.5
"""A run without any progress for this share of its expected time counts as stalled. Even one that
takes three times as long as expected (2.7 sigma, hardly ever exceeded by a sound run) would advance
by 16 percent meanwhile."""
MIN_OBSERVATION = timedelta(milliseconds=60)
"""A run never counts as stalled after less than this without progress, and is not checked any
sooner after its start: the start and the answer take a few milliseconds each."""
RESUME_ALLOWANCE = timedelta(seconds=1)
"""Added to the time without progress that is allowed to a run from a checkpoint, which is first
restored (0.1 to 0.6 s on the users' platform)."""
SLOW_FACTOR = 3.5
"""A run that takes more than this many times as long as expected, and as its fastest sibling at
another upstream, has a slow upstream."""
MIN_SLOW_OBSERVATION = timedelta(milliseconds=100)
"""A run counts as slow no sooner after its start: progress is reported in whole percent, so that
the rate of a younger run is too inaccurate."""
MIN_GAIN_PERCENT = 5
"""Percent of progress from which on a rate can be estimated."""
MOVE_FACTOR = 1.5
"""A slow run is moved only if the rest of it takes more than this many times as long as a new run
usually does."""
CHECK_SHARES = (0.75, 1.6)
"""When the progress of a run is checked, in shares of its expected time from its start: early
enough that a task of 0.2 s that stalls still ends in time elsewhere. After that, the polls that
renew leases report its progress."""


class ProgressRate(Enum):
    """How fast a run progresses."""

    NORMAL = "fine"
    STALLED = "stands_still"
    SLOW = "slow"


def estimate_run_time(run: Run) -> timedelta | None:
    """Return the whole run time at the rate so far, or None where that cannot be estimated yet."""
    gain = run.percent - run.first_percent
    if run.seen_at is None or gain < MIN_GAIN_PERCENT:
        return None
    return (run.seen_at - run.since) * 100 / gain


def classify_progress(run: Run, expected: timedelta, sibling: timedelta | None) -> ProgressRate:
    """Return how fast a run progresses.

    `expected` is its expected run time, `sibling` that of its fastest sibling at another upstream.
    """
    if run.seen_at is None:
        return ProgressRate.NORMAL
    if _is_stalled(run, run.seen_at, expected):
        return ProgressRate.STALLED
    total = estimate_run_time(run)
    if total is None or run.seen_at - run.since < max(MIN_SLOW_OBSERVATION, expected):
        return ProgressRate.NORMAL
    usual = max(expected, sibling or expected)
    left = total * (100 - run.percent) / 100
    is_slow = total > usual * SLOW_FACTOR and left > usual * MOVE_FACTOR
    return ProgressRate.SLOW if is_slow else ProgressRate.NORMAL


def _is_stalled(run: Run, seen_at: timedelta, expected: timedelta) -> bool:
    """Whether a run has made no progress for too long, as its upstream last reported."""
    limit = max(expected * STALLED_AFTER_SHARE, MIN_OBSERVATION)
    if run.resumes:
        limit += RESUME_ALLOWANCE
    return seen_at - run.advanced_at >= limit


def find_next_check(run: Run, expected: timedelta, now: timedelta) -> timedelta | None:
    """Return when to check the progress of a run next, or None after the last check."""
    for share in CHECK_SHARES:
        due = run.since + max(expected * share, MIN_OBSERVATION)
        if due > now:
            return due
    return None
