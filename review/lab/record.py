"""The record of a case: what was sent, answered and run, one JSON object a line."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    def __init__(self, file: Path) -> None:
        self._file = file.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def add(self, kind: str, **fields: Any) -> None:
        line = {"at": round(self.now(), 3), "kind": kind, **fields}
        self._file.write(json.dumps(line) + "\n")

    def say(self, text: str) -> None:
        """Record a remark, and print it."""
        print(f"{self.now():7.2f}  {text}", flush=True)
        self.add("remark", text=text)

    def close(self) -> None:
        self._file.close()
