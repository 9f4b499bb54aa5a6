"""What an earlier leader may have left at work, and when that is surely over."""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from .life_table import LifeTable
from .open_job import TaskPhase
from .open_jobs import OpenJobs
from .term import Term


class Settlement:
    """Tasks of which it is not known whether they run at an upstream out of sight."""

    def __init__(self, *, term: Term, lives: LifeTable, jobs: OpenJobs) -> None:
        self.is_settled = False
        """Whether all leases of earlier terms have ended, or all upstreams were seen."""
        self._term = term
        self._lives = lives
        self._jobs = jobs

    @property
    def first_phase(self) -> TaskPhase:
        """The phase of a task that comes up now and may have been begun by an earlier leader."""
        return TaskPhase.QUEUED if self.is_settled else TaskPhase.UNKNOWN

    def is_unsure(self, *, of_deputies: bool) -> bool:
        """Whether a run of another leader, or of a deputy as well, may be at work out of sight."""
        return self._lives.is_any_unseen(of_deputies=of_deputies)

    def note_unsure(self) -> None:
        """Look again whether tasks are unknown."""
        self._jobs.may_have_unknown_tasks = True

    def settle(self, now: timedelta) -> None:
        """Once nothing unknown can run any more, queue what an earlier leader left open."""
        if not self.is_settled and (not self._lives.unseen or now >= self._term.lapsed_at):
            self.is_settled = True
            self._term.counts.settled_after_ms = to_milliseconds(now - self._term.began_at)
            self._term.note(
                "term_settled", {"term": self._term.number, "unseen": len(self._lives.unseen)}
            )
        if not self._jobs.may_have_unknown_tasks:
            return
        self._jobs.may_have_unknown_tasks = False
        is_unsure = {each: self.is_unsure(of_deputies=each) for each in (False, True)}
        for job in self._jobs.jobs.values():
            if now >= job.reconcile_at or not is_unsure[job.may_be_of_acting_leader]:
                self._jobs.queue_unknown(job)
            elif job.has_unknown_tasks():
                self._jobs.may_have_unknown_tasks = True
