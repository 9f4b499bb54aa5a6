"""Stand-in upstreams in one process, which serve the HTTP calls of a leader.

    python -m bench.standin PORT COUNT

Each upstream has an address of its own, from 127.0.1.1 on, and serves the calls that
`platform/workers` sends. A task runs as long as its payload says. Orders are not checked: the
upstreams of `tests/model_upstreams` do that.
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
"""Start time that all of them report, in Unix milliseconds; they never restart."""


def build_address(number: int) -> str:
    """Return the address of an upstream; upstreams are numbered from 0."""
    return f"127.0.{1 + number // 250}.{1 + number % 250}"


@dataclass(slots=True)
class Upstream:
    """State of one upstream: its runs, by task, and the ended runs that it still reports."""

    runs: dict[str, tuple[int, float, float]] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_end_number: int = 0
    run_ended: asyncio.Event = field(default_factory=asyncio.Event)

    def start(self, body: dict[str, Any]) -> dict[str, Any]:
        """Start a run."""
        duration = float(body["task_spec"].split(" ", 1)[0]) / 1000
        now = time.monotonic()
        task, run = body["task"], body["run_id"]
        self.runs[task] = (run, now, duration)
        asyncio.get_running_loop().call_later(duration, self._end_run, task, run)
        return {"clock_ms": _read_clock()}

    async def poll(self, body: dict[str, Any]) -> dict[str, Any]:
        """List active and ended runs, at once if any have ended, else when one ends.

        Ended runs up to the caller's `last_seen` are forgotten. The answer is given after `wait_ms`
        at the latest.
        """
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
    """HTTP connection to one upstream."""

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
    """Serve all upstreams until the process is terminated."""
    loop = asyncio.get_running_loop()
    for number in range(count):
        upstream = Upstream()
        build = functools.partial(Connection, upstream)
        await loop.create_server(build, build_address(number), port)
    print(READY_LINE, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
