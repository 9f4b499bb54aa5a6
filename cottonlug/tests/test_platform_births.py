"""When an upstream says that it started: decoded once, and never taken from who cannot be one."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from returns.result import Success

from ..core.cluster.calls import Answer, Beat, Call, Leave, Outcome
from ..core.cluster.commands import AddUpstream, SetDraining
from ..core.cluster.identity import find_birth, get_name, is_earlier, name_life
from ..core.cluster.model import LookReply
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


def test_ids_of_lives_are_read_as_they_are_written() -> None:
    life = name_life("i-1", STARTED_MS)
    assert (get_name(life), find_birth(life)) == ("i-1", STARTED_MS)
    plain = name_life("i-1", None)
    assert (get_name(plain), find_birth(plain)) == ("i-1", None)
    assert is_earlier(life, name_life("i-1", STARTED_MS + 1))
    assert is_earlier(plain, life)
    assert not is_earlier(life, life)
    assert not is_earlier(life, plain)
    assert not is_earlier(life, name_life("i-2", STARTED_MS + 1))


def test_each_start_of_an_upstream_is_a_life_of_its_own() -> None:
    """Failed before: what it said of its start was not read, so that both were one."""
    ids = []
    for born in (STARTED_MS, STARTED_MS + 1):
        status, calls = send_request("PUT", add_start_time(b"%d" % born))
        assert status == 200
        forwarded = calls[0]
        assert isinstance(forwarded, Beat)
        ids.append(forwarded.heartbeat.info.id)
    assert ids == [name_life("i-1", STARTED_MS), name_life("i-1", STARTED_MS + 1)]


@pytest.mark.parametrize(
    "born",
    [b"null", b'"1790000000000"', b"1790000000000.5", b"true", b"-1", b"[]", b"9" * 30, b"1" * 17],
)
def test_a_start_that_cannot_be_names_no_upstream(born: bytes) -> None:
    assert send_request("PUT", add_start_time(born)) == (400, [])
    assert send_request("DELETE", b'{"born":' + born + b"}") == (400, [])


@pytest.mark.parametrize("name", ["", "i-1%23", "i-1#1790000000000"])
def test_a_name_that_would_be_that_of_a_life_is_refused(name: str) -> None:
    status, calls = send_request("PUT", HEARTBEAT, name=name.replace("%23", "#"))
    assert (status, calls) == (400, [])


def test_leaving_names_a_life_where_it_tells_which() -> None:
    assert send_request("DELETE", b"")[1] == [Leave(upstream=UpstreamId("i-1"))]
    body = b'{"born":%d}' % STARTED_MS
    assert send_request("DELETE", body)[1] == [Leave(upstream=name_life("i-1", STARTED_MS))]


def test_whoever_leaves_without_telling_which_life_is_the_one_that_said_so_or_the_newest() -> None:
    records = Records()
    lives = [name_life("u1", STARTED_MS + number) for number in (0, 2, 1)]
    for life in lives:
        records.apply(AddUpstream(info=msgspec.structs.replace(build_info("u1"), id=life)))
    plain = UpstreamId("u1")
    found = records.find_leaving(plain)
    assert found is not None and found.info.id == lives[1]
    records.apply(SetDraining(upstream=lives[0]))
    found = records.find_leaving(plain)
    assert found is not None and found.info.id == lives[0]
    found = records.find_leaving(lives[2])
    assert found is not None and found.info.id == lives[2]
    assert records.find_leaving(name_life("u1", STARTED_MS + 9)) is None
    assert records.find_leaving(UpstreamId("u2")) is None


def test_a_list_of_another_life_is_not_taken_for_that_of_the_one_asked() -> None:
    """Failed before: both answer under the id that the header names."""
    info = msgspec.structs.replace(build_info("u1"), id=name_life("u1", STARTED_MS))
    order = POLL.__class__(upstream=info, last_seen=0, expires_ms=None, wait=POLL.wait)
    same = asyncio.run(FixedClient(build_lists_reply(STARTED_MS)).look(order, 7))
    assert isinstance(same, LookReply)
    other = asyncio.run(FixedClient(build_lists_reply(STARTED_MS + 1)).look(order, 7))
    assert other is CallFailure.LIFE_ENDED


# Guards against TWICE on an upgrade: what the log knows by its id alone was taken to have ended.
def test_a_list_that_tells_a_start_does_not_end_a_life_of_which_none_is_known() -> None:
    reply = asyncio.run(FixedClient(build_lists_reply(STARTED_MS)).look(POLL, 7))
    assert reply is CallFailure.REFUSED
