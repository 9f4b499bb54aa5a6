"""Commands for operators: `dump` and `rules`."""

from __future__ import annotations

import asyncio
import secrets
import sys
from pathlib import Path
from typing import Any

from returns.result import Failure as Err

from ..config.rules import RulesDocument, read_rules
from ..core.configuration import ChangeCommand, ChangeOutcome, Decision
from ..core.ids import DomainName, KindName, TeamName
from ..core.messages import Refusal
from ..core.states import RunOutcome
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
    """Print the active rules of a host."""
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


def apply_rules(
    target: Target, file: Path, base_version: int | None, request_id: str | None
) -> ExitCode:
    """Replace the rules of all hosts.

    Without `base_version`, the change starts from the version that the host has now. A repeated
    request id gets the same outcome again.
    """
    if read_rules_file(file) is None:
        return ExitCode.SETTINGS
    return asyncio.run(_apply(target, file.read_text(), base_version, request_id))


async def _apply(
    target: Target, text: str, base_version: int | None, request_id: str | None
) -> ExitCode:
    if base_version is None:
        view = await call_once(target, "GET", "/v1/rules", RulesView, None)
        if isinstance(view, Err):
            return print_refusal(view.failure(), target.as_json)
        base_version = view.unwrap().version
    command = ChangeCommand(
        request_id=request_id or secrets.token_hex(8), base_version=base_version, text=text
    )
    if not target.as_json:
        print(f"request {command.request_id} from version {base_version}", file=sys.stderr)
    decided = await call_once(target, "POST", "/v1/rules", ChangeOutcome, command)
    if isinstance(decided, Err):
        refusal: Refusal = decided.failure()
        code = print_refusal(refusal, target.as_json)
        is_unknown = refusal.outcome is not RunOutcome.NOT_RUN
        return ExitCode.UNAVAILABLE if is_unknown else code
    outcome: ChangeOutcome = decided.unwrap()
    if target.as_json:
        print_json(outcome)
    elif outcome.decision is Decision.ACCEPTED:
        print(f"accepted as version {outcome.version}")
    else:
        print(f"not accepted ({outcome.decision.value}): {outcome.detail}", file=sys.stderr)
        if outcome.winner:
            print(f"version {outcome.version} was set by request {outcome.winner}", file=sys.stderr)
    is_accepted = outcome.decision is Decision.ACCEPTED
    return ExitCode.OK if is_accepted else ExitCode.REFUSED


def check_rules(file: Path) -> ExitCode:
    """Print every problem of a rules file."""
    document = read_rules_file(file)
    if document is None:
        return ExitCode.SETTINGS
    print(f"{file}: {len(document.rules)} rules, no errors")
    return ExitCode.OK


def read_rules_file(file: Path) -> RulesDocument | None:
    """Print every problem of a rules file; return its rules, or None if there are errors."""
    try:
        loaded = read_rules(file.read_text())
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}", file=sys.stderr)
        return None
    for problem in loaded.problems:
        print(f"{file}: {problem}", file=sys.stderr)
    return loaded.value


def explain_file(file: Path, request: ExplainRequest, as_json: bool) -> ExitCode:
    """Print which rule of a file a job would match."""
    document = read_rules_file(file)
    if document is None:
        return ExitCode.SETTINGS
    return _print_explanation(explain_rules(document.rules, request), as_json)


def explain_remote(target: Target, request: ExplainRequest) -> ExitCode:
    """Print which active rule of a host a job would match."""
    path = "/v1/rules/explain"
    reply = asyncio.run(call_once(target, "POST", path, ExplainReply, request))
    if isinstance(reply, Err):
        return print_refusal(reply.failure(), target.as_json)
    return _print_explanation(reply.unwrap(), target.as_json)


def build_explain_request(
    team: str, kind: str, domain: str, labels: dict[str, str], size: int, idempotent: bool
) -> ExplainRequest:
    """Return the request to explain the rules for a job with these attributes."""
    return ExplainRequest(
        team=TeamName(team),
        kind=KindName(kind),
        domain=DomainName(domain),
        labels=labels,
        size=size,
        idempotent=idempotent,
    )


async def call_once(target: Target, method: str, path: str, reply_type: Any, message: Any) -> Any:
    """Send one call through a new client and return its result."""
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
        why = f"no: {tried.mismatch} differs" if tried.mismatch else "yes: this rule applies"
        print(f"{tried.rule}: {why}")
    if reply.matched is None:
        print("no rule matches; the defaults apply")
    return ExitCode.OK
