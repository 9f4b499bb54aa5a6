"""`cottonlug control` and `cottonlug gateway`: the daemons of a cluster."""

from __future__ import annotations

import asyncio
import os
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

from ..config.cluster import (
    ControlSettings,
    GatewaySettings,
    load_control_settings,
    load_gateway_settings,
)
from ..config.options import Address
from ..exceptions import SettingsError
from ..net.asgi import Handler, build_asgi
from ..net.connections import ConnectionPools
from ..net.servers import Listener
from ..platform.control import build_control_handler
from ..platform.front import build_front_handler, build_readiness_handler
from ..platform.workers import WorkerClient
from ..runtime.clocks import SystemClock
from ..runtime.cluster_dump import build_control_dump, build_gateway_dump
from ..runtime.cluster_metrics import (
    build_control_metrics,
    build_gateway_metrics,
    build_metrics_handler,
)
from ..runtime.control_host import ControlHost
from ..runtime.events import Event, log_event, set_up_output
from ..runtime.gateway import Gateway
from ..runtime.log_output import LogOutput
from ..runtime.metrics import Metrics
from ..runtime.process import Life, run_loop
from .exits import ExitCode

PEER_BODY_BYTES = 64 * 1024 * 1024
"""A snapshot is one message."""
CONTROL_BODY_BYTES = 8 * 1024 * 1024
READINESS_BODY_BYTES = 1_024
CONNECTIONS_PER_UPSTREAM = 16
BALANCER_SECONDS = 2.5
"""The balancer asks once a second and takes a host out after two misses."""
DRAIN_MARGIN_SECONDS = 0.4
"""What is left of the limit for closing down, once all that was under way is answered or cut."""
HANDED_OVER_SECONDS = 1.5
"""Time for another leader to be found before this host stops passing calls on."""


def serve_control(config: Path) -> int:
    """Run a control host until it is told to stop."""
    return run_loop(_serve_control(config))


def serve_gateway(config: Path) -> int:
    """Run a gateway until it is told to stop."""
    return run_loop(_serve_gateway(config))


async def _serve_control(config: Path) -> int:
    settings = load_control_settings(config)
    output = _begin_logging(settings)
    life = Life()
    pools = ConnectionPools(max_connections=CONNECTIONS_PER_UPSTREAM)
    host = ControlHost(
        settings=settings,
        clock=SystemClock(),
        port=WorkerClient(pools=pools),
        on_failure=life.fail,
    )
    life.watch_signals(lambda: build_control_dump(host))
    life.watch_reload(lambda: None)
    control = _listen(
        build_control_handler(host.answer), settings.listen.control, CONTROL_BODY_BYTES
    )
    peers = _listen(host.handle_peer, settings.listen.peers, PEER_BODY_BYTES)
    metrics = _listen_metrics(build_control_metrics(host, output), settings.listen.metrics)
    error = await host.start() or await _start_all([peers, control, *metrics])
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    log_event(Event.READY, host=settings.host)
    await life.wait_stop()
    if life.failure is not None:
        return ExitCode.BROKEN_INVARIANT
    log_event(Event.DRAINING, host=settings.host)
    await host.hand_over()
    await asyncio.sleep(HANDED_OVER_SECONDS)
    left = find_drain_seconds(settings.drain_limit, HANDED_OVER_SECONDS)
    await _stop_listeners([control, peers, *metrics], left)
    await host.stop()
    pools.close()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK


async def _serve_gateway(config: Path) -> int:
    settings = load_gateway_settings(config)
    output = _begin_logging(settings)
    life = Life()
    pools = ConnectionPools(max_connections=CONNECTIONS_PER_UPSTREAM)
    gateway = Gateway(
        settings=settings,
        clock=SystemClock(),
        port=WorkerClient(pools=pools),
        on_failure=life.fail,
    )
    life.watch_signals(lambda: build_gateway_dump(gateway))
    life.watch_reload(lambda: _reload_seeds(gateway, config))
    handler = build_front_handler(gateway.call, gateway.abandon, lambda: gateway.is_stopping)
    callers = Listener(
        app=build_asgi(handler, lambda: gateway.max_body_bytes), address=settings.listen.callers
    )
    readiness = _listen(
        build_readiness_handler(gateway.is_ready), settings.listen.readiness, READINESS_BODY_BYTES
    )
    peers = _listen(gateway.handle_peer, settings.listen.peers, PEER_BODY_BYTES)
    gateway.start()
    metrics = _listen_metrics(build_gateway_metrics(gateway, output), settings.listen.metrics)
    error = await _start_all([peers, callers, readiness, *metrics])
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    log_event(Event.READY, host=settings.host)
    await life.wait_stop()
    if life.failure is not None:
        return ExitCode.BROKEN_INVARIANT
    log_event(Event.DRAINING, host=settings.host)
    gateway.begin_stopping()
    await asyncio.sleep(BALANCER_SECONDS)
    left = find_drain_seconds(settings.drain_limit, BALANCER_SECONDS)
    await _stop_listeners([callers, readiness, *metrics], left)
    gateway.stop()
    await _stop_listeners([peers], DRAIN_MARGIN_SECONDS / 2)
    pools.close()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK


def find_drain_seconds(limit: timedelta, gone_seconds: float) -> float:
    """Return for how many seconds requests under way may still be answered."""
    return max(limit.total_seconds() - gone_seconds - DRAIN_MARGIN_SECONDS, 0.0)


def _begin_logging(settings: ControlSettings | GatewaySettings) -> LogOutput:
    output = LogOutput(descriptor=sys.stdout.fileno())
    set_up_output(settings.log, output)
    log_event(Event.STARTED, host=settings.host, domain=settings.domain, pid=os.getpid())
    return output


def _listen(handler: Handler, address: Address, max_body_bytes: int) -> Listener:
    app: Any = build_asgi(handler, lambda: max_body_bytes)
    return Listener(app=app, address=address)


def _listen_metrics(metrics: Metrics, address: Address | None) -> list[Listener]:
    if address is None:
        return []
    return [_listen(build_metrics_handler(metrics), address, READINESS_BODY_BYTES)]


async def _start_all(listeners: list[Listener]) -> str | None:
    """Start listeners in turn; return why one failed, or None."""
    for listener in listeners:
        error = await listener.start()
        if error is not None:
            return error
    return None


async def _stop_listeners(listeners: list[Listener], seconds: float) -> None:
    """Finish what is being answered, but no longer than a while."""
    stopping = [asyncio.create_task(listener.stop()) for listener in listeners]
    _, late = await asyncio.wait(stopping, timeout=seconds)
    if late:
        log_event(Event.DRAIN_CUT_SHORT, listeners=len(late))


def _reload_seeds(gateway: Gateway, config: Path) -> None:
    try:
        settings = load_gateway_settings(config)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, error=str(error))
        return
    gateway.use_seeds(settings.seeds)
    log_event(Event.SETTINGS_RELOADED, seeds=[str(seed) for seed in settings.seeds])
