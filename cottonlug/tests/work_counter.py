"""Counts the work that the core does, in steps of the interpreter instead of seconds."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Any

CORE = str(Path(__file__).resolve().parents[1] / "core")
MAX_WORK = 2_000_000
"""Work at which a count ends with an error, so that a test fails soon where work explodes."""


class TooMuchWorkError(Exception):
    """More than `MAX_WORK` was done."""


def count_work(act: Callable[[], object]) -> int:
    """Return how many lines and calls of the core are executed while `act` is carried out.

    An iteration of a comprehension counts as a line. What the interpreter does by itself, such as
    sorting a list, does not count.
    """
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Callable[..., Any] | None:
        nonlocal count
        if not frame.f_code.co_filename.startswith(CORE):
            return None
        count += 1
        if count > MAX_WORK:
            raise TooMuchWorkError(f"more than {MAX_WORK} lines and calls")
        return trace

    earlier = sys.gettrace()
    sys.settrace(trace)
    try:
        act()
    finally:
        sys.settrace(earlier)
    return count
