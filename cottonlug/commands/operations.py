"""`dump` and `rules`: the operators' commands."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

from returns.result import Failure as Err

from ..config.rules import RulesDocument, read_rules
from ..core.ids import DomainName, KindName, TeamName
from ..net.clients import ApiClient
from ..net.rule_messages import ExplainReply, ExplainRequest, RulesView, explain_rules
from .exits import ExitCode
from .jobs import Target
from .output import print_json, print_pretty, print_refusal


def show_dump(target: Target) -> ExitCode:
    """Print the state of a process."""
    reply = asyncio.run(call_once(target, "GET", "/v1/dump", dict[str, Any], None))
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    if target.as_json:
        print_json(reply.unwrap())
    else:
        print_pretty(reply.unwrap())
    return ExitCode.OK


def show_rules(target: Target) -> ExitCode:
    """Print the rules in force at a host."""
    reply = asyncio.run(call_once(target, "GET", "/v1/rules", RulesView, None))
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    view: RulesView = reply.unwrap()
    if target.as_json:
        print_json(view)
    else:
        print(f"# version {view.version}")
        print(view.text, end="")
    return ExitCode.OK


def check_rules(file: Path) -> ExitCode:
    """Print every problem of a rules document."""
    document = read_rules_file(file)
    if document is None:
        return ExitCode.SETTINGS
    print(f"{file}: {len(document.rules)} rules, no errors")
    return ExitCode.OK


def read_rules_file(file: Path) -> RulesDocument | None:
    """Return the rules in a file; print every problem found."""
    try:
        loaded = read_rules(file.read_text())
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}", file=sys.stderr)
        return None
    for problem in loaded.problems:
        print(f"{file}: {problem}", file=sys.stderr)
    return loaded.value


def explain_file(file: Path, asked: ExplainRequest, as_json: bool) -> ExitCode:
    """Tell which rule of a file a job would meet."""
    document = read_rules_file(file)
    if document is None:
        return ExitCode.SETTINGS
    return _print_explanation(explain_rules(document.rules, asked), as_json)


def explain_remote(target: Target, asked: ExplainRequest) -> ExitCode:
    """Tell which rule in force at a host a job would meet."""
    path = "/v1/rules/explain"
    reply = asyncio.run(call_once(target, "POST", path, ExplainReply, asked))
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    return _print_explanation(reply.unwrap(), target.as_json)


def build_question(
    team: str, kind: str, domain: str, labels: dict[str, str], size: int, idempotent: bool
) -> ExplainRequest:
    """Return the question to the rules that the options ask."""
    return ExplainRequest(
        team=TeamName(team),
        kind=KindName(kind),
        domain=DomainName(domain),
        labels=labels,
        size=size,
        idempotent=idempotent,
    )


async def call_once(target: Target, method: str, path: str, reply_type: Any, message: Any) -> Any:
    """Send one call and return its result."""
    client = ApiClient(address=target.address, token=target.token)
    try:
        return await client.call(method, path, reply_type, message)
    finally:
        await client.close()


def _print_explanation(reply: ExplainReply, as_json: bool) -> ExitCode:
    if as_json:
        print_json(reply)
        return ExitCode.OK
    for tried in reply.tried:
        why = f"no: {tried.mismatch} differs" if tried.mismatch else "yes: this rule counts"
        print(f"{tried.rule}: {why}")
    if reply.matched is None:
        print("no rule matches; the defaults count")
    return ExitCode.OK
