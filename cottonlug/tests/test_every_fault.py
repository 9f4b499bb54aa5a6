"""Every fault at every order of a small site, alone and in pairs; and causes of two runs put back.

Whether an exploration can fail is shown by what it finds with each of them put back.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ..core.cluster import lives
from ..core.cluster.open_job import Task
from ..core.cluster.settlement import Settlement
from ..platform import heartbeats, workers
from .fault_explorer import Fault, Play, Script, describe, explore

PAIRS_UP_TO = 3
"""Orders at which pairs of faults strike in a run of the tests; by hand at all of them."""


def test_an_undisturbed_play_has_orders_for_all_faults_to_strike() -> None:
    outcome = Play(script={}).run()
    assert outcome.problem == ""
    assert outcome.orders >= PAIRS_UP_TO


def test_no_fault_alone_has_a_task_run_twice_or_a_job_not_end() -> None:
    explored = explore(1)
    assert [describe(script) for script in explored.broken] == []
    assert explored.plays >= len(Fault) * PAIRS_UP_TO


def test_no_pair_of_faults_has_a_task_run_twice_or_a_job_not_end() -> None:
    explored = explore(2, most_orders=PAIRS_UP_TO)
    assert [describe(script) for script in explored.broken] == []
    assert explored.plays >= (len(Fault) * PAIRS_UP_TO) ** 2 / 4


def put_back_identity(patch: pytest.MonkeyPatch) -> None:
    """A life is known by the id of its upstream alone."""
    patch.setattr(heartbeats, "name_life", lambda name, born: name)
    put_back_unchecked_lists(patch)


def put_back_unchecked_lists(patch: pytest.MonkeyPatch) -> None:
    """A list of any life is taken for that of the one that was asked."""
    patch.setattr(workers, "_is_same_instance", lambda upstream, read: True)


def put_back_fast_clock(patch: pytest.MonkeyPatch) -> None:
    """A lease counts as ended by our clock, though the upstream's may be slower."""
    patch.setattr(lives, "SLOWEST_CLOCK", 1.0)
    patch.setattr(lives, "LAPSE_MARGIN", lives.LAPSE_MARGIN * 0)


def put_back_ends_of_any_upstream(patch: pytest.MonkeyPatch) -> None:
    """An end is matched by task and number, wherever the run was."""
    patch.setattr(Task, "runs_as", lambda self, run, upstream: self.run == run)


def put_back_leaders_that_do_not_wait(patch: pytest.MonkeyPatch) -> None:
    """A new leader begins what an earlier one may have at work at an upstream out of sight."""
    patch.setattr(Settlement, "is_unsure", lambda self, *, of_deputies: False)


# Guards against a model in which the causes that were mended could not show.
@pytest.mark.parametrize(
    ("put_back", "script"),
    [
        (put_back_identity, ((0, Fault.STARTS_AGAIN),)),
        (put_back_unchecked_lists, ((0, Fault.STARTS_AGAIN),)),
        (put_back_ends_of_any_upstream, ((5, Fault.CUT),)),
        (put_back_fast_clock, ((0, Fault.GATEWAY_LOST), (6, Fault.CUT))),
        (put_back_leaders_that_do_not_wait, ((0, Fault.LEADER_LOST), (1, Fault.CUT))),
    ],
)
def test_a_cause_that_is_put_back_shows_by_the_script_that_found_it(
    put_back: Callable[[pytest.MonkeyPatch], None], script: Script
) -> None:
    assert Play(script=dict(script)).run().problem == ""
    with pytest.MonkeyPatch.context() as patch:
        put_back(patch)
        assert Play(script=dict(script)).run().problem != ""
    assert Play(script=dict(script)).run().problem == ""


def test_an_exploration_finds_a_cause_by_itself_and_tells_no_more_faults_than_it_needs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    put_back_ends_of_any_upstream(monkeypatch)
    explored = explore(1)
    assert len(explored.broken) == 1
    longer = ((0, Fault.ANSWER_LOST), *explored.broken[0])
    assert describe(longer) == describe(explored.broken[0])
    assert "runs at u1 and u2" in describe(longer)
