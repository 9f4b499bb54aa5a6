"""The fault soak: its plan, its proxy, and one short run of real processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import re
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import pytest

from soak.__main__ import ExitStatus, main
from soak.domains import DomainCuts
from soak.fleet import Fleet, FleetSize
from soak.plan import LEADER, Disruption, DisruptionKind, Targets, build_plan
from soak.proxy import FaultKind, LinkFault, Proxy
from soak.record import EventKind, Record, read_detail, read_record
from soak.settings import ROOT, HostSettings, Ports, render_settings
from soak.wire import Peer

from ..config.cluster import load_control_settings, load_gateway_settings
from ..config.options import Address
from .processes import WAIT_LIMIT_SECONDS, wait_until

TARGETS = Targets(
    control_hosts=["c1", "c2", "c3"],
    gateways=[f"e{number}" for number in range(1, 10)],
    upstreams=[f"u{number}" for number in range(24)],
)


def build(
    seed: int,
    series: int = 2,
    seconds: float = 120.0,
    *,
    cuts_domains: bool = False,
    replaces_upstreams: bool = False,
) -> list[Disruption]:
    return build_plan(
        seed=seed,
        duration=timedelta(seconds=seconds),
        series=series,
        targets=TARGETS,
        cuts_domains=cuts_domains,
        replaces_upstreams=replaces_upstreams,
    )


# Plan


def test_same_seed_gives_the_same_plan() -> None:
    """Guards against a failed seed that cannot be played again."""
    assert build(43) == build(43)
    assert build(43) != build(44)


def test_plan_contains_every_kind_within_its_duration() -> None:
    """Guards against a kind that is declared and never drawn."""
    plan = build(1, series=3, seconds=600.0, cuts_domains=True, replaces_upstreams=True)
    assert {disruption.kind for disruption in plan} == set(DisruptionKind)
    assert all(disruption.start < timedelta(seconds=600) for disruption in plan)
    names = {*TARGETS.control_hosts, *TARGETS.gateways, *TARGETS.upstreams, LEADER}
    assert all(disruption.targets and names.issuperset(disruption.targets) for disruption in plan)


def test_disruptions_overlap_only_between_series() -> None:
    """Guards against series that wait for each other, and against overlaps within one."""
    plan = build(5, series=2)
    for number in (0, 1):
        own = [disruption for disruption in plan if disruption.series == number]
        pairs = itertools.pairwise(own)
        assert all(earlier.start + earlier.length < later.start for earlier, later in pairs)
    ends = [(each.start, each.start + each.length, each.series) for each in plan]
    assert any(
        first[0] < second[0] < first[1] and first[2] != second[2]
        for first in ends
        for second in ends
    )


@pytest.mark.parametrize("seed", range(20))
def test_only_one_disk_of_three_is_wiped_at_a_time(seed: int) -> None:
    """Guards against a plan that loses two disks together, which no promise covers."""
    wipes = [each for each in build(seed, series=3) if each.kind is DisruptionKind.WIPE_DISK]
    pairs = itertools.pairwise(wipes)
    assert all(later.start - first.start >= timedelta(seconds=12) for first, later in pairs)


def test_cuts_of_domains_leave_the_other_series_as_they_are() -> None:
    """Guards against seeds that stand for another plan once domains are cut off."""
    cuts = DisruptionKind.CUT_DOMAIN
    assert [each for each in build(3, cuts_domains=True) if each.kind is not cuts] == build(3)


def test_losses_leave_the_other_series_as_they_are() -> None:
    """Guards against seeds that stand for another plan once upstreams are replaced."""
    plan = build(3, series=2, replaces_upstreams=True)
    assert [each for each in plan if each.series < 2] == build(3, series=2)


def test_losses_are_short_and_long_under_a_leader_and_without_control_hosts() -> None:
    """Guards against returns that all come before a coordinator may forget a loss (30 s)."""
    plans = [build(seed, series=0, seconds=60.0, replaces_upstreams=True) for seed in range(40)]
    replaced = DisruptionKind.REPLACE_UPSTREAMS
    losses = [each for plan in plans for each in plan if each.kind is replaced]
    lengths = [each.length.total_seconds() for each in losses]
    assert min(lengths) <= 2.0 and sum(length > 30.0 for length in lengths) > len(plans)
    assert all(each.start + each.length <= timedelta(seconds=52.001) for each in losses)
    for seed, plan in enumerate(plans):
        outages = [each for each in plan if each.targets == tuple(TARGETS.control_hosts)]
        assert len(outages) == seed % 2
        assert all(each.length > timedelta(seconds=40) for each in outages)


def test_cuts_of_domains_are_short_and_long_and_may_follow_at_once() -> None:
    """Guards against cuts that all end before a leader may forget silent upstreams (10 s)."""
    plans = [build(seed, series=0, seconds=60.0, cuts_domains=True) for seed in range(40)]
    lengths = [each.length.total_seconds() for plan in plans for each in plan]
    assert 3.0 <= min(lengths) < 5.0 and 30.0 < max(lengths) <= 32.0
    ends = [each.start + each.length for plan in plans for each in plan]
    assert max(ends) <= timedelta(seconds=60.001)
    gaps = [
        later.start - (earlier.start + earlier.length)
        for plan in plans
        for earlier, later in itertools.pairwise(plan)
    ]
    assert timedelta(0) in gaps and max(gaps) > timedelta(seconds=5)
    targets = {target for plan in plans for each in plan for target in each.targets}
    assert targets == {LEADER, *TARGETS.control_hosts}


# Settings


def test_settings_of_the_templates_are_valid(tmp_path: Path) -> None:
    """Guards against a template with a placeholder that the soak does not fill in."""
    host = HostSettings(
        name="c2",
        domain="domain-2",
        domains=["domain-1", "domain-2"],
        advertised="127.30.1.2",
        bound="127.30.11.2",
        ports=Ports(),
        seeds=["127.30.1.1", "127.30.1.2"],
        data_folder=tmp_path / "data",
        may_begin=True,
    )
    deploy = ROOT / "deploy"
    file = tmp_path / "settings.yaml"
    file.write_text(render_settings(deploy / "control.yaml.template", host))
    control = load_control_settings(file)
    assert control.seeds == [Address(seed, Ports().peers) for seed in host.seeds]
    assert control.listen.peers == Address("127.30.1.2", Ports().peers)
    assert control.listen.metrics == Address("127.30.11.2", Ports().metrics)
    assert control.bind_host == "127.30.11.2"
    assert control.domains == ["domain-1", "domain-2"]
    assert control.may_begin
    file.write_text(render_settings(deploy / "gateway.yaml.template", replace(host, name="e1")))
    assert load_gateway_settings(file).size.memory == 300


# Proxy

SETTLE_SECONDS = 0.05


class Ends:
    """A proxied server that collects what arrives, and connections to it by client name."""

    def __init__(self) -> None:
        self.received = b""
        self.owners: dict[int, str] = {}
        self.accepted: list[asyncio.StreamWriter] = []
        self.proxy = Proxy(identify=self._identify)
        self.port = 0

    def _identify(self, peer: Peer, local: Peer) -> str:
        return self.owners[peer[1]]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.append(writer)
        while data := await reader.read(1_000):
            self.received += data
            writer.write(data.upper())
        writer.close()

    async def connect(self, name: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        client = socket.socket()
        client.bind(("127.0.0.1", 0))
        self.owners[client.getsockname()[1]] = name
        client.connect(("127.0.0.1", self.port))
        return await asyncio.open_connection(sock=client)


@asynccontextmanager
async def open_ends(name: str = "server") -> AsyncIterator[Ends]:
    ends = Ends()
    server = await asyncio.start_server(ends.serve, "127.0.0.1", 0)
    target = server.sockets[0].getsockname()
    await ends.proxy.listen(name, ("127.0.0.1", 0), target)
    ends.port = ends.proxy.get_ports()[0]
    try:
        yield ends
    finally:
        await ends.proxy.close()
        server.close()


async def exchange(connection: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bytes:
    reader, writer = connection
    writer.write(b"a")
    return await asyncio.wait_for(reader.read(1), 10)


async def is_quiet(connection: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> bool:
    try:
        await asyncio.wait_for(connection[0].read(1), SETTLE_SECONDS)
    except TimeoutError:
        return True
    return False


def fault_of(kind: FaultKind, source: str = "a", peer: str | None = "server") -> LinkFault:
    peers = None if peer is None else frozenset({peer})
    return LinkFault(kind=kind, sources=frozenset({source}), peers=peers, delay=0.2)


def test_proxy_passes_bytes_and_the_end_of_a_connection_on() -> None:
    """Guards against a connection that stays open when its other side is gone."""

    async def run() -> None:
        async with open_ends() as ends:
            first = await ends.connect("a")
            assert await exchange(first) == b"A"
            first[1].write_eof()
            assert await asyncio.wait_for(first[0].read(), 10) == b""

    asyncio.run(run())


def test_delay_holds_bytes_of_one_link_only() -> None:
    """Guards against a fault of a pair that harms other hosts."""

    async def run() -> None:
        async with open_ends() as ends:
            first, second = await ends.connect("a"), await ends.connect("b")
            await exchange(first)
            ends.proxy.add_fault(fault_of(FaultKind.DELAY))
            loop = asyncio.get_running_loop()
            began_at = loop.time()
            assert await exchange(second) == b"A"
            assert await exchange(first) == b"A"
            # Request and answer are both late.
            assert loop.time() - began_at >= 0.4

    asyncio.run(run())


def test_reset_ends_open_and_new_connections() -> None:
    """Guards against a reset that arrives as an orderly end."""

    async def run() -> None:
        async with open_ends() as ends:
            first = await ends.connect("a")
            await exchange(first)
            fault = fault_of(FaultKind.RESET, source="server", peer=None)
            ends.proxy.add_fault(fault)
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(first[0].read(1), 10)
            second = await ends.connect("b")
            with pytest.raises(ConnectionResetError):
                await asyncio.wait_for(second[0].read(1), 10)
            ends.proxy.remove_fault(fault)
            assert await exchange(await ends.connect("b")) == b"A"

    asyncio.run(run())


def test_one_way_cut_holds_answers_until_it_heals() -> None:
    """Guards against held bytes that are lost, and against a cut that also holds requests."""

    async def run() -> None:
        async with open_ends() as ends:
            first = await ends.connect("a")
            await exchange(first)
            fault = fault_of(FaultKind.CUT_ONE_WAY, source="server", peer="a")
            ends.proxy.add_fault(fault)
            first[1].write(b"b")
            while ends.received != b"ab":
                await asyncio.sleep(0.01)
            assert await is_quiet(first)
            ends.proxy.remove_fault(fault)
            assert await asyncio.wait_for(first[0].read(1), 10) == b"B"

    asyncio.run(run())


def test_cut_holds_requests_of_a_new_connection_too() -> None:
    """Guards against a cut that a host escapes by a new connection."""

    async def run() -> None:
        async with open_ends() as ends:
            fault = fault_of(FaultKind.CUT, source="server", peer=None)
            ends.proxy.add_fault(fault)
            first = await ends.connect("a")
            first[1].write(b"b")
            assert await is_quiet(first)
            assert ends.received == b""
            ends.proxy.remove_fault(fault)
            assert await asyncio.wait_for(first[0].read(1), 10) == b"B"

    asyncio.run(run())


def test_what_a_client_gave_up_behind_a_cut_never_arrives() -> None:
    """Guards against a burst of old requests at the heal, on connections that never opened."""

    async def run() -> None:
        async with open_ends() as ends:
            fault = fault_of(FaultKind.CUT)
            ends.proxy.add_fault(fault)
            first, second = await ends.connect("a"), await ends.connect("a")
            first[1].write(b"x")
            second[1].write(b"b")
            assert await is_quiet(first)
            first[1].close()
            await first[1].wait_closed()
            ends.proxy.remove_fault(fault)
            assert await asyncio.wait_for(second[0].read(1), 10) == b"B"
            assert ends.received == b"b" and len(ends.accepted) == 1

    asyncio.run(run())


def test_a_cut_domain_reaches_only_its_own_upstreams_until_it_is_back() -> None:
    """Guards against an acting leader that reaches upstreams beyond the cut."""

    async def run() -> None:
        proxy = Proxy(identify=lambda peer, local: "")
        domains = {"1": "domain-1", "2": "domain-2", "3": "domain-3"}
        hosts = {f"{kind}{number}": own for kind in "ce" for number, own in domains.items()}
        upstreams = {f"u{number}": own for number, own in domains.items()}
        cuts = DomainCuts(hosts=hosts, upstreams=upstreams, proxy=proxy)
        ends = list(itertools.product(hosts, upstreams))
        assert all(cuts.reaches(*each) for each in ends) and cuts.reaches("", "u1")
        cutting = asyncio.create_task(cuts.cut("domain-1", 0.1, random.Random(1)))
        await asyncio.sleep(0)
        for host, upstream in ends:
            are_on_one_side = (hosts[host] == "domain-1") == (upstreams[upstream] == "domain-1")
            assert cuts.reaches(host, upstream) is are_on_one_side, (host, upstream)
        assert not cuts.reaches("", "u2"), "a sender that cannot be named may be beyond the cut"
        await cutting
        assert all(cuts.reaches(*each) for each in ends) and cuts.reaches("", "u1")

    asyncio.run(run())


@pytest.mark.parametrize(
    ("client", "server", "is_held"),
    [("c1", "e2", True), ("e2", "c1", True), ("u1", "c2", True), ("c1", "e1", False),
     ("u1", "c1", False), ("u2", "c1", True), ("u2", "c3", False), ("", "e1", False)],
)  # fmt: skip
def test_a_cut_domain_is_away_from_hosts_and_heartbeats_but_not_from_callers(
    client: str, server: str, is_held: bool
) -> None:
    """Guards against a cut that lets heartbeats through, and one that callers notice."""

    async def run() -> None:
        async with open_ends(server) as ends:
            names = {"1": "domain-1", "2": "domain-2", "3": "domain-3"}
            hosts = {f"{kind}{number}": own for kind in "ce" for number, own in names.items()}
            upstreams = {f"u{number}": own for number, own in names.items()}
            cuts = DomainCuts(hosts=hosts, upstreams=upstreams, proxy=ends.proxy)
            cutting = asyncio.create_task(cuts.cut("domain-1", 0.2, random.Random(1)))
            await asyncio.sleep(0)
            connection = await ends.connect(client)
            connection[1].write(b"a")
            assert await is_quiet(connection) is is_held
            await cutting
            if is_held:
                assert await asyncio.wait_for(connection[0].read(1), 10) == b"A"

    asyncio.run(run())


def test_silence_lasts_for_open_connections_only() -> None:
    """Guards against a silent connection that recovers, or that its host can notice."""

    async def run() -> None:
        async with open_ends() as ends:
            first = await ends.connect("a")
            await exchange(first)
            fault = fault_of(FaultKind.SILENCE)
            ends.proxy.add_fault(fault)
            first[1].write(b"b")
            assert await exchange(await ends.connect("a")) == b"A"
            ends.proxy.remove_fault(fault)
            assert await is_quiet(first)
            assert ends.received == b"aa"

    asyncio.run(run())


def test_connection_to_a_host_that_is_down_is_reset() -> None:
    """Guards against connections that hang where the host refuses them."""

    async def run() -> None:
        proxy = Proxy(identify=lambda peer, local: "a")
        await proxy.listen("server", ("127.0.0.1", 0), ("127.0.0.1", 1))
        reader, _ = await asyncio.open_connection("127.0.0.1", proxy.get_ports()[0])
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), 10)
        await proxy.close()

    asyncio.run(run())


# Whole run


@pytest.fixture(scope="module")
def cut_run(tmp_path_factory: pytest.TempPathFactory) -> Iterator[subprocess.Popen[str]]:
    """Run the soak with cuts of failure domains, beside the short run to save its time."""
    arguments = ["--seed", "16", "--cuts", "--seconds", "20", "--timeout", "3"]
    yield from run_small_soak(arguments, tmp_path_factory.mktemp("cuts"))


@pytest.fixture
def loss_run(tmp_path: Path) -> Iterator[subprocess.Popen[str]]:
    """Run the soak with losses of upstreams, the longest for over 30 s, after the others."""
    arguments = ["--seed", "1", "--losses", "--seconds", "60", "--rate", "6"]
    yield from run_small_soak(arguments, tmp_path)


def run_small_soak(arguments: list[str], output: Path) -> Iterator[subprocess.Popen[str]]:
    """Run a small soak of best-effort jobs in a process of its own."""
    sizes = ["--gateways", "3", "--upstreams", "12", "--series", "0", "--durable-share", "0"]
    command = [sys.executable, "-m", "soak", *arguments, *sizes, "--output", str(output)]
    soak = subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )
    yield soak
    # The run ends its processes when it is told to stop.
    soak.terminate()
    soak.wait(WAIT_LIMIT_SECONDS)


def test_short_run_keeps_every_promise(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], cut_run: subprocess.Popen[str]
) -> None:
    """Guards against broken promises under faults, and against a soak that no longer runs.

    Record, plan and logs of a failed run are in the test's folder.
    """
    sizes = ["--gateways", "3", "--upstreams", "12", "--seconds", "20", "--series", "2"]
    status = main(["--seed", "7", *sizes, "--output", str(tmp_path)])
    assert status is ExitStatus.HELD, capsys.readouterr().out
    events = read_record(tmp_path / "record.jsonl").events
    counts = Counter(event.kind for event in events)
    assert counts[EventKind.START] > 100, counts
    disrupted = {read_detail(event).get("what") for event in events}
    planned = (tmp_path / "plan.txt").read_text().splitlines()
    assert planned and {line.split()[4] for line in planned} <= disrupted


def test_run_with_cuts_of_domains_serves_callers_and_keeps_every_promise(
    cut_run: subprocess.Popen[str],
) -> None:
    """Guards against two runs of a task after a long cut, and against cuts without any service."""
    printed, _ = cut_run.communicate(timeout=100)
    assert cut_run.returncode == ExitStatus.HELD, printed
    answered = re.search(r"in cuts (\d+) of (\d+)", printed)
    assert answered is not None, printed
    assert int(answered[1]) > 0.3 * int(answered[2]) > 0, printed


def test_run_with_lost_upstreams_that_are_replaced_keeps_every_promise(
    loss_run: subprocess.Popen[str],
) -> None:
    """Guards against a process that ends, or a term, as a lost upstream's address is used again."""
    printed, _ = loss_run.communicate(timeout=150)
    assert loss_run.returncode == ExitStatus.HELD, printed


