"""The operators' rules that are active in this process, compiled for matching jobs."""

from __future__ import annotations

from ..config.rules import RulesDocument, read_rules
from ..core.rules import Matcher, Rule, RuleInput, compile_rules


class Rulebook:
    """The active rules and their version, which only increases."""

    def __init__(self) -> None:
        self.version = 0
        self.text = ""
        self.rules: list[Rule] = []
        self._match: Matcher = compile_rules([])

    def match(self, rule_input: RuleInput) -> Rule | None:
        """Return the first rule that matches, or None."""
        return self._match(rule_input)

    def activate(self, version: int, text: str, document: RulesDocument) -> bool:
        """Activate a document; False if the active version is at least as new."""
        if version <= self.version:
            return False
        self._match = compile_rules(document.rules)
        self.rules = document.rules
        self.text = text
        self.version = version
        return True


def read_valid_rules(text: str) -> RulesDocument | None:
    """Parse a text that was checked before; None if it has errors."""
    return read_rules(text).value
