"""Playing a trace on virtual time against one of the schemes."""

import asyncio
import random
from collections import Counter, defaultdict

from godwitway.addresses import pack_address, parse_address

from godwitway_standins._baselines import RendezvousEntry, RoundRobinEntry
from godwitway_standins._deployments import DEPLOYMENTS, SLOTS
from godwitway_standins._events import run_event
from godwitway_standins._fabric import is_cut_caller
from godwitway_standins._outcome import FloodWindow, Outcome, judge
from godwitway_standins._player import FlowResult, Verdict
from godwitway_standins._scenarios import quiet_trace
from godwitway_standins._trace import Trace
from godwitway_standins._virtual import run_virtual
from godwitway_standins._world import EntryFactory, GodwitwayEntry, World, link_terms

__all__ = ["SCHEMES", "replay", "replay_with_quiet", "replay_world"]

WARM_UP_S = 12.0
SAMPLE_S = 0.25
SAMPLE_FLOWS_LEAST = 100
SETTLE_FLOOD_S = 1.0
FLOOD_S = 4.0
SLOT_HELD = "slot_held_"
MICROSECONDS = 1_000_000

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
            server.count_open()
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
    servers = list(world.servers.values())
    outcome = judge(
        world.player.results, servers, at_most_once, sampler.worst, deployment.service_s()
    )
    excuse_cut_paths(outcome, trace, world)
    outcome.slot_held_s = slot_held(world)
    outcome.flood_window = flood_window(trace, world.player.results, start)
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


def slot_held(world: World) -> dict[str, float]:
    """Return how long owners counted a slot for a request of each kind, on average."""
    totals: defaultdict[str, float] = defaultdict(float)
    counts: Counter[str] = Counter()
    for metrics in world.metrics:
        metrics.flush_durations()
        for name, histogram in metrics.histograms.items():
            if not name.startswith(SLOT_HELD):
                continue
            kind = name.removeprefix(SLOT_HELD)
            count = histogram.get_total_count()
            totals[kind] += histogram.get_mean_value() * count / MICROSECONDS
            counts[kind] += count
    return {kind: round(totals[kind] / count, 4) for kind, count in sorted(counts.items())}


def flood_window(trace: Trace, results: list[FlowResult], start: float) -> FloodWindow | None:
    """Return what was answered during a trace's flood, if it has one."""
    event = next((event for event in trace.header.events if event.do == "flood"), None)
    if event is None:
        return None
    deployment = DEPLOYMENTS[trace.header.deployment]
    service = next(work.service for work in deployment.work if work.kind == event.on)
    document = next(doc for doc in deployment.services if doc["name"] == service)
    held = {kind["name"] for kind in document["kinds"] if kind["holds"] == "slot"}
    begin = start + event.at + SETTLE_FLOOD_S
    end = start + min(event.at + (event.seconds or FLOOD_S), trace.header.seconds - 1)
    answered = Counter(
        result.flow.kind
        for result in results
        if result.flow.service == service
        and result.flow.kind in held
        and result.answered
        and begin <= result.ended_at < end
    )
    return FloodWindow(dict(answered), len(document["targets"]) * SLOTS * (end - begin))


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


def replay_with_quiet(trace: Trace, scheme: str) -> tuple[Outcome, Outcome | None]:
    """Play a trace and, when it has a flood, the same trace without the flood.

    How long a request holds a slot is taken from godwitway's quiet run for every scheme.
    """
    outcome = replay(trace, scheme)
    if outcome.flood_window is None:
        return outcome, None
    without = quiet_trace(trace)
    quiet = replay(without, scheme)
    holds = quiet.slot_held_s or replay(without).slot_held_s
    outcome.goodput = outcome.flood_window.goodput(holds)
    return outcome, quiet
