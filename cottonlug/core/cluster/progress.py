"""Detection of stalled and slow runs by the progress that their upstreams report.

Failure patterns: tasks that stall on an upstream whose heartbeats are good, and upstreams that have
become several times slower. Only what an upstream has answered counts: while its answers are lost,
nothing is known of its runs, which may have succeeded.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .orders import Run

STALLED_AFTER_SHARE = 0.5
"""Share of the expected time without any progress after which a run is stalled: at the slowest rate
that declared times explain (three times the mean, 2.7 sigma), it would advance by 16 percent
meanwhile."""
MIN_OBSERVATION = timedelta(milliseconds=60)
"""Progress is not judged any sooner: the start and the answer take a few milliseconds each."""
RESUME_ALLOWANCE = timedelta(seconds=1)
"""A run from a checkpoint is first restored (0.1 to 0.6 s on the users' platform)."""
SLOW_FACTOR = 3.5
"""A run that takes this many times as long as expected, and as its fastest sibling
elsewhere, has a slow upstream."""
MIN_SLOW_OBSERVATION = timedelta(milliseconds=100)
"""Progress is reported in whole percent: the rate of a younger run is too inaccurate."""
MIN_GAIN_PERCENT = 5
"""Percent of progress from which on a rate can be estimated."""
MOVE_FACTOR = 1.5
"""A run is moved only if the rest of it takes more than this many times as long as a new one."""
CHECK_SHARES = (0.75, 1.6)
"""When a run's progress is polled, in shares of its expected time: early enough that a task of a
fifth of a second that stalls is in time elsewhere; later reports come with lease renewals."""


class ProgressRate(Enum):
    """How fast a run progresses."""

    NORMAL = "fine"
    STALLED = "stands_still"
    SLOW = "slow"


def estimate_run_time(run: Run) -> timedelta | None:
    """Return the whole run time at the rate so far, or None where that cannot be estimated."""
    gain = run.percent - run.first_percent
    if run.seen_at is None or gain < MIN_GAIN_PERCENT:
        return None
    return (run.seen_at - run.since) * 100 / gain


def classify_progress(run: Run, expected: timedelta, sibling: timedelta | None) -> ProgressRate:
    """Return how a run progresses; `sibling` is the run time of a task of its step elsewhere."""
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
    """Return when a run's progress should next be known, or None after the last check."""
    for share in CHECK_SHARES:
        due = run.since + max(expected * share, MIN_OBSERVATION)
        if due > now:
            return due
    return None
