"""Loading and checking of the settings files of entry hosts and upstreams."""

from __future__ import annotations

from pathlib import Path

from .defaults import (
    EntrySettings,
    UpstreamSettings,
    read_entry_settings,
    read_upstream_settings,
)
from .loading import get_value, load_file, load_settings, raise_on_problems
from .options import Problem

_TOKEN_COUNT = 4
"""Number of kinds of clients, each of which needs a token of its own."""


def load_entry_settings(file: Path) -> EntrySettings:
    """Load an entry host's settings; raise `SettingsError` listing every problem."""
    loaded = load_file(file, read_entry_settings)
    settings = get_value(file, loaded)
    raise_on_problems(file, _check_entry(settings))
    return settings


def load_upstream_settings(file: Path) -> UpstreamSettings:
    """Load a stand-in upstream's settings; raise `SettingsError` listing every problem."""
    settings = load_settings(file, read_upstream_settings)
    if settings.listen is not None and settings.operator_token is None:
        message = "required if listen is given"
        raise_on_problems(file, [Problem(path="operator_token", line=1, message=message)])
    return settings


def _check_entry(settings: EntrySettings) -> list[Problem]:
    problems: list[Problem] = []
    hosts = [peer.host for peer in settings.peers]
    if settings.host in hosts or len(set(hosts)) < len(hosts):
        message = "a host is listed twice, or this host is listed as its own peer"
        problems.append(Problem(path="peers", line=1, message=message))
    for voter in settings.voters:
        if voter != settings.host and voter not in hosts:
            message = f"{voter!r} is neither this host nor a peer"
            problems.append(Problem(path="voters", line=1, message=message))
    if settings.host in settings.voters and settings.data_folder is None:
        message = "a voter requires a data folder"
        problems.append(Problem(path="data_folder", line=1, message=message))
    if settings.voters and settings.rules is not None:
        message = "the voters hold the rules; apply the file with `cottonlug rules apply`"
        problems.append(Problem(path="rules", line=1, message=message))
    tokens = settings.tokens
    values = {tokens.callers, tokens.operators, tokens.upstreams, tokens.peers}
    if len(values) < _TOKEN_COUNT:
        message = "each kind of client requires a different token"
        problems.append(Problem(path="tokens", line=1, message=message))
    return problems
