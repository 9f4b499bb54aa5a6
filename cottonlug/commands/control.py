"""`cottonlug control`: a host that keeps the replicated log and, as leader, decides."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from ..config.cluster import load_control_settings
from ..net.connections import ConnectionPools
from ..platform.control import build_control_handler
from ..platform.workers import WorkerClient
from ..runtime.clocks import SystemClock
from ..runtime.cluster_dump import build_control_dump
from ..runtime.cluster_metrics import build_control_metrics
from ..runtime.control_host import ControlHost
from ..runtime.events import Event, log_event
from ..runtime.process import Life, run_loop
from ..runtime.refused_heartbeats import RefusedHeartbeats
from .daemons import (
    CONNECTIONS_PER_UPSTREAM,
    PEER_BODY_BYTES,
    begin_logging,
    find_drain_seconds,
    listen,
    listen_metrics,
    listen_peers,
    start_all,
    stop_listeners,
)
from .exits import ExitCode

CONTROL_BODY_BYTES = 8 * 1024 * 1024
HANDED_OVER_SECONDS = 1.5
"""Time for another leader to be found before this host stops passing calls on."""


def serve_control(config: Path) -> int:
    """Run a control host until it is told to stop."""
    return run_loop(_serve_control(config))


async def _serve_control(config: Path) -> int:
    settings = load_control_settings(config)
    output = begin_logging(settings)
    life = Life()
    pools = ConnectionPools(max_connections=CONNECTIONS_PER_UPSTREAM)
    host = ControlHost(
        settings=settings,
        clock=SystemClock(),
        port=WorkerClient(pools=pools),
        on_failure=life.fail,
    )
    refused = RefusedHeartbeats(clock=SystemClock())
    life.watch_signals(lambda: build_control_dump(host))
    life.watch_reload(lambda: None)
    control = listen(
        build_control_handler(host.answer, refused.note),
        settings.listen.control,
        CONTROL_BODY_BYTES,
        accepts_all=True,
    )
    peers = listen_peers(host.handle_peer, settings, PEER_BODY_BYTES, host.answer_at_once)
    shown = build_control_metrics(host, output, pools.idle, refused)
    metrics = listen_metrics(shown, settings.listen.metrics)
    error = await host.start() or await start_all([*peers, control, *metrics])
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
    await stop_listeners([control, *peers, *metrics], left)
    await host.stop()
    pools.close()
    log_event(Event.STOPPED, host=settings.host)
    return ExitCode.OK
