"""Start times of upstreams, which tell apart the instances that share an id."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from returns.result import Success

from ..core.cluster.calls import Answer, Call, ForwardHeartbeat, ForwardLeave, Outcome
from ..core.cluster.commands import AddUpstream, SetDraining
from ..core.cluster.instance_ids import (
    build_instance_id,
    find_start_ms,
    get_upstream_name,
    is_earlier_instance,
)
from ..core.cluster.model import PollReply
from ..core.cluster.orders import CallFailure
from ..core.cluster.records import Records
from ..core.ids import UpstreamId
from ..net.transport import HttpReply
from .model_upstreams import build_info
from .test_platform import HEARTBEAT, POLL, FixedClient, build_request, run_control

STARTED_MS = 1_790_000_000_000
LISTS = b'{"clock_ms":5,"running":[],"finished":[],"born":%d}'


def send_request(method: str, body: bytes, name: str = "i-1") -> tuple[int, list[Call]]:
    request = build_request(method, f"/instances/{name}", body)
    response, calls = run_control(request, Answer(outcome=Outcome.DONE))
    return response.status, calls


def add_start_time(born: bytes) -> bytes:
    return HEARTBEAT[:-1] + b',"born":' + born + b"}"


def build_lists_reply(born: int) -> Success[HttpReply]:
    return Success(HttpReply(status=200, body=LISTS % born))


def test_instance_ids_survive_a_round_trip_and_are_ordered_by_start_time() -> None:
    instance = build_instance_id("i-1", STARTED_MS)
    assert (get_upstream_name(instance), find_start_ms(instance)) == ("i-1", STARTED_MS)
    plain = build_instance_id("i-1", None)
    assert (get_upstream_name(plain), find_start_ms(plain)) == ("i-1", None)
    assert is_earlier_instance(instance, build_instance_id("i-1", STARTED_MS + 1))
    assert is_earlier_instance(plain, instance)
    assert not is_earlier_instance(instance, instance)
    assert not is_earlier_instance(instance, plain)
    assert not is_earlier_instance(instance, build_instance_id("i-2", STARTED_MS + 1))


def test_each_start_of_an_upstream_is_a_separate_instance() -> None:
    """The reported start time was not read, so both instances were treated as one."""
    ids = []
    for born in (STARTED_MS, STARTED_MS + 1):
        status, calls = send_request("PUT", add_start_time(b"%d" % born))
        assert status == 200
        forwarded = calls[0]
        assert isinstance(forwarded, ForwardHeartbeat)
        ids.append(forwarded.heartbeat.info.id)
    assert ids == [build_instance_id("i-1", STARTED_MS), build_instance_id("i-1", STARTED_MS + 1)]


@pytest.mark.parametrize(
    "born",
    [b"null", b'"1790000000000"', b"1790000000000.5", b"true", b"-1", b"[]", b"9" * 30, b"1" * 17],
)
def test_an_invalid_start_time_is_refused(born: bytes) -> None:
    assert send_request("PUT", add_start_time(born)) == (400, [])
    assert send_request("DELETE", b'{"born":' + born + b"}") == (400, [])


@pytest.mark.parametrize("name", ["", "i-1%23", "i-1#1790000000000"])
def test_a_name_that_could_be_an_instance_id_is_refused(name: str) -> None:
    status, calls = send_request("PUT", HEARTBEAT, name=name.replace("%23", "#"))
    assert (status, calls) == (400, [])


def test_a_leave_message_names_an_instance_if_it_reports_a_start_time() -> None:
    assert send_request("DELETE", b"")[1] == [ForwardLeave(upstream=UpstreamId("i-1"))]
    body = b'{"born":%d}' % STARTED_MS
    assert send_request("DELETE", body)[1] == [
        ForwardLeave(upstream=build_instance_id("i-1", STARTED_MS))
    ]


def test_a_leave_without_start_time_means_the_draining_or_else_the_newest_instance() -> None:
    records = Records()
    instances = [build_instance_id("u1", STARTED_MS + number) for number in (0, 2, 1)]
    for instance in instances:
        records.apply(AddUpstream(info=msgspec.structs.replace(build_info("u1"), id=instance)))
    plain = UpstreamId("u1")
    found = records.find_leaving(plain)
    assert found is not None and found.info.id == instances[1]
    records.apply(SetDraining(upstream=instances[0]))
    found = records.find_leaving(plain)
    assert found is not None and found.info.id == instances[0]
    found = records.find_leaving(instances[2])
    assert found is not None and found.info.id == instances[2]
    assert records.find_leaving(build_instance_id("u1", STARTED_MS + 9)) is None
    assert records.find_leaving(UpstreamId("u2")) is None


def test_a_poll_reply_of_another_instance_is_rejected() -> None:
    """Both instances answer under the id in the header, so either reply was accepted."""
    info = msgspec.structs.replace(build_info("u1"), id=build_instance_id("u1", STARTED_MS))
    order = POLL.__class__(upstream=info, last_seen=0, expires_ms=None, wait=POLL.wait)
    same = asyncio.run(FixedClient(build_lists_reply(STARTED_MS)).poll(order, 7))
    assert isinstance(same, PollReply)
    other = asyncio.run(FixedClient(build_lists_reply(STARTED_MS + 1)).poll(order, 7))
    assert other is CallFailure.INSTANCE_ENDED


# Guards against two runs of a task after an upgrade: an upstream that the log knows by its id
# alone, without a start time, was taken to have ended.
def test_a_reported_start_time_does_not_end_an_instance_recorded_without_one() -> None:
    reply = asyncio.run(FixedClient(build_lists_reply(STARTED_MS)).poll(POLL, 7))
    assert reply is CallFailure.REFUSED
