"""Loading of control host and gateway settings, with all problems reported at once."""

from __future__ import annotations

from datetime import timedelta
from pathlib import Path

import pytest

from ..commands.daemons import find_bind_address, find_drain_seconds
from ..config.cluster import load_control_settings, load_gateway_settings
from ..config.options import Address
from ..exceptions import SettingsError

CONTROL = """
host: core-1
domain: north
listen:
  control: 10.0.0.1:8166
  peers: 10.0.0.1:7720
seeds: ["10.0.0.1:8166", "10.0.0.2:8166"]
peer_port: 7720
may_begin: true
data_folder: data
longest_lease: 1000ms
keep_ended: 120s
"""
GATEWAY = """
host: edge-1
domain: north
listen:
  callers: 10.0.0.9:8161
  readiness: 10.0.0.9:8167
  peers: 10.0.0.9:7720
  metrics: 10.0.0.9:9464
seeds: ["10.0.0.1:8166"]
peer_port: 7720
"""


def write(folder: Path, text: str) -> Path:
    file = folder / "settings.yaml"
    file.write_text(text)
    return file


def test_seeds_of_a_control_host_get_the_peer_port(tmp_path: Path) -> None:
    settings = load_control_settings(write(tmp_path, CONTROL))
    assert settings.seeds == [Address("10.0.0.1", 7720), Address("10.0.0.2", 7720)]
    assert settings.may_begin
    assert settings.data_folder == tmp_path / "data"
    assert settings.longest_lease == timedelta(seconds=1)
    assert settings.keep_ended == timedelta(minutes=2)
    assert settings.caller_retry == timedelta(milliseconds=1_300)


def test_a_gateway_has_a_metrics_address_and_a_default_drain_limit(tmp_path: Path) -> None:
    settings = load_gateway_settings(write(tmp_path, GATEWAY))
    assert settings.listen.metrics == Address("10.0.0.9", 9464)
    assert settings.drain_limit == timedelta(seconds=5)


def test_the_factor_outside_the_rack_is_at_least_one(tmp_path: Path) -> None:
    """Guards against a typing error that makes runs away from their data look faster."""
    assert load_control_settings(write(tmp_path, CONTROL)).remote_factor == 1.0
    assert load_gateway_settings(write(tmp_path, GATEWAY + "remote_factor: 2")).remote_factor == 2
    with pytest.raises(SettingsError):
        load_control_settings(write(tmp_path, CONTROL + "remote_factor: 0.5"))


def test_requests_are_answered_until_shortly_before_the_shutdown_limit() -> None:
    """A job was aborted 1 s before the host had to exit."""
    assert find_drain_seconds(timedelta(seconds=6), 2.5) == pytest.approx(3.1)
    assert find_drain_seconds(timedelta(seconds=2), 2.5) == 0.0


def test_all_problems_are_reported_at_once_with_their_lines(tmp_path: Path) -> None:
    text = CONTROL.replace("north", "No!").replace("1000ms", "soon").replace("may_begin", "begin")
    with pytest.raises(SettingsError) as caught:
        load_control_settings(write(tmp_path, text))
    lines = str(caught.value).splitlines()
    assert [word for word in ("line 3", "line 9", "line 11") if word not in str(caught.value)] == []
    assert len(lines) == 3


def test_missing_settings_are_named(tmp_path: Path) -> None:
    with pytest.raises(SettingsError) as caught:
        load_gateway_settings(write(tmp_path, "host: edge-1\n"))
    for name in ("domain", "listen", "seeds"):
        assert f"{name}: error: required" in str(caught.value)


def test_listeners_bind_to_another_address_than_the_advertised_one(tmp_path: Path) -> None:
    """Guards against a host behind address translation that advertises its private address."""
    plain = load_control_settings(write(tmp_path, CONTROL))
    assert find_bind_address(plain.listen.peers, plain) == Address("10.0.0.1", 7720)
    translated = load_control_settings(write(tmp_path, CONTROL + "bind_host: 192.168.0.7\n"))
    assert translated.listen.peers == Address("10.0.0.1", 7720)
    assert find_bind_address(translated.listen.peers, translated) == Address("192.168.0.7", 7720)
    with pytest.raises(SettingsError, match="expected an IP number"):
        load_gateway_settings(write(tmp_path, GATEWAY + "bind_host: host-7\n"))
