"""The failover state that a gateway has received, so that it can act as leader."""

from __future__ import annotations

from ..core.clock import Clock
from ..core.cluster.calls import Answer, Roster
from ..core.cluster.queues import QueueIndex
from ..core.cluster.rosters import merge_roster


class RosterKeeper:
    """The last complete failover state, and the parts of the next one that have arrived."""

    def __init__(self, *, clock: Clock) -> None:
        self.whole: Roster | None = None
        self.confirmed_at = clock.monotonic()
        """When a leader last sent or confirmed the complete failover state."""
        self.queues: QueueIndex | None = None
        """The queues of the last leader's configuration."""
        self._clock = clock
        self._next: Roster | None = None

    @property
    def version(self) -> str:
        """Version that tells the leader which changes to send next; empty if nothing is known."""
        known = self._next or self.whole
        return known.version if known is not None else ""

    def count_gateways(self) -> int:
        """Return how many gateways are known."""
        return len(self.whole.gateways) if self.whole is not None else 0

    def take_answer(self, answer: Answer) -> bool:
        """Handle the answer to a keep-alive; return whether the failover state was replaced."""
        if answer.roster is not None:
            return self.take(answer.roster)
        if not answer.is_roster_due:
            self.confirmed_at = self._clock.monotonic()
        return False

    def take(self, received: Roster) -> bool:
        """Add a received part; one that does not follow on the known version is ignored.

        Return whether the next failover state is now complete and has replaced the last one.
        """
        known = self._next or self.whole
        roster = merge_roster(known, received)
        if roster is None:
            return False
        if known is None or roster.configuration is not known.configuration:
            configuration = roster.configuration
            self.queues = QueueIndex(configuration=configuration) if configuration else None
        if roster.is_partial:
            self._next = roster
            return False
        self.confirmed_at = self._clock.monotonic()
        self.whole, self._next = roster, None
        return True
