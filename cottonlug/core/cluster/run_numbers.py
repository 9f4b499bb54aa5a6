"""Numbers of runs, which tell who started a run and whether its job is durable.

A run is one try to carry out a task. Its number is sent to the upstream with the start, and comes
back whenever the upstream lists the run or its end. So a coordinator that has never heard of the
job can still tell whether the replicated log contains it: the runs of durable jobs have even
numbers, those of best-effort jobs odd ones.
"""

from __future__ import annotations

from .model import RunNumber

RUN_NUMBERS_PER_TOKEN = 4_096
"""The runs of a task are numbered from the token times this, so that those under a higher token are
all higher."""


def choose_run_number(*, token: int, last: int, is_durable: bool) -> RunNumber:
    """Return the number of a task's next run under a fencing token, above that of its last one."""
    lowest = max(last + 1, token * RUN_NUMBERS_PER_TOKEN)
    return RunNumber(lowest if is_durable_run(RunNumber(lowest)) is is_durable else lowest + 1)


def is_durable_run(run: RunNumber) -> bool:
    """Return whether a run belongs to a durable job, by its number alone."""
    return run % 2 == 0


def find_token(run: RunNumber) -> int:
    """Return the fencing token under which a run was started."""
    return run // RUN_NUMBERS_PER_TOKEN
