"""Malformed heartbeats and lists: fields dropped, retyped, cut, nested and huge.

Whatever cannot come from a worker registers no upstream, and does not affect the valid input beside
it.
"""

from __future__ import annotations

import logging
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure as Err
from returns.result import Success

from ..core.clock import ManualClock
from ..core.cluster.calls import Answer, Call, ForwardHeartbeat, Outcome
from ..core.cluster.model import PollReply
from ..core.cluster.orders import StartOutcome
from ..net.connections import parse_address
from ..net.transport import HttpReply
from ..platform.heartbeats import decode_heartbeat, decode_leave
from ..platform.workers import _read_start, read_run_lists
from ..runtime.refused_heartbeats import LOG_INTERVAL, RefusedHeartbeats
from .gateway_builders import build_clock
from .test_platform import build_request, run_control

SETTINGS = settings(derandomize=True, deadline=None, max_examples=400)
TASK = "5c0e7a21d94b36f8.0.1.17"
GOOD: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "seq_no": 4,
    "cold_left_ms": 0,
    "born": 1_790_000_000_000,
    "capacity": {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "running": [[TASK, 2, "saved", 41]],
    "finished": [[58, TASK, 1, "done", ""]],
}
NEEDED = ("service", "address", "zone", "state", "seq_no")
DEEP = b"[" * 5_000 + b"]" * 5_000
others = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=600),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


def check(body: bytes, name: str = "i-1") -> None:
    """Check that a body is refused with a reason, or is a complete heartbeat of a worker."""
    decoded = decode_heartbeat(name, body)
    if isinstance(decoded, Err):
        assert decoded.failure()
        return
    heartbeat = decoded.unwrap().heartbeat
    info = heartbeat.info
    assert info.service and info.domain and parse_address(info.address) is not None
    assert heartbeat.sequence >= 0 and heartbeat.cold_left_ms >= 0
    assert max(map(len, (info.service, info.domain, info.address, *info.labels))) <= 256
    if heartbeat.poll_reply is not None:
        check_lists(heartbeat.poll_reply)


def check_lists(lists: PollReply) -> None:
    for run in lists.running:
        assert type(run.run) is int and type(run.percent) is int and type(run.checkpoint) is str
    for end in lists.ended:
        assert type(end.number) is int and type(end.run) is int and type(end.checkpoint) is str


@SETTINGS
@given(st.sampled_from(sorted(GOOD)), others)
def test_a_field_of_another_type_raises_no_exception(field: str, value: Any) -> None:
    check(msgspec.json.encode({**GOOD, field: value}))


@SETTINGS
@given(st.sets(st.sampled_from(sorted(GOOD))))
def test_a_heartbeat_without_a_required_field_registers_no_upstream(dropped: set[str]) -> None:
    body = {field: value for field, value in GOOD.items() if field not in dropped}
    decoded = decode_heartbeat("i-1", msgspec.json.encode(body))
    assert isinstance(decoded, Success) == (not dropped.intersection(NEEDED))


@SETTINGS
@given(st.integers(0, 400), st.binary(max_size=20))
def test_cut_and_damaged_bytes_raise_no_exception(length: int, tail: bytes) -> None:
    check(msgspec.json.encode(GOOD)[:length] + tail)
    decode_leave("i-1", tail)


@SETTINGS
@given(st.lists(others, max_size=6))
def test_malformed_rows_void_the_list_or_belong_to_no_task_of_ours(row: list[Any]) -> None:
    for rows in (
        [row],
        [[TASK, *row]],
        [[*row[:1], TASK, *row[1:]]],
        [[58, TASK, 1, "done", *row]],
    ):
        for running, finished in ((rows, []), ([], rows)):
            lists = read_run_lists(5, running, finished)
            if lists is not None:
                check_lists(lists)


@pytest.mark.parametrize("number", [-1, 1 << 53, 1 << 64, 10**400])
def test_a_list_with_a_number_out_of_range_is_void(number: int) -> None:
    """Guards against a clock that overflows in the coordinator, and ends it."""
    assert read_run_lists(number, [], []) is None
    assert read_run_lists(5, [[TASK, number, "", 0]], []) is None
    assert read_run_lists(5, [], [[number, TASK, 1, "done", ""]]) is None
    assert read_run_lists(5, [], [[1, TASK, number, "done", ""]]) is None
    reply = HttpReply(status=200, body=b'{"clock_ms":%d}' % number)
    assert _read_start(Success(reply)) == (StartOutcome.STARTED, None)


@pytest.mark.parametrize(("percent", "expected"), [(-5, 0), (41.9, 41), (10**400, 100)])
def test_progress_is_limited_to_a_whole_run(percent: float, expected: int) -> None:
    lists = read_run_lists(5, [[TASK, 1, "", percent]], [])
    assert lists is not None and lists.running[0].percent == expected


@pytest.mark.parametrize(
    "body",
    [
        b"",
        DEEP,
        b'{"labels":' + DEEP + b"}",
        msgspec.json.encode({**GOOD, "state": "sleeping"}),
        msgspec.json.encode({**GOOD, "state": ""}),
        msgspec.json.encode({**GOOD, "address": "nowhere"}),
        msgspec.json.encode({**GOOD, "address": "10.0.0.9:0"}),
        msgspec.json.encode({**GOOD, "service": ""}),
        msgspec.json.encode({**GOOD, "zone": "z" * 257}),
        msgspec.json.encode({**GOOD, "labels": ["a"] * 65}),
        msgspec.json.encode({**GOOD, "seq_no": -1}),
        msgspec.json.encode({**GOOD, "seq_no": "4"}),
        msgspec.json.encode({**GOOD, "clock_ms": 1 << 60}),
    ],
)
def test_an_invalid_heartbeat_is_refused_and_the_others_are_accepted(body: bytes) -> None:
    """Guards against an unknown state, an invalid address, and counts that were left out."""
    answers: list[tuple[int, list[Call]]] = []
    for each in (msgspec.json.encode(GOOD), body, msgspec.json.encode(GOOD)):
        response, calls = run_control(
            build_request("PUT", "/instances/i-1", each), Answer(outcome=Outcome.DONE)
        )
        answers.append((response.status, calls))
    assert [status for status, _ in answers] == [200, 400, 200]
    assert answers[1][1] == []
    assert all(isinstance(calls[0], ForwardHeartbeat) for _, calls in (answers[0], answers[2]))


def test_refused_heartbeats_are_counted_and_do_not_fill_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock: ManualClock = build_clock()
    refused = RefusedHeartbeats(clock=clock)
    with caplog.at_level(logging.WARNING):
        for _ in range(50):
            refused.record("i-1" * 100, "unknown state " + "x" * 10_000)
            clock.advance(LOG_INTERVAL / 20)
    assert refused.count == 50
    lines = [record for record in caplog.records if "names no upstream" in record.getMessage()]
    assert len(lines) == 3
    fields = lines[-1].fields  # type: ignore[attr-defined]
    assert (fields["event"], fields["refused"]) == (4020, 41)
    assert max(len(fields["upstream"]), len(fields["reason"])) == 200
