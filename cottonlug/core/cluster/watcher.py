"""Looks at upstreams, stops, leases that lapse, and lives that end."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from ..clock import to_milliseconds
from ..ids import UpstreamId
from .commands import CordonUpstreams, RemoveUpstreams, UncordonUpstream
from .crashes import NO_WORK, LostRuns
from .life_table import LifeTable
from .lives import Life
from .open_job import OpenJob
from .open_jobs import OpenJobs
from .orders import CallFailure, LookOrder, Run, RunPhase, StopOrder
from .patience import LONGEST
from .progress import Pace, find_next_check, find_total, judge_pace
from .term import Term

LOOK_WAIT = timedelta(milliseconds=200)
"""How long a look may be parked; a lease (0.92 s) then outlasts most changes of leader."""
SHORTEST_LOOK = timedelta(milliseconds=20)
"""Shorter parked looks would cost more calls than what they learn is worth."""
LOOK_RETRY = timedelta(milliseconds=100)
STRAGGLERS_SHARE = 0.1
"""While fewer of the upstreams than that have not answered a new leader, they are looked at by
several calls: what runs there is all that jobs wait for."""
STRAGGLER_PATIENCE = timedelta(milliseconds=30)
PROBE_CHECK = timedelta(milliseconds=20)
"""Whether an upstream is one of the last depends on all others, so it is looked at again."""
STRAGGLER_LOOKS = 8
"""After so many it is out of reach, and looked at as others are."""
MOST_RETRY_STEPS = 10
ORPHAN_BORNE = timedelta(milliseconds=300)
"""How long a run of an earlier leader is borne, whose upstream can take no work meanwhile; gateways
submit their jobs again within that time as a rule. Its lease is not renewed."""
DISPUTED_GRACE = timedelta(milliseconds=100)
"""The same for a run that a deputy, or a leader beside a deputy, may still decide about."""
LOOKS_BEFORE_CORDON = 2
"""An upstream that has just joined may miss one."""
SILENT_AFTER = timedelta(seconds=10)
"""Without heartbeats for that long, and with nothing running, a life is forgotten, unless it may be
beyond a cut, where a deputy uses it."""
SILENT_LOOK = timedelta(seconds=5)
"""Between looks at one that may be: a later life at its address answers that it is over."""
CHANNEL_RETENTION = timedelta(hours=1)
"""Longer than domains are cut off as a rule (minutes)."""
MOST_MOVES = 2
"""How often a task is moved: one that stands still everywhere is not moved for ever."""


class Watcher:
    """Keeps leases alive and learns what has become of runs."""

    def __init__(self, *, term: Term, lives: LifeTable, jobs: OpenJobs) -> None:
        self._term = term
        self._lives = lives
        self._jobs = jobs
        self._out_of_sight: dict[UpstreamId, Life] = {}
        """Lives that have not answered a look since they last did."""

    def look(self, life: Life, now: timedelta) -> None:
        """Look at an upstream where its lease or its ends need it."""
        if life.is_over or life.is_foreign:
            return
        is_straggler = self._is_straggler(life)
        is_unsure = is_straggler or self._awaits_stop(life)
        if is_unsure and life.look_is_out and not life.probe_is_out and now >= life.probe_due:
            # The parked look answers only when a run ends.
            life.probe_due = now + (STRAGGLER_PATIENCE if is_straggler else LOOK_RETRY)
            self._send_look(life, timedelta(), now)
            return
        if life.look_is_out or now < life.look_due or life.proposed > life.noted:
            return
        has_news = life.noted > life.confirmed
        if life.is_fenced and not life.runs and not has_news and not life.must_check:
            return
        life.must_check = False
        is_calm = life.is_fenced and life.failed_looks == 0 and not is_unsure
        wait = self._find_wait(life, now) if life.runs and is_calm else timedelta()
        self._send_look(life, wait, now)

    def is_calm(self, life: Life, now: timedelta) -> bool:
        """Whether nothing at an upstream needs the clock but the end of its lease."""
        return (
            life.is_fenced
            and life.failed_looks == 0
            and now >= life.avoid_until
            and not life.has_orphans
            and not self._lives.get_health(life).is_set_aside(now)
            and not any(
                run.stop_wanted or run.phase is RunPhase.UNSURE for run in life.runs.values()
            )
        )

    def find_wake(self, life: Life, now: timedelta) -> timedelta | None:
        """Return when something is due at an upstream by the clock, once all that was due is done.

        None where only an event can bring it on.
        """
        if life.is_over:
            return None
        moments = [
            life.lapse_at if life.runs else None,
            self._find_look_due(life, now),
            *(self._find_stop_due(run) for run in life.runs.values()),
            *self._lives.list_changes(life),
        ]
        return min((each for each in moments if each is not None and each > now), default=None)

    def _find_look_due(self, life: Life, now: timedelta) -> timedelta | None:
        if life.is_foreign:
            return None
        if not life.look_is_out:
            return life.look_due
        may_be_probed = not life.is_fenced or self._awaits_stop(life)
        if life.probe_is_out or not may_be_probed:
            return None
        return max(life.probe_due, now + PROBE_CHECK)

    def _find_stop_due(self, run: Run) -> timedelta | None:
        if run.stop_wanted:
            return run.stop_due
        return self._find_borne_until(run) if run.is_orphan else None

    def _send_look(self, life: Life, wait: timedelta, now: timedelta) -> None:
        # A look that is not answered may renew the lease all the same, and then nothing lapses for
        # as long as it is repeated: only an upstream that answers is given more time.
        renews = bool(life.runs) and life.failed_looks == 0 and not life.has_disputed
        expires_ms = life.grant(now) if renews else None
        is_probe = life.look_is_out
        if not is_probe and not life.is_fenced:
            life.probe_due = now + STRAGGLER_PATIENCE
        life.probe_is_out = life.probe_is_out or is_probe
        life.look_is_out = True
        self._term.counts.looks += 1
        order = LookOrder(
            upstream=life.info,
            last_seen=life.noted,
            expires_ms=expires_ms,
            wait=wait,
            first_end=self._find_first_end(life, now),
            is_probe=is_probe,
            # Others renew leases: they are given up only when an answer is surely lost.
            patience=life.patience.find_limit() if is_probe else LONGEST,
        )
        self._term.orders.append(order)

    def _find_wait(self, life: Life, now: timedelta) -> timedelta:
        """Return how long a look may be parked: until the progress of a run should be known."""
        wait = LOOK_WAIT
        for run in life.runs.values():
            job = self._jobs.jobs.get(run.task.job)
            if job is None or run.stop_wanted or job.record.spec.long_running:
                continue
            due = find_next_check(run, self._predict(job, run), now)
            if due is not None:
                wait = min(wait, due - now)
        return max(wait, SHORTEST_LOOK)

    def _find_first_end(self, life: Life, now: timedelta) -> timedelta:
        """Return how long it is until the first of the runs is expected to end."""
        ends = (
            run.since + self._predict(job, run)
            for run in life.runs.values()
            if (job := self._jobs.jobs.get(run.task.job)) is not None
        )
        return max(min(ends, default=now) - now, timedelta())

    def _predict(self, job: OpenJob, run: Run) -> timedelta:
        step = job.record.spec.steps[run.task.step]
        return self._jobs.forecast.predict(job.record.queue.key, step)

    def _is_straggler(self, life: Life) -> bool:
        """Whether a life is one of the last that have not answered this leader."""
        unseen = self._lives.unseen
        if life.info.id not in unseen or life.failed_looks >= STRAGGLER_LOOKS:
            return False
        return len(unseen) <= STRAGGLERS_SHARE * len(self._lives.by_id)

    def _awaits_stop(self, life: Life) -> bool:
        return any(run.phase is RunPhase.UNSURE for run in life.runs.values())

    def take_failed_look(self, life: Life, failure: CallFailure, now: timedelta) -> None:
        """Learn that a look brought no answer."""
        self._term.counts.failed_looks += 1
        if failure is CallFailure.FENCED:
            self._term.is_fenced_off = True
        if failure is CallFailure.LIFE_ENDED:
            self.end_life(life, now)
            return
        is_gone = life.is_cordoned and _is_silent(life, now, SILENT_AFTER)
        retry = SILENT_LOOK if is_gone else LOOK_RETRY * min(life.failed_looks, MOST_RETRY_STEPS)
        life.look_due = now if self._is_straggler(life) else now + retry
        life.failed_looks += 1
        self._jobs.suspicion.note_silent(life, now)
        self._out_of_sight[life.info.id] = life
        for run in life.runs.values():
            if run.phase is RunPhase.UNSURE:
                run.stop_wanted = True

    def stop_runs(self, life: Life, now: timedelta) -> None:
        """Send the stops that are due."""
        if life.is_over:
            return
        for run in life.runs.values():
            if run.is_orphan and not run.stop_wanted and not self._is_borne(run, now):
                run.stop_wanted = True
                self._note_unclaimed(life, run, now)
            wanted = run.stop_wanted and run.stopped_at is None and not run.stop_is_out
            if wanted and now >= run.stop_due and run.phase is not RunPhase.STARTING:
                run.stop_is_out = True
                self._term.counts.stops += 1
                order = StopOrder(
                    upstream=life.info,
                    task=run.task,
                    run=run.run,
                    patience=life.patience.find_limit(),
                )
                self._term.orders.append(order)

    def _note_unclaimed(self, life: Life, run: Run, now: timedelta) -> None:
        self._term.note(
            "run_unclaimed",
            {
                "upstream": life.info.id,
                "job": run.task.job,
                "run": run.run,
                "borne_ms": to_milliseconds(now - run.since),
            },
        )

    def _is_borne(self, run: Run, now: timedelta) -> bool:
        """Whether the job of a run may still be submitted again."""
        return now < self._find_borne_until(run)

    def _find_borne_until(self, run: Run) -> timedelta:
        is_elsewhere = self._term.may_be_decided_elsewhere(run.run)
        return run.since + (DISPUTED_GRACE if is_elsewhere else ORPHAN_BORNE)

    def judge_runs(self, life: Life, now: timedelta) -> None:
        """Stop runs that stand still or are far too slow, so that they start elsewhere.

        Called with the runs as an upstream has just listed them.
        """
        for run in life.runs.values():
            job = self._jobs.jobs.get(run.task.job)
            if job is None or run.stop_wanted or run.phase is not RunPhase.RUNNING:
                continue
            if job.record.spec.long_running:
                continue
            task = job.tasks.get(run.task)
            if task is None or task.moves >= MOST_MOVES:
                continue
            total = find_total(run)
            if total is not None:
                job.learn_pace(run.task.step, life.info.id, total)
            sibling = job.find_sibling_pace(run.task.step, life.info.id)
            pace = judge_pace(run, self._predict(job, run), sibling)
            if pace is Pace.FINE:
                continue
            task.moves += 1
            self._term.counts.moved_runs += 1
            run.stop_wanted = True
            self._term.note(
                "run_stalled",
                {
                    "upstream": life.info.id,
                    "job": run.task.job,
                    "pace": pace.value,
                    "percent": run.percent,
                    "watched_ms": to_milliseconds(now - run.since),
                },
            )
            health = self._lives.get_health(life)
            if pace is Pace.STANDS_STILL:
                health.take_stall(now)
            elif total is not None:
                health.take_pace(total / self._predict(job, run), now)

    def lapse(self, life: Life, now: timedelta) -> None:
        """Give up all runs of a life whose leases have surely ended without an answer."""
        if not life.runs or now < life.lapse_at:
            return
        # A run cannot outlive the lease, whatever the last looks said.
        self._term.note(
            "lease_lapsed",
            {
                "upstream": life.info.id,
                "runs": len(life.runs),
                "asked_ms_ago": to_milliseconds(now - life.lapse_at + life.terms.lapse_after),
                "failed_looks": life.failed_looks,
                "disputed": int(life.has_disputed),
            },
        )
        life.is_fenced = False
        self._jobs.suspicion.note_lapse(life, now)
        self._give_up_runs(life)

    def _give_up_runs(self, life: Life) -> None:
        for key, run in list(life.runs.items()):
            self._term.counts.lapsed_runs += 1
            life.remove_run(key)
            self._jobs.requeue(run.task, run.run, life.info.id)

    def end_life(self, life: Life, now: timedelta) -> None:
        """A later life holds the address: nothing of this one can run any more."""
        if life.is_over:
            return
        life.is_over = True
        self._lives.unseen.discard(life.info.id)
        self._term.note("upstream_gone", {"upstream": life.info.id, "runs": len(life.runs)})
        runs = (
            *(run.task.job for run in life.runs.values()),
            *(task.job for task in life.lost.tasks),
        )
        queues = {id: self._jobs.jobs[id].record.queue.key for id in runs if id in self._jobs.jobs}
        self._jobs.suspicion.note_end(life, queues, now)
        # Until the log has counted it, what ran there may have crashed it.
        self._jobs.suspicion.note_lapse(life, now)
        self._give_up_runs(life)

    def cordon(self, now: timedelta) -> None:
        """Put into the log which upstreams out of sight surely run nothing.

        A leader knows at which upstreams it has started something; the next one does not, and had
        to wait for the leases of all that it did not see, however long they had been gone.
        """
        if not (self._out_of_sight and self._term.keeps_log):
            return
        self._out_of_sight = {
            id: life
            for id, life in self._out_of_sight.items()
            if life.failed_looks and id in self._lives.by_id
        }
        idle = [life for life in self._out_of_sight.values() if self._is_surely_idle(life, now)]
        if not idle:
            return
        for life in idle:
            life.is_cordoned = True
            self._term.note("upstream_cordoned", {"upstream": life.info.id})
        cordoned = tuple(life.info.id for life in idle)
        lost = tuple(
            LostRuns(upstream=life.info.id, at_work=life.lost)
            for life in idle
            if life.lost != NO_WORK
        )
        self._term.proposals.append(CordonUpstreams(upstreams=cordoned, lost=lost))

    def _is_surely_idle(self, life: Life, now: timedelta) -> bool:
        is_out_of_sight = not life.is_fenced and life.failed_looks >= LOOKS_BEFORE_CORDON
        is_lapsed = not life.runs and now >= max(life.lapse_at, self._term.lapsed_at)
        return is_out_of_sight and is_lapsed and not (life.is_cordoned or life.is_over)

    def want_uncordoned(self, life: Life) -> None:
        """Put into the log that an upstream is to be used again; until then it is not."""
        if life.is_cordoned and not life.is_uncordoning:
            life.is_uncordoning = True
            self._term.proposals.append(UncordonUpstream(upstream=life.info.id))

    def uncordon(self, upstream: UpstreamId) -> None:
        """Use an upstream again, now that every later leader will know."""
        life = self._lives.by_id.get(upstream)
        if life is not None:
            life.is_cordoned = life.is_uncordoning = False
            self._lives.touch(life)
            self._term.note("upstream_uncordoned", {"upstream": upstream})

    def forget_silent(self, now: timedelta, *, may_be_used: Callable[[], bool]) -> None:
        """Forget lives that have been silent, with nothing running.

        Where `may_be_used` says that a deputy may order those that are not leaving, beyond a cut,
        they stay in the record, cordoned, so that jobs which a deputy has begun wait for them.
        """
        if not self._term.keeps_log:
            # Deputies get no heartbeats.
            return
        for life in self._lives.by_id.values():
            if life.is_over or life.runs or not _is_silent(life, now, SILENT_AFTER):
                continue
            may_be_kept = not (life.draining or _is_silent(life, now, CHANNEL_RETENTION))
            if may_be_kept and may_be_used():
                self._cordon_silent(life)
                continue
            life.is_over = True
            self._term.note("upstream_silent", {"upstream": life.info.id})
            if life.lost != NO_WORK:
                self._jobs.suspicion.note_gone(life)
            else:
                self._term.proposals.append(RemoveUpstreams(upstreams=(life.info.id,)))

    def _cordon_silent(self, life: Life) -> None:
        if not life.is_cordoned:
            life.is_cordoned, life.is_fenced = True, False
            self._term.proposals.append(CordonUpstreams(upstreams=(life.info.id,)))


def _is_silent(life: Life, now: timedelta, span: timedelta) -> bool:
    heard_at = max(life.heard_at or timedelta(), life.contact_at or timedelta())
    return now - heard_at >= span