def test_run_that_cannot_start_is_told_from_a_broken_promise(tmp_path: Path) -> None:
    """Guards against a machine without free ports that passes for a found fault."""
    file = tmp_path / "file"
    file.write_text("")
    assert main(["--seed", "7", "--output", str(file / "below")]) is ExitStatus.COULD_NOT_RUN


def test_run_that_is_told_to_stop_ends_all_its_processes(tmp_path: Path) -> None:
    """Guards against hosts that stay behind and take the machine's time and ports."""
    sizes = ["--gateways", "1", "--upstreams", "1"]
    arguments = ["-m", "soak", "--seed", "7", *sizes, "--output", str(tmp_path)]
    soak = subprocess.Popen([sys.executable, *arguments], cwd=ROOT, stderr=subprocess.DEVNULL)
    try:
        # The plan is written when all hosts are ready.
        wait_until((tmp_path / "plan.txt").exists)
        soak.send_signal(signal.SIGTERM)
        assert soak.wait(WAIT_LIMIT_SECONDS) == ExitStatus.COULD_NOT_RUN
    finally:
        soak.kill()
    lines = [line for log in tmp_path.glob("logs/*.log") for line in log.read_text().splitlines()]
    pids = [json.loads(line)["pid"] for line in lines if '"event": 1001' in line]
    assert len(pids) >= 4
    assert not any(Path(f"/proc/{pid}").exists() for pid in pids)


