"""Metrics of callers that were not served, and of changes of leader."""

from __future__ import annotations

import asyncio
import io
import os

import msgspec
import pytest

from ..core.cluster.calls import Answer, Contact, Outcome
from ..core.cluster.model import RunReport
from ..core.cluster.records import Records
from ..runtime import gateway_registry as gateways_module
from ..runtime import leadership as leading_module
from ..runtime.cluster_metrics import build_gateway_metrics
from ..runtime.coordinator_link import Via
from ..runtime.events import Event
from ..runtime.gateway_registry import GatewayRegistry
from ..runtime.log_output import LogOutput
from .gateway_builders import (
    CALL_TIMEOUT,
    answer_in_turn,
    build_acting_gateway,
    build_clock,
    build_failover_state,
    build_gateway,
    build_keepalive,
    build_submit,
)
from .model_upstreams import Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world, start_leader
from .test_cluster_single_run import CUT_OFF, FIRST_RUN, REF, SECOND_RUN, SOUND, NewLeader


@pytest.fixture
def capture(monkeypatch: pytest.MonkeyPatch) -> list[tuple[Event, dict[str, object]]]:
    """Capture the events that a coordinator logs."""
    events: list[tuple[Event, dict[str, object]]] = []
    for module in (gateways_module, leading_module):
        monkeypatch.setattr(
            module, "log_event", lambda event, **fields: events.append((event, fields))
        )
    return events


def test_the_wait_for_a_refusal_is_measured_against_the_objective_of_its_job() -> None:
    clock = build_clock()
    gateway = build_gateway(clock)
    gateway.link.receive_failover_state(build_failover_state())
    shares: list[float] = []
    gateway.record_refusal = shares.append
    answer_in_turn(gateway, [Answer(outcome=Outcome.REJECTED), Answer(outcome=Outcome.DONE)])
    asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT))
    asyncio.run(gateway.call(build_submit(), CALL_TIMEOUT))
    assert shares == [0.0]
    assert gateway.timeout_failure_count == 0


def test_an_answer_delayed_until_its_caller_times_out_is_counted() -> None:
    gateway = build_gateway(build_clock())
    answer_in_turn(gateway, [])
    answer = asyncio.run(gateway.call(build_submit(), milliseconds(10)))
    assert answer.outcome is Outcome.UNAVAILABLE
    assert gateway.timeout_failure_count == 1


def test_the_time_without_a_coordinator_is_measured() -> None:
    clock = build_clock()
    gateway = build_gateway(clock)
    spans: list[float] = []
    gateway.link.record_coordinator_change = spans.append
    gateway.link.follow("10.0.1.1:7000", Via.LEADER)
    clock.advance(milliseconds(80))
    gateway.link.follow("10.0.1.1:7000", Via.LEADER)
    clock.advance(milliseconds(450))
    gateway.link.follow("10.0.1.2:7000", Via.LEADER)
    assert spans == [450.0]


def test_a_gateway_exports_refusals_and_coordinator_changes() -> None:
    with open(os.devnull, "wb", buffering=0) as sink:
        assert isinstance(sink, io.FileIO)
        gateway = build_gateway(build_clock())
        metrics = build_gateway_metrics(gateway, LogOutput(descriptor=sink.fileno()))
        gateway.record_refusal(0.2)
        gateway.link.record_coordinator_change(450.0)
        lines = metrics.render().splitlines()
    assert "cottonlug_calls_held_to_end 0" in lines
    assert 'cottonlug_refusal_over_objective_bucket{le="0.25"} 1' in lines
    assert "cottonlug_without_decider_ms_sum 450" in lines


@pytest.fixture
def second_leader() -> Leader:
    world, upstreams = build_world(1)
    first = start_leader(world, upstreams, Records(), 1)
    world.run_until(milliseconds(100))
    first.is_over = True
    lost = next(iter(upstreams.values()))
    lost.crash()
    return start_leader(world, upstreams, first.records, 2)


def test_jobs_that_wait_for_unreachable_upstreams_are_known(second_leader: Leader) -> None:
    second_leader.submit("a" * 16, build_spec(), build_queue(), may_have_begun=True)
    (job,) = second_leader.dispatch.jobs.jobs.values()
    assert job.has_unknown_tasks()
    second_leader.world.run_until(milliseconds(3_000))
    assert not job.has_unknown_tasks()
    assert 990 <= second_leader.dispatch.counts.settled_after_ms <= 1_100


