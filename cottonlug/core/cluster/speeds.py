"""Run times by kind of upstream: one kind of hardware may take twice as long as another.

A run takes the declared time of its task, times a ratio of its queue (see `forecast`), times a
factor of the kind of upstream that it runs on. The mean upstream of a service has the factor 1.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from .model import ServiceName, UpstreamInfo, Value

LEARNING_RATE = 0.01
"""Smallest weight of the newest run: a kind of which a tenth of the upstreams turns five times
slower for seconds moves by a few percent, a kind that changes as a whole is followed within some
hundred runs. In three million simulated runs at each of two equal kinds, their means differed
by `MIN_DIFFERENCE` 13 times with 0.02, and never with 0.01."""
MIN_RUNS = 30
"""Runs of a kind from which on its mean is relied on: single ratios scatter by 0.5 on a logarithmic
scale, so that the mean of 30 is known within a tenth."""
MIN_DIFFERENCE = math.log(1.3)
"""Smallest difference between two kinds that counts, on a logarithmic scale: less may be chance."""
LOG_SCATTER = 0.5
"""Scatter of single ratios on a logarithmic scale: 0.42 within a kind, measured on a quiet day, and
some more for upstreams that are slow for a while."""
MIN_SIGNIFICANCE = 4.0
"""Least difference between two kinds that counts, in standard errors: it is looked for after each
run and among up to 64 kinds, so that 2.5 would find one between equal kinds within seconds."""
MAX_LOG_FACTOR = math.log(5.0)
"""Bound of factors and of single ratios, on a logarithmic scale: a larger one is an error."""
MAX_KINDS = 64
"""Most kinds of one service that are told apart."""
MAX_ALL_KINDS = 256
"""Most kinds of all services together: 20 KB in the failover state, which gateways get within the
timeout of a keep-alive, 100 ms, on a link of 9.5 Mbit/s."""
MAX_KIND_LENGTH = 64
"""Most characters of the name of a kind; one with a longer name counts as not known."""


class KindSpeed(Value, frozen=True):
    """The factor of one kind of upstream, and the number of runs from which it was learned."""

    kind: str
    factor: float
    runs: int


class ServiceSpeeds(Value, frozen=True):
    """The kinds of a service, if they differ."""

    service: ServiceName
    kinds: tuple[KindSpeed, ...] = ()


@dataclass(slots=True, kw_only=True)
class _Kind:
    """What was learned about one kind of upstream of one service."""

    runs: int = 0
    mean_log_ratio: float = 0.0
    """Mean of the logarithms of the ratios of actual to expected run times."""

    def learn(self, log_ratio: float) -> None:
        self.runs += 1
        rate = max(1 / self.runs, LEARNING_RATE)
        self.mean_log_ratio += rate * (log_ratio - self.mean_log_ratio)

    @property
    def variance(self) -> float:
        """Variance of the mean, as far as it is due to the scatter of single ratios."""
        return LOG_SCATTER**2 * max(1 / self.runs, LEARNING_RATE / 2)


class Speeds:
    """Factors of run times by service and kind of upstream, learned from the ends of runs."""

    def __init__(self, recorded: Iterable[ServiceSpeeds] = ()) -> None:
        """Begin with what an earlier coordinator recorded."""
        self._kinds: dict[ServiceName, dict[str, _Kind]] = {}
        self._kind_count = 0
        """Number of kinds of all services."""
        self._upstreams: dict[ServiceName, Counter[str]] = {}
        """Number of upstreams of each kind, by which the mean of a service is weighted."""
        self._factors: dict[ServiceName, dict[str, float]] = {}
        """Factors of services whose kinds differ."""
        self.ignored_runs = 0
        """Runs that were not learned from, since there are too many kinds, or since the name of
        their kind is too long."""
        for speeds in recorded:
            self._restore(speeds)

    def learn(self, info: UpstreamInfo, ratio: float) -> None:
        """Learn from a run that succeeded at an upstream.

        `ratio` is its run time over the one that its queue predicts for the mean upstream. The
        runs must be independent: see `OpenJob.claim_sample`.
        """
        if not info.kind:
            return
        kind = self._get_or_add_kind(info.service, info.kind)
        if kind is None:
            self.ignored_runs += 1
            return
        kind.learn(_read_log_factor(ratio))
        self._update(info.service)

    def count_upstream(self, info: UpstreamInfo, change: int) -> None:
        """Record that a service has one more upstream of a kind, or one less."""
        counts = self._upstreams.setdefault(info.service, Counter())
        counts[info.kind] += change
        if not counts[info.kind]:
            del counts[info.kind]
        if info.kind in self._kinds.get(info.service, {}):
            self._update(info.service)

    def find_factor(self, info: UpstreamInfo) -> float:
        """Return how many times as long as on the mean upstream of its service a task takes here.

        1 if the kind of the upstream is not known, or if the kinds of its service do not differ.
        """
        factors = self._factors.get(info.service)
        return factors.get(info.kind, 1.0) if factors is not None else 1.0

    def list_services(self) -> tuple[ServiceSpeeds, ...]:
        """Return the services whose kinds differ, with the factors of these."""
        return tuple(
            ServiceSpeeds(
                service=service,
                kinds=tuple(
                    KindSpeed(kind=name, factor=factor, runs=self._kinds[service][name].runs)
                    for name, factor in factors.items()
                ),
            )
            for service, factors in self._factors.items()
        )

    def _restore(self, speeds: ServiceSpeeds) -> None:
        for recorded in speeds.kinds:
            kind = self._get_or_add_kind(speeds.service, recorded.kind)
            if kind is not None:
                kind.runs = recorded.runs
                kind.mean_log_ratio = _read_log_factor(recorded.factor)
        self._update(speeds.service)

    def _get_or_add_kind(self, service: ServiceName, name: str) -> _Kind | None:
        """Return a kind, or None if there is no place for it."""
        kinds = self._kinds.get(service, {})
        if name in kinds:
            return kinds[name]
        is_full = len(kinds) >= MAX_KINDS or self._kind_count >= MAX_ALL_KINDS
        if is_full or len(name) > MAX_KIND_LENGTH:
            return None
        self._kind_count += 1
        return self._kinds.setdefault(service, kinds).setdefault(name, _Kind())

    def _update(self, service: ServiceName) -> None:
        """Compute the factors of a service anew."""
        known = {
            name: kind
            for name, kind in self._kinds.get(service, {}).items()
            if kind.runs >= MIN_RUNS
        }
        if not _do_differ(known):
            self._factors.pop(service, None)
            return
        counts = self._upstreams.get(service, Counter())
        weights = {name: max(counts[name], 1) for name in known}
        total = sum(known[name].mean_log_ratio * weights[name] for name in known)
        mean = total / sum(weights.values())
        self._factors[service] = {
            name: math.exp(_limit(kind.mean_log_ratio - mean)) for name, kind in known.items()
        }


def _do_differ(kinds: dict[str, _Kind]) -> bool:
    """Return whether the fastest and the slowest kind differ by more than by chance."""
    if len(kinds) < 2:
        return False
    fastest = min(kinds.values(), key=lambda kind: kind.mean_log_ratio)
    slowest = max(kinds.values(), key=lambda kind: kind.mean_log_ratio)
    error = math.sqrt(fastest.variance + slowest.variance)
    difference = slowest.mean_log_ratio - fastest.mean_log_ratio
    return difference >= max(MIN_DIFFERENCE, MIN_SIGNIFICANCE * error)


def _read_log_factor(factor: float) -> float:
    """Return the logarithm of a factor or ratio, within the bounds."""
    return _limit(math.log(max(factor, math.exp(-MAX_LOG_FACTOR))))


def _limit(log_factor: float) -> float:
    return min(max(log_factor, -MAX_LOG_FACTOR), MAX_LOG_FACTOR)
