"""Stand-in upstreams that take orders over HTTP, as one process: what a leader's calls are made to.

    python -m bench.standin PORT COUNT

Each has an address of its own, 127.0.1.1 and on, and speaks what `platform/workers` calls; tasks
last as long as their payload says. Nothing is checked: `tests/model_upstreams` does that.
"""

from __future__ import annotations

import asyncio
import functools
import sys
import time
from dataclasses import dataclass, field
from typing import Any

import httptools
import msgspec
import uvloop

FIRST_ADDRESS = (127, 0, 1, 1)
READY_LINE = "ready"
STARTED_MS = 1_790_000_000_000
"""When all of them say that they started, in Unix milliseconds; they do so once."""


def build_address(number: int) -> str:
    """Return the address of an upstream, which are numbered from 0."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}"


@dataclass(slots=True)
class Upstream:
    """What one upstream runs and has to tell."""

    runs: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end_number: int = 0
    run_ended: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self, body: dict[str, Any]) -> dict[str, Any]:
        """Begin a run."""
        duration = float(body["task_spec"].split(" ", 1)[0]) / 1000
        now = time.monotonic()
        task, run = body["task"], body["run_id"]
        self.runs[task] = (run, now, duration)
        asyncio.get_running_loop().call_later(duration, self._end_run, task, run)
        return {"clock_ms": _read_clock()}

    async def poll(self, body: dict[str, Any]) -> dict[str, Any]:
        """List what runs and has ended, at once or as soon as something ends."""
        self.ended = [end for end in self.ended if end[0] > body["last_seen"]]
        wait_ms = body.get("wait_ms", 0)
        if wait_ms and not self.ended:
            self.run_ended.clear()
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self.run_ended.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [task, run, "", int(100 * (now - began) / duration)]
            for task, (run, began, duration) in self.runs.items()
        ]
        return {
            "clock_ms": _read_clock(),
            "running": running,
            "finished": self.ended,
            "born": STARTED_MS,
        }

    def _end_run(self, task: str, run: int) -> None:
        if self.runs.pop(task, None) is not None:
            self.last_end_number += 1
            self.ended.append([self.last_end_number, task, run, "done", ""])
            self.run_ended.set()


class Connection(asyncio.Protocol):
    """One connection to one upstream."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._parser = httptools.HttpRequestParser(self)
        self._body = b""
        self._path = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._path = url

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        body, self._body = msgspec.json.decode(self._body), b""
        if self._path == b"/run-start":
            self._reply(self._upstream.start(body))
        elif self._path == b"/hold":
            asyncio.get_running_loop().create_task(self._answer_poll(body))
        else:
            self._reply({"clock_ms": _read_clock()})

    async def _answer_poll(self, body: dict[str, Any]) -> None:
        self._reply(await self._upstream.poll(body))

    def _reply(self, body: dict[str, Any]) -> None:
        data = msgspec.json.encode(body)
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % len(data) + data)


def _read_clock() -> int:
    return int(time.monotonic() * 1000)


async def serve(port: int, count: int) -> None:
    """Serve all upstreams until the process is ended."""
    loop = asyncio.get_running_loop()
    for number in range(count):
        upstream = Upstream()
        build = functools.partial(Connection, upstream)
        await loop.create_server(build, build_address(number), port)
    print(READY_LINE, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
