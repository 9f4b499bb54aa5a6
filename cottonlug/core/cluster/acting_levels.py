"""Levels of acting leaders, which make their fencing tokens distinct and rising.

The fencing token of an acting leader is that of the last leader plus a level. A level is 1,000
times a number that rises with each acting period, plus the gateway's place in the failover state.

- Distinct: a leader only ever appends to the gateways in its failover state, so that a gateway has
  the same place in all copies of a term and no other gateway has that place in any of them. A copy
  that is older, or was received before a gateway joined, makes no difference.
- Rising in the order of succession: where a gateway's place is lower than that of the one just
  before it in that order, its number is higher by one. Without such a drop, as in a list that is in
  order, the places alone decide. A gateway also exceeds each acting leader that it has followed.
"""

from __future__ import annotations

import itertools

from .calls import FailoverState
from .failover_state import find_acting_domain
from .host_sizes import list_preceding
from .term import TOKENS_PER_TERM

LEVELS_PER_NUMBER = 1_000
"""Most gateways that may act as leader: each needs a place below this."""


class ActingLevels:
    """Chooses the levels of one gateway."""

    def __init__(self) -> None:
        self._periods = 0
        """How often this gateway has acted as leader since its failover state was replaced."""
        self._highest_token = 0
        """Highest fencing token of this gateway and of the acting leaders that it has followed."""

    def reset_periods(self) -> None:
        """Count acting periods from 0, as the failover state was replaced."""
        self._periods = 0

    def record_token(self, token: int) -> None:
        """Record the fencing token of an acting leader that this gateway follows."""
        self._highest_token = max(self._highest_token, token)

    def choose_level(self, state: FailoverState, own: str) -> int | None:
        """Return the level for another acting period of the gateway at address `own`.

        None if there is none left in the term of the failover state, or none for its place.
        """
        places = {gateway.address: place for place, gateway in enumerate(state.gateways)}
        if places.get(own, LEVELS_PER_NUMBER) >= LEVELS_PER_NUMBER:
            return None
        self._periods += 1
        number = self._periods + _count_drops(state, own, places)
        level = number * LEVELS_PER_NUMBER + places[own]
        term_token = state.term * TOKENS_PER_TERM
        highest_level = self._highest_token - term_token
        if level <= highest_level < TOKENS_PER_TERM:
            # The highest token is of this term.
            level += ((highest_level - level) // LEVELS_PER_NUMBER + 1) * LEVELS_PER_NUMBER
        if level >= TOKENS_PER_TERM:
            return None
        self.record_token(term_token + level)
        return level


def _count_drops(state: FailoverState, own: str, places: dict[str, int]) -> int:
    """Return how often places drop in the order of succession, up to the gateway at `own`."""
    domain = find_acting_domain(state, own)
    preceding = list_preceding(state.gateways, own)
    line = [places[each.address] for each in preceding if domain in (None, each.domain)]
    return sum(later < earlier for earlier, later in itertools.pairwise([*line, places[own]]))
