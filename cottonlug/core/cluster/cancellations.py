"""Ends runs of cancelled durable jobs even if no stop reaches their upstream.

An upstream that answers polls but gets no stops would go on with such a run for as long as its
lease is renewed. Where a cancelled best-effort job runs, no lease is renewed after the cancel, see
`OpenJobs.close_if_ended`. A lease covers everything that runs at an upstream, so for a durable job
it is left to end only once stops have failed for a while.
"""

from __future__ import annotations

from datetime import timedelta

from .model import JobState
from .orders import Run
from .records import Records

STOPS_FAIL_FOR = timedelta(seconds=1)
"""How long stops of a run may fail before its lease is left to end.

The lease then ends within 1.1 s, or 2.5 s where orders go with answers to heartbeats. That leaves
0.5 s to find the run, of the 4 s after which it may not go on. With a tenth of the orders lost, the
eight or more stops of this time are all lost once in 100 million times.
"""


def is_beyond_stops(run: Run, records: Records, now: timedelta) -> bool:
    """Return whether a run of a cancelled job has not ended although it was long to be stopped."""
    if run.first_stop_at is None or now < run.first_stop_at + STOPS_FAIL_FOR:
        return False
    job = records.jobs.get(run.task.job)
    return job is not None and job.state is JobState.CANCELLED
