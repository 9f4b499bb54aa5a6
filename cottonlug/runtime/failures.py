"""Logs unexpected errors, each with its place in the program and what was being handled."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .events import Event, Field, log_event

PAUSE_AFTER_FAILURE_SECONDS = 0.1
"""Pause of a periodic task after an unexpected error, which also bounds its log lines."""

MAX_FRAMES = 10
"""Innermost calls that are logged of a traceback."""
MAX_MESSAGE_LENGTH = 500
"""Characters that are logged of an error's message, which may quote what was received."""
_PACKAGE = Path(__file__).parents[1]


def log_failure(event: Event, error: BaseException, *, during: str, **fields: Field) -> None:
    """Log an error with its innermost calls, the last one first.

    `during` names what was being handled; `fields` identify it.
    """
    message = f"{type(error).__name__}: {error}"[:MAX_MESSAGE_LENGTH]
    log_event(event, error=message, during=during, **fields, traceback=list_calls(error))


async def repeat(step: Callable[[], Awaitable[float]], *, during: str) -> None:
    """Repeat a step for ever, also after unexpected errors; it returns the seconds until the next.

    For steps that keep no state from one to the next: without them a process would go on unnoticed,
    but do nothing.
    """
    while True:
        try:
            pause_seconds = await step()
        except Exception as error:
            log_failure(Event.STEP_FAILED, error, during=during)
            pause_seconds = PAUSE_AFTER_FAILURE_SECONDS
        await asyncio.sleep(pause_seconds)


def list_calls(error: BaseException) -> list[str]:
    """Return the innermost calls of an error's traceback, each as `FILE:LINE FUNCTION`."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return [
        f"{_shorten_path(frame.filename)}:{frame.lineno} {frame.name}" for frame in reversed(frames)
    ]


def _shorten_path(filename: str) -> str:
    """Return the path of a module within the package, or the bare name of any other file."""
    path = Path(filename)
    return str(path.relative_to(_PACKAGE)) if path.is_relative_to(_PACKAGE) else path.name
