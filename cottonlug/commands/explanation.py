"""`cottonlug explain`: the history of one job, collected from the logs of several processes."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from .exits import ExitCode

LogLine = dict[str, Any]


def explain_job(id: str, files: list[Path]) -> ExitCode:
    """Print every log line that contains an id, ordered by time.

    Reads standard input if no files are given.
    """
    found = sorted(_find_lines(id, files), key=lambda line: str(line.get("time", "")))
    if not found:
        print(
            f"no log line contains {id}; routine decisions are logged for 1 job in 16",
            file=sys.stderr,
        )
        return ExitCode.JOB_FAILED
    for line in found:
        print(format_log_line(line))
    return ExitCode.OK


def format_log_line(line: LogLine) -> str:
    """Return a log line as time, event, decision or message, and the remaining fields."""
    rest = {key: value for key, value in line.items() if key not in _HEADER_FIELDS}
    what = line.get("decision") or line.get("message", "")
    details = " ".join(f"{key}={value}" for key, value in rest.items())
    return f"{line.get('time', '?')} {line.get('event', '')} {what}: {details}"


def read_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON object of each line of text.

    A prefix before the object is skipped, and so are lines without a JSON object.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:].encode())
        except msgspec.MsgspecError:
            continue
        if isinstance(line, dict):
            yield line


def _find_lines(id: str, files: list[Path]) -> Iterator[LogLine]:
    if not files:
        yield from (line for line in read_log_lines(sys.stdin) if _mentions(line, id))
        return
    for file in files:
        with file.open(errors="replace") as texts:
            for line in read_log_lines(texts):
                if _mentions(line, id):
                    yield line | {"file": file.name}


def _mentions(line: LogLine, id: str) -> bool:
    return any(isinstance(value, str) and id in value for value in line.values())


_HEADER_FIELDS = ("time", "level", "event", "message", "decision")
