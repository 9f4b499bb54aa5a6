"""Tracks which tasks may have crashed upstreams, by what was active at those that were lost.

An upstream is lost when it no longer answers. Its process may have crashed, or it may be
unreachable; that is known once it answers again, or another instance (the next run of its process)
answers at its address. `crashes` has the rules by which tasks are suspected and quarantined, and
what a crash, a loss and an unanswered start count. The coordinator, which applies them, is the host
that schedules jobs: the elected leader, or an acting leader (a gateway that schedules where no
leader can be reached).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..clock import to_milliseconds
from .commands import RecordCrash, RemoveUpstreams
from .crashes import (
    CRASH_ON_START_WITHIN,
    MAX_CRASHES,
    MAX_LOSSES,
    MAX_UNRESOLVED_STARTS,
    NO_ACTIVE_TASKS,
    NO_CRASHES,
    SIMULTANEOUS_WITHIN,
    ActiveTasks,
    CrashCounts,
    Loss,
    StartRestriction,
    Suspect,
    assign_blame,
    has_common_cause,
    is_simultaneous,
)
from .instance_table import InstanceTable
from .instances import Instance
from .model import JobId, QueueKey, TaskRef
from .orders import RunPhase
from .term import Term

LARGEST_RACK = 64
"""A label that more upstreams have than this does not name a rack."""
MIN_KEPT_LOSSES = 64
"""Losses of removed upstreams that are kept in any case."""
MAX_REPORTED_SUSPECTS = 1_000
"""Most suspects kept of those that gateways have reported; those reported first are dropped first,
as their jobs ended long ago."""


class CrashTracker:
    """Losses of upstreams and their possible causes.

    The loss of an upstream that is still known here is in its `Instance`, and nowhere else. Whether
    it crashed may turn out at any time until then, also after an hour. The replicated records hold
    the counts of each task, apart from those that gateways report.
    """

    def __init__(self, *, term: Term, instances: InstanceTable) -> None:
        self._term = term
        self._instances = instances
        self._removed_losses: list[Loss] = []
        """Losses of upstreams that have been removed since, as far as they may share a cause with
        one that is still known here, or is yet to be found, and some others."""
        self._max_removed_losses = MIN_KEPT_LOSSES
        """Number of them above which the others are dropped. A domain may be removed at once, and
        looking for the others takes time for each upstream."""
        self.quarantined: Counter[QueueKey] = Counter()
        """How many tasks of each queue were quarantined in this term for crashing upstreams."""
        self._unresolved_losses: Counter[TaskRef] = Counter()
        """For each task, the number of lost upstreams that had confirmed a run of it, and of which
        it is not known yet whether they crashed."""
        self._unresolved_starts: Counter[TaskRef] = Counter()
        """The same, including upstreams that had not answered the start of a run."""
        self._reported: dict[TaskRef, CrashCounts] = {}
        """Counts from earlier coordinators that gateways have reported with their jobs, without
        what the records already contained."""
        for instance in instances.by_id.values():
            self._unresolved_losses.update(instance.lost_tasks.confirmed)
            self._unresolved_starts.update(instance.lost_tasks.all_tasks)

    def record_no_answer(self, instance: Instance, now: timedelta) -> None:
        """Record that an upstream does not answer."""
        if instance.loss is None:
            self._record_loss(instance, now)

    def _record_loss(self, instance: Instance, now: timedelta) -> Loss:
        if instance.runs:
            self._request_neighbour_polls(instance)
        instance.loss = Loss(
            upstream=instance.info.id,
            at=now,
            domain=instance.info.domain,
            labels=instance.info.labels,
            last_arrival=self._instances.last_arrival_number,
        )
        return instance.loss

    def _request_neighbour_polls(self, instance: Instance) -> None:
        """Have the upstreams polled that may have been lost with this one, as those of its rack.

        Idle upstreams are not polled as a rule, so that a rack that has gone down with one busy
        upstream would look like a crash of that one.
        """
        by_label = {
            label: [each for each in self._instances.by_id.values() if label in each.info.labels]
            for label in instance.info.labels
        }
        for neighbours in by_label.values():
            if len(neighbours) <= LARGEST_RACK:
                for each in neighbours:
                    each.must_poll = True
                    self._instances.mark_changed(each)

    def record_answer(self, instance: Instance) -> tuple[TaskRef, ...]:
        """Record that an upstream answers, and so has not crashed.

        Return the tasks that were active when it was lost, which are no longer suspected of that.
        """
        instance.loss = None
        return self._clear_lost_tasks(instance)

    def record_lapse(self, instance: Instance, now: timedelta) -> None:
        """Remember the tasks that were active when the lease of an upstream lapsed or it ended.

        Their starts are restricted until it is known, and recorded, whether the upstream crashed.
        """
        self._set_lost(instance, _find_active_tasks(instance, now))

    def forget_instance(self, instance: Instance, now: timedelta) -> tuple[TaskRef, ...]:
        """Forget an upstream that the log has removed; return the tasks that were lost there."""
        if instance.loss is not None:
            self._removed_losses.append(instance.loss)
            instance.loss = None
            if len(self._removed_losses) > self._max_removed_losses:
                self._drop_unrelated_losses(now)
        return self._clear_lost_tasks(instance)

    def _drop_unrelated_losses(self, now: timedelta) -> None:
        """Drop losses of removed upstreams that can explain no other one any more."""
        open_losses = self._list_open_losses()
        self._removed_losses = [
            loss
            for loss in self._removed_losses
            if now - loss.at <= SIMULTANEOUS_WITHIN
            or any(is_simultaneous(loss, each) for each in open_losses)
        ]
        self._max_removed_losses = max(2 * len(self._removed_losses), MIN_KEPT_LOSSES)

    def _list_open_losses(self) -> list[Loss]:
        """Return the losses of upstreams of which it is not known whether they crashed."""
        instances = self._instances.by_id.values()
        return [instance.loss for instance in instances if instance.loss is not None]

    def _clear_lost_tasks(self, instance: Instance) -> tuple[TaskRef, ...]:
        lost = instance.lost_tasks.all_tasks
        if lost:
            self._set_lost(instance, NO_ACTIVE_TASKS)
        return lost

    def record_reported_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Record the counts of earlier coordinators that a gateway reports with a job."""
        for suspect in suspects:
            more = suspect.counts.subtract(self.get_counts(suspect.task))
            self._reported[suspect.task] = self._reported.get(suspect.task, NO_CRASHES).add(more)
        while len(self._reported) > MAX_REPORTED_SUSPECTS:
            del self._reported[next(iter(self._reported))]

    def list_suspects(self, job: JobId) -> tuple[Suspect, ...]:
        """Return the tasks of a job under which upstreams have ended, with their counts."""
        tasks = {*self._reported, *self._term.records.suspects}
        of_job = sorted(task for task in tasks if task.job == job)
        return tuple(Suspect(task=task, counts=self.get_counts(task)) for task in of_job)

    def get_counts(self, task: TaskRef) -> CrashCounts:
        """Return the upstream ends counted against a task, in the log or reported by gateways."""
        counts = self._term.records.get_crash_counts(task)
        return counts.add(self._reported.get(task, NO_CRASHES))

    def record_instance_end(
        self, instance: Instance, queues: Mapping[JobId, QueueKey], now: timedelta
    ) -> None:
        """Propose to remove an ended upstream, and to count a crash if it was not leaving.

        `queues` has the queue of each open job with a task that was active there.
        """
        active_tasks = _find_active_tasks(instance, now)
        if instance.draining or active_tasks == NO_ACTIVE_TASKS:
            self._term.proposals.append(RemoveUpstreams(upstreams=(instance.info.id,)))
            return
        loss = instance.loss or self._record_loss(instance, now)
        blamed = (
            []
            if self._has_common_cause(loss)
            else self._find_blamed(active_tasks.confirmed, queues)
        )
        others = tuple(task for task in active_tasks.confirmed if task not in blamed)
        self._term.counts.crashed_upstreams += 1
        self._term.log_decision(
            "upstream_crashed",
            {
                "upstream": instance.info.id,
                "runs": len(active_tasks.confirmed),
                "unsure": len(active_tasks.unconfirmed),
                "blamed": " ".join(f"{task.job}.{task.step}.{task.task_index}" for task in blamed),
                "lost_ms_ago": to_milliseconds(now - loss.at),
            },
        )
        at_ms = self._term.wall_ms()
        self._term.proposals.append(
            RecordCrash(
                upstream=instance.info.id,
                blamed=tuple(blamed),
                others=others,
                unanswered=active_tasks.unconfirmed,
                at_ms=at_ms,
            )
        )

    def record_removal(self, instance: Instance) -> None:
        """Propose to remove an upstream that stays lost; whether it has crashed is unknown."""
        at_ms = self._term.wall_ms()
        self._term.proposals.append(
            RecordCrash(
                upstream=instance.info.id,
                blamed=(),
                others=instance.lost_tasks.confirmed,
                unanswered=instance.lost_tasks.unconfirmed,
                at_ms=at_ms,
            )
        )

    def find_restriction(self, task: TaskRef) -> StartRestriction:
        """Return how the next start of a task is restricted by the outcomes of earlier ones."""
        counts = self.get_counts(task)
        unresolved = self._unresolved_starts[task]
        if not unresolved:
            return StartRestriction.ALONE if counts.crashes else StartRestriction.NONE
        starts = counts.starts + unresolved
        if (
            starts >= MAX_UNRESOLVED_STARTS
            or counts.losses + self._unresolved_losses[task] >= MAX_LOSSES
        ):
            return StartRestriction.BARRED
        return StartRestriction.ALONE_DELAYED if starts >= MAX_CRASHES else StartRestriction.ALONE

    def may_suspect_any(self) -> bool:
        """Return whether `find_restriction` may restrict any task at all."""
        return bool(self._unresolved_starts or self._reported or self._term.records.suspects)

    def _set_lost(self, instance: Instance, active_tasks: ActiveTasks) -> None:
        """Replace the tasks that were lost with an upstream, and adjust the counts of all tasks."""
        self._unresolved_losses.subtract(instance.lost_tasks.confirmed)
        self._unresolved_losses.update(active_tasks.confirmed)
        self._unresolved_starts.subtract(instance.lost_tasks.all_tasks)
        self._unresolved_starts.update(active_tasks.all_tasks)
        # Unary plus drops tasks whose count has come down to zero.
        self._unresolved_losses, self._unresolved_starts = (
            +self._unresolved_losses,
            +self._unresolved_starts,
        )
        instance.lost_tasks = active_tasks

    def _has_common_cause(self, loss: Loss) -> bool:
        losses = [*self._list_open_losses(), *self._removed_losses]
        infos = {
            id: (each.info.domain, each.info.labels)
            for id, each in self._instances.by_id.items()
            if each.arrival_number <= loss.last_arrival
        }
        infos |= {
            each.upstream: (each.domain, each.labels)
            for each in losses
            if is_simultaneous(each, loss)
        }
        sizes: Counter[str] = Counter()
        for domain, labels in infos.values():
            sizes.update((domain, *labels))
        return has_common_cause(loss, losses, sizes)

    def _find_blamed(
        self, active_tasks: tuple[TaskRef, ...], queues: Mapping[JobId, QueueKey]
    ) -> list[TaskRef]:
        known = {task: self.get_counts(task) for task in active_tasks}
        return assign_blame(active_tasks, known, queues, self.quarantined)


def _find_active_tasks(instance: Instance, now: timedelta) -> ActiveTasks:
    """Return the tasks recently started and still active at an upstream, and those lost there."""
    recent = [run for run in instance.runs.values() if now - run.since < CRASH_ON_START_WITHIN]
    found = ActiveTasks(
        confirmed=tuple(run.task for run in recent if run.phase is RunPhase.RUNNING),
        unconfirmed=tuple(run.task for run in recent if run.phase is not RunPhase.RUNNING),
    )
    return found.join(instance.lost_tasks)
