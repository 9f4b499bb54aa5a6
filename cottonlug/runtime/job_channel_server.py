"""Server end of job channels: receives batches of jobs, and keeps answers until they have arrived.

A job channel carries the jobs of a gateway to another host, with `job_channel` at the gateway's
end. This host is the coordinator (which schedules jobs now) or a relay to it.

Load pattern: all jobs that waited for a coordinator arrive at once. Started together, they would
block the event loop for longer than a gateway tolerates an unanswered keep-alive. So only some are
started in each iteration of the loop, in the order of `core/cluster/arrivals`.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.clock import Clock, to_milliseconds
from ..core.cluster.arrivals import Arrivals
from ..core.cluster.batches import (
    AnswerBatch,
    AskAnswers,
    JobBatch,
    NumberedAnswer,
    ask_answers_decoder,
    job_batch_decoder,
)
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..core.cluster.forecast import WaitLimits
from ..net.asgi import DeferredResponse, HttpRequest, HttpResponse
from .events import Event, log_event
from .job_channel import ANSWER_POLL_WAIT, ANSWERS_PATH, JOBS_PATH

MAX_STARTS_PER_TURN = 8
"""Jobs started per iteration of the event loop. Each takes some 0.3 ms including the start of its
first task; keep-alives are answered between iterations."""
CHANNEL_RETENTION = timedelta(seconds=30)
"""How long an unused channel is kept; a live host polls every 0.3 s."""

_MAX_FIRST_NUMBERING = 1 << 52
"""Upper bound of the id of this process's first numbering of answers. The id is random, so that it
differs from those of earlier processes at this address."""

AnswerCall = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True, kw_only=True)
class _Channel:
    """Jobs received on one channel, and the answers that are not known to have arrived."""

    used_at: timedelta
    numbering: int
    """Identifies the numbering of its answers."""
    received_through: int = 0
    """The highest job number received."""
    answer_count: int = 0
    """Number of answers so far, and thus the number of the last one."""
    answers: list[tuple[int, NumberedAnswer]] = field(default_factory=list)
    """Answers that the client is not known to have, each with its own number."""
    parked: list[DeferredResponse] = field(default_factory=list)
    """Polls that wait for an answer."""
    is_send_scheduled: bool = False
    """Whether the parked polls are about to be answered."""
    unanswered_count: int = 0
    """Number of jobs received that have no answer yet."""

    def add_answer(self, answer: NumberedAnswer) -> None:
        """Add an answer, and have it sent together with others that are added at the same time."""
        self.answer_count += 1
        self.answers.append((self.answer_count, answer))
        if self.parked and not self.is_send_scheduled:
            self.is_send_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_answers)

    def _send_answers(self) -> None:
        self.is_send_scheduled = False
        parked, self.parked = self.parked, []
        for each in parked:
            each.give(self.build_batch())

    def build_batch(self) -> HttpResponse:
        """Return all answers that the client is not known to have, as a response to a poll."""
        batch = AnswerBatch(
            numbering=self.numbering,
            through=self.answer_count,
            answers=tuple(answer for _, answer in self.answers),
        )
        return HttpResponse(status=200, body=msgspec.json.encode(batch))


@dataclass(slots=True, kw_only=True)
class _ReceivedJob:
    """A job as a channel has brought it."""

    number: int
    """Its number on the channel."""
    channel: _Channel
    submit: Submit


class JobChannelServer:
    """All job channels that end at this host."""

    def __init__(
        self,
        *,
        answer: AnswerCall,
        clock: Clock,
        find_limits: Callable[[Submit], WaitLimits],
    ) -> None:
        """Run jobs by calling `answer`, in an order that depends on how long each may wait."""
        self._answer = answer
        self._clock = clock
        self._find_limits = find_limits
        self._channels: dict[tuple[str, int], _Channel] = {}
        """Channels by the client's address and the channel's id."""
        self._arrivals: Arrivals[_ReceivedJob] = Arrivals()
        """Jobs that are not started yet."""
        self._last_numbering = random.randrange(_MAX_FIRST_NUMBERING)
        self._is_start_scheduled = False
        self._tasks: set[asyncio.Task[None]] = set()

    def handles(self, path: str) -> bool:
        """Return whether a path is one of a job channel."""
        return path in (ANSWERS_PATH, JOBS_PATH)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a job channel."""
        response = self.handle_at_once(request)
        assert response is not None, "the path is one of a job channel"
        return response if isinstance(response, HttpResponse) else await response.wait()

    def handle_at_once(self, request: HttpRequest) -> HttpResponse | DeferredResponse | None:
        """Receive a batch of jobs or a poll for answers; None for any other request."""
        try:
            if request.path == JOBS_PATH:
                self.receive(job_batch_decoder.decode(request.body))
                return HttpResponse(status=200)
            if request.path == ANSWERS_PATH:
                return self.poll_answers(ask_answers_decoder.decode(request.body))
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        return None

    def receive(self, batch: JobBatch) -> None:
        """Queue the jobs of a batch that were not received before."""
        channel = self._get_channel(batch.caller, batch.channel)
        now = self._clock.monotonic()
        for job in batch.jobs:
            if job.number <= channel.received_through:
                continue
            channel.received_through = job.number
            channel.unanswered_count += 1
            self._arrivals.add(
                _ReceivedJob(number=job.number, channel=channel, submit=job.submit),
                waited=timedelta(milliseconds=job.submit.waited_ms),
                limits=self._find_limits(job.submit),
                now=now,
            )
        if len(self._arrivals) and not self._is_start_scheduled:
            self._is_start_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_next)

    def poll_answers(self, ask: AskAnswers) -> HttpResponse | DeferredResponse:
        """Return the answers that the client lacks, or have them sent as soon as there are any.

        The batch is empty if there are none within `ANSWER_POLL_WAIT`.
        """
        channel = self._get_channel(ask.caller, ask.channel)
        if ask.numbering == channel.numbering:
            # Up to the number `have` the client has received them.
            channel.answers = [each for each in channel.answers if each[0] > ask.have]
        if channel.answers:
            return channel.build_batch()
        parked = DeferredResponse()
        channel.parked.append(parked)
        asyncio.get_running_loop().call_later(
            ANSWER_POLL_WAIT.total_seconds(), _expire_poll, channel, parked
        )
        return parked

    def describe_arrivals(self) -> tuple[int, timedelta]:
        """Return how many received jobs were not passed on yet, and for how long the oldest waits.

        It has waited at this host; how long before that is not included.
        """
        return len(self._arrivals), self._arrivals.find_longest_wait(self._clock.monotonic())

    def _start_next(self) -> None:
        """Start some of the jobs, and continue in the next iteration of the loop."""
        now = self._clock.monotonic()
        for _ in range(MAX_STARTS_PER_TURN):
            arrival = self._arrivals.pop(now)
            if arrival is None:
                break
            job = arrival.job
            submit = _add_wait(job.submit, now - arrival.arrived_at)
            task = asyncio.create_task(self._run_job(job.channel, job.number, submit))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._is_start_scheduled = bool(len(self._arrivals))
        if self._is_start_scheduled:
            asyncio.get_running_loop().call_soon(self._start_next)

    async def _run_job(self, channel: _Channel, number: int, submit: Submit) -> None:
        try:
            answer = await self._answer(submit)
        except Exception as error:
            # Without an answer the client would wait until its timeout.
            detail = f"{type(error).__name__}: {error}"
            log_event(Event.CALL_FAILED, call="Submit", path=submit.path, detail=detail)
            answer = Answer(outcome=Outcome.UNKNOWN, detail=detail)
        finally:
            channel.unanswered_count -= 1
        channel.add_answer(NumberedAnswer(number=number, answer=answer))

    def _get_channel(self, caller: str, channel_id: int) -> _Channel:
        now = self._clock.monotonic()
        channel = self._channels.get((caller, channel_id))
        if channel is None:
            self._drop_idle(now)
            self._last_numbering += 1
            channel = self._channels[(caller, channel_id)] = _Channel(
                used_at=now, numbering=self._last_numbering
            )
        channel.used_at = now
        return channel

    def _drop_idle(self, now: timedelta) -> None:
        self._channels = {
            key: channel
            for key, channel in self._channels.items()
            if channel.unanswered_count or now - channel.used_at < CHANNEL_RETENTION
        }


def _add_wait(submit: Submit, wait: timedelta) -> Submit:
    """Return a submission whose waiting time includes that at this host."""
    wait_ms = to_milliseconds(wait)
    if not wait_ms:
        return submit
    return msgspec.structs.replace(submit, waited_ms=submit.waited_ms + wait_ms)


def _expire_poll(channel: _Channel, parked: DeferredResponse) -> None:
    """Answer a poll that has waited long enough with what there is."""
    if not parked.is_given:
        channel.parked.remove(parked)
        parked.give(channel.build_batch())
