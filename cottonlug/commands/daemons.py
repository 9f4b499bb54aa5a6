"""Code that the daemons of control hosts and gateways share: logging, listeners and shutdown."""

from __future__ import annotations

import asyncio
import os
import sys
from datetime import timedelta
from typing import Any

from ..config.cluster import ControlSettings, GatewaySettings
from ..config.options import Address
from ..net.asgi import Handler, ImmediateHandler, build_asgi
from ..net.servers import Listener
from ..runtime.cluster_metrics import build_metrics_handler
from ..runtime.events import Event, log_event, set_up_output
from ..runtime.log_output import LogOutput
from ..runtime.metrics import Metrics

MAX_SMALL_BODY_BYTES = 1_024
"""Limit of listeners for metrics and readiness, whose requests have no body."""
MAX_CONNECTIONS_PER_UPSTREAM = 16
DRAIN_MARGIN_SECONDS = 0.4
"""Part of the shutdown limit that is kept for the time after open requests are answered or cut."""
MAX_PEER_BODY_BYTES = 64 * 1024 * 1024
"""Large, as a whole snapshot is sent in one message."""


def find_drain_seconds(limit: timedelta, used_seconds: float) -> float:
    """Return for how many seconds open requests may still be answered.

    `limit` is the time allowed for the whole shutdown, `used_seconds` the part already used.
    """
    return max(limit.total_seconds() - used_seconds - DRAIN_MARGIN_SECONDS, 0.0)


def start_logging(settings: ControlSettings | GatewaySettings) -> LogOutput:
    """Send logs to standard output and log the start of the daemon."""
    output = LogOutput(descriptor=sys.stdout.fileno())
    set_up_output(settings.log, output)
    log_event(Event.STARTED, host=settings.host, domain=settings.domain, pid=os.getpid())
    return output


def build_listener(
    handler: Handler,
    address: Address,
    max_body_bytes: int,
    handle_immediately: ImmediateHandler | None = None,
    *,
    accepts_all: bool = False,
) -> Listener:
    """Return a listener whose requests are answered by one handler.

    See `Listener` for `accepts_all`.
    """
    app: Any = build_asgi(handler, lambda: max_body_bytes)
    return Listener(
        app=app, address=address, accepts_all=accepts_all, handle_immediately=handle_immediately
    )


def find_bind_address(advertised: Address, settings: ControlSettings | GatewaySettings) -> Address:
    """Return the address to bind for a listener whose advertised address others connect to."""
    return Address(settings.bind_host or advertised.host, advertised.port)


def build_peer_listeners(
    handler: Handler,
    settings: ControlSettings | GatewaySettings,
    max_body_bytes: int,
    handle_immediately: ImmediateHandler,
) -> list[Listener]:
    """Return the listeners for other hosts of the cluster.

    The first one serves all calls; where the settings have an urgent port, a second one serves
    calls that must not queue behind jobs.
    """
    address = find_bind_address(settings.listen.peers, settings)
    listeners = [build_listener(handler, address, max_body_bytes, handle_immediately)]
    if settings.urgent_port is not None:
        urgent = Address(address.host, settings.urgent_port)
        listeners.append(
            build_listener(handler, urgent, max_body_bytes, handle_immediately, accepts_all=True)
        )
    return listeners


def build_metrics_listeners(metrics: Metrics, address: Address | None) -> list[Listener]:
    """Return the listener for metrics in a list, which is empty where no address is set."""
    if address is None:
        return []
    return [build_listener(build_metrics_handler(metrics), address, MAX_SMALL_BODY_BYTES)]


async def start_listeners(listeners: list[Listener]) -> str | None:
    """Start the listeners in order; return the first error message, or None."""
    for listener in listeners:
        error = await listener.start()
        if error is not None:
            return error
    return None


async def stop_listeners(listeners: list[Listener], seconds: float) -> None:
    """Stop the listeners, waiting up to `seconds` for open requests to be answered.

    Logs `DRAIN_CUT_SHORT` with the number of listeners that were not done by then.
    """
    stopping = [asyncio.create_task(listener.stop()) for listener in listeners]
    _, late = await asyncio.wait(stopping, timeout=seconds)
    if late:
        log_event(Event.DRAIN_CUT_SHORT, listeners=len(late))
