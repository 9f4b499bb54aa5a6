"""Whether a run gets on, judged by what its upstream says of its progress.

Patterns: tasks that stand still on an upstream whose heartbeats are good, and upstreams that have
turned several times slower. Only what an upstream has answered counts: while its answers are lost
nothing is known of its runs, which may have ended well.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

from .orders import Run

STANDS_STILL_AFTER = 0.5
"""Share of the expected time without any progress that shows a run standing still: at the slowest
that declared times explain (three times the mean, 2.7 sigma), it would get on by 16 percent."""
LEAST_WATCH = timedelta(milliseconds=60)
"""A younger run says nothing: its start and the answer take a few milliseconds each."""
RESUME_SLACK = timedelta(seconds=1)
"""A run from a checkpoint is first restored (0.1 to 0.6 s on the users' platform)."""
SLOW_FACTOR = 3.5
"""So much longer than declared, or than its siblings, is not the task's own doing."""
SLOW_WATCH = timedelta(milliseconds=100)
"""Progress is told in whole percent: the pace of a younger run is off by too much."""
LEAST_GAIN = 5
"""Percent of progress from which on a pace can be told."""
WORTH_MOVING = 1.5
"""A run is moved if what is left of it takes that many times what a new one takes."""
CHECKPOINTS = (0.75, 1.6)
"""When a run's progress is asked for, in shares of its expected time: early enough that a task of a
fifth of a second that stands still is in time elsewhere; later ones come with the leases."""


class Pace(Enum):
    """How a run gets on."""

    FINE = "fine"
    STANDS_STILL = "stands_still"
    SLOW = "slow"


def find_total(run: Run) -> timedelta | None:
    """Return how long a run takes in all at its pace so far, or None where that cannot be told."""
    gain = run.percent - run.first_percent
    if run.seen_at is None or gain < LEAST_GAIN:
        return None
    return (run.seen_at - run.since) * 100 / gain


def judge_pace(run: Run, expected: timedelta, sibling: timedelta | None) -> Pace:
    """Return how a run gets on; `sibling` is what another task of its step takes elsewhere."""
    if run.seen_at is None:
        return Pace.FINE
    if _stands_still(run, run.seen_at, expected):
        return Pace.STANDS_STILL
    total = find_total(run)
    if total is None or run.seen_at - run.since < max(SLOW_WATCH, expected):
        return Pace.FINE
    usual = max(expected, sibling or expected)
    left = total * (100 - run.percent) / 100
    is_slow = total > usual * SLOW_FACTOR and left > usual * WORTH_MOVING
    return Pace.SLOW if is_slow else Pace.FINE


def _stands_still(run: Run, seen_at: timedelta, expected: timedelta) -> bool:
    """Whether a run has got on by nothing for too long, as its upstream last said."""
    limit = max(expected * STANDS_STILL_AFTER, LEAST_WATCH)
    if run.resumes:
        limit += RESUME_SLACK
    return seen_at - run.advanced_at >= limit


def find_next_check(run: Run, expected: timedelta, now: timedelta) -> timedelta | None:
    """Return when a run's progress should next be known, or None once nothing more is due."""
    for share in CHECKPOINTS:
        due = run.since + max(expected * share, LEAST_WATCH)
        if due > now:
            return due
    return None
