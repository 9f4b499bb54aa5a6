"""Retry budget: limits retries to a share of first attempts."""

from __future__ import annotations


class RetryBudget:
    """A token bucket: each first attempt adds `ratio` tokens, each retry takes one."""

    def __init__(self, *, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Add `ratio` tokens, up to the size of the bucket."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take one token for a retry; False if less than one is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
