"""Server end of job channels: receives batches of jobs, and holds answers until they have arrived.

Load pattern: all jobs that waited for a coordinator arrive at once. Started together, they would
block the event loop for longer than a gateway tolerates an unanswered keep-alive. So only some are
started in each iteration of the loop, those with the least slack first.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from ..core.clock import Clock
from ..core.cluster.batches import (
    AnswerBatch,
    AskAnswers,
    JobBatch,
    NumberedAnswer,
    ask_answers_decoder,
    job_batch_decoder,
)
from ..core.cluster.calls import Answer, Call, Outcome, Submit
from ..net.asgi import HttpRequest, HttpResponse
from .events import Event, log_event
from .job_line import ANSWERS_KEPT, ANSWERS_PATH, JOBS_PATH

TAKEN_IN_A_TURN = 8
"""Jobs started per iteration of the event loop. Each takes some 0.3 ms including the start of its
first task; keep-alives are answered between iterations."""
FORGOTTEN_AFTER = timedelta(seconds=30)
"""A live host polls every 0.3 s."""

_MOST_COUNTS = 1 << 52
"""Bound of the random first id of a numbering, so that no process reuses that of an earlier one."""

AnswerCall = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True, kw_only=True)
class _Line:
    """Jobs received on one channel, and the answers that are not known to have arrived."""

    used_at: timedelta
    count: int
    """Identifies the numbering of its answers."""
    through: int = 0
    """The highest job number received."""
    given: int = 0
    """Number of answers so far, and thus the number of the last one."""
    answers: list[tuple[int, NumberedAnswer]] = field(default_factory=list)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    under_way: int = 0


class JobLines:
    """All job channels that end at this host."""

    def __init__(
        self,
        *,
        answer: AnswerCall,
        clock: Clock,
        find_slack: Callable[[Submit], float],
    ) -> None:
        """Run jobs by calling `answer`, those with the least slack in seconds first."""
        self._answer = answer
        self._clock = clock
        self._find_slack = find_slack
        self._lines: dict[tuple[str, int], _Line] = {}
        self._waiting: list[tuple[float, int, int, _Line, Submit]] = []
        self._order = itertools.count()
        self._count = random.randrange(_MOST_COUNTS)
        self._is_taking = False
        self._tasks: set[asyncio.Task[None]] = set()

    def handles(self, path: str) -> bool:
        """Return whether a path is that of a poll for answers."""
        return path == ANSWERS_PATH

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a poll for answers; raises `msgspec.MsgspecError` if it cannot be decoded."""
        batch = await self.find_answers(ask_answers_decoder.decode(request.body))
        return HttpResponse(status=200, body=msgspec.json.encode(batch))

    def handle_at_once(self, request: HttpRequest) -> HttpResponse | None:
        """Receive a batch of jobs; None for any other request."""
        if request.path != JOBS_PATH:
            return None
        try:
            self.take(job_batch_decoder.decode(request.body))
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        return HttpResponse(status=200)

    def take(self, batch: JobBatch) -> None:
        """Queue the jobs of a batch that were not received before."""
        line = self._find_line(batch.caller, batch.line)
        now = self._clock.monotonic() / timedelta(seconds=1)
        for job in batch.jobs:
            if job.number <= line.through:
                continue
            line.through = job.number
            line.under_way += 1
            last_use = now + self._find_slack(job.submit)
            entry = (last_use, next(self._order), job.number, line, job.submit)
            heapq.heappush(self._waiting, entry)
        if self._waiting and not self._is_taking:
            self._is_taking = True
            asyncio.get_running_loop().call_soon(self._take_some)

    async def find_answers(self, ask: AskAnswers) -> AnswerBatch:
        """Return the answers that the client lacks, as soon as there are any.

        Returns none after `ANSWER_POLL_WAIT`.
        """
        line = self._find_line(ask.caller, ask.line)
        if ask.count == line.count:
            line.answers = [each for each in line.answers if each[0] > ask.have]
        if not line.answers:
            line.news.clear()
            try:
                async with asyncio.timeout(ANSWERS_KEPT.total_seconds()):
                    await line.news.wait()
            except TimeoutError:
                pass
        answers = tuple(answer for _, answer in line.answers)
        return AnswerBatch(count=line.count, through=line.given, answers=answers)

    def _take_some(self) -> None:
        """Start the most urgent queued jobs, and continue in the next iteration of the loop."""
        for _ in range(min(TAKEN_IN_A_TURN, len(self._waiting))):
            _, _, number, line, submit = heapq.heappop(self._waiting)
            task = asyncio.create_task(self._carry_out(line, number, submit))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._is_taking = bool(self._waiting)
        if self._is_taking:
            asyncio.get_running_loop().call_soon(self._take_some)

    async def _carry_out(self, line: _Line, number: int, submit: Submit) -> None:
        try:
            answer = await self._answer(submit)
        except Exception as error:
            # Without an answer the client would wait until its timeout.
            detail = f"{type(error).__name__}: {error}"
            log_event(Event.CALL_FAILED, call="Submit", path=submit.path, detail=detail)
            answer = Answer(outcome=Outcome.UNKNOWN, detail=detail)
        finally:
            line.under_way -= 1
        line.given += 1
        line.answers.append((line.given, NumberedAnswer(number=number, answer=answer)))
        line.news.set()

    def _find_line(self, caller: str, number: int) -> _Line:
        now = self._clock.monotonic()
        line = self._lines.get((caller, number))
        if line is None:
            self._forget_old(now)
            self._count += 1
            line = self._lines[(caller, number)] = _Line(used_at=now, count=self._count)
        line.used_at = now
        return line

    def _forget_old(self, now: timedelta) -> None:
        self._lines = {
            key: line
            for key, line in self._lines.items()
            if line.under_way or now - line.used_at < FORGOTTEN_AFTER
        }
