"""What a host that decides needs from the outside: upstreams to order, and the right to do so."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..core.cluster.model import LookReply
from ..core.cluster.orders import (
    CallFailure,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)

OnFailure = Callable[[BaseException], None]


class UpstreamPort(Protocol):
    """How orders reach upstreams."""

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start; return what became of it and the upstream's clock where it was told."""
        ...

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop."""
        ...

    async def look(self, order: PollOrder, token: int) -> LookReply | CallFailure:
        """Ask what runs and what has ended."""
        ...


class Authority(Protocol):
    """Why this host may decide: the lease of a leader, or a deputy's for want of a leader."""

    @property
    def term(self) -> int:
        """The present term."""
        ...

    def has_lease(self) -> bool:
        """Whether no other can decide in this term."""
        ...

    def propose(self, data: str) -> bool:
        """Put commands into the log."""
        ...

    def renew(self) -> None:
        """Give the present term up, and begin a later one if that can be had."""
        ...
