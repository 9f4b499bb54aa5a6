"""Tasks that the stand-in upstream, which replaces the users' own upstreams, can run.

There is one kind of task for each of the two users, and simple ones for tests. A payload is a JSON
object, in which `ms` is how long the task takes; any other JSON value counts as `{"value": ...}`.
Kinds: `aurora.alert` chooses whom to alert of an aurora, `weigh.ticket` computes the net weight and
price of a load, `sleep` only waits, `echo` returns its payload, `fail` fails, `hang` goes on for a
day unless it is stopped, `crash` ends the process.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Raw
from returns.result import Failure, Result, Success

_CRASH_EXIT_CODE = 70
_HANG_SECONDS = 86_400.0
_ALERT_THRESHOLDS = {"photographers": 4.0, "rangers": 5.0, "observatory": 3.0, "residents": 6.5}
"""The lowest K-index (geomagnetic activity, 0 to 9) at which each of these groups is alerted."""
_MAX_CLOUD_SHARE = 0.7
_PRICES_PER_KG = {"ferrous": 0.35, "non-ferrous": 4.2}

TaskFunction = Callable[[dict[str, Any]], Result[Any, str]]
"""Computes the result of a task, or an error message, from the fields of its payload."""


async def run_work(kind: str, payload: Raw) -> Result[Raw, str]:
    """Run one task; return its result as JSON, or an error message."""
    try:
        content = msgspec.json.decode(payload)
    except msgspec.DecodeError as error:
        return Failure(f"the payload is not JSON: {error}")
    fields = content if isinstance(content, dict) else {"value": content}
    milliseconds = fields.get("ms", 0)
    if not isinstance(milliseconds, int | float) or milliseconds < 0:
        return Failure("ms must be a number that is not negative")
    run_function = _TASK_FUNCTIONS.get(kind)
    if run_function is None:
        return Failure(f"unknown kind {kind!r}")
    if kind == "crash":
        os._exit(_CRASH_EXIT_CODE)
    if kind == "hang":
        await asyncio.sleep(_HANG_SECONDS)
    if milliseconds:
        await asyncio.sleep(milliseconds / 1000)
    return run_function(fields).map(lambda value: Raw(msgspec.json.encode(value)))


def choose_alert_recipients(fields: dict[str, Any]) -> Result[Any, str]:
    """Return which groups of recipients to alert, as the field `wake`.

    This depends on the K-index and on the cloud cover, from 0 to 1. Nobody is alerted if clouds
    cover more than 70 percent of the sky.
    """
    index = fields.get("k_index")
    clouds = fields.get("clouds", 0.0)
    if not isinstance(index, int | float) or not isinstance(clouds, int | float):
        return Failure("an alert needs k_index and clouds as numbers")
    visible = clouds <= _MAX_CLOUD_SHARE
    wake = [name for name, threshold in _ALERT_THRESHOLDS.items() if visible and index >= threshold]
    return Success({"subscriber": fields.get("subscriber"), "wake": wake})


def compute_ticket(fields: dict[str, Any]) -> Result[Any, str]:
    """Return the net weight in kilograms and the price, as the field `amount`, of one load."""
    gross = fields.get("gross_kg")
    tare = fields.get("tare_kg")
    price = _PRICES_PER_KG.get(str(fields.get("material")))
    if not isinstance(gross, int) or not isinstance(tare, int) or price is None:
        return Failure("a ticket needs gross_kg, tare_kg and a known material")
    if tare > gross:
        return Failure("tare is more than gross")
    net = gross - tare
    return Success({"ticket": fields.get("ticket"), "net_kg": net, "amount": round(net * price, 2)})


def _echo(fields: dict[str, Any]) -> Result[Any, str]:
    return Success(fields)


def _do_nothing(_: dict[str, Any]) -> Result[Any, str]:
    return Success(None)


def _fail(fields: dict[str, Any]) -> Result[Any, str]:
    return Failure(str(fields.get("why", "told to fail")))


_TASK_FUNCTIONS: dict[str, TaskFunction] = {
    "aurora.alert": choose_alert_recipients,
    "weigh.ticket": compute_ticket,
    "sleep": _do_nothing,
    "echo": _echo,
    "fail": _fail,
    # Not called in practice: `run_work` first hangs for a day, or ends the process.
    "hang": _do_nothing,
    "crash": _do_nothing,
}
