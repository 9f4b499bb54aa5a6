"""Replication progress of the other members as known to a leader, and quorum arithmetic."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from .types import Index, MemberId


@dataclass(slots=True, kw_only=True)
class Progress:
    """Progress of one other member.

    `next_index` is the index of the next entry to send to it, `matched` the index up to which its
    log is known to match the leader's, `heard_at` when it last replied or, until then, when the
    leader began to track it.
    """

    next_index: Index
    matched: Index
    heard_at: timedelta
    _refused_with: Index | None = None
    _refused_at: timedelta = timedelta()

    def record_match(self, matched: Index) -> None:
        """Record that the member's log matches up to an index."""
        self.matched = max(self.matched, matched)
        self.next_index = max(self.next_index, Index(self.matched + 1))

    def record_refusal(self, hint: Index, now: timedelta, repeated_within: timedelta) -> bool:
        """Resume after `hint`, the last index that may match, but never before the matched index.

        Returns whether to send from there now. False, with nothing changed, if a refusal with the
        same hint came within `repeated_within`: each message in flight is refused with that hint,
        and the missing entries were sent at the first refusal.
        """
        if hint == self._refused_with and now - self._refused_at < repeated_within:
            return False
        self._refused_with = hint
        self._refused_at = now
        retry_from = min(self.next_index - 1, hint + 1)
        self.next_index = Index(max(self.matched + 1, retry_from))
        return True


def is_quorum(voters: Collection[MemberId], members: Collection[MemberId]) -> bool:
    """Whether these members include a majority of the voters."""
    count = sum(1 for voter in voters if voter in members)
    return 2 * count > len(voters)


def find_quorum_index(voters: Collection[MemberId], matched: Mapping[MemberId, Index]) -> Index:
    """Return the highest index that a majority of the voters has reached, going by `matched`."""
    indexes = sorted(matched.get(voter, Index(0)) for voter in voters)
    return indexes[(len(indexes) - 1) // 2]
