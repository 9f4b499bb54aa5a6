"""What one leader decides while its term lasts: which task starts where, what is stopped and seen.

The record is the replicated truth; all that is kept here besides can be learnt again. The program
round it delivers events and then takes orders to carry out and commands to propose.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import DomainName, UpstreamId
from .admission import Rejection
from .adoption import Adopter
from .commands import (
    AcceptJob,
    AddUpstream,
    CancelJob,
    Command,
    NoteCrash,
    NoteEnds,
    RemoveUpstreams,
    SetDraining,
    SetEvacuation,
    UncordonUpstream,
)
from .ends import Ends
from .filler import Filler
from .life_table import LifeTable
from .lives import LeaseTerms, Life
from .model import (
    Heartbeat,
    JobId,
    JobSpec,
    JobState,
    LookReply,
    Queue,
)
from .open_job import OpenJob, Submission, TaskPhase
from .open_jobs import OpenJobs
from .orders import (
    CallFailure,
    LookOrder,
    Order,
    RunPhase,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from .records import JobRecord, Records, end_job
from .registry import Registry
from .reports import USUAL_REPORTS, ReportTerms, find_avoided
from .settlement import Settlement
from .suspicion import Suspicion
from .term import DispatchCounts, Note, Term, WallTime
from .wakes import Wakes
from .watcher import Watcher

STOP_RETRY = timedelta(milliseconds=50)
SWEEP_EVERY = timedelta(milliseconds=100)
"""How often all upstreams are gone through; in between only those of which something was heard, or
for which something is due by the clock."""
AVOID_AFTER_REFUSAL = timedelta(milliseconds=300)
LONGEST_LIST = 500
"""A look lists at most that many ends; a full list may hide more."""


class Dispatch:
    """The decisions of one leader."""

    def __init__(
        self,
        *,
        records: Records,
        term: int,
        terms: LeaseTerms,
        now: timedelta,
        wall_ms: WallTime,
        note: Note,
        on_end: Callable[[JobId], None],
        domain: DomainName | None = None,
        keeps_log: bool = True,
        reports: ReportTerms = USUAL_REPORTS,
        known_until: timedelta = timedelta(),
    ) -> None:
        self._term = Term(
            number=term,
            began_at=now,
            records=records,
            lease=terms,
            wall_ms=wall_ms,
            note=note,
            on_end=on_end,
            domain=domain,
            keeps_log=keeps_log,
            reports=reports,
            known_until=known_until,
        )
        self._lives = LifeTable(term=self._term)
        suspicion = Suspicion(term=self._term, lives=self._lives)
        self._jobs = OpenJobs(term=self._term, lives=self._lives, suspicion=suspicion)
        self._watcher = Watcher(term=self._term, lives=self._lives, jobs=self._jobs)
        self._adopter = Adopter(term=self._term, lives=self._lives, jobs=self._jobs)
        self._filler = Filler(term=self._term, lives=self._lives, jobs=self._jobs)
        self._settlement = Settlement(term=self._term, lives=self._lives, jobs=self._jobs)
        self._ends = Ends(
            term=self._term, lives=self._lives, jobs=self._jobs, settlement=self._settlement
        )
        self.may_be_stood_in_for: Callable[[], bool] = lambda: True
        """Whether a gateway that is out of touch may stand in for this host."""
        self._registry = Registry(term=self._term, lives=self._lives)
        self._wakes = Wakes()
        self._sweep_due = now

    # What it knows

    @property
    def jobs(self) -> OpenJobs:
        """Jobs that have not ended, and those that ended lately."""
        return self._jobs

    @property
    def lives(self) -> dict[UpstreamId, Life]:
        """Lives of upstreams by id."""
        return self._lives.by_id

    @property
    def counts(self) -> DispatchCounts:
        """What was done in this term."""
        return self._term.counts

    @property
    def is_fenced_off(self) -> bool:
        """Whether an upstream has taken orders under a higher token."""
        return self._term.is_fenced_off

    def forgive_fence(self) -> None:
        """Forget the higher token, since a later term is asked for."""
        self._term.is_fenced_off = False

    def find_rejection(
        self, queue: Queue, spec: JobSpec, waited: timedelta, now: timedelta
    ) -> Rejection | None:
        """Return why a job is not taken at the moment that has waited elsewhere, or None."""
        return self._filler.find_rejection(queue, spec, waited, now)

    def take_heartbeat(self, heartbeat: Heartbeat, now: timedelta) -> None:
        """Learn that an upstream lives, what it has to give, and whether it is leaving."""
        self._registry.take_heartbeat(heartbeat, now)

    def take_heard(
        self, upstream: UpstreamId, sequence: int, clock_ms: int | None, at: timedelta
    ) -> None:
        """Learn that another host has answered a heartbeat in which nothing was new."""
        self._registry.take_heard(upstream, sequence, clock_ms, at)

    def take_leave(self, upstream: UpstreamId) -> None:
        """Send no more work to an upstream."""
        self._registry.take_leave(upstream)

    def note_listening(self, upstream: UpstreamId, is_listening: bool) -> None:
        """Learn whether an order would reach an upstream at once."""
        life = self._lives.by_id.get(upstream)
        if life is not None:
            life.is_listening = is_listening

    def submit(self, record: JobRecord, submission: Submission, now: timedelta) -> None:
        """Take a job that need not be kept; what another host started of it goes on."""
        # What runs at an upstream out of sight ends when its lease does.
        is_new = self._settlement.is_settled and not submission.may_have_begun
        of_deputies = submission.may_be_of_deputy
        is_unsure = not is_new and self._settlement.is_unsure(of_deputies=of_deputies)
        self._jobs.rejections.pop(record.id, None)
        self._jobs.given_up.discard(record.id)
        phase = TaskPhase.UNKNOWN if is_unsure else TaskPhase.QUEUED
        self._jobs.open(record, phase, now, submission.waited)
        job = self._jobs.jobs[record.id]
        job.gateway = submission.gateway
        job.home = submission.home
        job.vouched_until = submission.vouched_until
        job.may_be_of_deputy = submission.may_be_of_deputy
        job.has_begun = job.has_begun or submission.may_have_begun
        if is_unsure:
            job.settle_at = now + submission.settle_after
            self._settlement.note_unsure()
        self._ends.claim(record, now)
        if not self._lives.may_have_orphans and record.id not in self._jobs.left_behind:
            return
        for life in self._lives.by_id.values():
            for run in [each for each in life.runs.values() if each.task.job == record.id]:
                self._adopter.adopt_orphan(job, life, run)
                self._lives.touch(life)

    def is_given_up(self, id: JobId) -> bool:
        """Whether a task of a job is not to be started again, for upstreams that have crashed."""
        return any(each.counts.is_given_up for each in self._jobs.suspicion.list_suspects(id))

    def join(self, id: JobId, submission: Submission, now: timedelta) -> None:
        """Learn from a second submission of an open job that another host may have begun it.

        Not from the gateway of the first: had it been at another host since, this one would have
        given the job up. It only repeats what had no answer here.
        """
        job = self._jobs.jobs.get(id)
        if job is None or not submission.may_have_begun or submission.gateway == job.gateway:
            return
        job.may_be_of_deputy = job.may_be_of_deputy or submission.may_be_of_deputy
        if not self._settlement.is_unsure(of_deputies=job.may_be_of_deputy):
            return
        job.settle_at = max(job.settle_at, now + submission.settle_after)
        self._jobs.doubt(job)
        self._settlement.note_unsure()

    def abandon(self, id: JobId, gateway: str, now: timedelta) -> None:
        """Give up a job that need not be kept, since its gateway waits for it no more.

        One that has come again through another gateway in the meantime is left alone.
        """
        job = self._jobs.jobs.get(id)
        if job is not None and job.gateway == gateway:
            self._give_up(job, now)

    def _give_up(self, job: OpenJob, now: timedelta) -> None:
        if job.record.spec.best_effort:
            end_job(job.record, JobState.CANCELLED, self._term.wall_ms())
            self._jobs.close_if_ended(job.record.id, now)

    def cancel(self, id: JobId, now: timedelta) -> bool:
        """End a job that need not be kept by its caller's wish; False where there is none."""
        job = self._jobs.jobs.get(id)
        if job is None or not job.record.spec.best_effort:
            return False
        self._jobs.ended[id] = (JobState.CANCELLED, now)
        self._give_up(job, now)
        return True

    def abandon_silent(self, is_heard: Callable[[str], bool], now: timedelta) -> None:
        """Give up the jobs of gateways that are not heard: they may have gone to another host."""
        heard: dict[str, bool] = {"": True}
        for job in list(self._jobs.jobs.values()):
            if job.gateway not in heard:
                heard[job.gateway] = is_heard(job.gateway)
            if not heard[job.gateway] and now >= job.vouched_until:
                self._term.note("gateway_silent", {"gateway": job.gateway, "job": job.record.id})
                self._give_up(job, now)

    def abandon_gateway(self, gateway: str, now: timedelta) -> None:
        """Give up all that a gateway has submitted: it began anew, and waits for none of it."""
        for job in list(self._jobs.jobs.values()):
            if job.gateway == gateway:
                self._give_up(job, now)

    def take_applied(self, command: Command, now: timedelta) -> None:
        """Act on a command that the record has just carried out."""
        if isinstance(command, AcceptJob):
            job = self._term.records.jobs.get(command.job)
            if job is not None and job.is_open and job.id not in self._jobs.jobs:
                self._jobs.open(job, TaskPhase.QUEUED, now, self._jobs.find_age(job))
        elif isinstance(command, NoteEnds):
            self._ends.take_noted(command, now)
        elif isinstance(command, CancelJob):
            self._jobs.close_if_ended(command.job, now)
        elif isinstance(command, AddUpstream):
            self._registry.take_added(command, now)
        elif isinstance(command, SetDraining):
            if command.upstream in self._lives.by_id:
                self._lives.by_id[command.upstream].draining = True
        elif isinstance(command, SetEvacuation):
            self._take_evacuation(command, now)
        elif isinstance(command, UncordonUpstream):
            self._watcher.uncordon(command.upstream)
        elif isinstance(command, NoteCrash):
            self._drop(command.upstream)
            suspects = (*command.blamed, *command.others, *command.unanswered)
            self._jobs.fail_crashing(suspects, now)
        elif isinstance(command, RemoveUpstreams):
            for upstream in command.upstreams:
                self._drop(upstream)

    def _take_evacuation(self, command: SetEvacuation, now: timedelta) -> None:
        """Start nothing more in a domain, or take its upstreams back."""
        runs = self._lives.set_evacuated(command.domain, now)
        record = self._term.records.evacuations.get(command.domain)
        self._term.note(
            "domain_evacuated" if record.is_evacuated else "domain_taken_back",
            {"domain": command.domain, "revision": record.revision, "runs": runs},
        )
        if record.is_evacuated:
            self._filler.reject_evacuated(now)

    def _drop(self, upstream: UpstreamId) -> None:
        life = self._lives.by_id.get(upstream)
        self._lives.drop(upstream)
        if life is not None:
            # The log has counted its end, or it has left: its tasks wait for that no more.
            self._jobs.release(self._jobs.suspicion.forget(life))

    def take_start_answer(
        self,
        order: StartOrder,
        outcome: StartOutcome,
        clock_ms: int | None,
        now: timedelta,
    ) -> None:
        """Learn what became of a start."""
        life = self._lives.by_id.get(order.upstream.id)
        if life is None:
            return
        self._lives.touch(life)
        if clock_ms is not None:
            life.take_clock(clock_ms, now)
        run = life.runs.get((order.task, order.run))
        if outcome is StartOutcome.FENCED:
            self._term.is_fenced_off = True
        if outcome is StartOutcome.LIFE_ENDED:
            self._watcher.end_life(life, now)
        if run is None or run.phase is not RunPhase.STARTING:
            return
        if outcome is not StartOutcome.UNKNOWN:
            life.patience.receive_answer(now - run.since)
        if outcome is StartOutcome.STARTED:
            self._term.counts.started += 1
            life.refusals = 0
            run.phase = RunPhase.RUNNING
            run.advanced_at = now
            return
        if outcome is StartOutcome.UNKNOWN:
            self._term.counts.unknown_starts += 1
            # The next look tells whether it runs; it is stopped only where that does not list it.
            run.phase = RunPhase.UNSURE
            run.unsure_at = now
            # A look under way tells sooner whether the upstream answers.
            life.avoid_until = now + order.patience
            return
        self._term.counts.refused_starts += 1
        self._term.note(
            "start_refused",
            {"upstream": life.info.id, "job": order.task.job, "reason": outcome.value},
        )
        life.avoid_until = now + self._find_avoided(life, outcome)
        life.remove_run((order.task, order.run))
        self._jobs.requeue(order.task, order.run, life.info.id)

    def _find_avoided(self, life: Life, outcome: StartOutcome) -> timedelta:
        """Return how long nothing is started at an upstream after a refusal."""
        if outcome is not StartOutcome.NO_ROOM:
            return AVOID_AFTER_REFUSAL
        self._term.counts.starts_without_room += 1
        life.refusals += 1
        return find_avoided(life.refusals)

    def take_stop_answer(
        self, order: StopOrder, failure: CallFailure | None, now: timedelta
    ) -> None:
        """Learn whether a stop has arrived."""
        life = self._lives.by_id.get(order.upstream.id)
        if life is None:
            return
        self._lives.touch(life)
        if failure is CallFailure.FENCED:
            self._term.is_fenced_off = True
        if failure is CallFailure.LIFE_ENDED:
            self._watcher.end_life(life, now)
            return
        run = life.runs.get((order.task, order.run))
        if run is None:
            return
        run.stop_is_out = False
        if failure is None:
            run.stopped_at = now
            # The next look shows whether it is gone; until then its task starts nowhere.
            life.probe_due = now
        else:
            run.stop_due = now + STOP_RETRY

    def take_look(
        self,
        order: LookOrder,
        reply: LookReply | CallFailure,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Learn what runs and what has ended at an upstream."""
        life = self._lives.by_id.get(order.upstream.id)
        if life is None:
            return
        self._lives.touch(life)
        if order.is_probe:
            life.probe_is_out = False
        else:
            life.look_is_out = False
        if isinstance(reply, CallFailure):
            self._watcher.take_failed_look(life, reply, now)
            return
        life.failed_looks = 0
        life.contact_at = now
        life.look_due = now
        life.confirmed = max(life.confirmed, order.last_seen)
        life.take_clock(reply.clock_ms, now)
        if not life.is_fenced:
            life.is_fenced = True
            self._term.note("upstream_adopted", {"upstream": life.info.id})
        self._lives.unseen.discard(life.info.id)
        self._jobs.release(self._jobs.suspicion.note_answer(life))
        self._watcher.want_uncordoned(life)
        self._ends.take_listed(life, reply.ended, now)
        if reply.clock_ms <= life.listed_ms:
            # Overtaken by a later answer on another connection: what it lists may have ended.
            self._term.note(
                "list_overtaken",
                {
                    "upstream": life.info.id,
                    "clock_ms": reply.clock_ms,
                    "newest_ms": life.listed_ms,
                    "sent_ms_ago": to_milliseconds(now - sent_at),
                    "ends": len(reply.ended),
                },
            )
            return
        life.listed_ms = reply.clock_ms
        for report in reply.running:
            self._adopter.take_running(life, report, now)
        self._watcher.judge_runs(life, now)
        if len(reply.ended) < LONGEST_LIST:
            self._drop_vanished(life, reply, sent_at, now)

    def tick(self, now: timedelta) -> None:
        """Do everything that is due and fill free room; take orders and proposals afterwards."""
        is_sweep = now >= self._sweep_due
        self._jobs.open_due(self._settlement.first_phase, now)
        self._settlement.settle(now)
        due = self._take_due(now)
        lives = list(self._lives.by_id.values()) if is_sweep else due
        for life in lives:
            self._watcher.lapse(life, now)
            self._watcher.stop_runs(life, now)
        if self._term.may_start:
            self._filler.fill(now, None if is_sweep else lives)
        changed = (*lives, *self._lives.take_touched())
        for id, life in {each.info.id: each for each in changed}.items():
            self._watcher.look(life, now)
            if self._watcher.is_calm(life, now) and (self._wakes.has(id) or not life.runs):
                # Nothing is due before its lease ends, and that moment only moves away.
                continue
            self._wakes.set(id, self._watcher.find_wake(life, now))
        if is_sweep:
            self._sweep(now)

    def _take_due(self, now: timedelta) -> list[Life]:
        """Return the lives of which something was heard, and those for which something is due."""
        for id in self._wakes.take_due(now):
            life = self._lives.by_id.get(id)
            if life is not None:
                self._lives.touch(life)
        return self._lives.take_touched()

    def _sweep(self, now: timedelta) -> None:
        """Forget what is long over."""
        self._sweep_due = now + SWEEP_EVERY
        self._watcher.cordon(now)
        self._watcher.forget_silent(now, may_be_used=self.may_be_stood_in_for)
        self._registry.doubt_capacities(now)
        self._lives.look_for_orphans()
        self._jobs.forget_ended(now)
        self._ends.forget_orphans(now)

    def take_orders(self) -> list[Order]:
        """Return what is to be sent to upstreams."""
        orders, self._term.orders = self._term.orders, []
        return orders

    def take_proposals(self) -> list[Command]:
        """Return what is to be put into the log."""
        proposals, self._term.proposals = self._term.proposals, []
        return proposals

    def _drop_vanished(
        self, life: Life, reply: LookReply, sent_at: timedelta, now: timedelta
    ) -> None:
        """Give up runs that were stopped before this look was sent and are not there.

        One whose start had no answer, and which is not there, may still begin: it is stopped.
        """
        there = {(report.task, report.run) for report in reply.running}
        for key, run in list(life.runs.items()):
            if key in there:
                continue
            if run.phase is RunPhase.UNSURE and run.unsure_at <= sent_at:
                run.stop_wanted = True
            if run.stopped_at is not None and run.stopped_at <= sent_at:
                life.remove_run(key)
                self._jobs.requeue(run.task, run.run, life.info.id)
