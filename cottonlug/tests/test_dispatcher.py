"""Focused tests of the dispatcher: leases, probation, order of jobs, and unrunnable jobs."""

from __future__ import annotations

from datetime import timedelta

from msgspec import Raw

from ..core.dispatcher import Dispatcher
from ..core.ids import SubmissionId
from ..core.jobs import Job
from ..core.messages import ExchangeReply, Needs, ResultGroup, TaskResult
from ..core.states import FailureReason, JobState, ResultStatus
from .builders import HOST, build_dispatcher, build_executor, build_test_job

SECOND = timedelta(seconds=1)


def submit(
    dispatcher: Dispatcher, count: int, now: timedelta = timedelta(), team: str = "t"
) -> Job:
    job = build_test_job(dispatcher.store.mint(now), count, now, team=team)
    dispatcher.submit(job, None).unwrap()
    return job


def list_started(replies: list[ExchangeReply]) -> list[SubmissionId]:
    return [group.submission for reply in replies for group in reply.starts for _ in group.tasks]


def test_idle_session_outlives_the_busy_lease() -> None:
    dispatcher = build_dispatcher()
    executor = build_executor("w0")
    link = executor.links[HOST]
    executor.begin_session(link)
    for _ in range(2):
        assert dispatcher.exchange(executor.build_request(link), timedelta()) is None
    (delivery,) = dispatcher.dispatch(timedelta())
    executor.handle_reply(link, delivery.session, delivery.reply, timedelta())
    assert link.open_requests == 1
    # Later than the busy lease (4 s) and earlier than the idle lease (45 s) would end.
    dispatcher.tick(20 * SECOND)
    assert executor.upstream in dispatcher.sessions


def test_lease_of_a_silent_upstream_expires_and_its_tasks_are_unknown() -> None:
    dispatcher = build_dispatcher()
    executor = build_executor("w0")
    link = executor.links[HOST]
    executor.begin_session(link)
    dispatcher.exchange(executor.build_request(link), timedelta())
    job = submit(dispatcher, 1)
    assert len(dispatcher.dispatch(timedelta())) == 1
    # The busy lease is 4 s.
    dispatcher.tick(3 * SECOND)
    assert not job.ended
    dispatcher.tick(5 * SECOND)
    assert job.failure is not None and job.failure.reason is FailureReason.TASK_UNKNOWN


def test_upstream_that_fails_everything_gets_one_start_after_a_pause() -> None:
    dispatcher = build_dispatcher()
    for name in ("w0", "w1", "w2"):
        executor = build_executor(name, slots=8)
        link = executor.links[HOST]
        executor.begin_session(link)
        dispatcher.exchange(executor.build_request(link), timedelta())
        if name != "w0":
            continue
        for _ in range(2):
            submit(dispatcher, 1)
            (delivery,) = dispatcher.dispatch(timedelta())
            executor.handle_reply(link, delivery.session, delivery.reply, timedelta())
            assignment = executor.start_next()
            assert assignment is not None
            executor.finish(assignment.key, ResultStatus.FAILED, Raw(b"1"), 10, timedelta())
            dispatcher.exchange(executor.build_request(link), timedelta())
    # The last of the upstreams, w2, has had no failure.
    assert dispatcher.get_probation_limit(executor.upstream) is None
    assert dispatcher.counters.probations == 1
    submit(dispatcher, 20)
    names = [each.upstream for each in dispatcher.dispatch(timedelta()) if each.reply.starts]
    assert sorted(names) == ["w1", "w2"]
    submit(dispatcher, 1)
    # The first pause of a probation is 2 s.
    dispatcher.tick(2 * SECOND)
    (delivery,) = [each for each in dispatcher.dispatch(2 * SECOND) if each.upstream == "w0"]
    assert len(list_started([delivery.reply])) == 1


def test_short_job_overtakes_a_long_one_only_for_a_limited_time() -> None:
    dispatcher = build_dispatcher()
    long = submit(dispatcher, 100)
    short = submit(dispatcher, 1, SECOND)
    much_later = submit(dispatcher, 1, 100 * SECOND)
    executor = build_executor("w0", slots=2)
    link = executor.links[HOST]
    executor.begin_session(link)
    dispatcher.exchange(executor.build_request(link), 100 * SECOND)
    (delivery,) = dispatcher.dispatch(100 * SECOND)
    assert list_started([delivery.reply]) == [short.id, long.id]
    assert much_later.queued


def test_team_with_a_burst_does_not_delay_another() -> None:
    dispatcher = build_dispatcher()
    burst = [submit(dispatcher, 50, team="loud") for _ in range(20)]
    quiet = submit(dispatcher, 4, team="quiet")
    executor = build_executor("w0", slots=8)
    link = executor.links[HOST]
    executor.begin_session(link)
    dispatcher.exchange(executor.build_request(link), timedelta())
    (delivery,) = dispatcher.dispatch(timedelta())
    started = list_started([delivery.reply])
    assert started.count(quiet.id) == 4
    assert sum(started.count(job.id) for job in burst) == 4


def test_job_that_fits_no_upstream_fails_early_with_the_reason() -> None:
    dispatcher = build_dispatcher()
    executor = build_executor("w0")
    link = executor.links[HOST]
    executor.begin_session(link)
    dispatcher.exchange(executor.build_request(link), timedelta())
    job = build_test_job(dispatcher.store.mint(timedelta()), 2, timedelta())
    object.__setattr__(job.spec, "needs", Needs(accelerators=1))
    dispatcher.submit(job, None).unwrap()
    assert dispatcher.dispatch(timedelta()) == []
    # `unrunnable_grace` is 10 s.
    dispatcher.tick(11 * SECOND)
    assert job.state is JobState.FAILED and job.failure is not None
    assert job.failure.reason is FailureReason.NEVER_RUNNABLE
    assert job.failure.may_have_run == []


def test_late_and_repeated_results_are_ignored() -> None:
    dispatcher = build_dispatcher()
    executor = build_executor("w0")
    link = executor.links[HOST]
    executor.begin_session(link)
    dispatcher.exchange(executor.build_request(link), timedelta())
    job = submit(dispatcher, 1)
    (delivery,) = dispatcher.dispatch(timedelta())
    executor.handle_reply(link, delivery.session, delivery.reply, timedelta())
    assignment = executor.start_next()
    assert assignment is not None
    executor.finish(assignment.key, ResultStatus.SUCCEEDED, Raw(b"1"), 10, timedelta())
    request = executor.build_request(link)
    dispatcher.exchange(request, timedelta())
    assert job.state is JobState.COMPLETE
    again = TaskResult(0, 1, ResultStatus.FAILED, Raw(b"2"), 10)
    request = executor.build_request(link)
    request.results = [ResultGroup(submission=job.id, results=[again])]
    dispatcher.exchange(request, timedelta())
    assert job.results == [Raw(b"1")]
    assert dispatcher.counters.stale_results == 1
