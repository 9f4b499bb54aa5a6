"""Events about unexpected errors: what was handled, which upstream it was about, and the place."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import pytest

from ..core.cluster.orders import CallFailure, PollOrder
from ..core.ids import UpstreamId
from ..runtime import failures
from ..runtime.events import Event
from ..runtime.failures import MAX_FRAMES, MAX_MESSAGE_LENGTH, log_failure
from .gateway_builders import IdlePort
from .model_upstreams import build_info
from .test_cluster_events import record_events
from .test_cluster_waiting import lead


def test_an_error_in_an_answer_is_logged_with_its_upstream_and_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against `StopIteration: ` as all that is known of an error."""
    logged = record_events(monkeypatch, failures)

    async def play() -> None:
        leadership, _ = lead(IdlePort())
        leadership._on_failure = lambda error: None
        monkeypatch.setattr(leadership.dispatch, "handle_poll_answer", lambda *args: next(iter(())))
        order = PollOrder(
            upstream=build_info("u1"),
            last_seen=0,
            expires_ms=None,
            wait=timedelta(),
            first_end=timedelta(),
            is_probe=False,
            response_timeout=timedelta(seconds=1),
        )
        leadership._receive_answer(order, timedelta(), CallFailure.NO_ANSWER)
        leadership.stop()

    asyncio.run(play())
    ((event, fields),) = logged
    traceback = fields.pop("traceback")
    assert event is Event.TERM_FAILED
    assert fields == {
        "error": "StopIteration: ",
        "during": "answer to PollOrder",
        "term": 6,
        "upstream": UpstreamId("u1"),
    }
    assert isinstance(traceback, list)
    assert traceback[0].startswith("tests/test_failure_events.py:")
    assert traceback[1].startswith("runtime/leadership.py:")
    assert traceback[1].endswith(" _handle_answer")


def test_the_event_of_an_error_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a line as long as what was received, or as a recursion is deep."""
    logged = record_events(monkeypatch, failures)

    def recurse(depth: int) -> None:
        if not depth:
            raise ValueError("x" * 100_000)
        recurse(depth - 1)

    try:
        recurse(100)
    except ValueError as error:
        log_failure(Event.INVARIANT_BROKEN, error, during="a test")
    ((_, fields),) = logged
    assert len(str(fields["error"])) == MAX_MESSAGE_LENGTH
    assert isinstance(fields["traceback"], list)
    assert len(fields["traceback"]) == MAX_FRAMES
