"""Tasks that the stand-in upstream can run: one kind for each user, and simple ones for tests.

A payload is a JSON object, in which `ms` is the run time of the task. Kinds: `aurora.alert` chooses
whom to alert, `weigh.ticket` computes net weight and price, `sleep` only waits, `echo` returns its
payload, `fail` fails, `hang` never ends by itself, `crash` ends the process.
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
_WAKE_THRESHOLDS = {"photographers": 4.0, "rangers": 5.0, "observatory": 3.0, "residents": 6.5}
_MAX_CLOUD_SHARE = 0.7
_PRICES_PER_KG = {"ferrous": 0.35, "non-ferrous": 4.2}

TaskFunction = Callable[[dict[str, Any]], Result[Any, str]]


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
    compute = _TASK_FUNCTIONS.get(kind)
    if compute is None:
        return Failure(f"unknown kind {kind!r}")
    if kind == "crash":
        os._exit(_CRASH_EXIT_CODE)
    if kind == "hang":
        await asyncio.sleep(_HANG_SECONDS)
    if milliseconds:
        await asyncio.sleep(milliseconds / 1000)
    return compute(fields).map(lambda value: Raw(msgspec.json.encode(value)))


def choose_alert_recipients(fields: dict[str, Any]) -> Result[Any, str]:
    """Return which recipients to alert for a K-index and a cloud cover between 0 and 1.

    Nobody is alerted if clouds cover more than 70 percent of the sky.
    """
    index = fields.get("k_index")
    clouds = fields.get("clouds", 0.0)
    if not isinstance(index, int | float) or not isinstance(clouds, int | float):
        return Failure("an alert needs k_index and clouds as numbers")
    visible = clouds <= _MAX_CLOUD_SHARE
    wake = [name for name, threshold in _WAKE_THRESHOLDS.items() if visible and index >= threshold]
    return Success({"subscriber": fields.get("subscriber"), "wake": wake})


def compute_ticket(fields: dict[str, Any]) -> Result[Any, str]:
    """Return the net weight in kilograms and the price of one load."""
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
    "hang": _do_nothing,
    "crash": _do_nothing,
}
