"""Seeds whose runs have failed, so that they are run again after each change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FailedSeed:
    """A run that broke a promise: its arguments, and its cause in a line."""

    seed: int
    series: int
    cause: str


FAILED_SEEDS: tuple[FailedSeed, ...] = ()
