"""Ids of lives: an upstream may start again under the id that it had.

A life is named by the id under which the upstream announces itself and, where it tells it, the Unix
millisecond of its start: `i-7f3a91c2#1790000000000`. Counts, ends, clock, lease and runs belong to
a life, so that nothing of an earlier one is ever taken for the present one's.
"""

from __future__ import annotations

from ..ids import UpstreamId

SEPARATOR = "#"
"""Not part of any id of an upstream."""


def name_life(name: str, born_ms: int | None) -> UpstreamId:
    """Return the id of one life of an upstream; `born_ms` is None where it is not told."""
    return UpstreamId(name if born_ms is None else f"{name}{SEPARATOR}{born_ms}")


def get_name(life: UpstreamId) -> str:
    """Return the id under which the upstream of a life announces itself."""
    return life.partition(SEPARATOR)[0]


def find_birth(life: UpstreamId) -> int | None:
    """Return when a life began, in Unix milliseconds, or None where that was not told."""
    born = life.partition(SEPARATOR)[2]
    return int(born) if born else None


def is_earlier(life: UpstreamId, other: UpstreamId) -> bool:
    """Whether `other` is a later life of the same upstream."""
    born, later = find_birth(life), find_birth(other)
    return get_name(life) == get_name(other) and later is not None and (born or 0) < later
