"""Decoding of jobs, and task names, in the platform's format."""

from __future__ import annotations

import msgspec
from returns.result import Failure as Err
from returns.result import Result, Success

from ..core.cluster.model import JobId, JobSpec, JobState, Needs, StepSpec, TaskRef
from ..net.transport import DECODE_ERRORS
from .decoding import describe_error

STATE_WORDS = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class _StepBody(msgspec.Struct):
    count: int = 1
    cpu: int = 0  # thousandths of a core
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: int = 0
    depends_on: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requirements: str = ""  # a label that the worker must have
    affinity: str = ""  # rack of the data
    anti_affinity: int = 0  # maximum tasks of the step on one worker
    speculative: bool = False
    best_effort: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class _JobBody(msgspec.Struct):
    steps: list[_StepBody]
    task_spec: str = ""  # opaque to the scheduler
    best_effort: bool = False
    long_running: bool = False
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0


_decoder = msgspec.json.Decoder(_JobBody)


def decode_job(body: bytes) -> Result[JobSpec, str]:
    """Decode a job, or return the reason why the body is invalid."""
    try:
        job = _decoder.decode(body)
    except DECODE_ERRORS as error:
        return Err(describe_error(error))
    return Success(
        JobSpec(
            payload=job.task_spec,
            steps=tuple(_build_step(step) for step in job.steps),
            best_effort=job.best_effort or any(step.best_effort for step in job.steps),
            long_running=job.long_running or any(step.long_running for step in job.steps),
            repeat_count=job.repeat_count,
            start_at_ms=job.start_at_ms,
            interval_ms=job.interval_ms,
        )
    )


def _build_step(step: _StepBody) -> StepSpec:
    return StepSpec(
        count=step.count,
        needs=Needs(cpu_millis=step.cpu, memory_mb=step.mem_mb, gpus=step.gpu),
        estimate_ms=step.est_runtime_ms,
        depends_on=tuple(dict.fromkeys(step.depends_on)),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requirements,
        data_rack=step.affinity,
        max_per_upstream=step.anti_affinity,
        speculative=step.speculative,
        image=step.image,
        target_ms=step.target_ms,
        fills=step.fills,
        max_unavailable=step.max_unavailable,
    )


def build_task_name(ref: TaskRef) -> str:
    """Return the name of a task: JOB.OCCURRENCE.STEP.INDEX."""
    return f"{ref.job}.{ref.occurrence}.{ref.step}.{ref.task_index}"


def parse_task_name(name: str) -> TaskRef | None:
    """Return the task that a name refers to, or None if it is not a task name."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskRef(JobId(parts[0]), int(parts[1]), int(parts[2]), int(parts[3]))
