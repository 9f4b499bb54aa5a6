"""Lookup of the queue that a caller's request addresses by its HTTP host and its path."""

from __future__ import annotations

from .model import Configuration, JobId, Queue, QueueKey


class QueueIndex:
    """The queues of one configuration, indexed by host and path prefix."""

    def __init__(self, *, configuration: Configuration) -> None:
        self._by_key = {queue.key: queue for queue in configuration.queues}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(configuration.queues, key=lambda each: -len(each.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def get(self, key: QueueKey) -> Queue | None:
        """Return the queue with exactly this host and prefix."""
        return self._by_key.get(key)

    def find_queue(self, host: str, path: str) -> tuple[Queue, JobId] | None:
        """Return the queue with the longest prefix that matches a path, and the job id after it.

        The port of `host`, if it has one, is ignored.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for queue in self._by_host.get(name, []):
            if path.startswith(queue.prefix):
                return queue, JobId(path[len(queue.prefix) :])
        return None
