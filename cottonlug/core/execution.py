"""The upstream's side of the exchange protocol: links to entry hosts, credit and held tasks.

An upstream keeps one link to each entry host (a host that accepts callers' jobs) of its failure
domain and divides its slots among them as credit: the number of unfinished starts that it accepts
from that host. It alone decides what runs, so no two hosts can compete for the same slot. A link
has one session at a time. Any transport error ends it: later replies to it are ignored, and the
next session reports which tasks are held, i.e. received and not finished: waiting or running.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from msgspec import Raw

from .clock import to_milliseconds
from .ids import (
    HostId,
    Incarnation,
    KindName,
    SessionNumber,
    SubmissionId,
    TaskKey,
    UpstreamId,
)
from .invariants import require
from .messages import (
    Announcement,
    ExchangeReply,
    ExchangeRequest,
    ResultGroup,
    TaskName,
    TaskResult,
)
from .states import ResultStatus

MAX_OPEN_REQUESTS = 2
"""Per link: one that the host may park, and meanwhile one for results and new credit."""
NULL_VALUE = Raw(b"null")


@dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """A task that this upstream was told to start.

    Of the waiting tasks the one with the lowest `rank_ms`, on this upstream's clock, starts first.
    """

    key: TaskKey
    host: HostId
    kind: KindName
    payload: Raw
    timeout_ms: int
    rank_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Delays:
    """How long results are delayed to be sent together, and how many starts are prefetched.

    `prefetch` is the credit that a host with a backlog gets beyond its slots. `coalesce` is the
    delay while at least half of the slots are busy. `hold` is the delay while the host has no
    backlog and every pending result is a success of a submission with more tasks held here: the
    submission's answer cannot be complete before those end.
    """

    prefetch: int = 2
    coalesce: timedelta = timedelta(milliseconds=4)
    hold: timedelta = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class AssignmentResult:
    """The result of one assignment, to be reported to its host."""

    key: TaskKey
    result: TaskResult


@dataclass(slots=True, kw_only=True)
class Link:
    """State of the link to one entry host.

    `announced` says that the session has sent its first request. `backlog` and `draining` are from
    the host's last reply, `reported_credit` and `reported_leaving` from the last request.
    `closing_seq` is the request that closes the session, once it is sent; `closed` that it was
    answered. `pending` results are still to be sent; `unacknowledged` are by the request with which
    they were sent.
    """

    host: HostId
    session: int = 0
    next_seq: int = 1
    announced: bool = False
    backlog: int = 0
    draining: bool = False
    reported_credit: int = -1
    reported_leaving: bool = False
    closing_seq: int | None = None
    closed: bool = False
    pending: list[AssignmentResult] = field(default_factory=list)
    pending_since: timedelta = timedelta()
    unacknowledged: dict[int, list[AssignmentResult]] = field(default_factory=dict)

    @property
    def open_requests(self) -> int:
        """Number of this session's requests that wait for a reply."""
        return len(self.unacknowledged)


