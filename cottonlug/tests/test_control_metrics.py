"""Metrics of a control host that gains and loses the leadership."""

from __future__ import annotations

import asyncio
import io
import os

import pytest

from ..net.connections import IdleConnections
from ..runtime.cluster_metrics import build_control_metrics
from ..runtime.control_host import ControlHost
from ..runtime.log_output import LogOutput
from ..runtime.refused_heartbeats import RefusedHeartbeats
from .gateway_builders import build_clock
from .model_hosts import World, play

TIME_TO_LEAD_SECONDS = 3.0


def render_names(host: ControlHost, *, leads_again: bool) -> list[set[str]]:
    """Return the names of the metrics while a host leads, and after that."""
    names: list[set[str]] = []
    leadership = host.leadership
    with open(os.devnull, "wb", buffering=0) as sink:
        assert isinstance(sink, io.FileIO)
        metrics = build_control_metrics(
            host,
            LogOutput(descriptor=sink.fileno()),
            IdleConnections(),
            RefusedHeartbeats(clock=build_clock()),
        )
        for leading in (leadership, None) if not leads_again else (None, leadership):
            host.leadership = leading
            names.append({line.split(" ")[0] for line in metrics.render().splitlines()})
    host.leadership = leadership
    return names


@pytest.mark.parametrize("leads_again", [False, True])
def test_a_host_exports_the_same_metrics_whether_it_leads_or_not(
    leads_again: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against instruments that fail with a KeyError once the host leads no more."""

    async def scenario(world: World) -> None:
        machine = world.add("c1", "north", "10.0.1.1")
        world.start(machine, [machine], may_begin=True)
        await asyncio.sleep(TIME_TO_LEAD_SECONDS)
        process = machine.process
        assert process is not None and process.control is not None
        assert process.control.leadership is not None
        first, second = render_names(process.control, leads_again=leads_again)
        assert first == second
        assert "cottonlug_settled_after_ms" in first

    world = play(1, scenario)
    assert not world.failures
    assert not caplog.records