def test_a_delayed_keepalive_is_logged_with_its_age(
    capture: list[tuple[Event, dict[str, object]]],
) -> None:
    clock = build_clock()
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=clock)
    ages: list[float] = []
    gateways.record_age = ages.append
    contact = gateways.build_contact()
    clock.advance(milliseconds(84))
    prompt = msgspec.structs.replace(contact, since_ms=80)
    gateways.handle_keepalive(
        msgspec.structs.replace(build_keepalive("10.0.0.2:7000"), contact=prompt)
    )
    assert not capture
    clock.advance(milliseconds(400))
    gateways.handle_keepalive(
        msgspec.structs.replace(build_keepalive("10.0.0.2:7000"), contact=prompt)
    )
    assert ages == [4.0, 404.0]
    assert capture == [(Event.KEEPALIVE_LATE, {"gateway": "10.0.0.2:7000", "age_ms": 404})]


def test_a_keepalive_under_another_token_is_not_measured() -> None:
    gateways = GatewayRegistry(term=3, token=3_000_000, clock=build_clock())
    ages: list[float] = []
    gateways.record_age = ages.append
    other = Contact(token=2_000_000, answered_ms=0)
    gateways.handle_keepalive(
        msgspec.structs.replace(build_keepalive("10.0.0.2:7000"), contact=other)
    )
    assert not ages


def test_a_coordinator_logs_when_it_was_delayed(
    capture: list[tuple[Event, dict[str, object]]],
) -> None:
    async def play() -> None:
        gateway, clock = build_acting_gateway()
        await gateway.link.check_failover()
        assert gateway.acting_leader is not None
        leadership = gateway.acting_leader.leadership
        spans: list[float] = []
        leadership.record_decision_gap = spans.append
        leadership._decide()
        clock.advance(milliseconds(20))
        leadership._decide()
        await gateway.link.check_failover()
        clock.advance(milliseconds(400))
        leadership._decide()
        assert spans == [400.0]
        gateway.link.step_down()

    asyncio.run(play())
    assert (Event.DECISION_DELAYED, {"term": 5, "held_up_ms": 400}) in capture


def test_tasks_that_start_though_an_upstream_is_not_polled_are_logged(
    second_leader: Leader,
) -> None:
    """An operator can then tell on what grounds a task has been started a second time."""
    decisions: list[tuple[str, dict[str, str | int]]] = []
    second_leader.dispatch._term.log_decision = lambda name, fields: decisions.append(
        (name, fields)
    )
    job = "a" * 16
    second_leader.submit(
        job,
        build_spec(tasks=2),
        build_queue(),
        may_have_begun=True,
        reconcile_after=milliseconds(340),
    )
    second_leader.world.run_until(milliseconds(600))
    by_name = dict(decisions)
    assert by_name["job_taken"]["has_begun"] == 1
    assert by_name["job_taken"]["reconcile_ms"] == 340
    assert by_name["tasks_released"] == {
        "job": job,
        "tasks": 2,
        "unpolled": 1,
        "waited_ms": 340,
        "term_ms": 340,
    }
    assert by_name["run_started_again"]["unpolled"] == 1
    assert second_leader.dispatch.counts.released_tasks == 2


def test_a_run_beside_another_one_of_its_task_is_logged_and_counted() -> None:
    """An operator sees that a task ran twice at once, and which coordinators started it."""
    leader = NewLeader()
    decisions: list[tuple[str, dict[str, str | int]]] = []
    leader.dispatch._term.log_decision = lambda name, fields: decisions.append((name, fields))
    for upstream, run in ((SOUND.id, SECOND_RUN), (CUT_OFF.id, FIRST_RUN)):
        leader.receive_list(upstream, running=(RunReport(task=REF, run=run, percent=10),))
    assert leader.dispatch.counts.doubled_runs == 1
    doubled = dict(decisions)["run_doubled"]
    assert (doubled["upstream"], doubled["run"]) == (CUT_OFF.id, FIRST_RUN)
    assert (doubled["other_upstream"], doubled["other_run"]) == (SOUND.id, SECOND_RUN)
