"""Whether a run gets on, judged by what its upstream says of its progress.

Patterns: tasks that stand still on an upstream whose heartbeats are good, and upstreams that have
turned several times slower. Only what an upstream has answered counts: while its answers are lost
nothing is known of its runs, which may have ended well.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .orders import Run

STALLED_AFTER_SHARE = 0.5
"""Share of the expected time without any progress that shows a run standing still: at the slowest
that declared times explain (three times the mean, 2.7 sigma), it would get on by 16 percent."""
MIN_OBSERVATION = timedelta(milliseconds=60)
"""A younger run says nothing: its start and the answer take a few milliseconds each."""
RESUME_ALLOWANCE = timedelta(seconds=1)
"""A run from a checkpoint is first restored (0.1 to 0.6 s on the users' platform)."""
SLOW_FACTOR = 3.5
"""So much longer than declared, or than its siblings, is not the task's own doing."""
MIN_SLOW_OBSERVATION = timedelta(milliseconds=100)
"""Progress is told in whole percent: the pace of a younger run is off by too much."""
MIN_GAIN_PERCENT = 5
"""Percent of progress from which on a pace can be told."""
MOVE_FACTOR = 1.5
"""A run is moved if what is left of it takes that many times what a new one takes."""
CHECK_SHARES = (0.75, 1.6)
"""When a run's progress is asked for, in shares of its expected time: early enough that a task of a
fifth of a second that stands still is in time elsewhere; later ones come with the leases."""


class ProgressRate(Enum):
    """How a run gets on."""

    NORMAL = "fine"
    STALLED = "stands_still"
    SLOW = "slow"


def estimate_run_time(run: Run) -> timedelta | None:
    """Return how long a run takes in all at its pace so far, or None where that cannot be told."""
    gain = run.percent - run.first_percent
    if run.seen_at is None or gain < MIN_GAIN_PERCENT:
        return None
    return (run.seen_at - run.since) * 100 / gain


def classify_progress(run: Run, expected: timedelta, sibling: timedelta | None) -> ProgressRate:
    """Return how a run gets on; `sibling` is what another task of its step takes elsewhere."""
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
    """Whether a run has got on by nothing for too long, as its upstream last said."""
    limit = max(expected * STALLED_AFTER_SHARE, MIN_OBSERVATION)
    if run.resumes:
        limit += RESUME_ALLOWANCE
    return seen_at - run.advanced_at >= limit


def find_next_check(run: Run, expected: timedelta, now: timedelta) -> timedelta | None:
    """Return when a run's progress should next be known, or None once nothing more is due."""
    for share in CHECK_SHARES:
        due = run.since + max(expected * share, MIN_OBSERVATION)
        if due > now:
            return due
    return None
