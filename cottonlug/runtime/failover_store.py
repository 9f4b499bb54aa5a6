"""The failover state that a gateway has received: what it must know to act as leader.

The leader sends it with its answers to keep-alives, a large one in several parts.
"""

from __future__ import annotations

from ..core.clock import Clock
from ..core.cluster.calls import Answer, FailoverState
from ..core.cluster.failover_state import merge_failover_state
from ..core.cluster.model import ConfigurationVersion
from ..core.cluster.queues import QueueIndex


class FailoverStore:
    """The last complete failover state, and the parts of the next one that have arrived."""

    def __init__(self, *, clock: Clock) -> None:
        self.current: FailoverState | None = None
        self.confirmed_at = clock.monotonic()
        """When a leader last sent or confirmed the complete failover state."""
        self.newest_version: ConfigurationVersion | None = None
        """Newest version by which callers of this gateway may have been served."""
        self.queues: QueueIndex | None = None
        """The queues of the newest configuration received."""
        self._clock = clock
        self._incoming: FailoverState | None = None

    @property
    def version(self) -> str:
        """Version that tells the leader which changes to send next; empty if nothing is known."""
        known = self._incoming or self.current
        return known.version if known is not None else ""

    @property
    def configuration_version(self) -> ConfigurationVersion | None:
        """Version of the configuration by which this gateway would act as leader."""
        configuration = self.current.configuration if self.current is not None else None
        return configuration.version if configuration is not None else None

    def record_version(self, version: ConfigurationVersion | None) -> None:
        """Record a version by which callers may be served from now on; None is ignored."""
        if version is not None:
            self.newest_version = max(version, self.newest_version or version)

    def is_older(self, version: ConfigurationVersion | None) -> bool:
        """Return whether a version is older than one by which callers may have been served."""
        newest = self.newest_version
        return newest is not None and (version is None or version < newest)

    def count_gateways(self) -> int:
        """Return how many gateways are known."""
        return len(self.current.gateways) if self.current is not None else 0

    def receive_answer(self, answer: Answer) -> bool:
        """Handle the answer to a keep-alive; return whether the failover state was replaced."""
        if answer.failover_state is not None:
            return self.receive(answer.failover_state)
        if not answer.has_more_failover_state:
            # The leader has nothing newer than what this gateway has.
            self.confirmed_at = self._clock.monotonic()
        return False

    def receive(self, received: FailoverState) -> bool:
        """Add a received part; one that does not follow on the known version is ignored.

        Return whether the next failover state is now complete and has replaced the last one.
        """
        known = self._incoming or self.current
        merged = merge_failover_state(known, received)
        if merged is None:
            return False
        configuration = merged.configuration
        if configuration is not None and (
            known is None or configuration is not known.configuration
        ):
            self.queues = QueueIndex(configuration=configuration)
        if merged.is_partial:
            self._incoming = merged
            return False
        self.confirmed_at = self._clock.monotonic()
        self.current, self._incoming = merged, None
        return True
