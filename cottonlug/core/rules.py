"""The operators' ordered when-then rules; the first rule that matches a job applies.

A `when` field that is left out matches any value; a `then` field that is left out keeps what the
caller has requested, or the default. `compile_rules` turns the rules of a document, the operators'
file, into one matching function; `explain` reports why each rule did or did not match.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import time, timedelta

from .ids import DomainName, KindName, TeamName


@dataclass(frozen=True, slots=True, kw_only=True)
class When:
    """Conditions of a rule; None and an empty set or dictionary match any value.

    A job must have all `labels`, and may have others. `min_` and `max_` limits are inclusive; the
    lower a priority's number, the sooner its jobs are served. `after` (inclusive) and `before`
    (exclusive) limit the time of day in UTC; if `after` is later, the range spans midnight.
    """

    teams: frozenset[TeamName] = frozenset()
    kinds: frozenset[KindName] = frozenset()
    domains: frozenset[DomainName] = frozenset()
    labels: dict[str, str] = field(default_factory=dict)
    min_size: int | None = None
    max_size: int | None = None
    min_priority: int | None = None
    max_priority: int | None = None
    idempotent: bool | None = None
    after: time | None = None
    before: time | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Then:
    """Settings that a rule gives to the jobs it matches."""

    reject: str | None = None
    """Why such jobs are refused; None accepts them."""
    pool: dict[str, str] = field(default_factory=dict)
    """Labels that an upstream must have to get tasks of the job."""
    priority: int | None = None
    """Replaces the priority that the caller requested; 0 is served first."""
    weight: float | None = None
    """Share of the job's team relative to other teams, from then on and for all of its jobs."""
    timeout: timedelta | None = None
    """Upper limit of the timeout of each task."""
    max_attempts: int | None = None
    """Attempts after which a failed or lost task of an idempotent job is not retried."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """One rule; names are unique within a document."""

    name: str
    when: When = When()
    then: Then = Then()


@dataclass(frozen=True, slots=True, kw_only=True)
class RuleInput:
    """The attributes of a job that rules are matched against.

    `domain` is the failure domain of the entry host that accepts the job, `size` the job's number
    of tasks, `idempotent` whether its tasks may run more than once.
    """

    team: TeamName
    kind: KindName
    domain: DomainName
    labels: dict[str, str]
    size: int
    priority: int
    idempotent: bool
    time_of_day: time


@dataclass(frozen=True, slots=True)
class Explanation:
    """Result of matching one rule, given by name.

    `mismatch` is the first attribute that did not match, for instance `size` for `min_size` or
    `max_size`, and `time` for `after` or `before`; None if the rule matches.
    """

    rule: str
    mismatch: str | None


Check = Callable[[RuleInput], bool]
"""Whether one condition of a rule holds."""
Matcher = Callable[[RuleInput], Rule | None]
"""Returns the first rule that matches, or None."""


def find_mismatch(when: When, rule_input: RuleInput) -> str | None:
    """Return the first attribute that does not match, as in `Explanation`, or None."""
    for name, check in _list_checks(when):
        if not check(rule_input):
            return name
    return None


def compile_rules(rules: list[Rule]) -> Matcher:
    """Return a function that finds the first matching rule.

    Rules are indexed by team, so that a job is checked only against rules that name its team or
    no team at all.
    """
    any_team: list[tuple[int, Rule, list[Check]]] = []
    by_team: dict[TeamName, list[tuple[int, Rule, list[Check]]]] = {}
    for order, rule in enumerate(rules):
        # The index by team replaces the check of the team.
        checks = [check for name, check in _list_checks(rule.when) if name != "team"]
        entry = (order, rule, checks)
        if not rule.when.teams:
            any_team.append(entry)
        for team in rule.when.teams:
            by_team.setdefault(team, []).append(entry)
    merged = {
        team: sorted([*entries, *any_team], key=lambda entry: entry[0])
        for team, entries in by_team.items()
    }

    def match(rule_input: RuleInput) -> Rule | None:
        for _, rule, checks in merged.get(rule_input.team, any_team):
            if all(check(rule_input) for check in checks):
                return rule
        return None

    return match


def explain(rules: list[Rule], rule_input: RuleInput) -> list[Explanation]:
    """Return an explanation of each rule, up to and including the first that matches."""
    explanations: list[Explanation] = []
    for rule in rules:
        mismatch = find_mismatch(rule.when, rule_input)
        explanations.append(Explanation(rule.name, mismatch))
        if mismatch is None:
            break
    return explanations


def _list_checks(when: When) -> list[tuple[str, Check]]:
    """Return the checks of a rule, each with the attribute that it checks."""
    checks: list[tuple[str, Check]] = []
    if when.teams:
        checks.append(("team", lambda rule_input: rule_input.team in when.teams))
    if when.kinds:
        checks.append(("kind", lambda rule_input: rule_input.kind in when.kinds))
    if when.domains:
        checks.append(("domain", lambda rule_input: rule_input.domain in when.domains))
    if when.labels:
        checks.append(
            ("labels", lambda rule_input: when.labels.items() <= rule_input.labels.items())
        )
    if when.min_size is not None or when.max_size is not None:
        checks.append(
            (
                "size",
                _build_range_check(
                    when.min_size, when.max_size, lambda rule_input: rule_input.size
                ),
            )
        )
    if when.min_priority is not None or when.max_priority is not None:
        low, high = when.min_priority, when.max_priority
        checks.append(
            ("priority", _build_range_check(low, high, lambda rule_input: rule_input.priority))
        )
    if when.idempotent is not None:
        checks.append(("idempotent", lambda rule_input: rule_input.idempotent is when.idempotent))
    if when.after is not None or when.before is not None:
        checks.append(("time", _build_time_check(when.after, when.before)))
    return checks


def _build_range_check(
    low: int | None, high: int | None, read: Callable[[RuleInput], int]
) -> Check:
    def check(rule_input: RuleInput) -> bool:
        value = read(rule_input)
        return (low is None or value >= low) and (high is None or value <= high)

    return check


def _build_time_check(after: time | None, before: time | None) -> Check:
    start = after or time.min
    end = before or time.max

    def check(rule_input: RuleInput) -> bool:
        if start <= end:
            return start <= rule_input.time_of_day < end
        return rule_input.time_of_day >= start or rule_input.time_of_day < end

    return check
