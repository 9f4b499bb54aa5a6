"""The other end of `job_line`: jobs that hosts send in batches, and answers kept until they arrive.

Load pattern: all that has waited for a host that decides comes at once. Taken in together, it would
hold the loop up for longer than a gateway bears without a greeting; so some are taken in each turn,
those first that can wait the least.
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
"""Each takes some 0.3 ms with its first start; greetings are answered between turns."""
FORGOTTEN_AFTER = timedelta(seconds=30)
"""A host that is there asks each 0.3 s."""

_MOST_COUNTS = 1 << 52
"""No process begins to count where an earlier one did."""

AnswerCall = Callable[[Call], Awaitable[Answer]]


@dataclass(slots=True, kw_only=True)
class _Line:
    """What has come from one line, and what it has not been told for sure."""

    used_at: timedelta
    count: int
    """Names the counting of its answers."""
    through: int = 0
    """The highest number that has come."""
    given: int = 0
    """How many answers were given."""
    answers: list[tuple[int, NumberedAnswer]] = field(default_factory=list)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    under_way: int = 0


class JobLines:
    """All lines that end at this host."""

    def __init__(
        self,
        *,
        answer: AnswerCall,
        clock: Clock,
        find_slack: Callable[[Submit], float],
    ) -> None:
        """Answer jobs by `answer`, those first for which `find_slack` tells the fewest seconds."""
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
        """Whether a request is for here."""
        return path == ANSWERS_PATH

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a question for answers; raises `msgspec.MsgspecError` if it cannot be read."""
        batch = await self.find_answers(ask_answers_decoder.decode(request.body))
        return HttpResponse(status=200, body=msgspec.json.encode(batch))

    def handle_at_once(self, request: HttpRequest) -> HttpResponse | None:
        """Take a batch of jobs in; None for any other request."""
        if request.path != JOBS_PATH:
            return None
        try:
            self.take(job_batch_decoder.decode(request.body))
        except msgspec.MsgspecError as error:
            return HttpResponse(status=400, body=msgspec.json.encode({"error": str(error)}))
        return HttpResponse(status=200)

    def take(self, batch: JobBatch) -> None:
        """Take jobs in that have not come before."""
        line = self._find_line(batch.caller, batch.channel)
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
        """Return the answers that a line does not have, as soon as there are any."""
        line = self._find_line(ask.caller, ask.channel)
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
        """Begin with the most urgent jobs that wait, and go on in the next turn of the loop."""
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
            # Its caller must not wait for an answer that does not come.
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
