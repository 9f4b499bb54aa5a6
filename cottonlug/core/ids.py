"""Identifier types, and submission ids, each of which names its home.

The home is the entry host that holds the record of a submission. A submission id is
``<domain>.<host>.<generation>.<minted>.<random>``: the home's failure domain and name, the
generation of its record store, the second at which the id was minted (hexadecimal, counted from the
start of the generation) and random digits.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple, NewType

HostId = NewType("HostId", str)
DomainName = NewType("DomainName", str)
UpstreamId = NewType("UpstreamId", str)
Incarnation = NewType("Incarnation", str)
"""One run of an upstream's process: another one means that the upstream was restarted."""
SessionNumber = NewType("SessionNumber", int)
"""Numbers the sessions that one incarnation of an upstream opens at an entry host."""
SubmissionId = NewType("SubmissionId", str)
Generation = NewType("Generation", str)
"""One lifetime of an entry host's submission records; a host that lost them begins a new one."""
TeamName = NewType("TeamName", str)
"""A group of callers, as named in their jobs; upstreams are shared fairly between teams."""
KindName = NewType("KindName", str)
"""The kind of work of a job, as named by its caller; run times are estimated by team and kind."""

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_ID_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9-]{0,62})\.([a-z0-9][a-z0-9-]{0,62})\.([0-9a-f]{8})\.([0-9a-f]{1,12})\.([0-9a-f]{16})"
)

RandomHex = Callable[[int], str]
"""Returns that many random bytes as hexadecimal digits; injected so that tests are repeatable."""


class TaskKey(NamedTuple):
    """One attempt at one task of one submission.

    `task` is its index in the job; attempts are numbered from 1.
    """

    submission: SubmissionId
    task: int
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedId:
    """The parts of a submission id; `minted` is the time since the generation began."""

    domain: DomainName
    host: HostId
    generation: Generation
    minted: timedelta


def mint_id(
    *,
    domain: DomainName,
    host: HostId,
    generation: Generation,
    age: timedelta,
    random_hex: RandomHex,
) -> SubmissionId:
    """Return a new submission id; `age` is the time since the generation began."""
    seconds = int(age.total_seconds())
    return SubmissionId(f"{domain}.{host}.{generation}.{seconds:x}.{random_hex(8)}")


def parse_id(text: str) -> ParsedId | None:
    """Return the parts of a submission id, or None if the text does not have its form."""
    match = _ID_PATTERN.fullmatch(text)
    if match is None:
        return None
    return ParsedId(
        domain=DomainName(match[1]),
        host=HostId(match[2]),
        generation=Generation(match[3]),
        minted=timedelta(seconds=int(match[4], 16)),
    )
