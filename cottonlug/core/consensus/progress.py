"""How far the others are, as a leader knows it, and what a majority of the voters is."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

from .types import Index, MemberId


@dataclass(slots=True, kw_only=True)
class Progress:
    """One other member: what to send next, what it has, and when it was heard."""

    next_index: Index
    matched: Index
    heard_at: timedelta
    _refused_with: Index | None = None
    _refused_at: timedelta = timedelta()

    def record_match(self, matched: Index) -> None:
        """Note that the member's log agrees up to an index."""
        self.matched = max(self.matched, matched)
        self.next_index = max(self.next_index, Index(self.matched + 1))

    def record_refusal(self, hint: Index, now: timedelta, repeated_within: timedelta) -> bool:
        """Go back to where the member's log may agree, never before where it does.

        False where that was done a moment ago: each message that was under way is refused with the
        same hint, and what is missing was sent at the first refusal.
        """
        if hint == self._refused_with and now - self._refused_at < repeated_within:
            return False
        self._refused_with = hint
        self._refused_at = now
        retry_from = min(self.next_index - 1, hint + 1)
        self.next_index = Index(max(self.matched + 1, retry_from))
        return True


def is_quorum(voters: Collection[MemberId], members: Collection[MemberId]) -> bool:
    """Whether these members hold a majority of the votes."""
    count = sum(1 for voter in voters if voter in members)
    return 2 * count > len(voters)


def find_quorum_index(voters: Collection[MemberId], matched: Mapping[MemberId, Index]) -> Index:
    """Return the highest index that a majority of the voters has."""
    indexes = sorted(matched.get(voter, Index(0)) for voter in voters)
    return indexes[(len(indexes) - 1) // 2]
