"""Judging a trace that was played on real sockets."""

import asyncio
from collections import Counter
from types import SimpleNamespace
from typing import Any

import aiohttp
import msgspec
from godwitway.addresses import format_address
from godwitway.version import Service

from godwitway_standins._outcome import Outcome, judge
from godwitway_standins._player import FlowResult

__all__ = ["SampleSeries", "fetch_state", "judge_real", "sample_servers"]

SAMPLE_S = 0.5
FLOWS_LEAST = 90  # With fewer, the least slack of the bound is a tenth of the mean or more.


class SampleSeries:
    """The worst spread of connections that was seen.

    Attributes:
        worst: The highest ratio of the highest to the mean connections of a service's targets.
        worst_at: When and where it was seen.
    """

    __slots__ = ("worst", "worst_at")

    def __init__(self) -> None:
        self.worst = 1.0
        self.worst_at = ""

    def add(self, counts: list[int], service: str = "", at_s: float = 0.0) -> None:
        """Take in the connections of a service's targets, at a time after the first sample."""
        if not counts or sum(counts) < FLOWS_LEAST * len(counts):
            return
        spread = max(counts) * len(counts) / sum(counts)
        if spread > self.worst:
            self.worst = spread
            self.worst_at = f"{service} at {at_s:.1f} s, connections {counts}"


async def fetch_state(session: aiohttp.ClientSession, service: Service) -> list[dict[str, Any]]:
    """Return the state of each server of a service."""
    states = []
    for target in service.targets:
        if target.health is None:
            continue
        url = f"http://{format_address(target.health)}/state"
        async with session.get(url) as response:
            states.append(msgspec.json.decode(await response.read()))
    return states


async def sample_servers(services: list[Service], skip: set[str], series: SampleSeries) -> None:
    """Sample the connections of all services for ever.

    Args:
        services: The services.
        skip: The addresses of targets that are drained meanwhile.
        series: Takes the samples.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    async with aiohttp.ClientSession() as session:
        while True:
            await asyncio.sleep(SAMPLE_S)
            for service in services:
                states = await fetch_state(session, service)
                counts = [
                    state["connections"][0]
                    for target, state in zip(service.targets, states, strict=True)
                    if format_address(target.address) not in skip
                ]
                series.add(counts, service.name, loop.time() - started_at)


async def judge_real(
    results: list[FlowResult],
    services: list[Service],
    series: SampleSeries,
    service_s: dict[str, float],
) -> Outcome:
    """Judge a played trace with what the servers say of themselves."""
    servers: list[Any] = []
    async with aiohttp.ClientSession() as session:
        for service in services:
            for state in await fetch_state(session, service):
                runs = Counter({int(id_): count for id_, count in state["runs"].items()})
                servers.append(SimpleNamespace(runs=runs, foreign=state["foreign"]))
    kinds = {k.name for service in services for k in service.kinds if k.is_at_most_once}
    return judge(results, servers, kinds, series.worst, service_s)
