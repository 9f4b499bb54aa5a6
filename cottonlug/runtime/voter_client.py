"""The configuration of an entry host without a vote, which gets it from a voter by long polling."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.defaults import EntrySettings, PeerSettings
from ..core.clock import Clock
from ..core.configuration import ChangeCommand, ChangeOutcome
from ..core.control_messages import ConfigurationView
from ..core.messages import Refusal
from ..net.clients import ApiClient
from .control import CHANGE_TIMEOUT, ChangeNotifier, activate_rules, build_unknown_refusal
from .rulebook import Rulebook

POLL_MS = 1_500
"""How long a voter waits for a newer configuration before it answers a poll."""
STALE_AFTER = timedelta(seconds=4)
"""After this time without an answer, a newer configuration may be active elsewhere. Longer than two
polls take."""
_RETRY_SECONDS = 0.25
"""Pause after all voters were polled and none that is up to date has answered."""
_TIMEOUT_MARGIN_SECONDS = 1.0
"""How much longer this host waits for an answer than the voter may take for it."""


class VoterClient:
    """The replicated configuration at a host without a vote."""

    def __init__(self, *, settings: EntrySettings, clock: Clock, rulebook: Rulebook) -> None:
        self._settings = settings
        self._clock = clock
        self._rulebook = rulebook
        self._change_notifier = ChangeNotifier()
        self._answered_at: timedelta | None = None
        """When a voter last answered a poll."""
        self._is_voter_stale = False
        """Whether that voter itself might have lacked a newer configuration."""
        poll_seconds = POLL_MS / 1000 + _TIMEOUT_MARGIN_SECONDS
        change_seconds = CHANGE_TIMEOUT.total_seconds() + _TIMEOUT_MARGIN_SECONDS
        self._poll_clients = _build_clients(settings, poll_seconds)
        self._change_clients = _build_clients(settings, change_seconds)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> str | None:
        """Start polling."""
        self._task = asyncio.create_task(self._poll_forever())
        return None

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
        for client in (*self._poll_clients, *self._change_clients):
            await client.close()

    def is_ready(self) -> bool:
        """Return whether a voter has sent the active configuration."""
        return self._answered_at is not None

    def is_stale(self) -> bool:
        """Return whether no voter that is itself up to date has answered within `STALE_AFTER`."""
        if self._answered_at is None or self._is_voter_stale:
            return True
        return self._clock.monotonic() - self._answered_at > STALE_AFTER

    async def change(self, command: ChangeCommand) -> Result[ChangeOutcome, Refusal]:
        """Forward a change to the voters, those in this failure domain first."""
        refusal = build_unknown_refusal("no voter answered")
        for client in self._change_clients:
            sent = await client.call("POST", "/v1/control/change", ChangeOutcome, command)
            if isinstance(sent, Success):
                return Success(sent.unwrap())
            # Only a refusal with an outcome says what has become of the change.
            if sent.failure().outcome is not None:
                refusal = sent.failure()
        return Err(refusal)

    async def wait_view(self, after: int, seconds: float) -> ConfigurationView:
        """Return the active configuration; wait up to `seconds` for one newer than `after`."""
        if self._rulebook.version <= after:
            await self._change_notifier.wait(seconds)
        book = self._rulebook
        return ConfigurationView(version=book.version, text=book.text, is_stale=self.is_stale())

    async def _poll_forever(self) -> None:
        while True:
            for client in self._poll_clients:
                while await self._poll(client):
                    pass
            await asyncio.sleep(_RETRY_SECONDS)

    async def _poll(self, client: ApiClient) -> bool:
        """Poll one voter; False if the next one should be polled."""
        path = f"/v1/control/view?after={self._rulebook.version}&wait_ms={POLL_MS}"
        reply = await client.call("GET", path, ConfigurationView, None)
        if isinstance(reply, Err):
            return False
        view: ConfigurationView = reply.unwrap()
        self._is_voter_stale = view.is_stale
        self._answered_at = self._clock.monotonic()
        activate_rules(self._rulebook, view.version, view.text)
        self._change_notifier.notify()
        return not view.is_stale


def _build_clients(settings: EntrySettings, seconds: float) -> list[ApiClient]:
    token = settings.tokens.peers
    return [
        ApiClient(address=voter.address, token=token, timeout_seconds=seconds)
        for voter in list_voters(settings)
    ]


def list_voters(settings: EntrySettings) -> list[PeerSettings]:
    """Return the voters that this host can poll, those of its own failure domain first."""
    voters = [peer for peer in settings.peers if peer.host in settings.voters]
    return sorted(voters, key=lambda peer: (peer.domain != settings.domain, peer.host))
