"""What the dispatcher reports to the embedding program: counters, and notices to be logged."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .ids import UpstreamId


class NoticeKind(Enum):
    """What happened to an upstream.

    Its session opened, ended (GONE) or is about to end (LEAVING), or its probation began.
    """

    OPENED = "opened"
    GONE = "gone"
    LEAVING = "leaving"
    PROBATION = "probation"


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that happened to an upstream."""

    kind: NoticeKind
    upstream: UpstreamId
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class Counters:
    """Counts since the dispatcher was created.

    `jobs_attached` are resends of a known job, `refused` refused submissions. `starts` counts tasks
    sent to an upstream, `exchanges` requests from upstreams, `stale_results` results of starts that
    are no longer outstanding, `returned_unstarted` sent tasks that provably did not start, and
    `unknown_tasks` those whose outcome became unknown.
    """

    jobs_accepted: int = 0
    jobs_attached: int = 0
    jobs_complete: int = 0
    jobs_failed: int = 0
    refused: int = 0
    starts: int = 0
    results: int = 0
    stale_results: int = 0
    returned_unstarted: int = 0
    unknown_tasks: int = 0
    exchanges: int = 0
    empty_replies: int = 0
    probations: int = 0
    retries: int = 0
