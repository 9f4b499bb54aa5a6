"""Which queue a request addresses."""

from __future__ import annotations

from .model import Configuration, JobId, Queue


def find_queue(configuration: Configuration, host: str, path: str) -> tuple[Queue, JobId] | None:
    """Return the queue with the longest prefix that a path begins with, and what follows it."""
    name = host.rpartition(":")[0] if ":" in host else host
    best: Queue | None = None
    for queue in configuration.queues:
        if queue.host != name or not path.startswith(queue.prefix):
            continue
        if best is None or len(queue.prefix) > len(best.prefix):
            best = queue
    if best is None:
        return None
    return best, JobId(path[len(best.prefix) :])
