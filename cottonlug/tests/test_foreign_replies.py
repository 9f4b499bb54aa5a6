"""Replies of other programs, at addresses that were those of hosts of the cluster before."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import Any, cast

import pytest
from returns.result import Result, Success

from ..config.options import Address
from ..core.cluster.calls import Outcome
from ..core.consensus.types import AppendRequest, Envelope, Index, MemberId, Term
from ..net.connections import ConnectionPools
from ..net.transport import HttpReply, TransportError
from ..runtime.membership import Membership
from ..runtime.messenger import Messenger
from ..runtime.peer_calls import read_answer
from .gateway_builders import build_clock, raise_error

BODIES = [b"", b"hello", b"\xff\xfe", b"[]", b'{"outcome":5}', b"[" * 50_000]
OWN = MemberId("10.0.1.1:7000/1")


class ForeignPools:
    """Connections to another program, which answers every call with 200 and the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.calls = 0

    def get(self, address: Address) -> ForeignPools:
        return self

    async def call(self, *call: Any, **options: Any) -> Result[HttpReply, TransportError]:
        self.calls += 1
        await asyncio.sleep(0)
        return Success(HttpReply(status=200, body=self._body))


@pytest.mark.parametrize("body", BODIES)
def test_a_foreign_reply_is_no_answer(body: bytes) -> None:
    """Guards against a gateway that never sends another keep-alive."""
    assert read_answer("10.0.1.2:7000", HttpReply(status=200, body=body)).outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("body", BODIES)
def test_a_foreign_reply_to_a_message_of_the_log_ends_no_process(body: bytes) -> None:
    """Guards against a control host that ends by what answers at a lost member's address."""
    pools = ForeignPools(body)

    async def scenario() -> None:
        messenger = Messenger(
            clock=build_clock(),
            pools=cast(ConnectionPools, pools),
            get_sender=lambda: (OWN, Term(3)),
            on_reply=lambda batch: None,
            on_failure=raise_error,
        )
        request = AppendRequest(
            term=Term(3),
            sender=OWN,
            previous_index=Index(1),
            previous_term=Term(2),
            commit=Index(1),
        )
        for _ in range(3):
            messenger.post(Envelope(to=MemberId("10.0.1.2:7000/1"), message=request))
            for _ in range(10):
                await asyncio.sleep(0)
        await messenger.stop()

    asyncio.run(scenario())
    assert pools.calls == 3


@pytest.mark.parametrize("body", BODIES)
def test_a_foreign_reply_to_a_request_to_join_is_no_introduction(body: bytes) -> None:
    """Guards against a control host that ends as it looks for the others."""
    membership = Membership(
        own=Address("10.0.1.1", 7_000),
        seeds=(Address("10.0.1.2", 7_000),),
        pools=cast(ConnectionPools, ForeignPools(body)),
    )

    async def ask() -> None:
        async with asyncio.timeout(timedelta(seconds=5).total_seconds()):
            assert not await membership.ask_to_join(OWN)

    asyncio.run(ask())
