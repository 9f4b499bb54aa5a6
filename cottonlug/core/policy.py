"""Options of the dispatch policy, so that the benefit of each mechanism can be measured."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PlacementOrder(Enum):
    """Which of the upstreams with free capacity is chosen first.

    LEAST_LOADED: the one with the lowest ratio of starts to credit. FULLEST: the one that can take
    the fewest further starts. FIRST: the one whose session opened first.
    """

    LEAST_LOADED = "least_loaded"
    FULLEST = "fullest"
    FIRST = "first"


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """How jobs are ordered and tasks placed.

    `work_factor` is by how many seconds of arrival time one second of expected work sets a job
    back: 0 is first in, first out. Without `fair_teams` all teams share one queue. Without `guards`
    upstreams that fail every task are not limited (see `guards`).
    """

    placement: PlacementOrder = PlacementOrder.LEAST_LOADED
    work_factor: float = 1.0
    fair_teams: bool = True
    guards: bool = True
