"""Messages about rules between operators and entry hosts."""

from __future__ import annotations

from datetime import time

from ..core import rules
from ..core.ids import DomainName, KindName, TeamName
from ..core.messages import Message


class RulesView(Message, omit_defaults=False):
    """The rules in force at one host."""

    version: int
    text: str


class ExplainRequest(Message):
    """A job to ask the rules about."""

    team: TeamName
    kind: KindName
    domain: DomainName
    labels: dict[str, str] = {}
    size: int = 1
    priority: int = 4
    idempotent: bool = False
    time_of_day: time = time(12, 0)


class ExplainedRule(Message):
    """One rule that was tried; without a mismatch it is the one that counts."""

    rule: str
    mismatch: str | None = None


class ExplainReply(Message, omit_defaults=False):
    """The rule that counts, or None, and every rule that was tried."""

    matched: str | None
    tried: list[ExplainedRule]


def explain_rules(listed: list[rules.Rule], request: ExplainRequest) -> ExplainReply:
    """Return which rule a job meets and why the earlier ones did not match."""
    question = rules.Question(
        team=request.team,
        kind=request.kind,
        domain=request.domain,
        labels=request.labels,
        size=request.size,
        priority=request.priority,
        idempotent=request.idempotent,
        time_of_day=request.time_of_day,
    )
    tried = rules.explain(listed, question)
    matched = next((each.rule for each in tried if each.mismatch is None), None)
    return ExplainReply(
        matched=matched,
        tried=[ExplainedRule(rule=each.rule, mismatch=each.mismatch) for each in tried],
    )
