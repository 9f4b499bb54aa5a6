"""`cottonlug control`: a host that keeps the replicated log and, as leader, schedules jobs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from ..config.cluster import load_control_settings
from ..held_signals import hold_signals
from ..net.connections import ConnectionPools
from ..platform.control import build_control_handler
from ..platform.workers import WorkerClient
from ..runtime.clocks import SystemClock
from ..runtime.cluster_dump import build_control_dump
from ..runtime.cluster_metrics import build_control_metrics
from ..runtime.control_host import ControlHost
from ..runtime.events import Event, log_event
from ..runtime.process import Lifecycle, run_loop
from ..runtime.refused_heartbeats import RefusedHeartbeats
from .daemons import (
    MAX_CONNECTIONS_PER_UPSTREAM,
    MAX_PEER_BODY_BYTES,
    build_listener,
    build_metrics_listeners,
    build_peer_listeners,
    find_bind_address,
    find_drain_seconds,
    start_listeners,
    start_logging,
    stop_listeners,
)
from .exits import ExitCode

MAX_CONTROL_BODY_BYTES = 8 * 1024 * 1024
"""Limit of the listener for upstreams and operators: a configuration may be large."""
FORWARDING_GRACE_SECONDS = 1.5
"""How long a stopping host still forwards calls, so that callers can find the new leader."""


def serve_control(config: Path) -> int:
    """Run a control host until a stop signal and return the exit code."""
    hold_signals()
    return run_loop(_serve_control(config))


async def _serve_control(config: Path) -> int:
    settings = load_control_settings(config)
    output = start_logging(settings)
    lifecycle = Lifecycle()
    pools = ConnectionPools(max_connections=MAX_CONNECTIONS_PER_UPSTREAM)
    host = ControlHost(
        settings=settings,
        clock=SystemClock(),
        port=WorkerClient(pools=pools),
        on_failure=lifecycle.fail,
    )
    refused = RefusedHeartbeats(clock=SystemClock())
    lifecycle.watch_signals(lambda: build_control_dump(host))
    # There is nothing to reload, but without a handler SIGHUP would end the process.
    lifecycle.watch_reload(lambda: None)
    control = build_listener(
        build_control_handler(host.answer, refused.record),
        find_bind_address(settings.listen.control, settings),
        MAX_CONTROL_BODY_BYTES,
        accepts_all=True,
    )
    peers = build_peer_listeners(
        host.handle_peer_request, settings, MAX_PEER_BODY_BYTES, host.answer_at_once
    )
    control_metrics = build_control_metrics(host, output, pools.idle, refused)
    metrics = build_metrics_listeners(control_metrics, settings.listen.metrics)
    error = await host.start() or await start_listeners([*peers, control, *metrics])
    if error is not None:
        print(error, file=sys.stderr)
        return ExitCode.UNAVAILABLE
    log_event(Event.READY, host=settings.host)
    await lifecycle.wait_stop()
    if lifecycle.failure is not None:
        return ExitCode.BROKEN_INVARIANT
    log_event(Event.DRAINING, host=settings.host)
    await host.transfer_leadership()
    await asyncio.sleep(FORWARDING_GRACE_SECONDS)
    drain_seconds = find_drain_seconds(settings.drain_limit, FORWARDING_GRACE_SECONDS)
    await stop_listeners([control, *peers, *metrics], drain_seconds)
    await host.stop()
    pools.close()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK
