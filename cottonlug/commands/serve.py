"""`cottonlug serve` and `cottonlug upstream`: daemons of an entry host and a stand-in upstream."""

from __future__ import annotations

import os
import secrets
import sys
from datetime import timedelta
from pathlib import Path

from ..config.defaults import UpstreamSettings
from ..config.files import load_entry_settings, load_upstream_settings
from ..core.ids import Incarnation
from ..net.apps import build_app
from ..net.operator_app import build_state_handlers
from ..net.servers import Listener
from ..runtime.clocks import SystemClock
from ..runtime.dump import build_entry_dump
from ..runtime.events import Event, log_event, set_up_logging
from ..runtime.metrics import Metrics
from ..runtime.node import EntryNode
from ..runtime.process import Lifecycle, run_loop
from ..upstream.daemon import StandInUpstream
from .exits import ExitCode

_LEAVE_TIMEOUT = timedelta(minutes=5)
"""How long a stopping upstream waits for its running tasks."""
_MAX_STATE_BODY_BYTES = 65_536


def serve_entry(config: Path) -> int:
    """Run an entry host until a stop signal and return the exit code."""
    return run_loop(_serve_entry(config))


def serve_upstream(config: Path) -> int:
    """Run a stand-in upstream until a stop signal and return the exit code."""
    return run_loop(_serve_upstream(config))


async def _serve_entry(config: Path) -> int:
    settings = load_entry_settings(config)
    set_up_logging(settings.log)
    log_event(Event.STARTED, host=settings.host, domain=settings.domain, pid=os.getpid())
    lifecycle = Lifecycle()
    node = EntryNode(settings=settings, clock=SystemClock(), on_failure=lifecycle.fail)
    lifecycle.watch_signals(lambda: build_entry_dump(node.host))
    error = await node.start()
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    await lifecycle.wait_stop()
    if lifecycle.failure is not None:
        return ExitCode.BROKEN_INVARIANT
    await node.drain()
    await node.stop()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK


async def _serve_upstream(config: Path) -> int:
    settings = load_upstream_settings(config)
    set_up_logging(settings.log)
    log_event(Event.STARTED, upstream=settings.upstream, domain=settings.domain, pid=os.getpid())
    lifecycle = Lifecycle()
    stand_in = StandInUpstream(settings=settings, incarnation=Incarnation(secrets.token_hex(8)))
    lifecycle.watch_signals(stand_in.build_dump)
    listener = _build_state_listener(settings, stand_in)
    error = await listener.start() if listener is not None else None
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    stand_in.start()
    log_event(Event.READY, upstream=settings.upstream)
    await lifecycle.wait_stop()
    log_event(Event.DRAINING, upstream=settings.upstream)
    await stand_in.leave(_LEAVE_TIMEOUT)
    await stand_in.stop()
    if listener is not None:
        await listener.stop()
    log_event(Event.STOPPED, upstream=settings.upstream)
    return ExitCode.OK


def _build_state_listener(settings: UpstreamSettings, stand_in: StandInUpstream) -> Listener | None:
    if settings.listen is None or settings.operator_token is None:
        return None
    metrics = Metrics(counters=stand_in.get_counters, gauges=stand_in.get_gauges)
    handlers = build_state_handlers(stand_in.build_dump, metrics, settings.operator_token)
    app = build_app(
        title="cottonlug upstream", handlers=handlers, max_body_bytes=_MAX_STATE_BODY_BYTES
    )
    return Listener(app=app, address=settings.listen)
