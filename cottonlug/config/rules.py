"""The rules document in YAML: a list of when-then rules under the key `rules`."""

from __future__ import annotations

import functools
from dataclasses import dataclass
from datetime import time, timedelta
from pathlib import Path

import yaml

from ..core.ids import DomainName, KindName, TeamName
from ..core.rules import Rule, Then, When
from .logs import read_name
from .options import (
    Loaded,
    Option,
    Options,
    Report,
    load_yaml,
    read_boolean,
    read_duration,
    read_integer,
    read_item_or_list,
    read_labels,
    read_list,
    read_number,
    read_section,
    read_text,
    read_time_of_day,
)

MAX_PRIORITY = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class RulesDocument:
    """A complete rules document."""

    rules: list[Rule]


def _build_when(
    *,
    team: list[TeamName],
    kind: list[KindName],
    domain: list[DomainName],
    labels: dict[str, str],
    min_size: int | None,
    max_size: int | None,
    min_priority: int | None,
    max_priority: int | None,
    idempotent: bool | None,
    after: time | None,
    before: time | None,
) -> When:
    return When(
        teams=frozenset(team),
        kinds=frozenset(kind),
        domains=frozenset(domain),
        labels=labels,
        min_size=min_size,
        max_size=max_size,
        min_priority=min_priority,
        max_priority=max_priority,
        idempotent=idempotent,
        after=after,
        before=before,
    )


WHEN_OPTIONS: Options = {
    "team": Option(read_item_or_list(read_name), []),
    "kind": Option(read_item_or_list(read_text()), []),
    "domain": Option(read_item_or_list(read_name), []),
    "labels": Option(read_labels, {}),
    "min_size": Option(read_integer(1, 1_000_000), None),
    "max_size": Option(read_integer(1, 1_000_000), None),
    "min_priority": Option(read_integer(0, MAX_PRIORITY), None),
    "max_priority": Option(read_integer(0, MAX_PRIORITY), None),
    "idempotent": Option(read_boolean, None),
    "after": Option(read_time_of_day, None),
    "before": Option(read_time_of_day, None),
}
THEN_OPTIONS: Options = {
    "reject": Option(read_text(r".+", "give the reason"), None),
    "pool": Option(read_labels, {}),
    "priority": Option(read_integer(0, MAX_PRIORITY), None),
    "weight": Option(read_number(0.001, 1000.0), None),
    "timeout": Option(read_duration, None),
    "max_attempts": Option(read_integer(1, 10), None),
}
RULE_OPTIONS: Options = {
    "name": Option(read_name),
    "when": Option(read_section(WHEN_OPTIONS, _build_when), When()),
    "then": Option(read_section(THEN_OPTIONS, Then), Then()),
}
_read_document = read_section(
    {"rules": Option(read_list(read_section(RULE_OPTIONS, Rule)))}, RulesDocument
)


@functools.lru_cache(maxsize=4)
def read_rules(text: str) -> Loaded[RulesDocument]:
    """Parse a rules document; return it with every problem, warnings included.

    A voter parses each document when it decides on it and again when it activates it, so the last
    few results are cached.
    """
    return load_yaml(text, Path("."), _read_checked)


def _read_checked(node: yaml.Node, path: str, report: Report) -> RulesDocument | None:
    document = _read_document(node, path, report)
    if document is None:
        return None
    seen: set[str] = set()
    for at, rule in enumerate(document.rules):
        where = f"rules[{at}]"
        if rule.name in seen:
            report.add(node, where, f"the name {rule.name!r} is used twice")
        seen.add(rule.name)
        _check_timeout(rule.then.timeout, node, where, report)
        if rule.when == When() and at + 1 < len(document.rules):
            report.warn(node, where, "matches every job; the rules after it are never reached")
    return document


def _check_timeout(timeout: timedelta | None, node: yaml.Node, where: str, report: Report) -> None:
    if timeout is not None and timeout <= timedelta():
        report.add(node, where, "the timeout must be longer than 0")
