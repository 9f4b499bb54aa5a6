"""Output of commands: text for people, or JSON for scripts."""

from __future__ import annotations

import sys

import msgspec

from ..core.messages import JobAnswer, JobStatus, Refusal
from ..net.codec import encode
from .exits import ExitCode, choose_exit


def print_json(message: object) -> None:
    """Print a message as one line of JSON."""
    print(encode(message).decode())


def print_pretty(message: object) -> None:
    """Print a message as indented JSON."""
    print(msgspec.json.format(encode(message), indent=2).decode())


def print_refusal(refusal: Refusal, as_json: bool) -> ExitCode:
    """Print a refusal, on standard error unless as JSON, and return its exit code."""
    if as_json:
        print_json(refusal)
        return choose_exit(refusal)
    where = f" at {refusal.path}" if refusal.path else ""
    print(f"refused ({refusal.code.value}){where}: {refusal.message}", file=sys.stderr)
    if refusal.outcome is not None:
        print(f"outcome: {refusal.outcome.value}", file=sys.stderr)
    if refusal.retry_after_ms is not None:
        print(f"retry after {refusal.retry_after_ms} ms", file=sys.stderr)
    return choose_exit(refusal)


def print_view(view: JobStatus | JobAnswer, as_json: bool) -> ExitCode:
    """Print the status or the answer of a job and return the exit code."""
    if as_json:
        print_json(view)
    elif isinstance(view, JobStatus):
        print(
            f"{view.id} {view.state.value}: {view.succeeded} of {view.total} done, "
            f"{view.sent} sent, {view.queued} queued"
        )
    else:
        _print_answer(view)
    is_failed = isinstance(view, JobAnswer) and view.failure is not None
    return ExitCode.JOB_FAILED if is_failed else ExitCode.OK


def _print_answer(answer: JobAnswer) -> None:
    failure = answer.failure
    if failure is None:
        for result in answer.results or []:
            print(bytes(result).decode())
        return
    print(f"{answer.id} failed ({failure.reason.value}): {failure.detail}", file=sys.stderr)
    if failure.all_may_have_run:
        print("every task may have run", file=sys.stderr)
    else:
        print(f"{len(failure.may_have_run)} tasks may have run", file=sys.stderr)
