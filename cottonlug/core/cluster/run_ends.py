"""Handles the ends of runs: updates run-time estimates and upstream health, and records the ends.

A run is one try to carry out a task. An upstream numbers its ended runs from 1 and lists them in
each answer to a poll, until the coordinator confirms that it has recorded them. The ends of durable
jobs are recorded in the replicated log, those of best-effort jobs in the memory of the coordinator
only.
"""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .commands import RecordRunEnds
from .instance_table import InstanceTable
from .instances import Instance
from .model import JobId, RunEndKind, RunEndReport
from .open_job import TaskPhase
from .open_jobs import OpenJobs
from .orders import Run
from .reconciliation import Reconciliation
from .records import JobRecord, record_run_end
from .term import Term


class RunEndHandler:
    """Handles ends that upstreams list: of best-effort jobs at once, of durable jobs on commit."""

    def __init__(
        self,
        *,
        term: Term,
        instances: InstanceTable,
        jobs: OpenJobs,
        reconciliation: Reconciliation,
    ) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs
        self._reconciliation = reconciliation
        self._orphaned_ends: dict[JobId, list[RunEndReport]] = {}
        """Ends of jobs that are not known here: an earlier coordinator had them, and their gateways
        may yet submit them here."""

    def handle_listed_ends(
        self, instance: Instance, ended: tuple[RunEndReport, ...], now: timedelta
    ) -> None:
        """Record new ends that an upstream has listed, in the log or here.

        `proposed_through` and `recorded_through` are the numbers, at that upstream, of the last end
        that was handled here and of the last that may be confirmed to the upstream.
        """
        new = tuple(
            end
            for end in ended
            if end.number > max(instance.proposed_through, instance.recorded_through)
        )
        if not new:
            return
        awaits_record = instance.proposed_through > instance.recorded_through
        instance.proposed_through = new[-1].number
        self._term.counts.ends += len(new)
        self._jobs.throughput.record_run_ends(len(new), now)
        durable_ends: list[RunEndReport] = []
        for end in new:
            run = instance.remove_run((end.task, end.run))
            if run is not None:
                self._detect_other_coordinator(instance, run, end)
                self._evaluate_end(instance, run, end, now)
            self._jobs.mark_recording(end, instance.info.id)
            # The replicated records hold only durable jobs.
            if end.task.job in self._term.records.jobs:
                durable_ends.append(end)
            elif self._must_withhold(end):
                self._withhold(instance, end)
            else:
                self._record_locally(end, instance.info.id, now)
        if instance.first_withheld_end is not None:
            confirmable = instance.first_withheld_end - 1
            instance.recorded_through = max(instance.recorded_through, confirmable)
            return
        # Ends are confirmed in the order of their numbers, so these must wait for a proposal that
        # is not committed yet, even if none of them needs the log.
        if not durable_ends and not awaits_record:
            instance.recorded_through = max(instance.recorded_through, instance.proposed_through)
            return
        command = RecordRunEnds(
            upstream=instance.info.id,
            through=instance.proposed_through,
            ends=tuple(durable_ends),
            at_ms=self._term.wall_ms(),
        )
        self._term.proposals.append(command)

    def handle_recorded_ends(self, command: RecordRunEnds, now: timedelta) -> None:
        """Act on ends that the log has committed."""
        instance = self._instances.by_id.get(command.upstream)
        if instance is not None:
            instance.recorded_through = max(instance.recorded_through, command.through)
            instance.poll_due = now
            self._instances.mark_changed(instance)
        for end in command.ends:
            self._apply_recorded_end(end, command.upstream, now)

    def claim_orphaned_ends(self, record: JobRecord, now: timedelta) -> None:
        """Record ends that were listed before their job was submitted here, and act on them.

        This concerns best-effort jobs only: all others are known from the log.

        Which upstream listed them no longer matters: the job is new here, so none of its tasks
        waits for an end to be recorded.
        """
        for end in self._orphaned_ends.pop(record.id, []):
            record_run_end(record, end, self._term.wall_ms())
            self._apply_recorded_end(end, None, now)

    def forget_orphaned_ends(self, now: timedelta) -> None:
        """Drop the ends of unknown jobs after the grace period, which begins with the term."""
        if self._orphaned_ends and not self._instances.is_in_grace_period(now):
            self._orphaned_ends.clear()

    def _must_withhold(self, end: RunEndReport) -> bool:
        """Return whether an end of a job that is not in the log here is left to a leader."""
        return not self._jobs.is_open(end.task.job) and self._term.is_left_to_leader(end.run)

    def _withhold(self, instance: Instance, end: RunEndReport) -> None:
        """Leave an end to a leader, to which the upstream then lists it again."""
        instance.withhold_end(end.number)
        self._term.log_decision(
            "end_withheld",
            {
                "upstream": instance.info.id,
                "job": end.task.job,
                "run": end.run,
                "how": end.how.value,
                "number": end.number,
            },
        )

    def _detect_other_coordinator(self, instance: Instance, run: Run, end: RunEndReport) -> None:
        """Detect that a host with a higher fencing token has become coordinator.

        The sign is a run that was stopped, but not by this host. The other one may have started the
        task again by now.
        """
        if end.how is RunEndKind.STOPPED and not run.stop_requested:
            self._term.is_superseded = True
            self._term.log_decision(
                "run_stopped_elsewhere", {"upstream": instance.info.id, "job": end.task.job}
            )

    def _evaluate_end(
        self, instance: Instance, run: Run, end: RunEndReport, now: timedelta
    ) -> None:
        """Update the expected run time of a step and the health of an upstream."""
        health = self._instances.get_health(instance)
        job = self._jobs.find_job_of(end.task)
        if job is None or run.is_orphaned:
            return
        step = job.record.spec.steps[end.task.step]
        queue = job.record.queue.key
        taken = now - run.since
        expected = self._jobs.forecast.predict_at(queue, step, instance.info)
        self._term.log_decision(
            "run_ended",
            {
                "job": end.task.job,
                "task": f"{end.task.step}.{end.task.task_index}",
                "run": end.run,
                "upstream": instance.info.id,
                "how": end.how.value,
                "took_ms": to_milliseconds(taken),
                "expected_ms": to_milliseconds(expected),
            },
        )
        if job.record.spec.long_running:
            # How long a long-running task runs says nothing about its upstream.
            return
        if end.how is RunEndKind.DONE:
            factor = self._term.speeds.find_factor(instance.info)
            job.record_run_time(end.task.step, instance.info.id, taken / factor)
            self._jobs.forecast.learn(
                queue, step, taken, instance.info, compares_kinds=run.is_sample
            )
            if health.record_success(taken / expected, now):
                self._term.log_decision("upstream_slow", {"upstream": instance.info.id})
        elif end.how is RunEndKind.FAILED and health.record_failure(now):
            self._term.log_decision("upstream_failing", {"upstream": instance.info.id})

    def _record_locally(self, end: RunEndReport, upstream: UpstreamId, now: timedelta) -> None:
        """Record the end of a run of a job that is not in the log: best-effort, or unknown here."""
        job = self._jobs.jobs.get(end.task.job)
        if job is not None:
            record_run_end(job.record, end, self._term.wall_ms())
            self._apply_recorded_end(end, upstream, now)
        elif self._instances.is_in_grace_period(now):
            self._orphaned_ends.setdefault(end.task.job, []).append(end)

    def _apply_recorded_end(
        self, end: RunEndReport, upstream: UpstreamId | None, now: timedelta
    ) -> None:
        """Act on an end that is in the job's record now: close the job, or queue what may follow.

        `upstream` is the one that listed the end, or None if that does not matter.
        """
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
        if upstream is not None:
            task.unrecorded_ends.discard((upstream, end.number))
        if job.record.get_task(end.task).is_done:
            # A run that was abandoned, as its upstream did not answer until its lease had ended,
            # may have completed before that. Its task may have been queued or started again since.
            self._instances.request_stop_of_all(end.task)
            if task.phase is TaskPhase.QUEUED:
                self._jobs.backlog.remove_task(end.task)
            self._jobs.unblock(job, end.task.occurrence, job.finish_task(end.task))
        elif task.phase is not TaskPhase.RECORDING or task.unrecorded_ends:
            # Of a run that is not awaited, or with a further end to be recorded.
            return
        elif task.may_run_elsewhere:
            # Another coordinator may have started a further run: one that is listed by now, or one
            # at an upstream that has not answered this one yet.
            if not self._jobs.await_active_run(job, end.task):
                job.set_phase(end.task, TaskPhase.UNKNOWN)
                self._reconciliation.request_recheck()
        else:
            # All runs have ended without success, so the task is queued again.
            self._jobs.queue(job, end.task.occurrence, end.task.step, [end.task.task_index])
