"""Adopts runs that the current leader did not start."""

from __future__ import annotations

from datetime import timedelta

from .instance_table import InstanceTable
from .instances import Instance
from .model import Needs, RunReport
from .open_job import OpenJob, TaskPhase
from .open_jobs import OpenJobs
from .orders import Run, RunPhase
from .term import Term


class RunAdopter:
    """Lets runs that another leader or acting leader started continue if their jobs are known."""

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs

    def handle_listed_run(self, instance: Instance, report: RunReport, now: timedelta) -> None:
        """Record that a run is active.

        A run that this leader did not start is adopted, tolerated for a while, or stopped.
        """
        key = (report.task, report.run)
        run = instance.runs.get(key)
        if run is not None:
            _update_progress(run, report, now)
            return
        job = self._jobs.jobs.get(report.task.job)
        record = job.record if job is not None else self._term.records.jobs.get(report.task.job)
        steps = record.spec.steps if record is not None else ()
        is_step_known = report.task.step < len(steps)
        run = Run(
            task=report.task,
            run=report.run,
            needs=steps[report.task.step].needs if is_step_known else Needs(),
            phase=RunPhase.RUNNING,
            since=now,
            percent=report.percent,
            first_percent=report.percent,
            seen_at=now,
            advanced_at=now,
            is_orphaned=record is None,
            # The host that has the job now, or gets it from its caller, relies on this lease
            # running out.
            is_disputed=record is None,
        )
        instance.add_run(run)
        if run.is_orphaned:
            self._instances.may_have_orphaned_runs = True
        # An earlier leader may have renewed the lease until this term began.
        instance.lapse_at = max(instance.lapse_at, now + self._term.lease.lapse_after)
        if job is not None:
            self._adopt(job, instance, run)
        elif not run.is_orphaned or not self._instances.is_in_grace_period(now):
            run.stop_requested = True

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
        """Let a run continue that another host started, or stop it if its task does not need it."""
        self._jobs.open_through(job, run.task.occurrence, run.since)
        task = job.tasks.get(run.task)
        unassigned_phases = (TaskPhase.UNKNOWN, TaskPhase.QUEUED)
        if task is None or task.phase not in unassigned_phases:
            run.stop_requested = True
            return
        # A run that is being stopped occupies its task as well: no other run of the task may
        # begin until this one has ended.
        if task.phase is TaskPhase.QUEUED:
            self._jobs.unqueue(run.task)
        # The host that began this run may begin the task again, at an upstream not seen yet, once
        # this run has ended.
        task.may_run_elsewhere = task.may_run_elsewhere or task.phase is TaskPhase.UNKNOWN
        task.phase = TaskPhase.RUNNING
        task.instance = instance.info.id
        task.run = run.run
        job.has_begun = True


def _update_progress(run: Run, report: RunReport, now: timedelta) -> None:
    if report.percent > run.percent or run.phase is not RunPhase.RUNNING:
        run.advanced_at = now
    run.percent = report.percent
    run.seen_at = now
    run.phase = RunPhase.RUNNING
