"""Where the processor time of a coordinator goes, by kind of work.

A coordinator that has too little processor time is late with everything at once. Which work took
the time can then be told from a line each second, and from counters.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from types import TracebackType

MS_PER_SECOND = 1_000


class Work(Enum):
    """Kinds of work that are measured; the members do not overlap."""

    DECISIONS = "decisions"
    """Scheduling rounds: what is started, stopped and polled."""
    ORDERS = "orders"
    """Orders to upstreams, up to the moment at which they are written to the socket."""
    UPSTREAM_ANSWERS = "upstream_answers"
    """Handling of decoded answers of upstreams."""
    JOBS = "jobs"
    """Decoding of requests from other hosts and, of job channels, their handling up to the tasks
    that admit the jobs."""
    KEEPALIVES = "keepalives"
    """Keep-alives of gateways."""
    LOG_MESSAGES = "log_messages"
    """Messages of the replicated log, received and sent, with the reports of begun jobs."""


@dataclass(slots=True, kw_only=True)
class WorkAmount:
    """How much work of one kind was done."""

    count: int = 0
    seconds: float = 0.0


class WorkMeter:
    """Time spent by one thread on each kind of work, as long as nothing else preempts it."""

    def __init__(self, *, read_seconds: Callable[[], float]) -> None:
        """Measure by `read_seconds`, a clock in seconds that never goes back."""
        self._read_seconds = read_seconds
        self.total = {work: WorkAmount() for work in Work}
        """Work since the start of the process."""
        self._spans = {
            work: _Span(self._read_seconds, amount) for work, amount in self.total.items()
        }
        self._reported = {work: WorkAmount() for work in Work}
        """Work up to the last call of `take_interval`."""
        self._checked_seconds = dict.fromkeys(Work, 0.0)
        """Time spent up to the last call of `begin_check`."""
        self._decisions: Counter[tuple[str, str]] = Counter()
        """Decisions since then, by name and job."""
        self._is_checked = False
        """Whether `begin_check` is called from time to time, so that these stay few."""

    def measure(self, work: Work) -> _Span:
        """Return a context in which the time counts for a kind of work; it may not be nested."""
        return self._spans[work]

    def count_decision(self, name: str, job: str) -> None:
        """Count a decision about a job; the id is empty for other decisions."""
        if self._is_checked:
            self._decisions[name, job] += 1

    def begin_check(self) -> None:
        """Have `find_longest_work` and `find_most_frequent_decision` count from now on."""
        self._is_checked = True
        self._checked_seconds = {work: amount.seconds for work, amount in self.total.items()}
        self._decisions.clear()

    def find_longest_work(self) -> tuple[Work, float]:
        """Return the kind of work that took most of the time, and its seconds."""
        seconds = {
            work: amount.seconds - self._checked_seconds[work]
            for work, amount in self.total.items()
        }
        longest = max(seconds, key=lambda work: seconds[work])
        return longest, seconds[longest]

    def find_most_frequent_decision(self) -> tuple[str, str, int]:
        """Return the name and the job of the most frequent decision, and its number; 0 if none."""
        if not self._decisions:
            return "", "", 0
        (name, job), count = self._decisions.most_common(1)[0]
        return name, job, count

    def take_interval(self) -> dict[str, int]:
        """Return the work since the last call, as fields of a log line: milliseconds and counts."""
        fields: dict[str, int] = {}
        for work, amount in self.total.items():
            reported = self._reported[work]
            seconds = amount.seconds - reported.seconds
            fields[f"{work.value}_ms"] = round(seconds * MS_PER_SECOND)
            fields[work.value] = amount.count - reported.count
            self._reported[work] = WorkAmount(count=amount.count, seconds=amount.seconds)
        return fields


class _Span:
    """Adds the time between entering and leaving it to an amount of work."""

    __slots__ = ("_amount", "_began_at", "_read_seconds")

    def __init__(self, read_seconds: Callable[[], float], amount: WorkAmount) -> None:
        self._read_seconds = read_seconds
        self._amount = amount
        self._began_at = 0.0

    def __enter__(self) -> None:
        self._began_at = self._read_seconds()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._amount.seconds += self._read_seconds() - self._began_at
        self._amount.count += 1
