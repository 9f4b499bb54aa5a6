"""Which best-effort jobs the leaders before have begun, as known to the other control hosts.

Best-effort jobs are in no log, so that a new leader knows only those which gateways submit to it.
A caller may send its job to another gateway while the first one still waits for it; the second
gateway then submits the job as a new one. So a leader reports the jobs that it begins to all other
control hosts, together with the messages of the log. The host that leads next does not start a
reported job again before it knows what has become of its runs.

No start waits for a report. What a leader has begun in its last milliseconds, or since it last
reached the host that leads next, is not known to that one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from ..messages import Message
from .model import JobId

REPORT_ALL_INTERVAL = timedelta(seconds=1)
"""How often a leader reports all jobs with active runs, in place of those newly begun."""
MAX_REPORT_AGE = timedelta(seconds=1)
"""The next leader knows nothing for certain if it last heard from this one longer ago. A leader is
replaced within 0.7 s; this one may have gone on with other hosts, and begun more."""
REPORTED_FOR = REPORT_ALL_INTERVAL + timedelta(seconds=3)
"""How long a reported job is remembered: until the next report of all, and then for longer than any
lease of its runs."""


class BegunReport(Message):
    """Best-effort jobs that the leader of a term has begun."""

    term: int
    jobs: tuple[JobId, ...]
    is_complete: bool = False
    """Whether these are all that may have active runs, also of earlier leaders, and not only those
    begun since the last report."""


class BegunJobs:
    """Jobs that leaders have reported as begun to this host."""

    def __init__(self) -> None:
        self._term = 0
        """The term of the newest leader that has sent a report."""
        self._is_complete = False
        """Whether all jobs that this leader had begun by its last report are known here."""
        self._heard_at = timedelta()
        """When its last report arrived."""
        self._reported_at: dict[JobId, timedelta] = {}

    def receive(self, report: BegunReport, now: timedelta) -> None:
        """Record a report, unless one of a later term has arrived before."""
        if report.term < self._term:
            return
        if report.term > self._term:
            self._term = report.term
            self._is_complete = False
        self._is_complete = self._is_complete or report.is_complete
        self._heard_at = now
        self._reported_at |= dict.fromkeys(report.jobs, now)
        if report.is_complete:
            limit = now - REPORTED_FOR
            self._reported_at = {id: at for id, at in self._reported_at.items() if at >= limit}

    def find_begun(self, term: int, now: timedelta) -> frozenset[JobId] | None:
        """Return the jobs that may have active runs; None if that is not known here.

        `term` is that of the last leader. If its reports have not arrived here, or not lately, any
        job may be one that it has begun.
        """
        if term != self._term or not self._is_complete:
            return None
        if now - self._heard_at > MAX_REPORT_AGE:
            return None
        return frozenset(self._reported_at)


class BegunReporter:
    """What the leader of a term has yet to report to each other control host."""

    def __init__(self, *, term: int, list_begun: Callable[[], Iterable[JobId] | None]) -> None:
        self._term = term
        self._list_begun = list_begun
        """Lists the best-effort jobs that may have active runs, None if this leader does not know:
        see `Dispatch.list_begun`."""
        self._unreported: dict[str, set[JobId]] = {}
        """Jobs begun since the last report, by the host that is to be told of them."""
        self._recent: set[JobId] = set()
        """Jobs that were recorded lately, which are reported once for all their runs."""
        self._complete_at: dict[str, timedelta] = {}
        """When all jobs were last reported to a host, if no later report to it was lost."""
        self._refused_by: set[str] = set()
        """Hosts of an earlier version, which refuse messages with a report."""

    def record_begun(self, job: JobId) -> bool:
        """Record that a run of a job is active now; return whether that is to be reported."""
        if job in self._recent:
            return False
        self._recent.add(job)
        for unreported in self._unreported.values():
            unreported.add(job)
        return True

    def has_news(self, host: str) -> bool:
        """Return whether jobs have begun that have not been reported to a host."""
        return host not in self._refused_by and bool(self._unreported.get(host))

    def build_report(self, host: str, now: timedelta) -> BegunReport | None:
        """Return the next report to a host; None if that does not understand reports.

        A report without jobs tells that no more have begun.
        """
        if host in self._refused_by:
            return None
        complete_at = self._complete_at.get(host)
        unreported = self._unreported.get(host, set())
        self._unreported[host] = set()
        if complete_at is None or now >= complete_at + REPORT_ALL_INTERVAL:
            begun = self._list_begun()
            self._recent.clear()
            if begun is not None:
                self._complete_at[host] = now
                return BegunReport(term=self._term, jobs=tuple(begun), is_complete=True)
        return BegunReport(term=self._term, jobs=tuple(unreported))

    def handle_lost_report(self, host: str, *, is_refused: bool) -> None:
        """Report all jobs next time, since a report to a host may not have arrived."""
        self._complete_at.pop(host, None)
        if is_refused:
            self._refused_by.add(host)
