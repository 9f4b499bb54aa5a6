"""Ids of instances: an instance is one run of an upstream's process.

They differ even if an upstream restarts under the id that it had before. An instance's id consists
of the upstream's name (the id that it announces) and, if the upstream reports it, the Unix
millisecond of its start: `i-7f3a91c2#1790000000000`. Sequence numbers, run ends, clock, lease and
runs belong to one instance, so that nothing of an earlier instance is ever attributed to the
present one.
"""

from __future__ import annotations

import functools

from ..ids import UpstreamId

SEPARATOR = "#"
"""Separates both parts; never part of an upstream's name."""


def build_instance_id(name: str, started_ms: int | None) -> UpstreamId:
    """Return the id of an instance; `started_ms` is None if the upstream does not report it."""
    return UpstreamId(name if started_ms is None else f"{name}{SEPARATOR}{started_ms}")


@functools.lru_cache(maxsize=8_192)
def get_upstream_name(instance: UpstreamId) -> str:
    """Return the name of an instance's upstream: the id that it announces."""
    return instance.partition(SEPARATOR)[0]


@functools.lru_cache(maxsize=8_192)
def find_start_ms(instance: UpstreamId) -> int | None:
    """Return when an instance started, in Unix milliseconds, or None if that is unknown."""
    start_ms = instance.partition(SEPARATOR)[2]
    return int(start_ms) if start_ms else None


def is_earlier_instance(instance: UpstreamId, other: UpstreamId) -> bool:
    """Return whether `other` is a later instance of the same upstream.

    One whose start time is unknown counts as earlier than all others.
    """
    start_ms, other_start_ms = find_start_ms(instance), find_start_ms(other)
    return (
        get_upstream_name(instance) == get_upstream_name(other)
        and other_start_ms is not None
        and (start_ms or 0) < other_start_ms
    )
