"""Declarations of commands and options; the commands are implemented in `commands/`."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated

import typer
from msgspec import Raw
from returns.result import Failure as Err

from . import __version__
from .commands import control as control_hosts
from .commands import demo, evacuations, explanation, jobs, operations, serve
from .commands import gateway as gateways
from .commands.exits import ExitCode
from .commands.output import print_refusal
from .commands.workloads import ExampleWorkload, build_example_job
from .config.deployments import DEPLOYMENTS, DeploymentName, write_deployment
from .config.options import Address
from .core.ids import KindName, SubmissionId, TeamName
from .core.messages import SingleRequest
from .exceptions import BrokenInvariantError, SettingsError

EXIT_HELP = (
    "Exit codes: 0 done; 1 the job failed; 2 wrong usage; 3 settings or rules have errors; "
    "4 refused; 5 unavailable or outcome unknown; 6 broken invariant."
)

app = typer.Typer(
    help="Dispatch short tasks: each starts at most once, and each job gets a complete answer.",
    epilog=EXIT_HELP,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
rules_app = typer.Typer(help="Check, apply, show and explain the rules.", no_args_is_help=True)
app.add_typer(rules_app, name="rules")
evacuations_app = typer.Typer(
    help="Begin, end and list evacuations of failure domains.", no_args_is_help=True
)
app.add_typer(evacuations_app, name="evacuations")

ConfigOption = Annotated[Path, typer.Option("--config", "-c", help="Settings file (YAML).")]
HostOption = Annotated[
    str,
    typer.Option("--host", envvar="COTTONLUG_HOST", help="Address of an entry host, as IP:PORT."),
]
TokenOption = Annotated[
    Path,
    typer.Option("--token-file", envvar="COTTONLUG_TOKEN_FILE", help="File with the token."),
]
ControlOption = Annotated[
    list[str],
    typer.Option("--control", help="Control listener of a control host, as IP:PORT; repeatable."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]


@app.command(name="serve", epilog="Example: cottonlug serve --config examples/skywatch/e1.yaml")
def serve_(config: ConfigOption) -> None:
    """Run an entry host."""
    raise typer.Exit(serve.serve_entry(config))


@app.command(epilog="Example: cottonlug upstream --config examples/skywatch/w01.yaml")
def upstream(config: ConfigOption) -> None:
    """Run a stand-in upstream."""
    raise typer.Exit(serve.serve_upstream(config))


@app.command(epilog="Example: cottonlug control --config control.yaml")
def control(config: ConfigOption) -> None:
    """Run a control host of a cluster: it keeps the log and, as leader, schedules jobs."""
    raise typer.Exit(control_hosts.serve_control(config))


@app.command(epilog="Example: cottonlug gateway --config gateway.yaml")
def gateway(config: ConfigOption) -> None:
    """Run a gateway of a cluster: it forwards callers' requests to the leader."""
    raise typer.Exit(gateways.serve_gateway(config))


@app.command(name="demo")
def demo_() -> None:
    """Run an entry host, five stand-in upstreams and an example job per workload; check them."""
    raise typer.Exit(demo.run_demo())


@app.command(epilog="Example: cottonlug submit job.json, or cottonlug submit --example aurora")
def submit(
    host: HostOption,
    token_file: TokenOption,
    file: Annotated[Path | None, typer.Argument(help="Job in JSON; - is standard input.")] = None,
    example: Annotated[
        ExampleWorkload | None, typer.Option(help="Submit an example job instead.")
    ] = None,
    tasks: Annotated[int, typer.Option(min=1, max=1100, help="Tasks of the example.")] = 1100,
    seed: Annotated[int, typer.Option(help="Seed of the example.")] = 1,
    submission: Annotated[str | None, typer.Option("--id", help="Submission id to use.")] = None,
    wait: Annotated[bool, typer.Option(help="Wait for the complete answer.")] = True,
    as_json: JsonOption = False,
) -> None:
    """Submit a job and print its answer, one result per line."""
    target = _build_target(host, token_file, as_json)
    if example is not None:
        request = build_example_job(example, tasks, seed)
    elif file is not None:
        read = jobs.read_job_file(file)
        if isinstance(read, Err):
            print_refusal(read.failure(), as_json)
            raise typer.Exit(ExitCode.USAGE)
        request = read.unwrap()
    else:
        raise typer.BadParameter("give a job file or --example")
    if submission is not None:
        request.id = SubmissionId(submission)
    raise typer.Exit(jobs.submit_job(target, request, wait))


