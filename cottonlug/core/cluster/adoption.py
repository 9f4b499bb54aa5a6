"""Adopts runs that the current coordinator did not start.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules where no leader can be reached). When it takes over, runs of an earlier coordinator
go on at their upstreams, which list them in their answers to polls. A run whose job is known is
adopted: it goes on as if this coordinator had started it. One whose job is unknown is orphaned; its
gateway may yet submit the job here.
"""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from .instance_table import InstanceTable
from .instances import Instance
from .model import JobId, Needs, RunReport
from .open_job import OpenJob, TaskPhase
from .open_jobs import OpenJobs
from .orders import Run, RunPhase
from .records import JobRecord
from .term import Term


class RunAdopter:
    """Lets runs that another coordinator started continue if their jobs are known."""

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs

    def handle_listed_run(self, instance: Instance, report: RunReport, now: timedelta) -> None:
        """Record that an upstream lists a run as active.

        A run that this coordinator did not start is adopted if its job is open and has the task. If
        its job is unknown, it is tolerated for a short while at the beginning of the term, or if it
        is left to a leader. Otherwise it is stopped.
        """
        key = (report.task, report.run)
        run = instance.runs.get(key)
        if run is not None:
            _update_progress(run, report, now)
            return
        opened = self._jobs.jobs.get(report.task.job)
        record = opened.record if opened is not None else self._find_record(report.task.job)
        step = record.spec.find_step(report.task) if record is not None else None
        run = Run(
            task=report.task,
            run=report.run,
            needs=step.needs if step is not None else Needs(),
            phase=RunPhase.RUNNING,
            since=now,
            percent=report.percent,
            first_percent=report.percent,
            seen_at=now,
            advanced_at=now,
            is_orphaned=record is None,
            # The host that has the job now, or gets it from its caller, may not be this one, and
            # then relies on this lease running out.
            is_disputed=record is None,
        )
        instance.add_run(run)
        if run.is_orphaned:
            self._instances.may_have_orphaned_runs = True
        # An earlier coordinator may have renewed the lease until this answer was given.
        instance.lapse_at = max(instance.lapse_at, now + self._term.lease.lapse_after)
        if opened is not None and step is not None:
            self._adopt(opened, instance, run)
        elif not self._is_tolerated(run, now):
            run.stop_requested = True

    def _find_record(self, job: JobId) -> JobRecord | None:
        return self._term.records.jobs.get(job)

    def _is_tolerated(self, run: Run, now: timedelta) -> bool:
        """Return whether a run without an open job may go on for now."""
        if not run.is_orphaned:
            return False
        is_left_to_leader = self._term.is_left_to_leader(run.run)
        return is_left_to_leader or self._instances.is_in_grace_period(now)

    def adopt_orphaned_run(self, job: OpenJob, instance: Instance, run: Run) -> None:
        """Adopt a run whose job has just become known."""
        instance.remove_run((run.task, run.run))
        steps = job.record.spec.steps
        if run.task.step < len(steps):
            run.needs = steps[run.task.step].needs
        run.is_orphaned = run.is_disputed = False
        instance.add_run(run)
        self._adopt(job, instance, run)

    def _adopt(self, job: OpenJob, instance: Instance, run: Run) -> None:
        """Let a run continue that another host started, or stop it if its task awaits no run."""
        self._jobs.open_through(job, run.task.occurrence, run.since)
        task = job.tasks.get(run.task)
        if task is not None and task.phase is TaskPhase.RECORDING:
            # Whether the task needs this run depends on the end that is being recorded.
            return
        if task is not None and task.is_current_run(run.run, instance.info.id):
            return
        unassigned_phases = (TaskPhase.UNKNOWN, TaskPhase.QUEUED)
        if task is None or task.phase not in unassigned_phases:
            run.stop_requested = True
            self._log_doubled(instance, run)
            return
        # Even a run that is being stopped is adopted: no other run of the task may begin until this
        # one has ended.
        if task.phase is TaskPhase.QUEUED:
            self._jobs.backlog.remove_task(run.task)
        # Once this run has ended, the host that started it may start the task again, at an upstream
        # that has not answered here yet.
        task.may_run_elsewhere = task.may_run_elsewhere or task.phase is TaskPhase.UNKNOWN
        job.follow_run(run.task, run.run, instance.info.id)
        job.has_begun = True

    def _log_doubled(self, instance: Instance, run: Run) -> None:
        """Log that an upstream lists a run of a task beside which another one is active."""
        others = [
            each
            for each in self._instances.active_runs.find_all(run.task)
            if (each.run, each.upstream) != (run.run, instance.info.id)
        ]
        if not others:
            return
        self._term.counts.doubled_runs += 1
        self._term.log_decision(
            "run_doubled",
            {
                "job": run.task.job,
                "task": f"{run.task.step}.{run.task.task_index}",
                "run": run.run,
                "upstream": instance.info.id,
                "other_run": others[-1].run,
                "other_upstream": others[-1].upstream,
                "term_ms": to_milliseconds(run.since - self._term.began_at),
            },
        )


def _update_progress(run: Run, report: RunReport, now: timedelta) -> None:
    """Update a known run that its upstream lists as active."""
    if report.percent > run.percent or run.phase is not RunPhase.RUNNING:
        run.advanced_at = now
    run.percent = report.percent
    run.seen_at = now
    run.phase = RunPhase.RUNNING
