"""Spans of time and chance that a member works with."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

Chance = Callable[[], float]
"""Return a number from 0 up to 1; passed in, so that runs can be repeated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Spans between events; the election timeout is drawn between one and two times `election`."""

    heartbeat: timedelta = timedelta(milliseconds=500)
    election: timedelta = timedelta(milliseconds=1_500)
    first_election: timedelta = timedelta(milliseconds=1_500)
    """The same for the first time after a start: after all were down nobody leads, and where
    somebody does the others refuse the pre-vote."""
    pre_vote_retry: timedelta = timedelta(milliseconds=1_500)
    """Between two pre-votes; they disturb nobody."""
