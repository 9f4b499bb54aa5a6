"""The retry budget: retries may only be a share of first attempts."""

from __future__ import annotations


class RetryBudget:
    """A token bucket that first attempts fill and retries empty."""

    def __init__(self, *, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Earn a share of one retry."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; False where the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
