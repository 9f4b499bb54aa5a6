"""Job queue: ordered by priority (0 first), then weighted fairness between teams, then short work.

Fairness is start-time fair queueing: each team has a virtual time that grows by the work that it
starts divided by its weight, and the team with the lowest virtual time is served next. Within a
team, jobs are ordered by arrival time plus a multiple of their expected work. This gives built-in
ageing: a long job is overtaken only by short ones that arrive within that fixed time.
"""

from __future__ import annotations

import heapq
from collections.abc import Generator
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from typing import NamedTuple

from .ids import SubmissionId, TeamName
from .jobs import Job

_SHARED_TEAM = TeamName("")


class _Entry(NamedTuple):
    """A job in the heap of its team; jobs of equal rank are in the order in which they came."""

    rank: float
    order: int
    job: Job


@dataclass(frozen=True, slots=True)
class Turn:
    """A job, and how many of its tasks may start before the next job is offered."""

    job: Job
    tasks: int


@dataclass(slots=True, kw_only=True)
class _TeamQueue:
    weight: float
    virtual_time: float
    entries: list[_Entry] = field(default_factory=list)


class JobQueue:
    """Orders the jobs of one entry host that have queued tasks."""

    def __init__(self, *, work_factor: float, fair_teams: bool) -> None:
        self._work_factor = work_factor
        self._fair_teams = fair_teams
        self._teams_by_priority: dict[int, dict[TeamName, _TeamQueue]] = {}
        self._weights: dict[TeamName, float] = {}
        self._virtual_now: dict[int, float] = {}
        self._queued_ids: set[SubmissionId] = set()
        self._order = count()

    def set_weight(self, team: TeamName, weight: float) -> None:
        """Set a team's weight relative to other teams; the default is 1."""
        self._weights[team] = weight
        for teams in self._teams_by_priority.values():
            if team in teams:
                teams[team].weight = weight

    def push(self, job: Job, expected_work: timedelta) -> None:
        """Add a job with queued tasks, unless it is in the queue already.

        A team without other jobs starts at the virtual time of the team served last, so that it
        gets no credit for the time when it had none.
        """
        if job.id in self._queued_ids:
            return
        self._queued_ids.add(job.id)
        teams = self._teams_by_priority.setdefault(job.spec.priority, {})
        floor = self._virtual_now.get(job.spec.priority, 0.0)
        name = self._get_team(job)
        team = teams.get(name)
        if team is None:
            weight = self._weights.get(name, 1.0)
            team = _TeamQueue(weight=weight, virtual_time=floor)
            teams[name] = team
        elif not team.entries:
            team.virtual_time = max(team.virtual_time, floor)
        arrival = job.accepted_at.total_seconds()
        rank = arrival + self._work_factor * expected_work.total_seconds()
        job.rank = rank
        heapq.heappush(team.entries, _Entry(rank, next(self._order), job))

    def iterate_turns(self) -> Generator[Turn]:
        """Yield the next job to start tasks of, until no job is left.

        Between two steps the caller starts tasks of it and reports each with `charge`. A job of
        which the caller starts none is offered again only on the next call.
        """
        for priority in sorted(self._teams_by_priority):
            skipped: list[tuple[_TeamQueue, _Entry]] = []
            try:
                yield from self._iterate_priority(priority, skipped)
            finally:
                for team, entry in skipped:
                    heapq.heappush(team.entries, entry)

    def charge(self, job: Job, work: timedelta) -> None:
        """Add started work, divided by the team's weight, to the virtual time of the job's team."""
        team = self._teams_by_priority[job.spec.priority][self._get_team(job)]
        team.virtual_time += work.total_seconds() / team.weight

    def _get_team(self, job: Job) -> TeamName:
        return job.spec.team if self._fair_teams else _SHARED_TEAM

    def _iterate_priority(
        self, priority: int, skipped: list[tuple[_TeamQueue, _Entry]]
    ) -> Generator[Turn]:
        teams = self._teams_by_priority[priority]
        while True:
            waiting = [team for team in teams.values() if team.entries]
            if not waiting:
                return
            team = min(waiting, key=lambda candidate: candidate.virtual_time)
            entry = team.entries[0]
            job = entry.job
            if job.ended or not job.queued:
                heapq.heappop(team.entries)
                self._queued_ids.discard(job.id)
                continue
            self._virtual_now[priority] = team.virtual_time
            before = len(job.queued)
            yield Turn(job, len(job.queued) if len(waiting) == 1 else 1)
            if len(job.queued) == before:
                heapq.heappop(team.entries)
                skipped.append((team, entry))
