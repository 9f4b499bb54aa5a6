"""What a gateway has been told so that it can stand in for want of a leader."""

from __future__ import annotations

from ..core.clock import Clock
from ..core.cluster.calls import Answer, Roster
from ..core.cluster.queues import QueueIndex
from ..core.cluster.failover_state import merge_failover_state


class RosterKeeper:
    """The last whole roster, and what has arrived of the next one."""

    def __init__(self, *, clock: Clock) -> None:
        self.whole: Roster | None = None
        self.confirmed_at = clock.monotonic()
        """When a leader last said, or confirmed, what the whole one says."""
        self.queues: QueueIndex | None = None
        """The queues of the last leader's configuration."""
        self._clock = clock
        self._next: Roster | None = None

    @property
    def version(self) -> str:
        """What to ask the leader for more with."""
        known = self._next or self.whole
        return known.version if known is not None else ""

    def count_gateways(self) -> int:
        """Return how many gateways are known."""
        return len(self.whole.gateways) if self.whole is not None else 0

    def take_answer(self, answer: Answer) -> bool:
        """Learn from the answer to a greeting; return whether a whole roster has arrived."""
        if answer.roster is not None:
            return self.take(answer.roster)
        if not answer.is_roster_due:
            self.confirmed_at = self._clock.monotonic()
        return False

    def take(self, received: Roster) -> bool:
        """Take a part in; one that does not follow on what is known is left out.

        Return whether the next roster is whole by now, and so takes the place of the last.
        """
        known = self._next or self.whole
        roster = merge_failover_state(known, received)
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
