"""Forwards calls to the home of a submission: the entry host that its id names."""

from __future__ import annotations

from returns.result import Failure as Err
from returns.result import Result, Success

from ..config.defaults import EntrySettings
from ..core.ids import HostId, SubmissionId, parse_id
from ..core.messages import Refusal
from ..core.states import RefusalCode, RunOutcome
from ..runtime.events import Event, log_event
from .clients import HttpClient
from .transport import HttpReply

HOME_RETRY_AFTER_MS = 1000
"""After this time a caller whose home does not answer may ask again."""
_TIMEOUT_SECONDS = 90.0
"""Longer than a caller can have its home wait for an answer (60 s)."""


class Homes:
    """HTTP clients for the other entry hosts."""

    def __init__(self, *, settings: EntrySettings) -> None:
        self._host = settings.host
        self._domains = {peer.host: peer.domain for peer in settings.peers}
        self._clients = {
            peer.host: HttpClient(
                address=peer.address,
                token=settings.tokens.peers,
                timeout_seconds=_TIMEOUT_SECONDS,
            )
            for peer in settings.peers
        }

    def find_remote_home(self, id: SubmissionId | None) -> HostId | None:
        """Return the peer that an id names as its home; None if it names this host or no peer."""
        parsed = parse_id(id) if id is not None else None
        if parsed is None or parsed.host == self._host:
            return None
        if self._domains.get(parsed.host) != parsed.domain:
            return None
        return parsed.host

    async def forward(
        self, home: HostId, method: str, path: str, body: bytes | None
    ) -> Result[HttpReply, Refusal]:
        """Forward a call to a home; if no answer arrives, the outcome is unknown."""
        sent = await self._clients[home].send(method, path, body)
        if isinstance(sent, Success):
            return Success(sent.unwrap())
        log_event(Event.HOME_UNREACHABLE, home=home, error=sent.failure().message)
        return Err(
            Refusal(
                code=RefusalCode.HOME_UNREACHABLE,
                message=f"the home {home} of this submission does not answer; ask again",
                outcome=RunOutcome.UNKNOWN,
                retry_after_ms=HOME_RETRY_AFTER_MS,
            )
        )

    async def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            await client.close()
