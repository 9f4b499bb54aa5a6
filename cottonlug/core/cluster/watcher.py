"""Polls upstreams, stops runs, and handles lapsed leases and ended instances.

A poll lists the runs and ended runs of an upstream, confirms the ended runs that are recorded, and
renews the lease without which the upstream may not run tasks. A long poll is answered only when a
run ends, or after some time; a probe is an extra poll beside one that awaits its answer.

The coordinator, which does all this, is the elected leader, or an acting leader (a gateway that
schedules where no leader can be reached). It cordons upstreams in the replicated records: no leader
has a run there, so that the next leader need not wait for them.
"""

from __future__ import annotations

from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .cancellations import is_beyond_stops
from .commands import CordonUpstreams, UncordonUpstream
from .crashes import NO_ACTIVE_TASKS, LostTasks
from .instance_table import InstanceTable
from .instances import Instance
from .open_job import OpenJob
from .open_jobs import OpenJobs
from .orders import CallFailure, PollOrder, Run, RunPhase, StopOrder
from .progress import ProgressRate, classify_progress, estimate_run_time, find_next_check
from .response_timeout import MAX_RESPONSE_TIMEOUT
from .silent_upstreams import SILENT_AFTER, SILENT_POLL_INTERVAL, is_silent
from .term import Term