@app.command(epilog="Example: cottonlug status ID --wait-ms 5000")
def status(
    submission: Annotated[str, typer.Argument(metavar="ID")],
    host: HostOption,
    token_file: TokenOption,
    wait_ms: Annotated[int, typer.Option(min=0, max=60_000, help="Wait for the answer.")] = 0,
    as_json: JsonOption = False,
) -> None:
    """Print the progress of a job, or its answer once it has ended."""
    target = _build_target(host, token_file, as_json)
    raise typer.Exit(jobs.show_status(target, submission, wait_ms))


@app.command(epilog="Example: cottonlug cancel ID")
def cancel(
    submission: Annotated[str, typer.Argument(metavar="ID")],
    host: HostOption,
    token_file: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Cancel a job; a job that has already ended stays as it is."""
    raise typer.Exit(jobs.cancel_job(_build_target(host, token_file, as_json), submission))


@app.command(epilog="Example: cottonlug request --team al-mizan --kind weigh.ticket '{...}'")
def request(
    payload: Annotated[str, typer.Argument(help="Payload in JSON.")],
    team: Annotated[str, typer.Option(help="Team that sends the request.")],
    kind: Annotated[str, typer.Option(help="Kind of task.")],
    host: HostOption,
    token_file: TokenOption,
    idempotent: Annotated[bool, typer.Option(help="The task may run more than once.")] = False,
    deadline_ms: Annotated[int, typer.Option(min=1, help="Fail after this time.")] = 10_000,
    submission: Annotated[str | None, typer.Option("--id", help="Submission id to use.")] = None,
    as_json: JsonOption = False,
) -> None:
    """Run one task and print its answer."""
    message = SingleRequest(
        id=SubmissionId(submission) if submission else None,
        team=TeamName(team),
        kind=KindName(kind),
        payload=Raw(payload.encode()),
        idempotent=idempotent,
        deadline_ms=deadline_ms,
    )
    raise typer.Exit(jobs.run_request(_build_target(host, token_file, as_json), message))


@app.command(epilog="Example: cottonlug ids --count 10")
def ids(
    host: HostOption,
    token_file: TokenOption,
    count: Annotated[int, typer.Option(min=1, max=1000, help="Number of ids.")] = 1,
    as_json: JsonOption = False,
) -> None:
    """Mint submission ids."""
    raise typer.Exit(jobs.mint_ids(_build_target(host, token_file, as_json), count))


@app.command(epilog="Example: cottonlug explain 5c0e7a21d94b36f8 control.log gateway.log")
def explain(
    id: Annotated[str, typer.Argument(metavar="ID", help="Id of a job.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none are given.")
    ] = None,
) -> None:
    """Print the history of one job, ordered by time, from the logs of several processes."""
    raise typer.Exit(explanation.explain_job(id, files or []))


@app.command(epilog="Example: cottonlug dump --host 127.0.0.1:7201 --token-file tokens/operators")
def dump(host: HostOption, token_file: TokenOption, as_json: JsonOption = False) -> None:
    """Print the state of a process, read from its listener for operators."""
    raise typer.Exit(operations.show_dump(_build_target(host, token_file, as_json)))


@app.command(epilog="Example: cottonlug examples skywatch run/skywatch")
def examples(
    name: Annotated[DeploymentName, typer.Argument(help="Deployment to write.")],
    folder: Annotated[Path, typer.Argument(help="Folder to write into.")],
) -> None:
    """Write the settings files and tokens of an example deployment on loopback."""
    write_deployment(DEPLOYMENTS[name], folder)
    print(f"wrote {folder}; start each file with `cottonlug serve` or `cottonlug upstream`")


@app.command()
def version() -> None:
    """Print the version."""
    print(__version__)


@rules_app.command("check", epilog="Example: cottonlug rules check rules.yaml")
def rules_check(file: Path) -> None:
    """Print every problem of a rules file."""
    raise typer.Exit(operations.check_rules(file))


@rules_app.command("apply", epilog="Example: cottonlug rules apply rules.yaml --base 12")
def rules_apply(
    file: Path,
    host: HostOption,
    token_file: TokenOption,
    base: Annotated[int | None, typer.Option(help="Version that the change is based on.")] = None,
    request_id: Annotated[
        str | None, typer.Option(help="Repeat it to get the outcome of a lost answer.")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Replace the rules of all hosts, if the active version is still the base version."""
    target = _build_target(host, token_file, as_json)
    raise typer.Exit(operations.apply_rules(target, file, base, request_id))


@rules_app.command("show")
def rules_show(host: HostOption, token_file: TokenOption, as_json: JsonOption = False) -> None:
    """Print the active rules of a host."""
    raise typer.Exit(operations.show_rules(_build_target(host, token_file, as_json)))


@rules_app.command("explain", epilog="Example: cottonlug rules explain --file r.yaml --team t ...")
def rules_explain(
    team: Annotated[str, typer.Option(help="Team of the job.")],
    kind: Annotated[str, typer.Option(help="Kind of the job.")],
    domain: Annotated[str, typer.Option(help="Failure domain where it is submitted.")],
    label: Annotated[list[str] | None, typer.Option(help="Label as NAME=VALUE.")] = None,
    size: Annotated[int, typer.Option(min=1, help="Number of tasks.")] = 1,
    idempotent: Annotated[bool, typer.Option(help="Whether it is an idempotent request.")] = False,
    file: Annotated[Path | None, typer.Option(help="Use this file instead of a host.")] = None,
    host: HostOption = "",
    token_file: TokenOption = Path(),
    as_json: JsonOption = False,
) -> None:
    """Print which rule a job matches, and why the earlier ones do not match."""
    labels = _parse_labels(label or [])
    explain_request = operations.build_explain_request(team, kind, domain, labels, size, idempotent)
    if file is not None:
        raise typer.Exit(operations.explain_file(file, explain_request, as_json))
    target = _build_target(host, token_file, as_json)
    raise typer.Exit(operations.explain_remote(target, explain_request))


@evacuations_app.command("begin", epilog="Example: ... begin ridge-hut --control 10.1.0.16:8166")
def evacuations_begin(domain: str, control: ControlOption) -> None:
    """Start no more tasks at the upstreams of a failure domain; running tasks finish there."""
    hosts = [_parse_address(each, "--control") for each in control]
    raise typer.Exit(evacuations.set_evacuation(hosts, domain, begin=True))


@evacuations_app.command("end", epilog="Example: ... end ridge-hut --control 10.1.0.16:8166")
def evacuations_end(domain: str, control: ControlOption) -> None:
    """Use the upstreams of a failure domain again."""
    hosts = [_parse_address(each, "--control") for each in control]
    raise typer.Exit(evacuations.set_evacuation(hosts, domain, begin=False))


@evacuations_app.command("list")
def evacuations_list(control: ControlOption, as_json: JsonOption = False) -> None:
    """Print the evacuated failure domains, and since when each is evacuated."""
    hosts = [_parse_address(each, "--control") for each in control]
    raise typer.Exit(evacuations.list_evacuations(hosts, as_json))


def main() -> None:
    """Run the command line.

    A settings error is printed with all its problems. A broken invariant ends the process with an
    exit code of its own. A closed output pipe is no error.
    """
    try:
        app()
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(ExitCode.SETTINGS)
    except BrokenInvariantError as error:
        print(f"broken invariant: {error}", file=sys.stderr)
        sys.exit(ExitCode.BROKEN_INVARIANT)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.OK)


def _build_target(host: str, token_file: Path, as_json: bool) -> jobs.Target:
    address = _parse_address(host, "--host")
    try:
        token = token_file.read_text().strip()
    except OSError as error:
        raise typer.BadParameter(f"--token-file {token_file}: {error.strerror}") from error
    return jobs.Target(address=address, token=token, as_json=as_json)


def _parse_address(host: str, option: str) -> Address:
    name, _, port = host.rpartition(":")
    if not name or not port.isdecimal():
        raise typer.BadParameter(f"{option} must be IP:PORT, not {host!r}")
    return Address(name, int(port))


def _parse_labels(given: list[str]) -> dict[str, str]:
    labels: dict[str, str] = {}
    for item in given:
        name, separator, value = item.partition("=")
        if not separator:
            raise typer.BadParameter(f"--label must be NAME=VALUE, not {item!r}")
        labels[name] = value
    return labels
