"""The switches of the dispatch policy, so that the worth of each mechanism can be measured."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class PlacementOrder(Enum):
    """Which of the upstreams with room comes first."""

    LEAST_LOADED = "least_loaded"
    FULLEST = "fullest"
    FIRST = "first"


@dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """How jobs are ordered and tasks placed.

    `work_factor` is how many seconds of arrival time a second of expected work counts for: 0 is
    first in, first out. Without `fair_teams` all teams share one queue.
    """

    placement: PlacementOrder = PlacementOrder.LEAST_LOADED
    work_factor: float = 1.0
    fair_teams: bool = True
    guards: bool = True
