"""What gateways are told so that they can stand in."""

from __future__ import annotations

import asyncio

import msgspec

from ..core.cluster.calls import (
    Answer,
    Outcome,
)
from ..core.cluster.records import Records
from ..core.cluster.rosters import (
    KEPT_CHANGES,
    merge_roster,
)
from ..core.ids import UpstreamId
from ..runtime.gateways import Gateways
from .gateway_builders import add_upstream, build_clock, build_roster, greet, stand_in


def test_a_roster_holds_what_a_deputy_decides_by_and_no_more() -> None:
    clock = build_clock()
    gateways = Gateways(term=3, token=3_000_000, clock=clock)
    gateways.take_greeting(greet("10.0.0.2:7000"))
    gateways.take_greeting(greet("10.0.0.1:7000"))
    records = Records()
    records.put_in_force(build_roster().configuration)
    roster = gateways.build_roster(records, "")
    assert roster is not None
    assert [each.address for each in roster.gateways] == ["10.0.0.1:7000", "10.0.0.2:7000"]
    assert roster.configuration is not None
    assert roster.configuration.document == ""
    assert roster.configuration.queues
    gateways.take_greeting(greet("10.0.0.2:7000"))
    assert gateways.build_roster(records, roster.version) is None
    gateways.log.note_other()
    assert gateways.build_roster(records, roster.version) is not None


def test_kept_jobs_change_the_roster_only_when_the_first_begins_or_the_last_ends() -> None:
    """Failed on a site of kept jobs: each job sent a roster to each gateway (0.03 GB in 48 s)."""
    gateways = Gateways(term=3, token=3_000_000, clock=build_clock())
    before = gateways.log.version
    gateways.note_kept_jobs(False)
    assert gateways.log.version == before
    gateways.note_kept_jobs(True)
    begun = gateways.log.version
    gateways.note_kept_jobs(True)
    assert gateways.log.version == begun != before
    roster = gateways.build_roster(Records(), "")
    assert roster is not None and roster.keeps_jobs
    gateways.note_kept_jobs(False)
    assert gateways.log.version not in (before, begun)


def test_a_roster_is_sent_whole_once_and_then_as_changes() -> None:
    """Failed on mizan-hq-grown: each change of one upstream sent 35 KB to each of 44 gateways."""
    gateways = Gateways(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    records.put_in_force(build_roster().configuration)
    for number in range(3):
        add_upstream(gateways, records, f"u{number}")
    whole = gateways.build_roster(records, "")
    assert whole is not None and not whole.base
    add_upstream(gateways, records, "u3")
    records.upstreams[UpstreamId("u1")].draining = True
    gateways.log.note_upstream(UpstreamId("u1"))
    del records.upstreams[UpstreamId("u0")]
    gateways.log.note_upstream(UpstreamId("u0"))
    update = gateways.build_roster(records, whole.version)
    assert update is not None
    assert (update.base, update.configuration) == (whole.version, None)
    assert [record.info.id for record in update.upstreams] == ["u3", "u1"]
    assert update.removed == ("u0",)
    merged = merge_roster(whole, update)
    fresh = gateways.build_roster(records, "")
    assert merged is not None and fresh is not None
    assert merged.configuration == fresh.configuration
    by_id = {record.info.id: record for record in merged.upstreams}
    assert by_id == {record.info.id: record for record in fresh.upstreams}
    assert merged.version == fresh.version


def test_changes_that_do_not_follow_on_what_is_known_are_left_out() -> None:
    gateways = Gateways(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    add_upstream(gateways, records, "u1")
    whole = gateways.build_roster(records, "")
    add_upstream(gateways, records, "u2")
    assert whole is not None
    update = gateways.build_roster(records, whole.version)
    assert update is not None
    assert merge_roster(None, update) is None
    assert merge_roster(msgspec.structs.replace(whole, version="2.9"), update) is None


def test_a_gateway_that_missed_too_much_or_knows_another_term_gets_the_whole_roster() -> None:
    gateways = Gateways(term=3, token=3_000_000, clock=build_clock())
    records = Records()
    known = gateways.log.version
    for number in range(KEPT_CHANGES + 1):
        add_upstream(gateways, records, f"u{number}")
    for version in (known, "2.5", "", "x.y"):
        roster = gateways.build_roster(records, version)
        assert roster is not None
        assert not roster.base
        assert len(roster.upstreams) == KEPT_CHANGES + 1


def test_a_deputy_sends_no_rosters() -> None:
    """Found by reading: it sent the whole one with each answer to a greeting."""

    async def play() -> Answer:
        gateway, _ = stand_in()
        await gateway.link.replace_leader()
        assert gateway.deputy is not None
        answer = await gateway.answer_peer(greet("10.0.0.9:7000"))
        gateway.stop()
        return answer

    answer = asyncio.run(play())
    assert (answer.outcome, answer.roster, answer.is_deputy) == (Outcome.DONE, None, True)
