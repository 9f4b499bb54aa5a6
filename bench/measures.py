"""Measures of a run as its callers see it, and confidence intervals of gains between variants."""

from __future__ import annotations

import random
import statistics
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from .load import Run, SubmittedJob, iterate_submitted
from .scenarios import Scenario

RESAMPLES = 2_000
EARLY_REFUSAL_SHARE = 0.25
"""A refusal within this share of the objective leaves the caller time to act."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Measures:
    """Shares of the jobs submitted in the seconds that a scenario measures.

    `worth`, `worth_of_day` and `worst_kind` are weighted by worth, the others are not;
    `worth_of_day` covers all jobs of the run, whenever they were submitted.
    """

    worth: float
    worth_of_day: float
    in_time: float
    served: float
    refused: float
    refused_early: float
    """Share of the refused jobs that were refused within a quarter of their objective."""
    refusal_over_objective: float
    """Median time to refusal, as a multiple of the objective."""
    worst_kind: float
    """Lowest worth among the kinds of jobs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfidenceInterval:
    """A mean and its 95 percent confidence interval."""

    mean: float
    low: float
    high: float


def measure(run: Run, scenario: Scenario) -> Measures:
    """Return the measures of a run that has ended."""
    all_jobs = [each for each in run.jobs.values() if not each.is_poisoned]
    concerned_jobs = list(iterate_submitted(run, scenario.first_second, scenario.last_second))
    waits = [
        (each.refused_at - each.submitted_at) / each.objective
        for each in concerned_jobs
        if each.refused_at is not None and each.ended_at is None
    ]
    kinds = {each.kind.name for each in concerned_jobs}
    return Measures(
        worth=_compute_worth_share(concerned_jobs),
        worth_of_day=_compute_worth_share(all_jobs),
        in_time=sum(each.earned == each.worth for each in concerned_jobs) / len(concerned_jobs),
        served=sum(each.ended_at is not None for each in concerned_jobs) / len(concerned_jobs),
        refused=len(waits) / len(concerned_jobs),
        refused_early=sum(wait <= EARLY_REFUSAL_SHARE for wait in waits) / max(len(waits), 1),
        refusal_over_objective=statistics.median(waits) if waits else 0.0,
        worst_kind=min(
            _compute_worth_share([each for each in concerned_jobs if each.kind.name == kind])
            for kind in kinds
        ),
    )


def _compute_worth_share(jobs: Sequence[SubmittedJob]) -> float:
    return sum(each.earned for each in jobs) / sum(each.worth for each in jobs)


def compute_means(measured: Sequence[Measures]) -> dict[str, float]:
    """Return the mean of each measure over all seeds."""
    rows = [asdict(each) for each in measured]
    return {key: round(statistics.mean(row[key] for row in rows), 4) for key in rows[0]}


def compute_gain(ours: Sequence[Measures], others: Sequence[Measures]) -> ConfidenceInterval:
    """Return the gain in worth of one variant over another, in pairs of the same seed.

    The confidence interval is computed by resampling the pairs (bootstrap).
    """
    gains = [one.worth - other.worth for one, other in zip(ours, others, strict=True)]
    chance = random.Random(1)
    means = sorted(statistics.mean(chance.choices(gains, k=len(gains))) for _ in range(RESAMPLES))
    return ConfidenceInterval(
        mean=round(statistics.mean(gains), 4),
        low=round(means[int(0.025 * RESAMPLES)], 4),
        high=round(means[int(0.975 * RESAMPLES)], 4),
    )
