"""Batches of jobs sent from one host to another, and of their answers.

A job channel is the path on which one process of a gateway submits its jobs to another host, which
schedules them or passes them on. Submissions and answers are numbered separately, since jobs are
answered in the order in which they end.
"""

from __future__ import annotations

import msgspec

from .calls import Answer, Submit
from .model import Value


class NumberedJob(Value, frozen=True):
    """A submission; `number` rises with each submission on its job channel."""

    number: int
    submit: Submit


class JobBatch(Value, frozen=True):
    """Submissions of one host; the receiver recognises repeated ones by their numbers.

    `caller` is the address of the host that sends it. `channel` identifies the job channel, within
    which submissions are numbered: each process there, and each later connection, has another one.
    """

    caller: str
    channel: int = msgspec.field(name="line")
    jobs: tuple[NumberedJob, ...]


class AskAnswers(Value, frozen=True):
    """Ask for the answers of a job channel after answer number `have`: the others have arrived.

    `numbering` identifies the numbering that `have` belongs to; see `AnswerBatch`.
    """

    caller: str
    channel: int = msgspec.field(name="line")
    numbering: int = msgspec.field(name="count", default=0)
    have: int = 0


class NumberedAnswer(Value, frozen=True):
    """The answer to one submission; `number` is the one that `NumberedJob` gave the submission."""

    number: int
    answer: Answer


class AnswerBatch(Value, frozen=True):
    """Answers of a job channel, numbered from 1 in the order in which they were given.

    `through` is the number of the last answer given so far. `numbering` identifies this numbering:
    a new process at the same address begins another one.
    """

    numbering: int = msgspec.field(name="count", default=0)
    through: int = 0
    answers: tuple[NumberedAnswer, ...] = ()


job_batch_decoder = msgspec.json.Decoder(JobBatch)
ask_answers_decoder = msgspec.json.Decoder(AskAnswers)
answer_batch_decoder = msgspec.json.Decoder(AnswerBatch)
