"""Decisions of one coordinator during its term: which task starts where, what is stopped or polled.

The coordinator is the host that schedules jobs: the elected leader, or an acting leader (a gateway
that schedules best-effort jobs where no leader can be reached). A run is one try to carry out a
task. Upstreams run tasks under a lease, which polls renew, and obey only the highest fencing token
that they have seen.

Durable jobs are in `Records`, the state of the replicated log. All other state here is lost with
the coordinator, and the next one learns it again: runs from the upstreams, best-effort jobs from
their gateways, which submit them again. A listed run whose job is not known yet is orphaned; once
the job is known, the run is adopted, that is, it goes on as if it had been started here. Until the
reconciliation, runs of earlier coordinators may be active that this one does not know.

An instance is one run of an upstream's process. The surrounding program delivers events and then
collects the orders to send and the commands to propose to the log.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import DomainName, UpstreamId
from .active_runs import ActiveRuns
from .admission import Rejection
from .adoption import RunAdopter
from .capacity_reports import DEFAULT_REPORT_TERMS, ReportTerms, find_refusal_backoff
from .commands import (
    AcceptJob,
    AddUpstream,
    CancelJob,
    Command,
    RecordCrash,
    RecordRunEnds,
    RemoveUpstreams,
    SetDraining,
    SetEvacuation,
    UncordonUpstream,
)
from .crash_tracker import CrashTracker
from .instance_table import InstanceTable
from .instances import Instance, LeaseTerms
from .model import (
    Heartbeat,
    JobId,
    JobSpec,
    JobState,
    PollReply,
    Queue,
)
from .open_job import OpenJob, Submission, TaskPhase
from .open_jobs import OpenJobs
from .orders import (
    CallFailure,
    Order,
    PollOrder,
    RunPhase,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from .reconciliation import Reconciliation
from .records import JobRecord, Records, end_job
from .registry import UpstreamRegistry
from .run_ends import RunEndHandler
from .scheduler import Scheduler
from .silent_upstreams import SilentUpstreams
from .speed_reports import SpeedReporter
from .speeds import Speeds
from .term import DecisionLog, DispatchCounts, Term, WallTime
from .upstream_timers import UpstreamTimers
from .watcher import Watcher

STOP_RETRY = timedelta(milliseconds=50)
"""Delay after which a failed stop is sent again."""
SCAN_INTERVAL = timedelta(milliseconds=100)
"""Interval of the scan of all upstreams. In between, only those are processed about which something
has changed, or for which a timer is due."""
REFUSAL_BACKOFF = timedelta(milliseconds=300)
"""How long nothing is started at an upstream that refused a start for another reason than a lack of
capacity."""
MAX_LISTED_ENDS = 500
"""Most ended runs that the answer to a poll lists. Behind a full list there may be more, so a run
that is listed neither as active nor as ended may have succeeded. The rest is listed once these ends
are recorded and confirmed."""


class Dispatch:
    """Scheduling decisions of one coordinator; for its parameters see `Term`."""

    def __init__(
        self,
        *,
        records: Records,
        token: int,
        lease_terms: LeaseTerms,
        now: timedelta,
        wall_ms: WallTime,
        log_decision: DecisionLog,
        on_job_end: Callable[[JobId], None],
        domain: DomainName | None = None,
        keeps_log: bool = True,
        reports: ReportTerms = DEFAULT_REPORT_TERMS,
        known_until: timedelta = timedelta(),
        remote_factor: float = 1.0,
        begun_earlier: frozenset[JobId] | None = None,
    ) -> None:
        self._term = Term(
            token=token,
            began_at=now,
            records=records,
            lease=lease_terms,
            wall_ms=wall_ms,
            log_decision=log_decision,
            on_job_end=on_job_end,
            domain=domain,
            keeps_log=keeps_log,
            reports=reports,
            known_until=known_until,
            speeds=Speeds(records.speeds.recorded),
            remote_factor=remote_factor,
            begun_earlier=begun_earlier,
        )
        self._instances = InstanceTable(term=self._term)
        crash_tracker = CrashTracker(term=self._term, instances=self._instances)
        self._jobs = OpenJobs(
            term=self._term, instances=self._instances, crash_tracker=crash_tracker
        )
        self._watcher = Watcher(term=self._term, instances=self._instances, jobs=self._jobs)
        self._silent_upstreams = SilentUpstreams(
            term=self._term, instances=self._instances, crash_tracker=crash_tracker
        )
        self._adopter = RunAdopter(term=self._term, instances=self._instances, jobs=self._jobs)
        self._scheduler = Scheduler(term=self._term, instances=self._instances, jobs=self._jobs)
        self._reconciliation = Reconciliation(
            term=self._term, instances=self._instances, jobs=self._jobs
        )
        self._run_ends = RunEndHandler(
            term=self._term,
            instances=self._instances,
            jobs=self._jobs,
            reconciliation=self._reconciliation,
        )
        self.may_have_acting_leader: Callable[[], bool] = lambda: True
        """Returns whether a gateway that does not reach this host may act as leader; the
        surrounding program replaces it."""
        self._registry = UpstreamRegistry(term=self._term, instances=self._instances)
        self._speed_reporter = SpeedReporter(term=self._term)
        self.has_more_to_do = False
        """Whether the last `tick` left orders to the next one, which is due at once."""
        self._timers = UpstreamTimers()
        self._scan_due = now

    # State and events

    @property
    def jobs(self) -> OpenJobs:
        """Jobs that have not ended, and those that ended lately."""
        return self._jobs

    @property
    def instances(self) -> dict[UpstreamId, Instance]:
        """Instances of upstreams by id."""
        return self._instances.by_id

    def list_begun(self) -> frozenset[JobId] | None:
        """Return the best-effort jobs that may have active runs, also unknown ones.

        None if an earlier leader may have begun any job, at an upstream that has not been polled.
        """
        active = self._instances.active_runs.list_best_effort_jobs()
        if self._reconciliation.is_reconciled:
            return frozenset(active)
        begun_earlier = self._term.begun_earlier
        return begun_earlier | active if begun_earlier is not None else None

    @property
    def active_runs(self) -> ActiveRuns:
        """The runs that may be active, by task."""
        return self._instances.active_runs

    @property
    def speeds(self) -> Speeds:
        """Factors of run times by kind of upstream."""
        return self._term.speeds

    @property
    def counts(self) -> DispatchCounts:
        """Counters of this term."""
        return self._term.counts

    @property
    def is_superseded(self) -> bool:
        """Whether an upstream has seen a higher fencing token: a later coordinator orders it."""
        return self._term.is_superseded

    def clear_superseded(self) -> None:
        """Forget the higher fencing token, since this host now requests a later term."""
        self._term.is_superseded = False

    def set_busy(self, is_busy: bool) -> None:
        """Tell whether this host has hardly enough processor time for its work.

        It then leaves out what can wait.
        """
        self._term.is_busy = is_busy

    def find_rejection(
        self, queue: Queue, spec: JobSpec, waited: timedelta, now: timedelta
    ) -> Rejection | None:
        """Return why a job that has `waited` at its gateway is not accepted now, or None."""
        return self._scheduler.find_rejection(queue, spec, waited, now)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Record that an upstream is alive, its capacity, and whether it is leaving."""
        self._registry.handle_heartbeat(heartbeat, now)

    def handle_reported_heartbeat(
        self, upstream: UpstreamId, sequence: int, clock_ms: int | None, at: timedelta
    ) -> None:
        """Record a heartbeat that reported nothing new, and that another control host answered.

        It was sent at `clock_ms` on the upstream's clock, and arrived at that host `at` that time.
        """
        self._registry.handle_reported_heartbeat(upstream, sequence, clock_ms, at)

    def handle_leave(self, upstream: UpstreamId) -> None:
        """Send no more work to an upstream that leaves."""
        self._registry.handle_leave(upstream)

    def set_listening(self, upstream: UpstreamId, is_listening: bool) -> None:
        """Record whether an order would reach an upstream at once.

        Where orders travel in the answers to heartbeats, one has to wait for the next heartbeat
        unless the answer to the last is still parked here.
        """
        instance = self._instances.by_id.get(upstream)
        if instance is not None:
            instance.is_listening = is_listening

    def submit(self, record: JobRecord, submission: Submission, now: timedelta) -> None:
        """Accept a best-effort job; runs of it that another coordinator started go on."""
        # If another coordinator may have begun it, at an upstream that has not answered this one,
        # its tasks are unknown until the lease there has ended. Before the reconciliation that may
        # be so even if the gateway knows of no try: its caller may have sent it to another one.
        is_new = self._reconciliation.is_reconciled and not submission.may_have_begun
        of_acting_leaders = submission.may_be_of_acting_leader
        is_unsure = not is_new and self._reconciliation.may_miss_runs(
            of_acting_leaders=of_acting_leaders
        )
        self._jobs.rejections.pop(record.id, None)
        self._jobs.abandoned.discard(record.id)
        phase = TaskPhase.UNKNOWN if is_unsure else TaskPhase.QUEUED
        self._jobs.open(
            record,
            phase,
            now,
            submission.waited,
            may_have_begun=submission.may_have_begun,
            reconcile_at=(
                self._find_reconcile_time(record.id, submission, now) if is_unsure else timedelta()
            ),
        )
        job = self._jobs.jobs[record.id]
        job.gateway = submission.gateway
        job.home = submission.home
        job.confirmed_until = submission.confirmed_until
        job.may_be_of_acting_leader = submission.may_be_of_acting_leader
        job.has_begun = (
            job.has_begun or submission.may_have_begun or self._jobs.has_begun_before(record.id)
        )
        if is_unsure:
            self._reconciliation.request_recheck()
        self._run_ends.claim_orphaned_ends(record, now)
        if (
            not self._instances.may_have_orphaned_runs
            and record.id not in self._jobs.closed_while_running
        ):
            # No upstream is known to run anything of it.
            return
        for instance in self._instances.by_id.values():
            for run in [each for each in instance.runs.values() if each.task.job == record.id]:
                self._adopter.adopt_orphaned_run(job, instance, run)
                self._instances.mark_changed(instance)

    def _find_reconcile_time(self, job: JobId, submission: Submission, now: timedelta) -> timedelta:
        """Return when no run of a job by another coordinator can be active any more.

        A gateway that knows of no earlier try does not know whether another one still waits for
        it. So a leader waits for all leases of earlier leaders, unless it knows that the last one
        had not begun the job. An acting leader relies on the caller's delay alone: beyond a
        partition a leader goes on to renew leases.
        """
        lapsed_at = now + submission.reconcile_after
        if submission.may_have_begun or not self._term.may_have_begun_earlier(job):
            return lapsed_at
        return max(lapsed_at, self._term.earlier_leases_lapsed_at)

    def has_quarantined_task(self, id: JobId) -> bool:
        """Whether a task of a job is not to be started again, since upstreams crashed under it."""
        return any(
            each.counts.is_quarantined for each in self._jobs.crash_tracker.list_suspects(id)
        )

    def merge_submission(self, id: JobId, submission: Submission, now: timedelta) -> None:
        """Learn from a second submission of an open job that another coordinator may have begun it.

        A second one from the same gateway mostly adds nothing: it only repeats a call that had no
        answer. Before that gateway sends the job to another coordinator, this one has abandoned it.
        But the gateway may hold two tries of a caller, and bring the later one here first.
        """
        job = self._jobs.jobs.get(id)
        if job is None or not submission.may_have_begun:
            return
        names_acting_leader = submission.may_be_of_acting_leader and not job.may_be_of_acting_leader
        if submission.gateway == job.gateway and not names_acting_leader:
            return
        job.has_begun = True
        job.may_be_of_acting_leader = (
            job.may_be_of_acting_leader or submission.may_be_of_acting_leader
        )
        if not self._reconciliation.may_miss_runs(of_acting_leaders=job.may_be_of_acting_leader):
            return
        job.reconcile_at = max(job.reconcile_at, now + submission.reconcile_after)
        self._jobs.mark_unknown(job)
        self._reconciliation.request_recheck()

    def abandon(self, id: JobId, gateway: str, now: timedelta) -> None:
        """Abandon a best-effort job, since its gateway no longer waits for it.

        If another gateway has submitted it since, it goes on.
        """
        job = self._jobs.jobs.get(id)
        if job is not None and job.gateway == gateway:
            self._abandon_best_effort(job, now)

    def _abandon_best_effort(self, job: OpenJob, now: timedelta) -> None:
        if job.record.spec.best_effort:
            end_job(job.record, JobState.CANCELLED, self._term.wall_ms())
            self._jobs.close_if_ended(job.record.id, now)

    def cancel(self, id: JobId, now: timedelta) -> bool:
        """Cancel a best-effort job for its caller; return False where there is none."""
        job = self._jobs.jobs.get(id)
        if job is None or not job.record.spec.best_effort:
            return False
        self._jobs.ended[id] = (JobState.CANCELLED, now)
        self._abandon_best_effort(job, now)
        return True

    def abandon_silent_gateways(self, is_heard: Callable[[str], bool], now: timedelta) -> None:
        """Abandon the jobs of silent gateways, which may have sent them to another coordinator.

        `is_heard` returns whether there is contact with the gateway at an address.
        """
        # The address is empty for jobs that no other host waits for: all durable ones, and those
        # that an acting leader submitted to itself.
        heard: dict[str, bool] = {"": True}
        for job in list(self._jobs.jobs.values()):
            if job.gateway not in heard:
                heard[job.gateway] = is_heard(job.gateway)
            if not heard[job.gateway] and now >= job.confirmed_until:
                self._term.log_decision(
                    "gateway_silent", {"gateway": job.gateway, "job": job.record.id}
                )
                self._abandon_best_effort(job, now)

    def abandon_gateway(self, gateway: str, now: timedelta) -> None:
        """Abandon all jobs of a gateway that has restarted and waits for none of them."""
        for job in list(self._jobs.jobs.values()):
            if job.gateway == gateway:
                self._abandon_best_effort(job, now)

    def handle_applied_command(self, command: Command, now: timedelta) -> None:
        """Act on a command that was just applied to the records."""
        if isinstance(command, AcceptJob):
            job = self._term.records.jobs.get(command.job)
            if job is not None and job.is_open and job.id not in self._jobs.jobs:
                self._jobs.open(job, TaskPhase.QUEUED, now, self._jobs.find_age(job))
        elif isinstance(command, RecordRunEnds):
            self._run_ends.handle_recorded_ends(command, now)
        elif isinstance(command, CancelJob):
            # A best-effort job may have been submitted since the cancel was proposed.
            self.cancel(command.job, now)
            self._jobs.close_if_ended(command.job, now)
        elif isinstance(command, AddUpstream):
            self._registry.handle_added_upstream(command, now)
        elif isinstance(command, SetDraining):
            if command.upstream in self._instances.by_id:
                self._instances.by_id[command.upstream].draining = True
        elif isinstance(command, SetEvacuation):
            self._handle_evacuation(command, now)
        elif isinstance(command, UncordonUpstream):
            self._watcher.uncordon(command.upstream)
        elif isinstance(command, RecordCrash):
            self._drop_instance(command.upstream, now)
            suspects = (*command.blamed, *command.others, *command.unanswered)
            self._jobs.fail_quarantined(suspects, now)
        elif isinstance(command, RemoveUpstreams):
            for upstream in command.upstreams:
                self._drop_instance(upstream, now)

    def _handle_evacuation(self, command: SetEvacuation, now: timedelta) -> None:
        """Start nothing more in a domain, or use its upstreams again."""
        runs = self._instances.apply_evacuation(command.domain, now)
        record = self._term.records.evacuations.get(command.domain)
        self._term.log_decision(
            "domain_evacuated" if record.is_evacuated else "domain_taken_back",
            {"domain": command.domain, "revision": record.revision, "runs": runs},
        )
        if record.is_evacuated:
            self._scheduler.reject_evacuated(now)

    def _drop_instance(self, upstream: UpstreamId, now: timedelta) -> None:
        instance = self._instances.by_id.get(upstream)
        self._instances.remove(upstream)
        if instance is not None:
            # Either the log has counted its crash, or it was removed without one. So tasks that
            # were active there need no longer wait until it is known whether they crashed it.
            self._jobs.update_restrictions(self._jobs.crash_tracker.forget_instance(instance, now))

    def handle_start_answer(
        self,
        order: StartOrder,
        outcome: StartOutcome,
        clock_ms: int | None,
        now: timedelta,
    ) -> None:
        """Process the outcome of a start; `clock_ms` is the upstream's clock when it answered."""
        instance = self._instances.by_id.get(order.upstream.id)
        if instance is None:
            return
        self._instances.mark_changed(instance)
        if clock_ms is not None:
            instance.record_clock(clock_ms, now)
        run = instance.runs.get((order.task, order.run))
        if outcome is StartOutcome.FENCED:
            self._term.is_superseded = True
        if outcome is StartOutcome.INSTANCE_ENDED:
            self._watcher.end_instance(instance, now)
        if run is None or run.phase is not RunPhase.STARTING:
            # A poll has shown what became of it, or its lease has ended.
            return
        if outcome is not StartOutcome.UNKNOWN:
            instance.response_timeout.record_response_time(now - run.since)
        if outcome is StartOutcome.STARTED:
            self._term.counts.started += 1
            instance.refusals = 0
            run.phase = RunPhase.RUNNING
            run.advanced_at = now
            return
        if outcome is StartOutcome.UNKNOWN:
            self._term.counts.unknown_starts += 1
            # The next poll shows whether it runs; it is stopped only if that does not list it.
            run.phase = RunPhase.UNSURE
            run.unsure_at = now
            # The upstream may be unreachable; if not, a poll should be answered within this time.
            instance.avoid_until = now + order.response_timeout
            return
        self._term.counts.refused_starts += 1
        self._term.log_decision(
            "start_refused",
            {"upstream": instance.info.id, "job": order.task.job, "reason": outcome.value},
        )
        instance.avoid_until = now + self._find_backoff(instance, outcome)
        instance.remove_run((order.task, order.run))
        self._jobs.requeue(order.task, order.run, instance.info.id)

    def _find_backoff(self, instance: Instance, outcome: StartOutcome) -> timedelta:
        """Return how long to start nothing at an upstream after a refusal."""
        if outcome is not StartOutcome.NO_ROOM:
            return REFUSAL_BACKOFF
        self._term.counts.starts_without_room += 1
        instance.refusals += 1
        return find_refusal_backoff(instance.refusals)

    def handle_stop_answer(
        self, order: StopOrder, failure: CallFailure | None, now: timedelta
    ) -> None:
        """Process the answer to a stop; without a `failure` the upstream has accepted it."""
        instance = self._instances.by_id.get(order.upstream.id)
        if instance is None:
            return
        self._instances.mark_changed(instance)
        if failure is CallFailure.FENCED:
            self._term.is_superseded = True
        if failure is CallFailure.INSTANCE_ENDED:
            self._watcher.end_instance(instance, now)
            return
        run = instance.runs.get((order.task, order.run))
        if run is None:
            return
        run.is_stop_pending = False
        if failure is None:
            run.stopped_at = now
            # The next poll shows whether it is gone; until then its task starts nowhere.
            instance.probe_due = now
        else:
            run.stop_due = now + STOP_RETRY

    def handle_poll_answer(
        self,
        order: PollOrder,
        reply: PollReply | CallFailure,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Process the answer to a poll: what runs and what has ended at an upstream.

        `sent_at` is when the poll was sent.
        """
        instance = self._instances.by_id.get(order.upstream.id)
        if instance is None:
            return
        self._instances.mark_changed(instance)
        if order.is_probe:
            instance.is_probe_pending = False
        else:
            instance.is_poll_pending = False
        if isinstance(reply, CallFailure):
            self._watcher.handle_failed_poll(instance, reply, now)
            return
        instance.failed_polls = 0
        instance.contact_at = now
        instance.confirmed_through = max(instance.confirmed_through, order.last_seen)
        instance.record_clock(reply.clock_ms, now)
        lists_all_ends = len(reply.ended) < MAX_LISTED_ENDS
        if lists_all_ends:
            self._adopt_instance(instance)
        self._jobs.update_restrictions(self._jobs.crash_tracker.record_answer(instance))
        self._watcher.request_uncordon(instance)
        self._run_ends.handle_listed_ends(instance, reply.ended, now)
        self._watcher.schedule_next_poll(instance, now)
        if instance.is_over:
            # It is about to be removed, so that its runs could not be followed to their end.
            return
        if reply.clock_ms <= instance.listed_ms:
            # A later answer has overtaken it on another connection, so what it lists as active may
            # have ended.
            self._term.log_decision(
                "list_overtaken",
                {
                    "upstream": instance.info.id,
                    "clock_ms": reply.clock_ms,
                    "newest_ms": instance.listed_ms,
                    "sent_ms_ago": to_milliseconds(now - sent_at),
                    "ends": len(reply.ended),
                },
            )
            return
        instance.listed_ms = reply.clock_ms
        for report in reply.running:
            self._adopter.handle_listed_run(instance, report, now)
        self._watcher.evaluate_progress(instance, now)
        if lists_all_ends:
            self._drop_vanished(instance, reply, sent_at, now)

    def _adopt_instance(self, instance: Instance) -> None:
        """Count an upstream as polled: what runs and has ended there is known."""
        self._instances.unseen.discard(instance.info.id)
        if not instance.is_fenced:
            instance.is_fenced = True
            self._term.log_decision("upstream_adopted", {"upstream": instance.info.id})

    def tick(self, now: timedelta) -> None:
        """Do everything that is due, and start tasks.

        What is to be sent and proposed is returned by `pop_orders` and `pop_proposals`.
        """
        is_full_scan = now >= self._scan_due
        self._jobs.begin_round(now)
        self._jobs.open_due(self._reconciliation.initial_phase, now)
        self._reconciliation.reconcile(now)
        due = self._pop_due_instances(now)
        self._watcher.begin_round()
        instances = list(self._instances.by_id.values()) if is_full_scan else due
        for instance in instances:
            self._watcher.abandon_lapsed_runs(instance, now)
            self._watcher.stop_runs(instance, now)
        is_cut_short = False
        if self._term.may_start:
            self._scheduler.schedule(now, None if is_full_scan else instances)
            is_cut_short = self._scheduler.is_cut_short
        changed = (*instances, *self._instances.pop_changed())
        for id, instance in {each.info.id: each for each in changed}.items():
            self._watcher.poll_if_due(instance, now)
            if self._watcher.has_nothing_due(instance, now) and (
                self._timers.has(id) or not instance.runs
            ):
                # Nothing is due before its lease ends. Renewals only postpone that, so a timer that
                # is set already comes early enough.
                continue
            self._timers.set(id, self._watcher.find_next_due(instance, now))
        if is_full_scan:
            self._scan_all(now)
        postponed = self._watcher.pop_postponed()
        for instance in postponed:
            self._instances.mark_changed(instance)
        self.has_more_to_do = (
            bool(postponed)
            or is_cut_short
            or self._jobs.has_more_to_do
            or self._reconciliation.has_more_to_do
        )

    def _pop_due_instances(self, now: timedelta) -> list[Instance]:
        """Return the instances about which something has changed, or whose timer is due."""
        for id in self._timers.pop_due(now):
            instance = self._instances.by_id.get(id)
            if instance is not None:
                self._instances.mark_changed(instance)
        return self._instances.pop_changed()

    def _scan_all(self, now: timedelta) -> None:
        """Cordon or forget unreachable upstreams, and forget what ended long ago.

        To cordon one is to record in the log that nothing runs there and nothing may be started.
        """
        self._scan_due = now + SCAN_INTERVAL
        self._watcher.cordon_idle(now)
        self._silent_upstreams.forget(now, is_partitioned=self.may_have_acting_leader)
        self._registry.doubt_capacities(now)
        self._speed_reporter.report_changes(now)
        self._instances.update_orphaned_flag()
        self._jobs.forget_ended(now)
        self._run_ends.forget_orphaned_ends(now)

    def pop_orders(self) -> list[Order]:
        """Return the orders to be sent to upstreams, and clear the list."""
        orders, self._term.orders = self._term.orders, []
        return orders

    def pop_proposals(self) -> list[Command]:
        """Return the commands to be proposed to the log, and clear the list."""
        proposals, self._term.proposals = self._term.proposals, []
        return proposals

    def _drop_vanished(
        self, instance: Instance, reply: PollReply, sent_at: timedelta, now: timedelta
    ) -> None:
        """Requeue the tasks of runs that were stopped before this poll was sent, if not listed.

        A run whose start had no answer, and which is not listed, may still begin: it is stopped.
        """
        listed = {(report.task, report.run) for report in reply.running}
        for key, run in list(instance.runs.items()):
            if key in listed:
                continue
            if run.phase is RunPhase.UNSURE and run.unsure_at <= sent_at:
                run.stop_requested = True
            if run.stopped_at is not None and run.stopped_at <= sent_at:
                instance.remove_run(key)
                self._jobs.requeue(run.task, run.run, instance.info.id)
