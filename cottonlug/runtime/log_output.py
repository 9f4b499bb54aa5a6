"""Non-blocking log output to a file descriptor whose reader may be slow or gone.

Lines wait in a bounded buffer until the reader takes them. When the buffer is half full, lines of
level info and below are dropped; when it is full, all lines are. Dropped lines are counted, and
reported in a line of their own once there is space again.
"""

from __future__ import annotations

import json
import logging
import os
from collections import deque

BUFFER_BYTES = 256 * 1024
"""About 1,000 lines; little beside the 300 MB of memory that a process has."""


class LogOutput:
    """The stream of a log handler; all lines go through `write_record`."""

    def __init__(self, *, descriptor: int) -> None:
        self.dropped = 0
        """Number of lines dropped so far; `_reported` of them have been reported."""
        self._descriptor = descriptor
        self._reported = 0
        self._waiting: deque[bytes] = deque()
        self._size = 0
        """Number of bytes that are waiting."""
        os.set_blocking(descriptor, False)

    def write_record(self, line: str, level: int) -> None:
        """Buffer a line and write as much as the reader takes without blocking."""
        limit = BUFFER_BYTES if level > logging.INFO else BUFFER_BYTES // 2
        if self._size >= limit:
            self.dropped += 1
        else:
            self._append(line)
        self.flush()

    def write(self, text: str) -> int:
        """Write a text like a stream; it counts as a warning."""
        self.write_record(text.rstrip("\n"), logging.WARNING)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader takes without blocking."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # The reader is gone for good; a failing log must not end the process.
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return
            self._waiting.popleft()
        self._report_dropped()

    def _report_dropped(self) -> None:
        if self.dropped > self._reported:
            count, self._reported = self.dropped - self._reported, self.dropped
            self._append(json.dumps({"level": "warning", "message": "left out", "lines": count}))

    def _append(self, line: str) -> None:
        data = line.encode() + b"\n"
        self._waiting.append(data)
        self._size += len(data)


class LogHandler(logging.Handler):
    """A log handler that writes formatted records to a `LogOutput`."""

    def __init__(self, *, output: LogOutput) -> None:
        super().__init__()
        self.output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        self.output.write_record(self.format(record), record.levelno)
