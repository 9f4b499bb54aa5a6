"""Log lines to a file descriptor that nobody may read: bounded, and never waiting.

Lines wait in a buffer while the other side does not take them. When it is half full, routine lines
(level info and below) are left out; when it is full, all are. What was left out is counted, and
told by a line of its own once there is room again.
"""

from __future__ import annotations

import json
import logging
import os
from collections import deque

BUFFER_BYTES = 256 * 1024
"""About 1,000 lines; a process has 300 MB."""


class LogOutput:
    """A stream for a log handler; all lines go through `write_record`."""

    def __init__(self, *, descriptor: int) -> None:
        self.left_out = 0
        self._descriptor = descriptor
        self._told = 0
        self._waiting: deque[bytes] = deque()
        self._size = 0
        os.set_blocking(descriptor, False)

    def write_record(self, line: str, level: int) -> None:
        """Take a line and write as much as the other side takes at once."""
        limit = BUFFER_BYTES if level > logging.INFO else BUFFER_BYTES // 2
        if self._size >= limit:
            self.left_out += 1
        else:
            self._append(line)
        self.flush()

    def write(self, text: str) -> int:
        """Take a text as a stream does."""
        self.write_record(text.rstrip("\n"), logging.WARNING)
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as the other side takes it."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # Nobody will ever read it: a log must not end the process.
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
        self._tell_left_out()

    def _tell_left_out(self) -> None:
        if self.left_out > self._told:
            count, self._told = self.left_out - self._told, self.left_out
            self._append(json.dumps({"level": "warning", "message": "left out", "lines": count}))

    def _append(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._waiting.append(data)
        self._size += len(data)


class LogHandler(logging.Handler):
    """Hands formatted records to a `LogOutput`."""

    def __init__(self, *, output: LogOutput) -> None:
        super().__init__()
        self.output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        self.output.write_record(self.format(record), record.levelno)
