"""Ends of runs: learnt from, noted in the record, and acted upon."""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .commands import NoteEnds
from .life_table import LifeTable
from .lives import Life
from .model import RunEndKind, RunEndReport, JobId
from .open_job import TaskPhase
from .open_jobs import OpenJobs
from .orders import Run
from .records import JobRecord, note_end
from .settlement import Settlement
from .term import Term


class Ends:
    """What a leader does about ends; those of jobs that must be kept go through the log first."""

    def __init__(
        self, *, term: Term, lives: LifeTable, jobs: OpenJobs, settlement: Settlement
    ) -> None:
        self._term = term
        self._lives = lives
        self._jobs = jobs
        self._settlement = settlement
        self._orphans: dict[JobId, list[RunEndReport]] = {}
        """Ends of jobs that are not known, but may be submitted again."""

    def take_listed(self, life: Life, ended: tuple[RunEndReport, ...], now: timedelta) -> None:
        """Take note of ends that an upstream has listed, here or through the log."""
        new = tuple(end for end in ended if end.number > max(life.proposed, life.noted))
        if not new:
            return
        awaits_record = life.proposed > life.noted
        life.proposed = new[-1].number
        self._term.counts.ends += len(new)
        self._jobs.throughput.record_run_ends(len(new), now)
        kept: list[RunEndReport] = []
        for end in new:
            run = life.remove_run((end.task, end.run))
            if run is not None:
                self._look_for_another(life, run, end)
                self._judge(life, run, end, now)
            self._jobs.mark_recording(end, life.info.id)
            if end.task.job in self._term.records.jobs:
                kept.append(end)
            else:
                self._note_here(end, life.info.id, now)
        if not kept and not awaits_record:
            life.noted = max(life.noted, life.proposed)
            return
        command = NoteEnds(
            upstream=life.info.id,
            through=life.proposed,
            ends=tuple(kept),
            at_ms=self._term.wall_ms(),
        )
        self._term.proposals.append(command)

    def take_noted(self, command: NoteEnds, now: timedelta) -> None:
        """Act on ends that the record has taken note of."""
        life = self._lives.by_id.get(command.upstream)
        if life is not None:
            life.noted = max(life.noted, command.through)
            life.look_due = now
            self._lives.touch(life)
        for end in command.ends:
            self._take_noted_end(end, command.upstream, now)

    def claim(self, record: JobRecord, now: timedelta) -> None:
        """Take note of ends that were listed before their job was submitted again."""
        for end in self._orphans.pop(record.id, []):
            note_end(record, end, self._term.wall_ms())
            self._take_noted_end(end, None, now)

    def forget_orphans(self, now: timedelta) -> None:
        """Forget ends of jobs that nobody has submitted again in time."""
        if self._orphans and not self._lives.is_grace(now):
            self._orphans.clear()

    def _look_for_another(self, life: Life, run: Run, end: RunEndReport) -> None:
        """Learn from a stop that is not ours that another host decides, with a higher token.

        It may have begun the task again by now.
        """
        if end.how is RunEndKind.STOPPED and not run.stop_wanted:
            self._term.is_fenced_off = True
            self._term.note(
                "run_stopped_elsewhere", {"upstream": life.info.id, "job": end.task.job}
            )

    def _judge(self, life: Life, run: Run, end: RunEndReport, now: timedelta) -> None:
        """Learn from the end of a run how fast its kind is, and how well its upstream."""
        health = self._lives.get_health(life)
        job = self._jobs.jobs.get(end.task.job)
        if job is None or run.is_orphan:
            return
        step = job.record.spec.steps[end.task.step]
        queue = job.record.queue.key
        taken = now - run.since
        expected = self._jobs.forecast.predict(queue, step)
        self._term.note(
            "run_ended",
            {
                "job": end.task.job,
                "task": f"{end.task.step}.{end.task.place}",
                "upstream": life.info.id,
                "how": end.how.value,
                "took_ms": to_milliseconds(taken),
                "expected_ms": to_milliseconds(expected),
            },
        )
        if job.record.spec.long_running:
            # How long a task lasts says nothing of its upstream.
            return
        if end.how is RunEndKind.DONE:
            self._jobs.forecast.learn(queue, step, taken)
            job.record_run_time(end.task.step, life.info.id, taken)
            if health.record_success(taken / expected, now):
                self._term.note("upstream_slow", {"upstream": life.info.id})
        elif end.how is RunEndKind.FAILED and health.record_failure(now):
            self._term.note("upstream_failing", {"upstream": life.info.id})

    def _note_here(self, end: RunEndReport, upstream: UpstreamId, now: timedelta) -> None:
        """Take note of an end that need not be kept."""
        job = self._jobs.jobs.get(end.task.job)
        if job is not None:
            note_end(job.record, end, self._term.wall_ms())
            self._take_noted_end(end, upstream, now)
        elif self._lives.is_grace(now):
            self._orphans.setdefault(end.task.job, []).append(end)

    def _take_noted_end(
        self, end: RunEndReport, upstream: UpstreamId | None, now: timedelta
    ) -> None:
        job = self._jobs.jobs.get(end.task.job)
        if job is None:
            return
        if not job.record.is_open:
            self._jobs.close_if_ended(end.task.job, now)
            return
        job.has_begun = True
        task = job.tasks.get(end.task)
        if task is None:
            return
        if job.record.get_task(end.task).is_done:
            # A run that was given up may have ended as done before its lease did.
            if task.phase is TaskPhase.RUNNING and task.life is not None:
                self._lives.want_stop(task.life, end.task, task.run)
            elif task.phase is TaskPhase.QUEUED:
                self._jobs.unqueue(end.task)
            del job.tasks[end.task]
            if job.record.is_step_done(end.task.occurrence, end.task.step):
                self._jobs.unblock(job, end.task.occurrence)
        elif task.phase is TaskPhase.RECORDING and task.is_unknown:
            # An end of one run says nothing of a later one at an upstream not seen yet.
            task.phase = TaskPhase.UNKNOWN
            self._settlement.note_unsure()
        elif task.phase is TaskPhase.RECORDING and task.unrecorded_end == (upstream, end.run):
            # An older end, noted meanwhile, must not free a task whose later run has ended well.
            self._jobs.queue(job, end.task.occurrence, end.task.step, [end.task.place])
