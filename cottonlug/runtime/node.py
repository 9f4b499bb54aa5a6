"""A running entry host: its core, its replicated configuration and a listener per kind of client.

An entry host accepts callers' jobs and schedules them by itself. It is the home of these jobs, to
which other entry hosts forward the calls about them.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..config.defaults import EntrySettings
from ..config.rules import read_rules
from ..core.clock import Clock
from ..exceptions import SettingsError
from ..net.apps import build_app
from ..net.caller_app import build_caller_app, build_caller_handlers
from ..net.control_handlers import build_operator_control_handlers, build_peer_control_handlers
from ..net.homes import Homes
from ..net.operator_app import build_operator_app
from ..net.servers import Listener
from ..net.upstream_app import build_upstream_app
from .control import Control, LocalControl
from .entry import EntryHost
from .events import Event, log_event
from .rulebook import Rulebook
from .voter import Voter
from .voter_client import VoterClient


class EntryNode:
    """One entry host with its configuration (`control`), listeners and connections to homes."""

    def __init__(
        self, *, settings: EntrySettings, clock: Clock, on_failure: Callable[[BaseException], None]
    ) -> None:
        self.rulebook = Rulebook()
        self.control = _build_control(settings, clock, self.rulebook, on_failure)
        self.host = EntryHost(
            settings=settings, clock=clock, rulebook=self.rulebook, control=self.control
        )
        self._settings = settings
        self._on_failure = on_failure
        self._homes = Homes(settings=settings)
        self._listeners: list[Listener] = []

    async def start(self) -> str | None:
        """Start all components; return an error message if one failed, else None."""
        settings = self._settings
        if settings.rules is not None:
            load_initial_rules(self.rulebook, settings.rules)
        error = await self.control.start()
        if error is not None:
            return error
        self.host.start(self._on_failure)
        self._listeners = self._build_listeners()
        for listener in self._listeners:
            error = await listener.start()
            if error is not None:
                return error
        log_event(Event.READY, host=settings.host, callers=str(settings.listen.callers))
        return None

    async def drain(self) -> None:
        """Finish all accepted jobs."""
        await self.host.drain()

    async def stop(self) -> None:
        """Stop listening and close everything."""
        await self.control.stop()
        for listener in reversed(self._listeners):
            await listener.stop()
        self.host.stop()
        await self._homes.close()

    def _build_listeners(self) -> list[Listener]:
        settings = self._settings
        tokens = settings.tokens
        listen = settings.listen
        peer_handlers = [
            # Without `homes`: these calls have been forwarded to this home and go no further.
            *build_caller_handlers(self.host, None, tokens.peers),
            *build_peer_control_handlers(self.control, tokens.peers),
        ]
        peer_app = build_app(
            title="cottonlug peers",
            handlers=peer_handlers,
            max_body_bytes=settings.bodies.max_kb * 1024,
        )
        rule_handlers = build_operator_control_handlers(self.control, tokens.operators)
        operator_app = build_operator_app(self.host, self._homes, rule_handlers)
        return [
            Listener(app=peer_app, address=listen.peers),
            Listener(app=build_upstream_app(self.host), address=listen.upstreams),
            Listener(app=operator_app, address=listen.operators),
            Listener(app=build_caller_app(self.host, self._homes), address=listen.callers),
        ]


def load_initial_rules(rulebook: Rulebook, file: Path) -> None:
    """Activate the rules of a file; raise `SettingsError` that lists every problem."""
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError(f"{file}: cannot be read: {error.strerror}") from error
    loaded = read_rules(text)
    errors = [problem for problem in loaded.problems if not problem.is_warning]
    if errors or loaded.value is None:
        raise SettingsError("\n".join(f"{file}: {problem}" for problem in errors))
    rulebook.activate(1, text, loaded.value)
    log_event(Event.CONFIGURATION_ACTIVE, version=1, rules=len(loaded.value.rules))


def _build_control(
    settings: EntrySettings,
    clock: Clock,
    rulebook: Rulebook,
    on_failure: Callable[[BaseException], None],
) -> Control:
    if not settings.voters:
        return LocalControl(rulebook=rulebook)
    if settings.host in settings.voters:
        return Voter(settings=settings, clock=clock, rulebook=rulebook, on_failure=on_failure)
    return VoterClient(settings=settings, clock=clock, rulebook=rulebook)
