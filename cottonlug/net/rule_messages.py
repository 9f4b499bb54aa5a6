"""Messages about rules between operators and entry hosts."""

from __future__ import annotations

from datetime import time

from ..core import rules
from ..core.ids import DomainName, KindName, TeamName
from ..core.messages import Message


class RulesView(Message, omit_defaults=False):
    """The active rules of one host."""

    version: int
    text: str


class ExplainRequest(Message):
    """The attributes of a job to match against the rules."""

    team: TeamName
    kind: KindName
    domain: DomainName
    labels: dict[str, str] = {}
    size: int = 1
    priority: int = 4
    idempotent: bool = False
    time_of_day: time = time(12, 0)


class ExplainedRule(Message):
    """A rule that was tried; `mismatch` names its first condition not met, None if it matched."""

    rule: str
    mismatch: str | None = None


class ExplainReply(Message, omit_defaults=False):
    """The rule that matched, or None, and every rule that was tried."""

    matched: str | None
    tried: list[ExplainedRule]


def explain_rules(listed: list[rules.Rule], request: ExplainRequest) -> ExplainReply:
    """Find the rule that a job matches and say why the earlier ones did not match."""
    rule_input = rules.RuleInput(
        team=request.team,
        kind=request.kind,
        domain=request.domain,
        labels=request.labels,
        size=request.size,
        priority=request.priority,
        idempotent=request.idempotent,
        time_of_day=request.time_of_day,
    )
    tried = rules.explain(listed, rule_input)
    matched = next((each.rule for each in tried if each.mismatch is None), None)
    return ExplainReply(
        matched=matched,
        tried=[ExplainedRule(rule=each.rule, mismatch=each.mismatch) for each in tried],
    )
