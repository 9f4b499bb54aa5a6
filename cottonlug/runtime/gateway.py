"""An entry host of the cluster: passes callers' requests to the leader and answers them whole."""

from __future__ import annotations

import asyncio
from datetime import timedelta

import msgspec
from returns.result import Failure as Err
from returns.result import Result

from ..config.cluster import GatewaySettings
from ..config.options import Address
from ..core.clock import Clock, to_milliseconds
from ..core.cluster.calls import (
    Abandon,
    Answer,
    Call,
    Greet,
    Outcome,
    Submit,
    answer_decoder,
)
from ..net.clients import HttpReply, TransportError
from ..net.connections import ConnectionPools, parse_address
from .control_host import CALL_PATH
from .events import Event, log_event

GREET_SECONDS = 0.25
GREET_TIMEOUT = timedelta(milliseconds=400)
READY_FOR = timedelta(milliseconds=1_200)
"""A host is ready for callers for so long after it last reached the leader."""
RETRY_SECONDS = 0.05
ABANDON_PATIENCE = timedelta(milliseconds=500)
LEAST_TIME = timedelta(milliseconds=20)
"""With less time left a call is not tried again."""
DEFAULT_MAX_BODY_BYTES = 262_144
_ORDINARY = (Outcome.DONE, Outcome.NO_QUEUE, Outcome.NO_JOB)


class Gateway:
    """State of one entry host."""

    def __init__(self, *, settings: GatewaySettings, clock: Clock) -> None:
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.is_stopping = False
        self._clock = clock
        self._pools = ConnectionPools()
        self._hosts: list[str] = [str(seed) for seed in settings.seeds]
        self._leader: str | None = None
        self._reached_at: timedelta | None = None
        self._was_ready = False
        self._greeting: asyncio.Task[None] | None = None
        self._turn = 0
        self._background: set[asyncio.Task[Answer]] = set()
        self._lost: dict[str, asyncio.Event] = {}
        """For each host, set when calls that it has not answered are to be sent elsewhere."""

    def start(self) -> None:
        """Begin to look for the leader."""
        self._greeting = asyncio.create_task(self._greet_forever())

    def stop(self) -> None:
        """Stop and close all connections."""
        if self._greeting is not None:
            self._greeting.cancel()
        self._pools.close()

    def is_ready(self) -> bool:
        """Whether callers' requests can be carried out here at the moment."""
        if self.is_stopping or self._reached_at is None:
            return False
        return self._clock.monotonic() - self._reached_at < READY_FOR

    @property
    def leader(self) -> str | None:
        """Address of the leader, where it is known."""
        return self._leader

    @property
    def hosts(self) -> list[str]:
        """Addresses of the known control hosts."""
        return self._hosts

    def use_seeds(self, seeds: list[Address]) -> None:
        """Look for control hosts at these addresses, too."""
        self._hosts = sorted({*self._hosts, *(str(seed) for seed in seeds)})

    def abandon(self, call: Submit) -> None:
        """Tell the leader that a caller has left; nobody waits for the answer."""
        task = asyncio.create_task(
            self._call(Abandon(host=call.host, path=call.path), ABANDON_PATIENCE)
        )
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def call(self, call: Call, patience: timedelta) -> Answer:
        """Have the leader carry out a call, and log what was not carried out."""
        began_at = self._clock.monotonic()
        answer = await self._call(call, patience)
        if answer.outcome not in _ORDINARY:
            log_event(
                Event.CALL_FAILED,
                call=type(call).__name__,
                path=getattr(call, "path", ""),
                outcome=answer.outcome.value,
                detail=answer.detail,
                took_ms=to_milliseconds(self._clock.monotonic() - began_at),
            )
        return answer

    async def _call(self, call: Call, patience: timedelta) -> Answer:
        """Try a call until it is answered for good; every call may be sent twice."""
        give_up_at = self._clock.monotonic() + patience
        is_unknown = False
        while True:
            left = give_up_at - self._clock.monotonic()
            if left < LEAST_TIME:
                break
            answer = await self._try(call, left)
            if answer.outcome not in (Outcome.UNAVAILABLE, Outcome.UNKNOWN):
                return answer
            if answer.outcome is Outcome.UNKNOWN:
                is_unknown = True
                if isinstance(call, Submit):
                    call = msgspec.structs.replace(call, may_have_begun=True)
            await asyncio.sleep(RETRY_SECONDS)
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.UNAVAILABLE
        return Answer(outcome=outcome, detail="no leader could be reached in time")

    async def _try(self, call: Call, timeout: timedelta) -> Answer:
        host = self._choose_host()
        address = parse_address(host)
        if address is None:
            return Answer(outcome=Outcome.UNAVAILABLE, detail=f"{host} is not an address")
        sent = await self._send(host, address, call, timeout)
        if sent is None:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} does not lead any more")
        if isinstance(sent, Err):
            error = sent.failure()
            self._leave_host(host)
            outcome = Outcome.UNAVAILABLE if error.unsent else Outcome.UNKNOWN
            return Answer(outcome=outcome, detail=error.message)
        reply = sent.unwrap()
        if reply.status != 200:
            self._leave_host(host)
            return Answer(outcome=Outcome.UNKNOWN, detail=f"{host} answered {reply.status}")
        answer = answer_decoder.decode(reply.body)
        self._learn(answer)
        if answer.outcome is Outcome.UNAVAILABLE:
            self._leave_host(host)
        return answer

    async def _send(
        self, host: str, address: Address, call: Call, timeout: timedelta
    ) -> Result[HttpReply, TransportError] | None:
        """Send a call; None where the host was lost before it answered."""
        lost = self._lost.setdefault(host, asyncio.Event())
        body = msgspec.json.encode(call)
        pool = self._pools.get(address)
        sending = asyncio.create_task(pool.call("POST", CALL_PATH, body, timeout=timeout))
        losing = asyncio.create_task(lost.wait())
        try:
            await asyncio.wait([sending, losing], return_when=asyncio.FIRST_COMPLETED)
            return sending.result() if sending.done() else None
        finally:
            sending.cancel()
            losing.cancel()

    def _choose_host(self) -> str:
        """Return the leader where it is known, otherwise any control host in turn."""
        if self._leader is not None:
            return self._leader
        return self._hosts[self._turn % len(self._hosts)]

    def _leave_host(self, host: str) -> None:
        if self._leader == host:
            self._leader = None
            self._lose(host)
        self._turn += 1

    def _lose(self, host: str) -> None:
        """Have all calls that a host has not answered sent elsewhere."""
        lost = self._lost.pop(host, None)
        if lost is not None:
            lost.set()

    def _learn(self, answer: Answer) -> None:
        if answer.hosts:
            self._hosts = sorted({*answer.hosts})
        if answer.leader is not None and answer.leader != self._leader:
            if self._leader is not None:
                self._lose(self._leader)
            self._leader = answer.leader
        if answer.max_body_bytes is not None:
            self.max_body_bytes = answer.max_body_bytes

    async def _greet_forever(self) -> None:
        while True:
            answer = await self._try(Greet(), GREET_TIMEOUT)
            if answer.outcome is Outcome.DONE:
                self._reached_at = self._clock.monotonic()
            if self.is_ready() != self._was_ready:
                self._was_ready = self.is_ready()
                log_event(Event.READINESS_CHANGED, ready=self._was_ready, detail=answer.detail)
            await asyncio.sleep(GREET_SECONDS)
