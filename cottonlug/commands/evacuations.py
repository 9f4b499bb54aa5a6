"""`cottonlug evacuations`: begin, end and list evacuations of failure domains."""

from __future__ import annotations

import asyncio
import sys
import time
from datetime import UTC, datetime, timedelta

import httpx

from ..config.options import Address
from ..platform.operators import (
    EvacuationList,
    OperatorCall,
    OperatorReply,
    build_evacuation_call,
    build_list_call,
    read_reply,
)
from ..platform.operators import read_list as read_evacuations
from .exits import ExitCode
from .output import print_json

RESPONSE_TIMEOUT = timedelta(seconds=1)
"""A control host that does not answer within this time is skipped, and the next one is called."""
RETRY_PERIOD = timedelta(seconds=20)
"""How long the hosts are called in turn: longer than an election, and than a restart of all control
hosts."""
RETRY_PAUSE = timedelta(milliseconds=200)
"""Pause after all hosts have been called."""


def set_evacuation(hosts: list[Address], domain: str, *, begin: bool) -> ExitCode:
    """Begin or end the evacuation of a domain, calling the hosts in turn until one confirms it."""
    reply = asyncio.run(_call_hosts_in_turn(hosts, build_evacuation_call(domain, begin=begin)))
    if reply.is_done:
        print(f"{domain} is {'evacuated' if begin else 'used again'}")
        return ExitCode.OK
    print(f"not confirmed: {reply.problem}", file=sys.stderr)
    return ExitCode.REFUSED if reply.is_final else ExitCode.UNAVAILABLE


def list_evacuations(hosts: list[Address], as_json: bool) -> ExitCode:
    """Print each evacuated domain with the start time of its evacuation."""
    reply = asyncio.run(_call_hosts_in_turn(hosts, build_list_call()))
    listed = read_evacuations(reply)
    if listed is None:
        print(f"evacuations could not be read: {reply.problem}", file=sys.stderr)
        return ExitCode.UNAVAILABLE
    if as_json:
        print_json(listed)
    else:
        _print_list(listed)
    return ExitCode.OK


def _print_list(listed: EvacuationList) -> None:
    if not listed.evacuations:
        print("no failure domain is evacuated")
    for each in listed.evacuations:
        since = datetime.fromtimestamp(each.since_ms / 1000, UTC)
        print(f"{each.domain} since {since.isoformat(timespec='seconds')}")


async def _call_hosts_in_turn(hosts: list[Address], call: OperatorCall) -> OperatorReply:
    """Call the hosts in turn until one gives a definite answer or the retry period is over.

    Returns that answer, or else the last one.
    """
    deadline = time.monotonic() + RETRY_PERIOD.total_seconds()
    async with httpx.AsyncClient(timeout=RESPONSE_TIMEOUT.total_seconds()) as client:
        while True:
            for host in hosts:
                reply = await _call_host(client, host, call)
                if reply.is_done or reply.is_final:
                    return reply
            if time.monotonic() >= deadline:
                return reply
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


async def _call_host(client: httpx.AsyncClient, host: Address, call: OperatorCall) -> OperatorReply:
    try:
        response = await client.request(call.method, f"http://{host}{call.path}")
    except httpx.HTTPError as error:
        return OperatorReply(problem=f"{host}: {type(error).__name__}")
    return read_reply(response.status_code, response.content)
