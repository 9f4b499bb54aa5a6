"""Builds the batches of waiting tasks: when each must start at the latest, by the forecasts."""

from __future__ import annotations

from datetime import timedelta

from .backlog import Batch
from .crashes import StartRestriction
from .forecast import USEFUL_FACTOR, Forecast
from .model import Queue
from .open_job import OpenJob

START_MARGIN_SHARE = 0.4
"""Share of the wait allowed by the objective, beyond the queue's target latency, that is reserved
for longer runs than expected: run times scatter by 0.4 on a logarithmic scale (its benefit is in
docs/design/platform.md)."""
NEVER_LATE = timedelta.max
"""Latest start of long-running tasks: they go before all others and are never abandoned."""


def build_batch(
    job: OpenJob,
    occurrence: int,
    number: int,
    task_indexes: list[int],
    *,
    restriction: StartRestriction,
    forecast: Forecast,
    start_delay: timedelta,
) -> Batch:
    """Return a batch of tasks of step `number` of an occurrence.

    `start_delay` is how long the start of all of them takes.
    """
    step = job.record.spec.steps[number]
    due_at = job.occurrences[occurrence].due_at
    queue = job.record.queue
    chain = forecast.predict_chain(queue.key, job.record.spec, number)
    run_time = forecast.predict(queue.key, step)
    longest_wait = find_max_wait(queue, job.objective, chain)
    batch = Batch(
        job=job.record,
        occurrence=occurrence,
        step_number=number,
        step=step,
        latest_start=due_at + longest_wait - start_delay,
        latest_task_start=due_at + job.objective - chain,
        has_begun=job.has_begun,
        latest_useful_start=due_at + job.objective * USEFUL_FACTOR - chain,
        run_time=run_time,
        chain=chain,
        core_ms=run_time / timedelta(milliseconds=1) * step.needs.cpu_millis / 1000,
        restriction=restriction,
        waiting=task_indexes,
    )
    if job.record.spec.long_running:
        # It must be running again within seconds, however full the service is: it is urgent at
        # once, and never becomes late.
        batch.latest_start = due_at
        batch.latest_task_start = batch.latest_useful_start = NEVER_LATE
        batch.has_begun = True
    return batch


def find_max_wait(queue: Queue, objective: timedelta, chain: timedelta) -> timedelta:
    """Return how long after a job arrived or was due a step may start, less a margin for run times.

    `chain` is the expected time from that start to the end of the job.
    """
    slack = objective - chain
    for_run_times = slack - timedelta(milliseconds=queue.target_latency_ms)
    return slack - max(for_run_times, timedelta()) * START_MARGIN_SHARE
