"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum

from ..core.messages import Refusal
from ..core.states import RefusalCode


class ExitCode(IntEnum):
    """Exit status of the command line."""

    OK = 0
    JOB_FAILED = 1
    """Also: no log line was found by `explain`."""
    USAGE = 2
    SETTINGS = 3
    """A settings or rules file has errors."""
    REFUSED = 4
    UNAVAILABLE = 5
    """No host answered as required, or a daemon could not start."""
    BROKEN_INVARIANT = 6
    """A daemon stopped because of an unexpected error."""


def choose_exit(refusal: Refusal) -> ExitCode:
    """Return the exit code for a refusal."""
    if refusal.code is RefusalCode.HOME_UNREACHABLE:
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED
