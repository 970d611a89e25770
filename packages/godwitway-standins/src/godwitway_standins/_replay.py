"""Playing a trace on virtual time against one of the schemes."""

import asyncio
import random
from typing import Any

from godwitway.addresses import pack_address, parse_address

from godwitway_standins._baselines import RendezvousEntry, RoundRobinEntry
from godwitway_standins._deployments import DEPLOYMENTS, SLOTS
from godwitway_standins._events import run_event
from godwitway_standins._fabric import is_cut_caller
from godwitway_standins._outcome import Outcome, judge
from godwitway_standins._player import FlowResult, Verdict
from godwitway_standins._trace import Event, Trace
from godwitway_standins._virtual import run_virtual
from godwitway_standins._world import EntryFactory, GodwitwayEntry, World, link_terms

__all__ = ["SCHEMES", "replay", "replay_world"]

WARM_UP_S = 12.0
SAMPLE_S = 0.25
SAMPLE_FLOWS_LEAST = 100
SETTLE_FLOOD_S = 1.0

SCHEMES: dict[str, EntryFactory] = {
    "godwitway": GodwitwayEntry,
    "rendezvous": RendezvousEntry,
    "round-robin": RoundRobinEntry,
}


class Sampler:
    """Samples how evenly connections are spread.

    Attributes:
        world: The world that is sampled.
        worst: The worst ratio of the highest to the mean connections of a service.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.worst = 1.0

    async def run(self) -> None:
        """Sample for ever."""
        while True:
            await self.world.clock.sleep(SAMPLE_S)
            for name in self.world.documents:
                self.worst = max(self.worst, self.ratio(name))

    def ratio(self, name: str) -> float:
        """Return the present ratio of a service, 1 when it has few flows."""
        targets = self.world.documents[name]["targets"]
        servers = self.world.servers_of(name)
        # A target that drains or has just been added has no even part.
        counts = [
            len(server.connections)
            for raw, server in zip(targets[: self.original(name)], servers, strict=False)
            if raw.get("state") != "draining"
        ]
        total = sum(counts)
        if total < SAMPLE_FLOWS_LEAST * len(counts) or not counts:
            return 1.0
        return max(counts) / (total / len(counts))

    def original(self, name: str) -> int:
        """Return how many targets a service had at first."""
        documents = self.world.deployment.services
        return next(len(doc["targets"]) for doc in documents if doc["name"] == name)


async def replay_world(trace: Trace, scheme: str, seed: int) -> tuple[Outcome, World]:
    """Play a trace and return its outcome with the world as it was at the end."""
    header = trace.header
    deployment = DEPLOYMENTS[header.deployment]
    terms = link_terms(deployment, {})
    world = World(deployment, seed, terms, SCHEMES[scheme])
    world.start()
    await world.clock.sleep(WARM_UP_S)
    world.network.terms = link_terms(deployment, header.terms)
    sampler = Sampler(world)
    start = world.clock.now()
    sampling = asyncio.ensure_future(sampler.run())
    events = [asyncio.ensure_future(run_event(world, event, start)) for event in header.events]
    await world.player.play(trace.flows)
    for event in events:
        await event
    sampling.cancel()
    at_most_once = {
        kind["name"]
        for document in deployment.services
        for kind in document["kinds"]
        if not kind.get("repeatable", True)
    }
    outcome = judge(world.player.results, list(world.servers.values()), at_most_once, sampler.worst)
    excuse_cut_paths(outcome, trace, world)
    outcome.goodput = goodput(trace, world.player.results, deployment.services, start)
    world.close()
    return outcome, world


def excuse_cut_paths(outcome: Outcome, trace: Trace, world: World) -> None:
    """Count apart the broken flows whose caller and target were on two sides of a cut."""
    zones = {
        event.on or world.deployment.zones[-1]
        for event in trace.header.events
        if event.do == "cut-zone"
    }
    for result in world.player.results:
        if result.verdict != Verdict.BROKEN or not zones:
            continue
        caller = pack_address(parse_address(result.flow.caller))
        target_zones = {
            server.port.zone
            for server in world.servers.values()
            if any(key[0:4] + key[8:10] == caller for key in server.opened)
        }
        if target_zones and (target_zones <= zones) != is_cut_caller(caller):
            outcome.broken_flows -= 1
            outcome.path_cut += 1


def goodput(
    trace: Trace, results: list[FlowResult], documents: list[dict[str, Any]], start: float
) -> float:
    """Return the least part of a flooded service's slots that answered requests used."""
    parts = [
        flood_goodput(event, trace, results, documents, start)
        for event in trace.header.events
        if event.do == "flood"
    ]
    return round(min(parts), 4) if parts else 1.0


def flood_goodput(
    event: Event,
    trace: Trace,
    results: list[FlowResult],
    documents: list[dict[str, Any]],
    start: float,
) -> float:
    """Return the part of a service's slot time that answered requests used in one flood."""
    deployment = DEPLOYMENTS[trace.header.deployment]
    service = next(work.service for work in deployment.work if work.kind == event.on)
    document = next(doc for doc in documents if doc["name"] == service)
    held = {kind["name"] for kind in document["kinds"] if kind["holds"] == "slot"}
    begin = start + event.at + SETTLE_FLOOD_S
    end = start + min(event.at + (event.seconds or 4.0), trace.header.seconds - 1)
    work_s = sum(
        deployment.work_of(service, result.flow.kind).service_ms / 1000
        for result in results
        if result.flow.service == service
        and result.flow.kind in held
        and result.answered
        and begin <= result.ended_at < end
    )
    return work_s / (len(document["targets"]) * SLOTS * (end - begin))


def replay(trace: Trace, scheme: str = "godwitway", seed: int | None = None) -> Outcome:
    """Play a trace on virtual time and return its outcome.

    Args:
        trace: The trace.
        scheme: One of `SCHEMES`.
        seed: The seed of the network and the hosts; the trace's own by default.
    """
    chosen = trace.header.seed if seed is None else seed
    random.seed(chosen)
    outcome, _ = run_virtual(replay_world(trace, scheme, chosen))
    return outcome
