"""Logs an unexpected error with its place in the program and what was being handled."""

from __future__ import annotations

import traceback
from pathlib import Path

from .events import Event, Field, log_event

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
