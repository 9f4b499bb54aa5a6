"""Interfaces that a coordinator depends on: calls to upstreams, and its authority to schedule.

The coordinator is the host that schedules jobs now: a leader, or a gateway that acts as leader.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..core.cluster.model import PollReply
from ..core.cluster.orders import (
    CallFailure,
    OnAnswer,
    Order,
    PollOrder,
    StartOrder,
    StartOutcome,
    StopOrder,
)

OnFailure = Callable[[BaseException], None]
"""Called with an unexpected error, after which the process, or the term that it occurred in, has to
stop."""


class UpstreamPort(Protocol):
    """Sends orders to upstreams, with the coordinator's fencing token."""

    def try_send(self, order: Order, token: int, on_answer: OnAnswer) -> bool:
        """Send an order at once if that takes no waiting; return whether it was sent.

        `on_answer` then gets what the coroutine for that kind of order would return, as soon as
        that is known.
        """
        ...

    async def start(self, order: StartOrder, token: int) -> tuple[StartOutcome, int | None]:
        """Send a start; return its outcome, and the upstream's clock in ms if it was reported."""
        ...

    async def stop(self, order: StopOrder, token: int) -> CallFailure | None:
        """Send a stop; return why it failed, or None."""
        ...

    async def poll(self, order: PollOrder, token: int) -> PollReply | CallFailure:
        """List the runs and ended runs of an upstream, or return why that failed."""
        ...


class Authority(Protocol):
    """The right of this host to schedule: a leader's lease, or the role of acting leader."""

    @property
    def term(self) -> int:
        """The current term."""
        ...

    def has_lease(self) -> bool:
        """Return whether no other host can schedule in this term."""
        ...

    def propose(self, data: str) -> bool:
        """Append encoded commands to the log; return whether they were accepted.

        An acting leader has no log and applies them at once.
        """
        ...

    def start_new_term(self) -> None:
        """Give up the current term, and begin a later one if possible."""
        ...
