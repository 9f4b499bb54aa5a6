"""An entry host as a running whole: core, timers and one listener for each kind of peer."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..config.defaults import EntrySettings
from ..config.rules import read_rules
from ..core.clock import Clock
from ..exceptions import SettingsError
from ..net.apps import build_app
from ..net.caller_app import build_caller_app, build_caller_handlers
from ..net.homes import Homes
from ..net.operator_app import build_operator_app
from ..net.servers import Listener
from ..net.upstream_app import build_upstream_app
from .entry import EntryHost
from .events import Event, log_event
from .rulebook import Rulebook


class EntryNode:
    """One entry host and everything round it."""

    def __init__(self, *, settings: EntrySettings, clock: Clock) -> None:
        self.rulebook = Rulebook()
        self.host = EntryHost(settings=settings, clock=clock, rulebook=self.rulebook)
        self._settings = settings
        self._homes = Homes(settings=settings)
        self._listeners: list[Listener] = []

    async def start(self, on_failure: Callable[[BaseException], None]) -> str | None:
        """Start everything; return why that failed, or None."""
        settings = self._settings
        if settings.rules is not None:
            load_first_rules(self.rulebook, settings.rules)
        self.host.start(on_failure)
        peer_app = build_app(
            title="cottonlug peers",
            handlers=build_caller_handlers(self.host, None, settings.tokens.peers),
            max_body_bytes=settings.bodies.max_kb * 1024,
        )
        listen = settings.listen
        self._listeners = [
            Listener(app=peer_app, address=listen.peers),
            Listener(app=build_upstream_app(self.host), address=listen.upstreams),
            Listener(app=build_operator_app(self.host, self._homes, []), address=listen.operators),
            Listener(app=build_caller_app(self.host, self._homes), address=listen.callers),
        ]
        for listener in self._listeners:
            error = await listener.start()
            if error is not None:
                return error
        log_event(Event.READY, host=settings.host, callers=str(listen.callers))
        return None

    async def drain(self) -> None:
        """Finish what was accepted."""
        await self.host.drain()

    async def stop(self) -> None:
        """Stop listening and close everything."""
        for listener in reversed(self._listeners):
            await listener.stop()
        self.host.stop()
        await self._homes.close()


def load_first_rules(rulebook: Rulebook, file: Path) -> None:
    """Put the rules of a file in force, or raise `SettingsError` naming every problem."""
    try:
        text = file.read_text()
    except OSError as error:
        raise SettingsError(f"{file}: cannot be read: {error.strerror}") from error
    loaded = read_rules(text)
    errors = [problem for problem in loaded.problems if not problem.is_warning]
    if errors or loaded.value is None:
        raise SettingsError("\n".join(f"{file}: {problem}" for problem in errors))
    rulebook.put_in_force(1, text, loaded.value)
    log_event(Event.RULES_IN_FORCE, version=1, rules=len(loaded.value.rules))
