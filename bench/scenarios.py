"""Scenarios of simulated runs: which faults are injected, and when."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from .load import DURATION_SECONDS, Run

Fault = Callable[[Run], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A fault, the load it meets, and the seconds whose jobs are measured: first to last."""

    first_second: float
    last_second: float
    inject_fault: Fault
    upstream_count: int = 28
    rate_factor: float = 1.0


def _schedule(run: Run, seconds: float, action: Callable[[], None]) -> None:
    run.world.at(timedelta(seconds=seconds), action)


def _no_fault(run: Run) -> None:
    pass


def _burst(run: Run) -> None:
    run.bursts.append((5.0, 9.0, 1.8))


def _flood(run: Run) -> None:
    """Submit four times as many jobs as usual, which is two and a half times the capacity."""
    run.bursts.append((5.0, 9.0, 4.0))


def _lost_upstreams(run: Run) -> None:
    """Crash a quarter of the upstreams for four seconds, during a burst of jobs."""
    run.bursts.append((5.0, 9.0, 1.2))
    _schedule(run, 5.0, lambda: run.crash(7))
    _schedule(run, 9.0, run.restart_crashed)


def _cut_domain(run: Run) -> None:
    """Cut off one failure domain, which gets an acting leader after 0.65 s.

    It has little capacity of its own, so a backlog builds up.
    """
    _schedule(run, 5.0, run.lose_leader)
    _schedule(run, 5.65, run.elect_leader)


def _lost_leader(run: Run) -> None:
    _schedule(run, 5.0, run.lose_leader)
    _schedule(run, 5.4, run.elect_leader)


def _frozen_leader(run: Run) -> None:
    _schedule(run, 5.0, lambda: run.lose_leader(is_frozen=True))
    _schedule(run, 5.4, run.elect_leader)


def _frozen_leader_and_lost_upstream(run: Run) -> None:
    """Crash one upstream for good, two seconds before the leader freezes."""
    _schedule(run, 3.0, lambda: run.crash(1))
    _frozen_leader(run)


def _frozen_leader_and_burst(run: Run) -> None:
    run.bursts.append((4.0, 8.0, 1.3))
    _frozen_leader(run)


def _all_off(run: Run) -> None:
    """Power off all hosts of the cluster for 2.4 s, while the upstreams run on."""
    _schedule(run, 5.0, run.lose_leader)
    _schedule(run, 7.4, run.elect_leader)


def _late_orders(run: Run) -> None:
    def begin() -> None:
        run.world.late_share = 0.06

    def end() -> None:
        run.world.late_share = 0.0

    _schedule(run, 5.0, begin)
    _schedule(run, 11.0, end)


def _hanging_tasks(run: Run) -> None:
    _schedule(run, 5.0, lambda: run.slow_down(3, 100.0))
    _schedule(run, 11.0, lambda: run.slow_down(3, 1.0))


def _slow_upstreams(run: Run) -> None:
    _schedule(run, 5.0, lambda: run.slow_down(5, 5.0))
    _schedule(run, 12.0, lambda: run.slow_down(5, 1.0))


def _failing_upstreams(run: Run) -> None:
    """Make three upstreams fail every task immediately, while their heartbeats stay healthy."""
    _schedule(run, 5.0, lambda: run.fail_tasks(3))
    _schedule(run, 12.0, lambda: run.fail_tasks(0))


def _poison(share: float) -> Fault:
    """Return the fault in which a share of the jobs has a task that crashes upstreams."""

    def inject_fault(run: Run) -> None:
        run.poisoned_share = share

    return inject_fault


SCENARIOS: dict[str, Scenario] = {
    "calm": Scenario(first_second=0, last_second=DURATION_SECONDS, inject_fault=_no_fault),
    "burst": Scenario(first_second=5, last_second=10, inject_fault=_burst),
    "flood": Scenario(first_second=5, last_second=10, inject_fault=_flood),
    "lost_upstreams": Scenario(first_second=5, last_second=10, inject_fault=_lost_upstreams),
    "cut_domain": Scenario(
        first_second=4.5,
        last_second=11,
        inject_fault=_cut_domain,
        upstream_count=6,
        rate_factor=1.2,
    ),
    "lost_leader": Scenario(first_second=4.5, last_second=6.5, inject_fault=_lost_leader),
    "frozen_leader": Scenario(first_second=4.5, last_second=6.5, inject_fault=_frozen_leader),
    "frozen_leader_and_lost_upstream": Scenario(
        first_second=4.5, last_second=6.5, inject_fault=_frozen_leader_and_lost_upstream
    ),
    "frozen_leader_and_burst": Scenario(
        first_second=4, last_second=9, inject_fault=_frozen_leader_and_burst
    ),
    "all_off": Scenario(first_second=4.5, last_second=9, inject_fault=_all_off),
    "late_orders": Scenario(first_second=5, last_second=11, inject_fault=_late_orders),
    "hanging_tasks": Scenario(first_second=5, last_second=11, inject_fault=_hanging_tasks),
    "slow_upstreams": Scenario(first_second=5, last_second=12, inject_fault=_slow_upstreams),
    "failing_upstreams": Scenario(first_second=5, last_second=12, inject_fault=_failing_upstreams),
    "poison_0.1_percent": Scenario(
        first_second=0, last_second=DURATION_SECONDS, inject_fault=_poison(0.001)
    ),
    "poison_1_percent": Scenario(
        first_second=0, last_second=DURATION_SECONDS, inject_fault=_poison(0.01)
    ),
}