class Executor:
    """State of one upstream: its waiting and running tasks, and its links."""

    def __init__(
        self,
        *,
        upstream: UpstreamId,
        incarnation: Incarnation,
        announcement: Announcement,
        hosts: Iterable[HostId],
        delays: Delays,
    ) -> None:
        self.upstream = upstream
        self.announcement = announcement
        self.links = {host: Link(host=host) for host in hosts}
        self.leaving = False
        self.running: dict[TaskKey, Assignment] = {}
        self.waiting: dict[TaskKey, Assignment] = {}
        self.pending_stops: deque[TaskKey] = deque()
        self._held_counts: Counter[SubmissionId] = Counter()
        self._incarnation = incarnation
        self._delays = delays

    def begin_session(self, link: Link) -> None:
        """Begin a new session on a link; replies to the link's earlier sessions are then ignored.

        Its first request announces the upstream, reports the tasks that it holds for this host and
        sends the results again that the host has not acknowledged.
        """
        link.session += 1
        link.next_seq = 1
        link.announced = False
        link.reported_leaving = False
        link.closing_seq = None
        for results in link.unacknowledged.values():
            link.pending.extend(results)
        link.unacknowledged = {}

    def get_credit(self, link: Link) -> int:
        """Return this link's credit: its share of the slots and, with a backlog, the prefetch.

        Hosts with a backlog share all slots but one for each host without, which gets that one.
        """
        if self.leaving or link.draining:
            return 0
        slots = self.announcement.slots
        open_links = [other for other in self.links.values() if not other.draining]
        backlogged = [other for other in open_links if other.backlog > 0]
        if not backlogged:
            return _compute_share(slots, open_links, link)
        idle = len(open_links) - len(backlogged)
        if link.backlog == 0:
            return 1
        return (
            max(1, _compute_share(max(slots - idle, 1), backlogged, link)) + self._delays.prefetch
        )

    def find_next_request_time(self, link: Link) -> timedelta | None:
        """Return when to send the link's next request, or None if nothing calls for one yet.

        A time in the past, such as 0, means at once.
        """
        if link.open_requests == 0:
            return timedelta()
        if link.open_requests >= MAX_OPEN_REQUESTS or not self.has_updates(link):
            return None
        if not link.pending or self.leaving:
            return timedelta()
        return link.pending_since + self._get_report_delay(link)

    def has_updates(self, link: Link) -> bool:
        """Whether there is something to send although a request is already open."""
        if link.pending or self.get_credit(link) > link.reported_credit:
            return True
        return self.leaving and (not link.reported_leaving or self._may_close(link))

    def build_request(self, link: Link) -> ExchangeRequest:
        """Return the link's next request; the reply to it acknowledges the results in it."""
        require(link.open_requests < MAX_OPEN_REQUESTS, "too many open requests on one link")
        results = link.pending
        link.pending = []
        link.unacknowledged[link.next_seq] = results
        link.reported_credit = self.get_credit(link)
        is_first = not link.announced
        link.reported_leaving = self.leaving
        closing = self.leaving and not self._holds_any(link)
        if closing:
            link.closing_seq = link.next_seq
        request = ExchangeRequest(
            upstream=self.upstream,
            incarnation=self._incarnation,
            session=SessionNumber(link.session),
            seq=link.next_seq,
            credit=link.reported_credit,
            announce=self.announcement if is_first else None,
            held=self._list_held(link) if is_first else [],
            results=_group_results(results),
            leaving=self.leaving,
            closing=closing,
        )
        link.announced = True
        link.next_seq += 1
        return request

    def handle_reply(self, link: Link, session: int, reply: ExchangeReply, now: timedelta) -> None:
        """Process a reply, unless its session has been abandoned since."""
        if session != link.session or reply.seq not in link.unacknowledged:
            return
        del link.unacknowledged[reply.seq]
        link.closed = reply.seq == link.closing_seq
        link.backlog = reply.backlog
        link.draining = reply.draining
        now_ms = to_milliseconds(now)
        for group in reply.starts:
            for start in group.tasks:
                key = TaskKey(group.submission, start.index, start.attempt)
                require(key not in self.running, "a running task must not be started again")
                assignment = Assignment(
                    key=key,
                    host=link.host,
                    kind=group.kind,
                    payload=start.payload,
                    timeout_ms=group.timeout_ms,
                    rank_ms=now_ms + group.rank_ms,
                )
                self.waiting[key] = assignment
                self._held_counts[key.submission] += 1
        if self.leaving:
            self.return_waiting_tasks()
        for name in reply.stops:
            self._stop(TaskKey(name.submission, name.index, name.attempt))

    def start_next(self) -> Assignment | None:
        """Mark the waiting task of lowest rank as running and return it, to be run by the caller.

        None if no task waits or no slot is free.
        """
        if not self.waiting or len(self.running) >= self.announcement.slots:
            return None
        key = min(self.waiting, key=lambda waiting: self.waiting[waiting].rank_ms)
        assignment = self.waiting.pop(key)
        self.running[key] = assignment
        return assignment

    def finish(
        self, key: TaskKey, status: ResultStatus, value: Raw, ran_us: int, now: timedelta
    ) -> HostId:
        """Record the end of a running task and return the host that its result is reported to."""
        assignment = self.running.pop(key)
        link = self.links[assignment.host]
        if not link.pending:
            link.pending_since = now
        self._report(assignment, status, value, ran_us)
        return assignment.host

    def leave(self) -> None:
        """Stop accepting work and return the tasks that have not started."""
        self.leaving = True
        self.return_waiting_tasks()

    def return_waiting_tasks(self) -> None:
        """Report every waiting task as not started."""
        for assignment in list(self.waiting.values()):
            del self.waiting[assignment.key]
            self._report(assignment, ResultStatus.NOT_STARTED, NULL_VALUE, 0)

    def is_done(self) -> bool:
        """Whether a leaving upstream holds nothing and has nothing left to report."""
        if self.running or self.waiting:
            return False
        return not any(
            link.pending or any(link.unacknowledged.values()) for link in self.links.values()
        )

    def _get_report_delay(self, link: Link) -> timedelta:
        """Return how long pending results wait for others to be sent with them (see `Delays`)."""
        if link.backlog == 0 and all(self._may_delay(item) for item in link.pending):
            return self._delays.hold
        if 2 * len(self.running) >= self.announcement.slots:
            return self._delays.coalesce
        return timedelta()

    def _may_delay(self, item: AssignmentResult) -> bool:
        """Whether a result may be delayed: a success of a submission with more tasks held here."""
        if item.result.status is not ResultStatus.SUCCEEDED:
            return False
        return self._held_counts[item.key.submission] > 0

    def _stop(self, key: TaskKey) -> None:
        waiting = self.waiting.pop(key, None)
        if waiting is not None:
            self._report(waiting, ResultStatus.NOT_STARTED, NULL_VALUE, 0)
        elif key in self.running:
            self.pending_stops.append(key)

    def _report(
        self, assignment: Assignment, status: ResultStatus, value: Raw, ran_us: int
    ) -> None:
        key = assignment.key
        self._held_counts[key.submission] -= 1
        if not self._held_counts[key.submission]:
            del self._held_counts[key.submission]
        result = TaskResult(key.task, key.attempt, status, value, ran_us)
        self.links[assignment.host].pending.append(AssignmentResult(key, result))

    def _list_held(self, link: Link) -> list[TaskName]:
        held = [*self.waiting.values(), *self.running.values()]
        return [TaskName(*item.key) for item in held if item.host == link.host]

    def _may_close(self, link: Link) -> bool:
        return link.closing_seq is None and not self._holds_any(link)

    def _holds_any(self, link: Link) -> bool:
        held = [*self.waiting.values(), *self.running.values()]
        return any(item.host == link.host for item in held)


def _compute_share(slots: int, links: list[Link], link: Link) -> int:
    """Return a link's equal share of the slots, at least 1; the first links get what remains."""
    position = next((at for at, other in enumerate(links) if other is link), 0)
    share, rest = divmod(slots, len(links))
    return max(1, share + (1 if position < rest else 0))


def _group_results(results: list[AssignmentResult]) -> list[ResultGroup]:
    groups: dict[str, ResultGroup] = {}
    for item in results:
        id = item.key.submission
        group = groups.get(id)
        if group is None:
            group = ResultGroup(submission=id, results=[])
            groups[id] = group
        group.results.append(item.result)
    return list(groups.values())