LONG_POLL_WAIT = timedelta(milliseconds=200)
"""Longest time for which an upstream may delay the answer to a long poll. As the next poll renews
its lease, a lease (0.92 s) then outlasts most changes of leader."""
MIN_LONG_POLL_WAIT = timedelta(milliseconds=20)
"""Shortest such time: with less, polls would cost more calls than their answers are worth."""
POLL_RETRY_STEP = timedelta(milliseconds=100)
"""The delay before a failed poll is repeated grows by this with each failure. Also the interval of
probes while it is unknown whether a run has started."""
MAX_STRAGGLERS_SHARE = 0.1
"""While at most this share of the upstreams has not answered a new coordinator, these stragglers
are polled by two calls at once, and again without delay: all jobs wait for what runs there."""
STRAGGLER_PROBE_AFTER = timedelta(milliseconds=30)
"""Time after which another poll is sent to a straggler beside an unanswered one."""
PROBE_CHECK_INTERVAL = timedelta(milliseconds=20)
"""Whether an upstream is a straggler depends on all others, so it is checked again this often."""
MAX_STRAGGLER_POLLS = 8
"""After this many failed polls a straggler counts as unreachable, and is polled like any other."""
WITHHELD_POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval of polls of an upstream with a withheld end: it answers each of them at once."""
MAX_RETRY_STEPS = 10
"""The delay before a failed poll is repeated stops growing after this many failures."""
ORPHAN_TOLERATED_FOR = timedelta(milliseconds=300)
"""How long a run of an earlier coordinator is tolerated although its job is not known here.
Gateways submit the job again within this time as a rule. Meanwhile its upstream gets no work, and
its lease is not renewed."""
DISPUTED_TOLERATED_FOR = timedelta(milliseconds=100)
"""The same for a run whose job an acting leader, or a leader that an acting leader does not reach,
may still coordinate."""
MAX_STOPS_PER_ROUND = 100
"""Most stops that one round sends, for the same reason as `scheduler.MAX_STARTS_PER_ROUND`."""
FAILED_POLLS_BEFORE_CORDON = 2
"""Failed polls before an upstream is cordoned: one that has just joined may miss one."""
MAX_MOVES = 2
"""How often a task is moved to another upstream at most: it may make no progress anywhere."""


class Watcher:
    """Renews leases, and detects runs that have stalled and instances that are lost.

    All times are on this host's monotonic clock, if not said otherwise.
    """

    def __init__(self, *, term: Term, instances: InstanceTable, jobs: OpenJobs) -> None:
        self._term = term
        self._instances = instances
        self._jobs = jobs
        self._unreachable: dict[UpstreamId, Instance] = {}
        """Instances with failed polls; `cordon_idle` removes those that have answered since."""
        self._stops_left = MAX_STOPS_PER_ROUND
        """How many more stops this round may send."""
        self._postponed: list[Instance] = []
        """Instances with stops that are due and left to the next round."""

    def begin_round(self) -> None:
        """Allow as many stops again as one round may send."""
        self._stops_left = MAX_STOPS_PER_ROUND

    def pop_postponed(self) -> list[Instance]:
        """Return the instances with stops that are due still, and clear that list."""
        postponed, self._postponed = self._postponed, []
        return postponed

    def poll_if_due(self, instance: Instance, now: timedelta) -> None:
        """Poll an upstream if a poll or a probe is due."""
        if instance.is_over or instance.is_managed_elsewhere:
            return
        is_straggler = self._is_straggler(instance)
        is_unsure = is_straggler or self._has_unsure_runs(instance)
        if (
            is_unsure
            and instance.is_poll_pending
            and not instance.is_probe_pending
            and now >= instance.probe_due
        ):
            # The pending poll may be lost, or a long poll, which is answered only when a run ends.
            instance.probe_due = now + (STRAGGLER_PROBE_AFTER if is_straggler else POLL_RETRY_STEP)
            self._send_poll(instance, timedelta(), now)
            return
        # Once the proposed run ends are recorded, a poll is due at once, and confirms them.
        awaits_record = (
            instance.proposed_through > instance.recorded_through and not instance.has_withheld_ends
        )
        if instance.is_poll_pending or now < instance.poll_due or awaits_record:
            return
        has_unconfirmed_ends = instance.recorded_through > instance.confirmed_through
        if (
            instance.is_fenced
            and not instance.runs
            and not has_unconfirmed_ends
            and not instance.must_poll
        ):
            return
        instance.must_poll = False
        is_calm = instance.is_fenced and instance.failed_polls == 0 and not is_unsure
        can_wait = bool(instance.runs) and is_calm and not instance.has_withheld_ends
        wait = self._find_poll_wait(instance, now) if can_wait else timedelta()
        self._send_poll(instance, wait, now)

    def has_nothing_due(self, instance: Instance, now: timedelta) -> bool:
        """Return whether nothing falls due at an upstream before the end of its lease."""
        return (
            instance.is_fenced
            and instance.failed_polls == 0
            and now >= instance.avoid_until
            and not instance.has_orphaned_runs
            and not self._instances.get_health(instance).is_suspended(now)
            and not any(
                run.stop_requested or run.phase is RunPhase.UNSURE for run in instance.runs.values()
            )
        )

    def find_next_due(self, instance: Instance, now: timedelta) -> timedelta | None:
        """Return the next time at which something is due at an upstream, or None.

        Called once everything that was due is done. None means that only an event can change
        anything.
        """
        if instance.is_over:
            return None
        times = [
            instance.lapse_at if instance.runs else None,
            self._find_poll_due(instance, now),
            *(self._find_stop_due(run) for run in instance.runs.values()),
            *self._instances.list_availability_changes(instance),
        ]
        return min((each for each in times if each is not None and each > now), default=None)

    def schedule_next_poll(self, instance: Instance, now: timedelta) -> None:
        """Set when an upstream that has just answered may be polled again."""
        pause = WITHHELD_POLL_INTERVAL if instance.has_withheld_ends else timedelta()
        instance.poll_due = now + pause

    def _find_poll_due(self, instance: Instance, now: timedelta) -> timedelta | None:
        if instance.is_managed_elsewhere:
            return None
        if not instance.is_poll_pending:
            return instance.poll_due
        may_be_probed = not instance.is_fenced or self._has_unsure_runs(instance)
        if instance.is_probe_pending or not may_be_probed:
            return None
        return max(instance.probe_due, now + PROBE_CHECK_INTERVAL)

    def _find_stop_due(self, run: Run) -> timedelta | None:
        if run.stop_requested:
            return run.stop_due
        if not run.is_orphaned or self._term.is_left_to_leader(run.run):
            return None
        return self._find_tolerated_until(run)

    def _send_poll(self, instance: Instance, wait: timedelta, now: timedelta) -> None:
        # A poll whose answer is lost may still renew the lease. Repeated polls would then keep it
        # from ever ending, so leases are renewed only at upstreams that answer.
        renews = (
            bool(instance.runs)
            and instance.failed_polls == 0
            and not instance.has_disputed_runs
            and not instance.has_withheld_ends
        )
        expires_ms = instance.grant_lease(now) if renews else None
        is_probe = instance.is_poll_pending
        if not is_probe and not instance.is_fenced:
            instance.probe_due = now + STRAGGLER_PROBE_AFTER
        instance.is_probe_pending = instance.is_probe_pending or is_probe
        instance.is_poll_pending = True
        self._term.counts.looks += 1
        order = PollOrder(
            upstream=instance.info,
            last_seen=instance.recorded_through,
            expires_ms=expires_ms,
            wait=wait,
            first_end=self._find_first_end(instance, now),
            is_probe=is_probe,
            # Other polls than probes renew leases, so they are abandoned only when an answer is
            # certainly lost.
            response_timeout=(
                instance.response_timeout.find_timeout() if is_probe else MAX_RESPONSE_TIMEOUT
            ),
        )
        self._term.orders.append(order)

    def _find_poll_wait(self, instance: Instance, now: timedelta) -> timedelta:
        """Return how long the answer to a poll may be delayed if no run ends.

        That is until the progress of a run should be checked, within the limits above. A host that
        is busy leaves these checks to the polls that renew leases.
        """
        wait = LONG_POLL_WAIT
        if self._term.is_busy:
            return wait
        for run in instance.runs.values():
            job = self._jobs.find_job_of(run.task)
            if job is None or run.stop_requested or job.record.spec.long_running:
                continue
            due = find_next_check(run, self._predict(job, run, instance), now)
            if due is not None:
                wait = min(wait, due - now)
        return max(wait, MIN_LONG_POLL_WAIT)

    def _find_first_end(self, instance: Instance, now: timedelta) -> timedelta:
        """Return the time until the first run is expected to end; zero if one is overdue."""
        ends = (
            run.since + self._predict(job, run, instance)
            for run in instance.runs.values()
            if (job := self._jobs.find_job_of(run.task)) is not None
        )
        return max(min(ends, default=now) - now, timedelta())

    def _predict(self, job: OpenJob, run: Run, instance: Instance) -> timedelta:
        step = job.record.spec.steps[run.task.step]
        return self._jobs.forecast.predict_at(job.record.queue.key, step, instance.info)

    def _is_straggler(self, instance: Instance) -> bool:
        """Return whether an instance is one of the last that have not answered this coordinator."""
        unseen = self._instances.unseen
        if instance.info.id not in unseen or instance.failed_polls >= MAX_STRAGGLER_POLLS:
            return False
        return len(unseen) <= MAX_STRAGGLERS_SHARE * len(self._instances.by_id)

    def _has_unsure_runs(self, instance: Instance) -> bool:
        return any(run.phase is RunPhase.UNSURE for run in instance.runs.values())

    def handle_failed_poll(self, instance: Instance, failure: CallFailure, now: timedelta) -> None:
        """Handle a poll that brought no usable answer."""
        self._term.counts.failed_looks += 1
        if failure is CallFailure.FENCED:
            self._term.is_superseded = True
        if failure is CallFailure.INSTANCE_ENDED:
            self.end_instance(instance, now)
            return
        is_long_silent = instance.is_cordoned and is_silent(instance, now, SILENT_AFTER)
        retry = (
            SILENT_POLL_INTERVAL
            if is_long_silent
            else POLL_RETRY_STEP * min(instance.failed_polls, MAX_RETRY_STEPS)
        )
        instance.poll_due = now if self._is_straggler(instance) else now + retry
        instance.failed_polls += 1
        self._jobs.crash_tracker.record_no_answer(instance, now)
        self._unreachable[instance.info.id] = instance
        for run in instance.runs.values():
            if run.phase is RunPhase.UNSURE:
                # No list has shown whether it runs, and it may still begin.
                run.stop_requested = True

    def stop_runs(self, instance: Instance, now: timedelta) -> None:
        """Send the stops that are due."""
        if instance.is_over:
            return
        for key, run in instance.runs.items():
            if run.is_orphaned and not run.stop_requested and not self._is_tolerated(run, now):
                run.stop_requested = True
                self._log_unclaimed(instance, run, now)
            if is_beyond_stops(run, self._term.records, now):
                instance.mark_disputed(key)
            wanted = run.stop_requested and run.stopped_at is None and not run.is_stop_pending
            if wanted and now >= run.stop_due and run.phase is not RunPhase.STARTING:
                if not self._stops_left:
                    self._postponed.append(instance)
                    return
                self._stops_left -= 1
                run.is_stop_pending = True
                if run.first_stop_at is None:
                    run.first_stop_at = now
                self._term.counts.stops += 1
                order = StopOrder(
                    upstream=instance.info,
                    task=run.task,
                    run=run.run,
                    response_timeout=instance.response_timeout.find_timeout(),
                )
                self._term.orders.append(order)

    def _log_unclaimed(self, instance: Instance, run: Run, now: timedelta) -> None:
        self._term.log_decision(
            "run_unclaimed",
            {
                "upstream": instance.info.id,
                "job": run.task.job,
                "run": run.run,
                "borne_ms": to_milliseconds(now - run.since),
            },
        )

    def _is_tolerated(self, run: Run, now: timedelta) -> bool:
        """Return whether an orphaned run may go on: its job may yet be submitted, or is durable."""
        return self._term.is_left_to_leader(run.run) or now < self._find_tolerated_until(run)

    def _find_tolerated_until(self, run: Run) -> timedelta:
        is_elsewhere = self._term.may_be_coordinated_elsewhere(run.run)
        return run.since + (DISPUTED_TOLERATED_FOR if is_elsewhere else ORPHAN_TOLERATED_FOR)

    def evaluate_progress(self, instance: Instance, now: timedelta) -> None:
        """Stop runs that make no progress or are far too slow, so that they start elsewhere.

        Called when an upstream has just listed its runs. How long a long-running task runs says
        nothing about its upstream.
        """
        factor = self._term.speeds.find_factor(instance.info)
        for run in instance.runs.values():
            job = self._jobs.find_job_of(run.task)
            if job is None or run.stop_requested or run.phase is not RunPhase.RUNNING:
                continue
            if job.record.spec.long_running:
                continue
            task = job.tasks.get(run.task)
            if task is None or task.moves >= MAX_MOVES:
                continue
            total = estimate_run_time(run)
            if total is not None:
                job.record_run_time(run.task.step, instance.info.id, total / factor)
            sibling = job.find_sibling_run_time(run.task.step, instance.info.id, factor)
            expected = self._predict(job, run, instance)
            progress_rate = classify_progress(run, expected, sibling)
            if progress_rate is ProgressRate.NORMAL:
                continue
            task.moves += 1
            self._term.counts.moved_runs += 1
            run.stop_requested = True
            self._term.log_decision(
                "run_stalled",
                {
                    "upstream": instance.info.id,
                    "job": run.task.job,
                    "pace": progress_rate.value,
                    "percent": run.percent,
                    "watched_ms": to_milliseconds(now - run.since),
                },
            )
            health = self._instances.get_health(instance)
            if progress_rate is ProgressRate.STALLED:
                health.record_stall(now)
            elif total is not None:
                health.record_run_time_ratio(total / expected, now)

    def abandon_lapsed_runs(self, instance: Instance, now: timedelta) -> None:
        """Abandon all runs of an instance whose lease has certainly ended without an answer."""
        if not instance.runs or now < instance.lapse_at:
            return
        # No run outlives the lease, even if the upstream listed it just before.
        self._term.log_decision(
            "lease_lapsed",
            {
                "upstream": instance.info.id,
                "runs": len(instance.runs),
                "asked_ms_ago": to_milliseconds(
                    now - instance.lapse_at + instance.lease_terms.lapse_after
                ),
                "failed_looks": instance.failed_polls,
                "disputed": int(instance.has_disputed_runs),
            },
        )
        # Nothing is started there until it answers a poll again.
        instance.is_fenced = False
        self._jobs.crash_tracker.record_lapse(instance, now)
        self._abandon_runs(instance)

    def _abandon_runs(self, instance: Instance) -> None:
        """Drop all runs of an instance, and queue their tasks again."""
        for key, run in list(instance.runs.items()):
            self._term.counts.lapsed_runs += 1
            instance.remove_run(key)
            self._jobs.requeue(run.task, run.run, instance.info.id)

    def end_instance(self, instance: Instance, now: timedelta) -> None:
        """Handle the end of an instance: another one answers at its address, so its runs ended."""
        if instance.is_over:
            return
        instance.is_over = True
        self._instances.unseen.discard(instance.info.id)
        self._term.log_decision(
            "upstream_gone", {"upstream": instance.info.id, "runs": len(instance.runs)}
        )
        job_ids = (
            *(run.task.job for run in instance.runs.values()),
            *(task.job for task in instance.lost_tasks.confirmed),
        )
        queues = {
            id: self._jobs.jobs[id].record.queue.key for id in job_ids if id in self._jobs.jobs
        }
        self._jobs.crash_tracker.record_instance_end(instance, queues, now)
        # Until the log has counted the crash, the tasks that ran there are suspected of it.
        self._jobs.crash_tracker.record_lapse(instance, now)
        self._abandon_runs(instance)

    def cordon_idle(self, now: timedelta) -> None:
        """Propose to cordon unreachable and leaving upstreams that certainly run nothing.

        A leader knows at which upstreams it has started something. The next leader does not, and
        without cordons would have to wait for the leases of all upstreams that do not answer it,
        however long these have been gone.
        """
        if not self._term.keeps_log:
            return
        self._unreachable = {
            id: instance
            for id, instance in self._unreachable.items()
            if instance.failed_polls and id in self._instances.by_id
        }
        leaving = (each for each in self._instances.by_id.values() if each.draining)
        candidates = {each.info.id: each for each in (*self._unreachable.values(), *leaving)}
        idle = [each for each in candidates.values() if self._is_surely_idle(each, now)]
        if not idle:
            return
        for instance in idle:
            instance.is_cordoned = True
            self._term.log_decision("upstream_cordoned", {"upstream": instance.info.id})
        cordoned = tuple(instance.info.id for instance in idle)
        lost = tuple(
            LostTasks(upstream=instance.info.id, active_tasks=instance.lost_tasks)
            for instance in idle
            if instance.lost_tasks != NO_ACTIVE_TASKS
        )
        self._term.proposals.append(CordonUpstreams(upstreams=cordoned, lost=lost))

    def _is_surely_idle(self, instance: Instance, now: timedelta) -> bool:
        """Return whether no run of any leader is active at an instance, nor will be.

        That is so if it is unreachable, or leaving: nothing is started there any more.
        """
        is_unreachable = (
            not instance.is_fenced and instance.failed_polls >= FAILED_POLLS_BEFORE_CORDON
        )
        has_left = instance.draining and instance.proposed_through <= instance.recorded_through
        is_lapsed = not instance.runs and now >= max(
            instance.lapse_at, self._term.earlier_leases_lapsed_at
        )
        is_unused = (is_unreachable or has_left) and is_lapsed
        return is_unused and not (instance.is_cordoned or instance.is_over)

    def request_uncordon(self, instance: Instance) -> None:
        """Propose to lift the cordon of an upstream; nothing is started there before the commit.

        It stays on one that is leaving, where nothing is started any more.
        """
        if instance.draining:
            return
        if instance.is_cordoned and not instance.is_uncordoning:
            instance.is_uncordoning = True
            self._term.proposals.append(UncordonUpstream(upstream=instance.info.id))

    def uncordon(self, upstream: UpstreamId) -> None:
        """Use an upstream again: the log now tells every later leader that it may have runs."""
        instance = self._instances.by_id.get(upstream)
        if instance is not None:
            instance.is_cordoned = instance.is_uncordoning = False
            self._instances.mark_changed(instance)
            self._term.log_decision("upstream_uncordoned", {"upstream": upstream})
