"""The work on a job grows no faster than the job, whatever the shape of its steps."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ..core.cluster.forecast import find_declared_objective, find_wait_limits
from ..core.cluster.model import JobSpec
from .job_shapes import SHAPES, Shape, build_line, build_stages, measure_size
from .model_upstreams import build_queue, milliseconds
from .work_counter import count_work

MAX_GROWTH = 1.5
"""Most work for each task and dependency of a job twice as large, over that of the smaller one."""


def measure_growth(build: Shape, work: Callable[[JobSpec], int], size: int) -> float:
    """Return the work for each task and dependency at twice the size, over that at the size."""
    small, large = build(size), build(2 * size)
    return (work(large) / measure_size(large)) / (work(small) / measure_size(small))


def forecast(spec: JobSpec) -> int:
    """Return the work of a gateway, which forecasts a job before it passes it on."""

    def run() -> None:
        find_wait_limits(build_queue(), spec)
        find_declared_objective(build_queue(), spec)

    return count_work(run)


# Guards against: one pipeline of 14 stages of four steps keeps gateways and leaders busy for
# minutes, as every path through the steps is followed by itself.
def test_stages_that_wait_for_each_other_are_forecast_in_time_that_grows_with_their_size() -> None:
    assert measure_growth(build_stages, forecast, 16) < MAX_GROWTH


# Guards against: the same in jobs of other shapes.
@pytest.mark.parametrize("shape", SHAPES)
def test_the_work_of_a_forecast_grows_no_faster_than_the_job(shape: str) -> None:
    assert measure_growth(SHAPES[shape], forecast, 24) < MAX_GROWTH


# Guards against: a chain of a thousand steps ends in a RecursionError.
def test_a_chain_of_a_thousand_steps_is_forecast() -> None:
    limits = find_wait_limits(build_queue(), build_line(1_100))
    assert limits.in_time > milliseconds(0)
