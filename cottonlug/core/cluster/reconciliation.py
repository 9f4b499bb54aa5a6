"""Determines when no unknown run of an earlier coordinator can be active any more.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). Runs that an earlier one started go on at their
upstreams. The new one learns of them as the upstreams answer its polls; at those that cannot be
reached, they end with the lease at the latest. Until then the tasks concerned are unknown: they are
not started, since they would run twice.

Answers of all upstreams end that wait early only where the list of upstreams is certain to name all
at which the earlier coordinator may have started something. Leaders start tasks only at upstreams
in the replicated log, so that the next leader knows these. An acting leader orders by a copy of the
records: it may use upstreams that a leader has dropped since, and knows none that joined since.
"""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from .instance_table import InstanceTable
from .open_job import OpenJob, TaskPhase
from .open_jobs import OpenJobs
from .term import Term

MAX_RELEASED_PER_ROUND = 2_000
"""Unknown tasks after which a round releases no further job, some 15 ms of work."""


class Reconciliation:
    """Delays tasks that may be active at an unreachable upstream, unknown to this coordinator."""

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self.is_reconciled = False
        """Whether all leases of earlier terms have ended, or all upstreams have answered.

        A job that comes later from another coordinator has a deadline of its own, see
        `OpenJob.reconcile_at`.
        """
        self.has_more_to_do = False
        """Whether the last `reconcile` left tasks to the next one that may be queued."""
        self._term = term
        self._instances = instances
        self._jobs = jobs

    @property
    def initial_phase(self) -> TaskPhase:
        """The phase for tasks that fall due now, which an earlier coordinator may have started."""
        return TaskPhase.QUEUED if self.is_reconciled else TaskPhase.UNKNOWN

    def may_miss_runs(self, *, of_acting_leaders: bool) -> bool:
        """Return whether a run of another coordinator may be active that no poll has shown.

        With `of_acting_leaders`, runs of acting leaders count as well.
        """
        is_list_certain = self._names_all_upstreams(of_acting_leaders=of_acting_leaders)
        return not is_list_certain or self._instances.may_have_unknown_runs()

    def _names_all_upstreams(self, *, of_acting_leaders: bool) -> bool:
        """Return whether the list here names all upstreams that the other coordinator may use."""
        return self._term.keeps_log and not of_acting_leaders

    def request_recheck(self) -> None:
        """Have the next `reconcile` check for unknown tasks again."""
        self._jobs.may_have_unknown_tasks = True

    def reconcile(self, now: timedelta) -> None:
        """Queue unknown tasks once no run of them by another coordinator can be active.

        Those that an upstream has listed as active are not unknown any more.
        """
        if not self.is_reconciled and (
            not self._instances.unseen or now >= self._term.earlier_leases_lapsed_at
        ):
            self.is_reconciled = True
            self._term.counts.settled_after_ms = to_milliseconds(now - self._term.began_at)
            self._term.log_decision(
                "term_settled", {"term": self._term.token, "unseen": len(self._instances.unseen)}
            )
        self.has_more_to_do = False
        if not self._jobs.may_have_unknown_tasks:
            return
        self._jobs.may_have_unknown_tasks = False
        unpolled = {
            each: self._instances.count_unpolled(of_acting_leaders=each) for each in (False, True)
        }
        left = MAX_RELEASED_PER_ROUND
        for job in list(self._jobs.jobs.values()):
            if not job.has_unknown_tasks():
                continue
            if left <= 0:
                self._jobs.may_have_unknown_tasks = True
                self.has_more_to_do = True
                return
            unknown = len(job.unknown)
            is_of_acting = job.may_be_of_acting_leader
            is_list_certain = self._names_all_upstreams(of_acting_leaders=is_of_acting)
            if is_list_certain and not unpolled[is_of_acting]:
                self._jobs.queue_unknown(job)
            elif now >= job.reconcile_at:
                self._log_released(job, unpolled[is_of_acting], now)
                self._jobs.queue_unknown(job)
            else:
                self._jobs.may_have_unknown_tasks = True
            left -= unknown - len(job.unknown)

    def _log_released(self, job: OpenJob, unpolled: int, now: timedelta) -> None:
        """Log that unknown tasks are queued since their wait is over, not since all was polled."""
        released = len(job.unknown)
        self._term.counts.released_tasks += released
        self._term.log_decision(
            "tasks_released",
            {
                "job": job.record.id,
                "tasks": released,
                "unpolled": unpolled,
                "waited_ms": to_milliseconds(now - job.taken_at),
                "term_ms": to_milliseconds(now - self._term.began_at),
            },
        )
