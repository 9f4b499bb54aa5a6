"""Client end of a job channel: sends jobs to another host in batches and polls for their answers.

The client is a gateway, the other host the coordinator (which schedules jobs now) or a relay
to it. A job is answered when it has ended.

Load pattern that this is made for: hundreds of gateways, each with some jobs pending at the
coordinator, which may change. With one connection per job, a thousand connections had to be opened
at once, while a host accepts only one in each iteration of its event loop: for seconds after a
change of leader, jobs arrived a second late and were rejected without having been started. A few
connections per host (`JOB_CHANNEL_CONNECTIONS` in `peer_calls`) carry any number of jobs.

A batch without a reply is sent again, and its jobs keep their numbers, by which the other host
recognises them: none is run twice. Answers have numbers of their own. The other host repeats them
until a poll names their numbers as received.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec
from returns.result import Failure as Err

from ..core.cluster.batches import (
    AskAnswers,
    JobBatch,
    NumberedJob,
    answer_batch_decoder,
)
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..net.connections import ConnectionPool
from ..net.transport import HttpReply
from .events import Event, log_event

JOBS_PATH = "/v1/jobs"
ANSWERS_PATH = "/v1/answers"
MAX_BATCH_JOBS = 64
"""A job of 1,000 tasks takes 5 KB, so a batch of such jobs takes a third of a megabyte."""
SEND_TIMEOUT = timedelta(milliseconds=300)
"""A live host replies within a few milliseconds; a connection may be broken without a reset."""
ANSWER_POLL_WAIT = timedelta(milliseconds=300)
"""How long the other host holds a poll for answers until there is one."""
ANSWER_POLL_TIMEOUT = ANSWER_POLL_WAIT + SEND_TIMEOUT
NOT_SENT = "it was not sent"
"""Detail of the answer for a job that was abandoned before it was sent."""
RETRY_SECONDS = 0.02
"""Pause after a batch or a poll that has failed."""
IDLE_SECONDS = 1.0
"""A channel stops polling this long after its last job."""
_COORDINATOR_CHANGED = "the host is no longer the coordinator"
_MAX_CHANNEL_ID = 1 << 53


@dataclass(slots=True)
class _PendingJob:
    """A job whose answer has not arrived."""

    submit: Submit
    answer: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    is_sent: bool = False
    """Whether it may have reached the other host."""
    is_acknowledged: bool = False
    """Whether the other host has acknowledged its receipt, which is not its answer yet."""


class JobChannel:
    """The jobs that this host has sent to another one, or will send as soon as it can.

    `stamp` is called with each job right before it is sent, and returns it with the evidence of
    this gateway's last contact with the coordinator.
    """

    def __init__(
        self,
        *,
        own_address: str,
        open_pool: Callable[[], ConnectionPool],
        stamp: Callable[[Call], Call],
    ) -> None:
        self._own_address = own_address
        self._channel_id = random.randrange(_MAX_CHANNEL_ID)
        self._open_pool = open_pool
        self._stamp = stamp
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingJob] = {}
        self._numbering = self._received_through = 0
        """Up to which number answers have arrived, and the id of the numbering that this belongs
        to: after a restart, for example, the other host numbers its answers anew."""
        self._changed = asyncio.Event()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def submit(self, job: Submit, timeout: timedelta) -> Answer:
        """Have the other host run a job, and return its answer.

        Without one, the outcome is `UNAVAILABLE` if the job was never sent, `UNKNOWN` otherwise.
        """
        number = next(self._numbers)
        item = self._pending[number] = _PendingJob(job)
        self._ensure_tasks()
        self._changed.set()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await item.answer
        except TimeoutError:
            return _build_lost_answer(item, "no reply in time")
        finally:
            del self._pending[number]

    def fail_pending(self) -> None:
        """Stop waiting for all pending jobs, since this host now sends its jobs elsewhere.

        Those that were sent may have been run.
        """
        for item in self._pending.values():
            if not item.answer.done():
                item.answer.set_result(_build_lost_answer(item, _COORDINATOR_CHANGED))

    def close(self) -> None:
        """Stop sending jobs and polling for answers."""
        for task in self._tasks.values():
            task.cancel()

    def _ensure_tasks(self) -> None:
        """Start the send and poll tasks; either may have ended after idling."""
        for name, work in (("send", self._send_forever), ("ask", self._poll_answers_forever)):
            task = self._tasks.get(name)
            if task is None or task.done():
                self._tasks[name] = asyncio.create_task(work())

    async def _send_forever(self) -> None:
        while await self._wait_for_work(self._list_unsent):
            batch = dict(self._list_unsent()[:MAX_BATCH_JOBS])
            if not await self._send(batch):
                await asyncio.sleep(RETRY_SECONDS)

    async def _send(self, batch: dict[int, _PendingJob]) -> bool:
        def encode_batch() -> bytes:
            return self._encode(batch)

        response = await self._open_pool().call(
            "POST", JOBS_PATH, encode_batch, timeout=SEND_TIMEOUT
        )
        if isinstance(response, Err) or response.unwrap().status != 200:
            return False
        for item in batch.values():
            item.is_acknowledged = True
        return True

    def _encode(self, batch: dict[int, _PendingJob]) -> bytes:
        """Encode a batch, with each job stamped at the time of sending.

        Jobs that were given an answer while the batch waited for a connection are left out: their
        callers may have been told that they did not run.
        """
        jobs: list[NumberedJob] = []
        for number, item in batch.items():
            if item.answer.done():
                continue
            stamped = self._stamp(item.submit)
            assert isinstance(stamped, Submit), "stamping must not change the type of a call"
            item.is_sent = True
            jobs.append(NumberedJob(number=number, submit=stamped))
        return msgspec.json.encode(
            JobBatch(caller=self._own_address, channel=self._channel_id, jobs=tuple(jobs))
        )

    async def _poll_answers_forever(self) -> None:
        while await self._wait_for_work(lambda: list(self._pending.items())):
            ask = AskAnswers(
                caller=self._own_address,
                channel=self._channel_id,
                numbering=self._numbering,
                have=self._received_through,
            )
            response = await self._open_pool().call(
                "POST", ANSWERS_PATH, msgspec.json.encode(ask), timeout=ANSWER_POLL_TIMEOUT
            )
            if isinstance(response, Err) or not self._handle_answers(response.unwrap()):
                await asyncio.sleep(RETRY_SECONDS)

    def _handle_answers(self, reply: HttpReply) -> bool:
        """Pass answers to the pending jobs; False if the reply is an error or cannot be decoded."""
        if reply.status != 200:
            return False
        try:
            answers = answer_batch_decoder.decode(reply.body)
        except msgspec.MsgspecError as error:
            log_event(Event.CALL_FAILED, call="AskAnswers", outcome="unknown", detail=str(error))
            return False
        is_known = answers.numbering == self._numbering
        self._received_through = (
            max(self._received_through, answers.through) if is_known else answers.through
        )
        self._numbering = answers.numbering
        for each in answers.answers:
            item = self._pending.get(each.number)
            if item is not None and not item.answer.done():
                item.answer.set_result(each.answer)
        return True

    def _list_unsent(self) -> list[tuple[int, _PendingJob]]:
        return [
            (number, item)
            for number, item in self._pending.items()
            if not (item.is_acknowledged or item.answer.done())
        ]

    async def _wait_for_work(self, find: Callable[[], list[tuple[int, _PendingJob]]]) -> bool:
        """Return True once `find` returns jobs, False if none was pending for `IDLE_SECONDS`."""
        while not find():
            self._changed.clear()
            try:
                async with asyncio.timeout(IDLE_SECONDS):
                    await self._changed.wait()
            except TimeoutError:
                if not self._pending:
                    return False
        return True


def _build_lost_answer(item: _PendingJob, detail: str) -> Answer:
    """Build the outcome of a job that has no answer; `detail` is why, if it was sent."""
    if item.is_sent:
        return Answer(outcome=Outcome.UNKNOWN, detail=detail)
    return Answer(outcome=Outcome.UNAVAILABLE, detail=NOT_SENT)
