"""Property tests of inputs: rules against a naive scan; fuzzed documents, messages and journals."""

from __future__ import annotations

from datetime import time

from hypothesis import given, settings
from hypothesis import strategies as st

from ..config.rules import read_rules
from ..core.consensus.types import MemberId
from ..core.ids import DomainName, KindName, SubmissionId, TeamName, parse_id
from ..core.intake import check_submit
from ..core.messages import ExchangeRequest, SubmitRequest
from ..core.rules import Rule, RuleInput, When, compile_rules, explain, find_mismatch
from ..net.codec import decode, encode
from ..storage.journal import JOURNAL_FILE, open_journal

SETTINGS = settings(derandomize=True, deadline=None, max_examples=300)
names = st.sampled_from(["a", "b", "c"])
times = st.times()
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@st.composite
def draw_whens(draw: st.DrawFn) -> When:
    return When(
        teams=frozenset(map(TeamName, draw(st.sets(names, max_size=2)))),
        kinds=frozenset(map(KindName, draw(st.sets(names, max_size=2)))),
        domains=frozenset(map(DomainName, draw(st.sets(names, max_size=1)))),
        labels=draw(st.dictionaries(names, names, max_size=1)),
        min_size=draw(st.none() | st.integers(1, 20)),
        max_size=draw(st.none() | st.integers(1, 20)),
        min_priority=draw(st.none() | st.integers(0, 9)),
        idempotent=draw(st.none() | st.booleans()),
        after=draw(st.none() | times),
        before=draw(st.none() | times),
    )


@st.composite
def draw_questions(draw: st.DrawFn) -> RuleInput:
    return RuleInput(
        team=TeamName(draw(names)),
        kind=KindName(draw(names)),
        domain=DomainName(draw(names)),
        labels=draw(st.dictionaries(names, names, max_size=2)),
        size=draw(st.integers(1, 20)),
        priority=draw(st.integers(0, 9)),
        idempotent=draw(st.booleans()),
        time_of_day=draw(times),
    )


@SETTINGS
@given(st.lists(draw_whens(), max_size=12), draw_questions())
def test_compiled_rules_agree_with_a_naive_scan(whens: list[When], rule_input: RuleInput) -> None:
    rules = [Rule(name=f"r{at}", when=when) for at, when in enumerate(whens)]
    naive = next((rule for rule in rules if find_mismatch(rule.when, rule_input) is None), None)
    assert compile_rules(rules)(rule_input) is naive
    tried = explain(rules, rule_input)
    matched = [each.rule for each in tried if each.mismatch is None]
    assert matched == ([naive.name] if naive else [])


def test_time_of_day_may_span_midnight() -> None:
    when = When(after=time(22), before=time(6))
    rule_input = RuleInput(
        team=TeamName("t"),
        kind=KindName("k"),
        domain=DomainName("d"),
        labels={},
        size=1,
        priority=4,
        idempotent=False,
        time_of_day=time(23),
    )
    match = compile_rules([Rule(name="night", when=when)])
    assert match(rule_input) is not None
    object.__setattr__(rule_input, "time_of_day", time(12))
    assert match(rule_input) is None


@SETTINGS
@given(st.text(max_size=200))
def test_any_text_as_rules_gives_problems_or_a_document(text: str) -> None:
    loaded = read_rules(text)
    has_errors = any(not problem.is_warning for problem in loaded.problems)
    assert (loaded.value is None) == has_errors


@SETTINGS
@given(st.binary(max_size=200))
def test_any_bytes_as_a_message_give_a_message_or_a_refusal(body: bytes) -> None:
    decode(body, SubmitRequest)
    decode(body, ExchangeRequest)


@SETTINGS
@given(json_values, st.lists(json_values, max_size=3))
def test_any_json_as_a_job_is_checked_without_an_exception(field: object, tasks: object) -> None:
    for name in ("team", "labels", "priority", "deadline_ms", "needs", "id"):
        job = {"team": "t", "kind": "k", "tasks": tasks, name: field}
        decoded = decode(encode(job), SubmitRequest)
        decoded.map(lambda request: check_submit(request, 1024))


@SETTINGS
@given(st.text(max_size=80))
def test_any_text_as_an_id_is_parsed_or_refused(text: str) -> None:
    parse_id(SubmissionId(text))


class _OneFile:
    """A folder with a single file, the journal."""

    def __init__(self, content: bytes) -> None:
        self.content = content

    def read(self, name: str) -> bytes | None:
        assert name == JOURNAL_FILE
        return self.content

    def append(self, name: str, data: bytes) -> None:
        self.content += data

    def sync(self, name: str) -> None:
        assert name == JOURNAL_FILE

    def truncate(self, name: str, size: int) -> None:
        self.content = self.content[:size]

    def replace(self, name: str, data: bytes) -> None:
        self.content = data


@SETTINGS
@given(st.binary(min_size=1, max_size=120))
def test_any_bytes_as_a_journal_are_cut_or_reported(content: bytes) -> None:
    open_journal(_OneFile(content), MemberId("a/1"))
