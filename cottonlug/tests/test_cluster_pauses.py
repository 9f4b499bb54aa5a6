"""Orders of events that a pause of a process brings about: time goes on while it gets none.

A pause (a stopped process, a busy machine, a suspended host) falls between any two lines. The
kernel keeps receiving for a paused process, and what was sent before the pause is read after it.
`docs/design/assumptions.md` lists what each part takes for granted about time; these tests break
those assumptions, or guard the ones that hold.
"""

from __future__ import annotations

from datetime import timedelta

from ..core.cluster.model import JobId
from ..core.cluster.records import Records
from ..core.cluster.term import TOKENS_PER_TERM
from ..core.ids import UpstreamId
from ..runtime.acting_leader import ACT_AS_LEADER_AFTER_SILENCE
from .gateway_builders import JOB
from .model_upstreams import Leader, build_queue, build_spec, milliseconds
from .test_cluster_dispatch import build_world

LONG_RUN_MS = 5_000
"""Run time of tasks that outlast every lease."""


def test_an_acting_leader_waits_for_upstreams_that_joined_after_its_last_failover_state() -> None:
    """Guards against two runs of a task that the last leader started at a new upstream.

    Gateways learn of an upstream with the answer to their next keep-alive, the leader starts tasks
    there at once. If it is lost in between, or the gateway that acts as leader next was paused, no
    poll of that one reaches the new upstream. The upstreams that it knows have all answered, so it
    takes a job that may have begun for known, and starts the task again under the first run.
    """
    world, upstreams = build_world(21)
    for upstream in upstreams.values():
        upstream.run_times = lambda job: milliseconds(LONG_RUN_MS)
    new = UpstreamId("u4")
    leader = Leader(world=world, upstreams=upstreams, records=Records(), token=TOKENS_PER_TERM)
    for id, upstream in upstreams.items():
        if id != new:
            leader.deliver_heartbeat(upstream, sequence=1)
    world.run_until(milliseconds(100))
    failover_state = Records()
    failover_state.restore(leader.records.encode())
    leader.deliver_heartbeat(upstreams[new], sequence=1)
    world.run_until(milliseconds(150))
    for id, instance in leader.dispatch.instances.items():
        instance.draining = id != new
    spec = build_spec(tasks=1, run_ms=LONG_RUN_MS)
    leader.submit(JOB, spec, build_queue())
    world.run_until(milliseconds(170))
    assert list(world.running.values()) == [new]
    leader.is_over = True
    world.run_until(world.now + ACT_AS_LEADER_AFTER_SILENCE)
    acting_leader = Leader(
        world=world,
        upstreams=upstreams,
        records=failover_state,
        token=TOKENS_PER_TERM + 1_000,
        is_acting=True,
    )
    world.run_until(world.now + milliseconds(50))
    acting_leader.submit(JOB, spec, build_queue(), may_have_begun=True)
    world.run_until(world.now + timedelta(seconds=2))
    assert acting_leader.dispatch.jobs.is_open(JobId(JOB))
    assert world.starts == 2, "the second run begins once the lease of the first has ended"
