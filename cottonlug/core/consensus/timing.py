"""Timing parameters and the source of randomness of a member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

RandomFloat = Callable[[], float]
"""Returns a random number in [0, 1); injected to make runs repeatable."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Interval of a leader's heartbeats, and base values of the timeouts of other members.

    A timeout is drawn at random, from one to two times its base value. A member that has heard no
    leader for `election` starts a pre-vote: it asks whether the others would vote for it. A leader
    steps down if it has heard no majority for `election`.
    """

    heartbeat: timedelta = timedelta(milliseconds=500)
    election: timedelta = timedelta(milliseconds=1_500)
    first_election: timedelta = timedelta(milliseconds=1_500)
    """Base election timeout for the first election after a start. It may be shorter: after all
    members were down there is no leader, and if there is one the others refuse the pre-vote."""
    pre_vote_retry: timedelta = timedelta(milliseconds=1_500)
    """Base interval between two pre-votes; it may be short, since they do not disturb a leader."""
