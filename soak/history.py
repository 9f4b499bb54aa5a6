"""What a record says about each run and each job, in the form that the checks ask for."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import timedelta

from .jobs import Plan, read_plan
from .record import Event, EventKind, Phase, Record, read_detail
from .upstreams import RunEnd

REJECTED = (404, 429, 503)
ENDED_STATES = ("completed", "failed", "cancelled")


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a task at one instance of an upstream."""

    start: Event
    end: Event | None = None
    how: RunEnd | None = None
    confirmed: Event | None = None
    """When its end was taken note of: confirmed, with no lapse of the upstream's lease between."""

    @property
    def ended_at(self) -> timedelta:
        """When it ended; in the far future if it runs on."""
        return self.end.at if self.end is not None else timedelta.max

    def has_ended(self, how: RunEnd, until: timedelta) -> bool:
        """Return whether it has ended in this way by then."""
        return self.how is how and self.ended_at <= until


@dataclass(slots=True, kw_only=True)
class Exchange:
    """A caller's request and its answer."""

    sent: Event
    answer: Event | None = None
    status: int = 0
    state: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the answer is a 2xx."""
        return 200 <= self.status < 300


@dataclass(slots=True, kw_only=True)
class Job:
    """All that callers have asked and heard about a job."""

    plan: Plan | None = None
    """None if nobody has submitted it."""
    submissions: list[Exchange] = field(default_factory=list)
    cancels: list[Exchange] = field(default_factory=list)
    reads: list[Exchange] = field(default_factory=list)

    @property
    def accepted(self) -> Event | None:
        """The answer that accepted it first."""
        answers = [each.answer for each in self.submissions if each.answer and each.is_success]
        return min(answers, key=lambda answer: answer.at, default=None)

    @property
    def cancelled(self) -> Event | None:
        """The answer that acknowledged its cancelling first."""
        answers = [each.answer for each in self.cancels if each.answer and each.is_success]
        return min(answers, key=lambda answer: answer.at, default=None)

    def find_shown(self, *states: str) -> list[Event]:
        """Return the answers that showed the job in one of the states."""
        exchanges = [*self.submissions, *self.reads]
        return [each.answer for each in exchanges if each.answer and each.state in states]


class History:
    """Runs by task, jobs, and when there was trouble."""

    def __init__(self, record: Record) -> None:
        self.events = record.events
        self.runs: dict[str, list[Run]] = defaultdict(list)
        """Runs of each task, in the order of their starts."""
        self.jobs: dict[str, Job] = defaultdict(Job)
        self.holders: dict[int, dict[str, Event]] = defaultdict(dict)
        """The first order of each sender, by fencing token and sender."""
        self.disruptions: list[tuple[timedelta, timedelta, Event]] = []
        """When each disruption began and ended, and the event that began it."""
        self._by_key: dict[tuple[str, str, int], Run] = {}
        self._exchanges: dict[int, Exchange] = {}
        self._lapses: dict[str, list[timedelta]] = defaultdict(list)
        for event in self.events:
            self._add(event)
        self._add_disruptions()

    @property
    def ends_at(self) -> timedelta:
        """Time of the last event."""
        return self.events[-1].at if self.events else timedelta()

    def find_plan(self, task: str) -> Plan | None:
        """Return the job that a task belongs to, or None if nobody has submitted it."""
        return self.jobs[task.partition(".")[0]].plan

    def is_calm(self, since: timedelta, until: timedelta) -> bool:
        """Return whether no disruption of a host fell into a time."""
        return not any(
            began <= until and ended >= since
            for began, ended, event in self.disruptions
            if "/" not in event.source
        )

    def _add(self, event: Event) -> None:
        detail = read_detail(event)
        key = (event.source, event.task, event.run)
        match event.kind:
            case EventKind.START:
                self._by_key[key] = Run(start=event)
                self.runs[event.task].append(self._by_key[key])
            case EventKind.END if key in self._by_key:
                run = self._by_key[key]
                run.end, run.how = event, RunEnd(detail["how"])
            case EventKind.LAPSE:
                self._lapses[event.source].append(event.at)
            case EventKind.CONFIRM if key in self._by_key:
                run = self._by_key[key]
                lapses = self._lapses[event.source]
                if not any(run.ended_at <= lapse <= event.at for lapse in lapses):
                    run.confirmed = run.confirmed or event
            case EventKind.HOLDER:
                self.holders[detail["token"]].setdefault(detail["sender"], event)
            case EventKind.SUBMIT | EventKind.CALL:
                self._add_request(event, detail["call"], detail["method"])
            case EventKind.ANSWER:
                exchange = self._exchanges[detail["call"]]
                exchange.answer, exchange.status = event, detail["status"]
                exchange.state = detail.get("state", "")

    def _add_request(self, event: Event, call: int, method: str) -> None:
        exchange = self._exchanges[call] = Exchange(sent=event)
        job = self.jobs[event.job]
        if event.kind is EventKind.SUBMIT:
            job.plan = job.plan or read_plan(event)
            job.submissions.append(exchange)
        else:
            (job.cancels if method == "DELETE" else job.reads).append(exchange)

    def _add_disruptions(self) -> None:
        begun: dict[tuple[str, str], list[Event]] = defaultdict(list)
        for event in self.events:
            if event.kind is not EventKind.DISRUPTION:
                continue
            detail = read_detail(event)
            key = (event.source, str(detail.get("what", "")))
            phase = Phase(detail.get("phase", Phase.MOMENT.value))
            if phase is Phase.BEGIN:
                begun[key].append(event)
            elif phase is Phase.END and begun[key]:
                first = begun[key].pop()
                self.disruptions.append((first.at, event.at, first))
            else:
                self.disruptions.append((event.at, event.at, event))
        left = [event for events in begun.values() for event in events]
        self.disruptions += [(event.at, timedelta.max, event) for event in left]
