"""When an upstream says that it started: decoded once, and never taken from who cannot be one."""

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
from .test_platform import HEARTBEAT, LOOK, FixedClient, ask, run_control

BORN = 1_790_000_000_000
LISTS = b'{"clock_ms":5,"running":[],"finished":[],"born":%d}'


def send(method: str, body: bytes, name: str = "i-1") -> tuple[int, list[Call]]:
    request = ask(method, f"/instances/{name}", body)
    response, calls = run_control(request, Answer(outcome=Outcome.DONE))
    return response.status, calls


def write_born(born: bytes) -> bytes:
    return HEARTBEAT[:-1] + b',"born":' + born + b"}"


def answer_lists(born: int) -> Success[HttpReply]:
    return Success(HttpReply(status=200, body=LISTS % born))


def test_ids_of_lives_are_read_as_they_are_written() -> None:
    instance = build_instance_id("i-1", BORN)
    assert (get_upstream_name(instance), find_start_ms(instance)) == ("i-1", BORN)
    plain = build_instance_id("i-1", None)
    assert (get_upstream_name(plain), find_start_ms(plain)) == ("i-1", None)
    assert is_earlier_instance(instance, build_instance_id("i-1", BORN + 1))
    assert is_earlier_instance(plain, instance)
    assert not is_earlier_instance(instance, instance)
    assert not is_earlier_instance(instance, plain)
    assert not is_earlier_instance(instance, build_instance_id("i-2", BORN + 1))


def test_each_start_of_an_upstream_is_a_life_of_its_own() -> None:
    """Failed before: what it said of its start was not read, so that both were one."""
    ids = []
    for born in (BORN, BORN + 1):
        status, calls = send("PUT", write_born(b"%d" % born))
        assert status == 200
        beat = calls[0]
        assert isinstance(beat, ForwardHeartbeat)
        ids.append(beat.heartbeat.info.id)
    assert ids == [build_instance_id("i-1", BORN), build_instance_id("i-1", BORN + 1)]


@pytest.mark.parametrize(
    "born",
    [b"null", b'"1790000000000"', b"1790000000000.5", b"true", b"-1", b"[]", b"9" * 30, b"1" * 17],
)
def test_a_start_that_cannot_be_names_no_upstream(born: bytes) -> None:
    assert send("PUT", write_born(born)) == (400, [])
    assert send("DELETE", b'{"born":' + born + b"}") == (400, [])


@pytest.mark.parametrize("name", ["", "i-1%23", "i-1#1790000000000"])
def test_a_name_that_would_be_that_of_a_life_is_refused(name: str) -> None:
    status, calls = send("PUT", HEARTBEAT, name=name.replace("%23", "#"))
    assert (status, calls) == (400, [])


def test_leaving_names_a_life_where_it_tells_which() -> None:
    assert send("DELETE", b"")[1] == [ForwardLeave(upstream=UpstreamId("i-1"))]
    body = b'{"born":%d}' % BORN
    assert send("DELETE", body)[1] == [ForwardLeave(upstream=build_instance_id("i-1", BORN))]


def test_whoever_leaves_without_telling_which_life_is_the_one_that_said_so_or_the_newest() -> None:
    records = Records()
    instances = [build_instance_id("u1", BORN + number) for number in (0, 2, 1)]
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
    assert records.find_leaving(build_instance_id("u1", BORN + 9)) is None
    assert records.find_leaving(UpstreamId("u2")) is None


def test_a_list_of_another_life_is_not_taken_for_that_of_the_one_asked() -> None:
    """Failed before: both answer under the id that the header names."""
    info = msgspec.structs.replace(build_info("u1"), id=build_instance_id("u1", BORN))
    order = LOOK.__class__(upstream=info, last_seen=0, expires_ms=None, wait=LOOK.wait)
    same = asyncio.run(FixedClient(answer_lists(BORN)).poll(order, 7))
    assert isinstance(same, PollReply)
    other = asyncio.run(FixedClient(answer_lists(BORN + 1)).poll(order, 7))
    assert other is CallFailure.INSTANCE_ENDED


# Guards against TWICE on an upgrade: what the log knows by its id alone was taken to have ended.
def test_a_list_that_tells_a_start_does_not_end_a_life_of_which_none_is_known() -> None:
    reply = asyncio.run(FixedClient(answer_lists(BORN)).poll(LOOK, 7))
    assert reply is CallFailure.REFUSED
