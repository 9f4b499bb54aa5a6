"""Events logged when the coordinator is lost and returns."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace

import pytest

from ..config.cluster import load_control_settings
from ..core.cluster.calls import Answer, Call, Outcome
from ..runtime import control_host, coordinator_link
from ..runtime.control_host import ControlHost
from ..runtime.coordinator_link import RELAY_AFTER, Via
from ..runtime.events import Event
from .gateway_builders import (
    LEADER,
    IdlePort,
    build_clock,
    build_failover_state,
    build_gateway,
    raise_error,
)
from .test_cluster_settings import CONTROL, write

Logged = list[tuple[Event, dict[str, object]]]


def record_events(monkeypatch: pytest.MonkeyPatch, module: object) -> Logged:
    logged: Logged = []
    monkeypatch.setattr(module, "log_event", lambda event, **rest: logged.append((event, rest)))
    return logged


def test_leader_logs_once_that_it_lost_its_lease_and_which_voters_are_silent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without these events, no log line explained why nothing was scheduled for 1.5 s."""
    logged = record_events(monkeypatch, control_host)
    host = ControlHost(
        settings=load_control_settings(write(tmp_path, CONTROL)),
        clock=build_clock(),
        port=IdlePort(),
        on_failure=raise_error,
    )
    host.leadership = SimpleNamespace(term=3)  # type: ignore[assignment]
    host._had_lease = True
    has_lease = False
    monkeypatch.setattr(host.replica, "has_lease", lambda: has_lease)
    monkeypatch.setattr(host.replica, "list_silent_voters", lambda: ["10.0.0.2:7720"])
    host._log_lease_change()
    host._log_lease_change()
    has_lease = True
    host._log_lease_change()
    assert logged == [
        (Event.LEASE_LOST, {"term": 3, "unheard": ["10.0.0.2:7720"]}),
        (Event.LEASE_REGAINED, {"term": 3}),
    ]


def test_gateway_logs_once_that_the_leader_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged = record_events(monkeypatch, coordinator_link)

    async def play() -> None:
        clock = build_clock()
        gateway = build_gateway(clock)
        gateway.link.receive_failover_state(build_failover_state(1))

        async def ask(host: str, call: Call, timeout: timedelta) -> Answer:
            return Answer(outcome=Outcome.UNKNOWN)

        gateway.calls.ask = ask  # type: ignore[method-assign]
        gateway.link.follow(LEADER, Via.LEADER)
        clock.advance(RELAY_AFTER)
        await gateway.link.check_failover()
        await gateway.link.check_failover()

    asyncio.run(play())
    silent = [rest for event, rest in logged if event is Event.COORDINATOR_SILENT]
    assert silent == [{"decider": LEADER, "silent_ms": 200}]
