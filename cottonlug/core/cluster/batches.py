"""Jobs on their way between two hosts, many to a message, and their answers."""

from __future__ import annotations

import msgspec

from .calls import Answer, Submit
from .model import Value


class NumberedJob(Value, frozen=True):
    """A submission; its number rises with each one of its line."""

    number: int
    submit: Submit


class JobBatch(Value, frozen=True):
    """Submissions of one host; those that come again are known by their numbers.

    `line` names the host's counting: another process there, or a later connection, has another one.
    """

    caller: str
    line: int
    jobs: tuple[NumberedJob, ...]


class AskAnswers(Value, frozen=True):
    """Ask for the answers of a line; of those counted as `count` all up to `have` have arrived."""

    caller: str
    line: int
    count: int = 0
    have: int = 0


class NumberedAnswer(Value, frozen=True):
    """The answer to the submission of that number."""

    number: int
    answer: Answer


class AnswerBatch(Value, frozen=True):
    """Answers in the order in which they were given; `through` is the number of the last.

    `count` names the counting, which another process at the same address begins anew.
    """

    count: int = 0
    through: int = 0
    answers: tuple[NumberedAnswer, ...] = ()


job_batch_decoder = msgspec.json.Decoder(JobBatch)
ask_answers_decoder = msgspec.json.Decoder(AskAnswers)
answer_batch_decoder = msgspec.json.Decoder(AnswerBatch)