@pytest.mark.parametrize("is_stopping", [False, True])
def test_process_that_was_told_to_stop_has_not_ended_by_itself(
    is_stopping: bool, tmp_path: Path
) -> None:
    """Guards against a false failure where another series finds a host that has just stopped."""

    async def play() -> list[str]:
        record = Record(now=lambda: timedelta())
        fleet = Fleet(size=FleetSize(gateways=1), output=tmp_path, record=record)
        try:
            host = fleet.hosts["e1"]
            host.process = subprocess.Popen([sys.executable, "-c", ""])
            host.process.wait()
            host.is_stopping = is_stopping
            return list(fleet.find_failures())
        finally:
            await fleet.close()

    ended = ["e1: its process has ended by itself, status 0"]
    assert asyncio.run(play()) == ([] if is_stopping else ended)


@pytest.mark.parametrize(
    ("event", "is_failure"), [(1006, True), (1011, True), (4022, True), (4021, False)]
)
def test_logged_error_is_a_failure_though_its_process_goes_on(
    event: int, is_failure: bool, tmp_path: Path
) -> None:
    """Guards against errors that end a term or a step, which callers may not notice."""
    line = json.dumps({"time": "now", "level": "error", "event": event, "message": "text"})

    async def play() -> list[str]:
        fleet = Fleet(
            size=FleetSize(gateways=1), output=tmp_path, record=Record(now=lambda: timedelta())
        )
        try:
            (tmp_path / "logs").mkdir()
            (tmp_path / "logs" / "e1.log").write_text(f"{line}\n")
            return fleet.find_failures()
        finally:
            await fleet.close()

    assert asyncio.run(play()) == ([f"e1: {line}"] if is_failure else [])
