"""The replicated configuration on an entry host: the parts shared by voters and other hosts.

A voter (`voter`) takes part in its log; other hosts (`voter_client`) get it from a voter. `Control`
has nothing to do with control hosts.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Protocol

from returns.result import Failure as Err
from returns.result import Result

from ..config.rules import read_rules
from ..core.configuration import ChangeCommand, ChangeOutcome
from ..core.control_messages import ConfigurationView
from ..core.messages import Refusal
from ..core.states import RefusalCode, RunOutcome
from .events import Event, log_event
from .rulebook import Rulebook

CHANGE_TIMEOUT = timedelta(seconds=10)
"""How long a change waits for its decision before the answer is `unknown`."""


class Control(Protocol):
    """The replicated configuration as the rest of an entry host sees it."""

    async def start(self) -> str | None:
        """Start; return an error message, or None."""
        ...

    async def stop(self) -> None:
        """Transfer leadership if possible, and stop."""
        ...

    def is_ready(self) -> bool:
        """Whether this host has a configuration."""
        ...

    def is_stale(self) -> bool:
        """Whether a newer configuration may be active elsewhere."""
        ...

    async def change(self, command: ChangeCommand) -> Result[ChangeOutcome, Refusal]:
        """Have the voters decide on a change.

        A refusal says `unknown` if the change may have been accepted, and `not_run` if it was not.
        """
        ...

    async def wait_view(self, after: int, seconds: float) -> ConfigurationView:
        """Return the active configuration; wait up to `seconds` for one newer than `after`."""
        ...


class ChangeNotifier:
    """Notifies coroutines that wait for a newer version of the configuration."""

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Notify all coroutines that are waiting now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> None:
        """Wait for the next change, for at most this many seconds."""
        changed = self._changed
        waiter = asyncio.ensure_future(changed.wait())
        await asyncio.wait([waiter], timeout=max(seconds, 0.0))
        waiter.cancel()


class LocalControl:
    """Control of a host whose settings name no voters: its rules change only with a restart."""

    def __init__(self, *, rulebook: Rulebook) -> None:
        self._rulebook = rulebook

    async def start(self) -> str | None:
        """Do nothing."""
        return None

    async def stop(self) -> None:
        """Do nothing."""

    def is_ready(self) -> bool:
        """Return True."""
        return True

    def is_stale(self) -> bool:
        """Return False."""
        return False

    async def change(self, command: ChangeCommand) -> Result[ChangeOutcome, Refusal]:
        """Refuse every change."""
        message = "no voters are named in the settings, so rules change only with a restart"
        refusal = Refusal(code=RefusalCode.NO_QUORUM, message=message, outcome=RunOutcome.NOT_RUN)
        return Err(refusal)

    async def wait_view(self, after: int, seconds: float) -> ConfigurationView:
        """Return the rules from the settings."""
        book = self._rulebook
        return ConfigurationView(version=book.version, text=book.text, is_stale=False)


def activate_rules(rulebook: Rulebook, version: int, text: str) -> None:
    """Activate a version of the rules on this host if it is newer than the active one."""
    if version <= rulebook.version:
        return
    document = read_rules(text).value
    if document is None:
        # Not expected: every voter checked the document before it was accepted.
        log_event(Event.CONFIGURATION_REFUSED, version=version)
        return
    rulebook.activate(version, text, document)
    log_event(Event.CONFIGURATION_ACTIVE, version=version, rules=len(document.rules))


def find_rules_problem(text: str) -> str | None:
    """Return all errors of a rules document as one text, or None."""
    errors = [str(problem) for problem in read_rules(text).problems if not problem.is_warning]
    return "\n".join(errors) or None


def build_unknown_refusal(message: str) -> Refusal:
    """Return the refusal of a change that may have been accepted all the same."""
    return Refusal(
        code=RefusalCode.NO_QUORUM,
        message=f"{message}; ask again with the same request id",
        outcome=RunOutcome.UNKNOWN,
        retry_after_ms=1000,
    )
