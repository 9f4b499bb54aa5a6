"""Explores every fault at every order of a small site, alone and in pairs.

A fault strikes when the order with a given number is sent to an upstream, see `fault_explorer`.
Past causes of duplicate runs are reintroduced one by one, to show that the exploration finds each.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ..core.cluster import instances
from ..core.cluster.open_job import Task
from ..core.cluster.open_jobs import OpenJobs
from ..core.cluster.reconciliation import Reconciliation
from ..platform import heartbeats, workers
from .fault_explorer import Fault, Play, Script, describe, explore

PAIRS_UP_TO = 3
"""In the test suite, pairs of faults are injected at this many orders; a manual exploration covers
all."""


def test_a_play_without_faults_has_enough_orders_for_faults_to_strike() -> None:
    """Guards against an exploration that finds nothing because it injects hardly any faults."""
    outcome = Play(script={}).run()
    assert outcome.problem == ""
    assert outcome.orders >= PAIRS_UP_TO


def test_no_single_fault_makes_a_task_run_twice_or_keeps_a_job_from_ending() -> None:
    exploration = explore(1)
    assert [describe(script) for script in exploration.failing_scripts] == []
    assert exploration.plays >= len(Fault) * PAIRS_UP_TO


def test_no_pair_of_faults_makes_a_task_run_twice_or_keeps_a_job_from_ending() -> None:
    exploration = explore(2, max_orders=PAIRS_UP_TO)
    assert [describe(script) for script in exploration.failing_scripts] == []
    assert exploration.plays >= (len(Fault) * PAIRS_UP_TO) ** 2 / 4


def reintroduce_shared_instance_ids(patch: pytest.MonkeyPatch) -> None:
    """Identify an instance by the id of its upstream alone, without its start time."""
    patch.setattr(heartbeats, "build_instance_id", lambda name, started_ms: name)
    reintroduce_unchecked_lists(patch)


def reintroduce_unchecked_lists(patch: pytest.MonkeyPatch) -> None:
    """Accept a list of runs by any instance as that of the instance that was polled."""
    patch.setattr(workers, "_is_same_instance", lambda upstream, read: True)


def reintroduce_fast_clock(patch: pytest.MonkeyPatch) -> None:
    """Count a lease as ended by the leader's clock although the upstream's clock may be slower."""
    patch.setattr(instances, "MIN_CLOCK_RATE", 1.0)
    patch.setattr(instances, "LAPSE_MARGIN", instances.LAPSE_MARGIN * 0)


def reintroduce_ends_of_any_upstream(patch: pytest.MonkeyPatch) -> None:
    """Match a run end by task and run number alone, at whatever upstream the run was.

    And start a task again without asking whether another run of it is active.
    """
    patch.setattr(Task, "is_current_run", lambda self, run, upstream: self.run == run)
    patch.setattr(OpenJobs, "await_active_run", lambda self, job, ref: False)


def reintroduce_leaders_that_do_not_wait(patch: pytest.MonkeyPatch) -> None:
    """Let a new leader start what an earlier one may have active at an unreachable upstream."""
    patch.setattr(Reconciliation, "may_miss_runs", lambda self, *, of_acting_leaders: False)


# Guards against a model in which these causes of duplicate runs could not show.
@pytest.mark.parametrize(
    ("reintroduce", "script"),
    [
        (reintroduce_shared_instance_ids, ((0, Fault.UPSTREAM_RESTARTED),)),
        (reintroduce_unchecked_lists, ((0, Fault.UPSTREAM_RESTARTED),)),
        (reintroduce_ends_of_any_upstream, ((5, Fault.UPSTREAM_CUT_OFF),)),
        (reintroduce_fast_clock, ((0, Fault.GATEWAY_LOST), (6, Fault.UPSTREAM_CUT_OFF))),
        (
            reintroduce_leaders_that_do_not_wait,
            ((0, Fault.LEADER_LOST), (1, Fault.UPSTREAM_CUT_OFF)),
        ),
    ],
)
def test_a_reintroduced_fault_is_found_by_its_script(
    reintroduce: Callable[[pytest.MonkeyPatch], None], script: Script
) -> None:
    assert Play(script=dict(script)).run().problem == ""
    with pytest.MonkeyPatch.context() as patch:
        reintroduce(patch)
        assert Play(script=dict(script)).run().problem != ""
    assert Play(script=dict(script)).run().problem == ""


def test_an_exploration_finds_a_fault_and_reports_a_minimal_script(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reintroduce_ends_of_any_upstream(monkeypatch)
    exploration = explore(1)
    assert len(exploration.failing_scripts) == 1
    longer = ((0, Fault.ANSWER_LOST), *exploration.failing_scripts[0])
    assert describe(longer) == describe(exploration.failing_scripts[0])
    assert "runs at u1 and u2" in describe(longer)
