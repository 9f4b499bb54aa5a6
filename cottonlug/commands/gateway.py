"""`cottonlug gateway`: a host that forwards callers' requests to the coordinator."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from ..config.cluster import load_gateway_settings
from ..exceptions import SettingsError
from ..held_signals import hold_signals
from ..net.asgi import build_asgi
from ..net.connections import ConnectionPools
from ..net.servers import Listener
from ..platform.front import build_caller_handler, build_readiness_handler
from ..platform.workers import WorkerClient
from ..runtime.clocks import SystemClock
from ..runtime.cluster_dump import build_gateway_dump
from ..runtime.cluster_metrics import build_gateway_metrics
from ..runtime.events import Event, log_event
from ..runtime.gateway import Gateway
from ..runtime.process import Lifecycle, run_loop
from .daemons import (
    DRAIN_MARGIN_SECONDS,
    MAX_CONNECTIONS_PER_UPSTREAM,
    MAX_PEER_BODY_BYTES,
    MAX_SMALL_BODY_BYTES,
    build_listener,
    build_metrics_listeners,
    build_peer_listeners,
    find_drain_seconds,
    start_listeners,
    start_logging,
    stop_listeners,
)
from .exits import ExitCode

BALANCER_REMOVAL_SECONDS = 2.5
"""How long a stopping gateway keeps serving callers after it reports that it is not ready.

The load balancer checks readiness once a second and removes a host after two failed checks.
"""


def serve_gateway(config: Path) -> int:
    """Run a gateway until a stop signal and return the exit code."""
    hold_signals()
    return run_loop(_serve_gateway(config))


async def _serve_gateway(config: Path) -> int:
    settings = load_gateway_settings(config)
    output = start_logging(settings)
    lifecycle = Lifecycle()
    pools = ConnectionPools(max_connections=MAX_CONNECTIONS_PER_UPSTREAM)
    gateway = Gateway(
        settings=settings,
        clock=SystemClock(),
        port=WorkerClient(pools=pools),
    )
    lifecycle.watch_signals(lambda: build_gateway_dump(gateway))
    lifecycle.watch_reload(lambda: _reload_seeds(gateway, config))
    handler = build_caller_handler(gateway.call, gateway.abandon, gateway.should_close_connections)
    callers = Listener(
        app=build_asgi(handler, lambda: gateway.max_body_bytes, checks_clients=True),
        address=settings.listen.callers,
    )
    readiness = build_listener(
        build_readiness_handler(gateway.is_ready), settings.listen.readiness, MAX_SMALL_BODY_BYTES
    )
    peers = build_peer_listeners(
        gateway.handle_peer_request, settings, MAX_PEER_BODY_BYTES, gateway.answer_at_once
    )
    gateway.start()
    metrics = build_metrics_listeners(
        build_gateway_metrics(gateway, output), settings.listen.metrics
    )
    error = await start_listeners([*peers, callers, readiness, *metrics])
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    log_event(Event.READY, host=settings.host)
    await lifecycle.wait_stop()
    if lifecycle.failure is not None:
        return ExitCode.BROKEN_INVARIANT
    log_event(Event.DRAINING, host=settings.host)
    gateway.begin_stopping()
    await asyncio.sleep(BALANCER_REMOVAL_SECONDS)
    drain_seconds = find_drain_seconds(settings.drain_limit, BALANCER_REMOVAL_SECONDS)
    await stop_listeners([callers, readiness, *metrics], drain_seconds)
    gateway.stop()
    await stop_listeners(peers, DRAIN_MARGIN_SECONDS / 2)
    pools.close()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK


def _reload_seeds(gateway: Gateway, config: Path) -> None:
    try:
        settings = load_gateway_settings(config)
    except SettingsError as error:
        log_event(Event.SETTINGS_REFUSED, error=str(error))
        return
    gateway.add_seeds(settings.seeds)
    log_event(Event.SETTINGS_RELOADED, seeds=[str(seed) for seed in settings.seeds])
