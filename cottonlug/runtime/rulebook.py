"""The rules in force at this process, compiled for matching."""

from __future__ import annotations

from ..config.rules import RulesDocument, read_rules
from ..core.rules import Matcher, RuleInput, Rule, compile_rules


class Rulebook:
    """The version and rules in force; versions only ever go up."""

    def __init__(self) -> None:
        self.version = 0
        self.text = ""
        self.rules: list[Rule] = []
        self._match: Matcher = compile_rules([])

    def match(self, rule_input: RuleInput) -> Rule | None:
        """Return the first rule that matches."""
        return self._match(rule_input)

    def put_in_force(self, version: int, text: str, document: RulesDocument) -> bool:
        """Take a document into force; False where a version as high is in force already."""
        if version <= self.version:
            return False
        self._match = compile_rules(document.rules)
        self.rules = document.rules
        self.text = text
        self.version = version
        return True


def read_valid_rules(text: str) -> RulesDocument | None:
    """Return the document of a text that was checked before, or None."""
    return read_rules(text).value
