"""Logs without a reader, the sampling of routine lines, metrics as text, and `explain`."""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path

import pytest

from ..commands.exits import ExitCode
from ..commands.explanation import explain_job, read_log_lines
from ..runtime import decisions
from ..runtime.decisions import SAMPLE_ONE_IN, is_sampled
from ..runtime.log_output import BUFFER_BYTES, LogOutput
from ..runtime.metrics import Metrics

LINE = json.dumps({"message": "x" * 200})


def test_reader_that_never_reads_does_not_block_logging() -> None:
    """The pipe and the buffer fill; routine lines are dropped first, then all; both are counted."""
    reading, writing = os.pipe()
    output = LogOutput(descriptor=writing)
    for _ in range(5_000):
        output.write_record(LINE, logging.INFO)
    routine = output.dropped
    assert 0 < routine < 5_000
    output.write_record(LINE, logging.WARNING)
    assert output.dropped == routine, "there is still space for more important lines"
    for _ in range(5_000):
        output.write_record(LINE, logging.WARNING)
    assert output._size <= BUFFER_BYTES + len(LINE) + 1
    os.set_blocking(reading, False)
    text = b""
    while True:
        output.flush()
        try:
            text += os.read(reading, 1 << 20)
        except BlockingIOError:
            break
    reports = [line for line in read_log_lines(text.decode().splitlines()) if "lines" in line]
    assert sum(line["lines"] for line in reports) == output.dropped
    os.close(reading)
    os.close(writing)


def test_closed_reader_does_not_end_the_process() -> None:
    reading, writing = os.pipe()
    os.close(reading)
    output = LogOutput(descriptor=writing)
    output.write_record(LINE, logging.INFO)
    os.close(writing)


def test_all_decisions_about_a_job_are_sampled_or_none() -> None:
    jobs = [f"{number:016x}" for number in range(3_200)]
    sampled = [job for job in jobs if is_sampled(job)]
    assert sampled == [job for job in jobs if is_sampled(job)]
    assert abs(len(sampled) - 3_200 / SAMPLE_ONE_IN) < 60


def test_a_job_that_another_coordinator_may_have_begun_is_always_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two runs of a task whose second coordinator left no line about the job."""
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(decisions, "log_event", lambda event, **fields: logged.append(fields))
    job = next(each for each in map(str, range(100)) if not is_sampled(each))
    for has_begun in (0, 1):
        decisions.log_decision("job_taken", {"job": job, "has_begun": has_begun})
    assert [fields["has_begun"] for fields in logged] == [1]


def test_events_of_a_job_are_merged_in_order_from_many_files(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    first = tmp_path / "gateway.log"
    second = tmp_path / "control.log"
    first.write_text(
        '  0.05 edge-1 {"time": "2026-01-01T00:00:03", "event": 6002, "message": "failed", '
        '"path": "/q/abc"}\nno json\n{"time": "2026-01-01T00:00:00", "path": "/q/other"}\n'
    )
    second.write_text(
        '{"time": "2026-01-01T00:00:01", "event": 6001, "decision": "job_taken", "job": "abc"}\n'
        '{"time": "2026-01-01T00:00:02", "event": 6001, "decision": "run_ended", "job": "abc"}\n'
    )
    assert explain_job("abc", [first, second]) is ExitCode.OK
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2].rstrip(":") for line in lines] == ["job_taken", "run_ended", "failed"]
    assert explain_job("nobody", [first, second]) is not ExitCode.OK


def test_histograms_are_rendered_in_the_prometheus_text_format() -> None:
    metrics = Metrics(counters=lambda: {"calls": 3.0}, gauges=lambda: {"ready": 1.0})
    record = metrics.add_histogram("call_ms", (10.0, 100.0))
    for value in (5, 50, 500):
        record(value)
    lines = metrics.render().splitlines()
    assert "cottonlug_calls 3" in lines
    assert [line for line in lines if "call_ms" in line] == [
        'cottonlug_call_ms_bucket{le="10"} 1',
        'cottonlug_call_ms_bucket{le="100"} 2',
        'cottonlug_call_ms_bucket{le="+Inf"} 3',
        "cottonlug_call_ms_sum 555",
        "cottonlug_call_ms_count 3",
    ]
