"""What happens to a world during a trace."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitway.addresses import parse_address

from godwitway_standins._deployments import target_document
from godwitway_standins._trace import Event
from godwitway_standins._world import Entry, World

__all__ = ["EVENTS", "run_event"]

LIST_LAG_S = 1.0
DEATH_LAG_S = 3.0
ROUTE_LAG_S = 1.0


def chosen_entry(world: World, event: Event) -> Entry:
    """Return the entry that an event names, or one chosen by the seed."""
    names = sorted(world.entries)
    return world.entries[event.on or world.rng.choice(names)]


async def kill_entry(world: World, event: Event) -> None:
    """Kill an entry; the fabric notices later."""
    entry = chosen_entry(world, event)
    del world.entries[entry.name]
    entry.kill()
    await world.clock.sleep(DEATH_LAG_S)
    world.route(entry, False)


async def stop_entry(world: World, event: Event) -> None:
    """Stop an entry as planned; the fabric notices a little later."""
    entry = chosen_entry(world, event)
    del world.entries[entry.name]
    stopping = asyncio.ensure_future(entry.stop())
    await world.clock.sleep(LIST_LAG_S)
    world.route(entry, False)
    await stopping


async def start_entry(world: World, event: Event) -> None:
    """Start a new entry in a zone."""
    world.add_entry(event.on or world.rng.choice(world.deployment.zones))


async def pause_entry(world: World, event: Event) -> None:
    """Freeze an entry for a while; the fabric notices both ends later."""
    entry = chosen_entry(world, event)
    seconds = event.seconds or 10.0
    lag = min(seconds, DEATH_LAG_S)
    entry.pause(True)
    await world.clock.sleep(lag)
    world.route(entry, False)
    await world.clock.sleep(seconds - lag)
    entry.pause(False)
    await world.clock.sleep(LIST_LAG_S)
    world.route(entry, True)


async def cut_zone(world: World, event: Event) -> None:
    """Cut a zone from the others and from the platform, and heal the cut later."""
    zone = event.on or world.deployment.zones[-1]
    others = [other for other in world.deployment.zones if other != zone]
    world.network.cut(zone, others)
    await world.clock.sleep(ROUTE_LAG_S)
    world.route_around_cut(zone)
    await world.clock.sleep((event.seconds or 10.0) - ROUTE_LAG_S)
    world.network.heal()
    await world.clock.sleep(ROUTE_LAG_S)
    world.route_everywhere()


async def drain(world: World, event: Event) -> None:
    """Drain a target, named as service/number."""
    service, _, number = (event.on or f"{next(iter(world.documents))}/0").partition("/")
    document = world.documents[service]
    document["targets"][int(number or 0)]["state"] = "draining"
    world.write(document)


async def add_target(world: World, event: Event) -> None:
    """Add a target to a service."""
    service = event.on or next(iter(world.documents))
    document = world.documents[service]
    network = int(parse_address(document["targets"][0]["address"])[0].split(".")[1])
    zones = world.deployment.zones
    index = len(document["targets"])
    document["targets"].append(target_document(network, index, zones[index % len(zones)]))
    world.start_servers(document)
    world.write(document)


async def store_down(world: World, event: Event) -> None:
    """Take the store down for a while."""
    world.store.set_down(True)
    await world.clock.sleep(event.seconds or 10.0)
    world.store.set_down(False)


async def shed_target(world: World, event: Event) -> None:
    """Let a target reset new connections for a while."""
    service, _, number = event.on.partition("/")
    server = world.servers_of(service)[int(number or 0)]
    server.shed = True
    await world.clock.sleep(event.seconds or 5.0)
    server.shed = False


async def lying_health(world: World, event: Event) -> None:
    """Let the health endpoints of most targets of a service call themselves bad."""
    servers = world.servers_of(event.on or next(iter(world.documents)))
    for server in servers[: max(1, int(len(servers) * event.times))]:
        server.healthy = False
    await world.clock.sleep(event.seconds or 10.0)
    for server in servers:
        server.healthy = True


async def list_leaving(world: World, event: Event) -> None:
    """Let the platform's list say that a target's host is leaving."""
    service, _, number = event.on.partition("/")
    raw = world.documents[service]["targets"][int(number or 0)]
    world.platform_host(parse_address(raw["address"])[0], "leaving")


async def flood(world: World, event: Event) -> None:
    """Do nothing: the flows of a flood are part of the trace."""


EVENTS: dict[str, Callable[[World, Event], Awaitable[None]]] = {
    "kill-entry": kill_entry,
    "stop-entry": stop_entry,
    "start-entry": start_entry,
    "pause-entry": pause_entry,
    "cut-zone": cut_zone,
    "drain": drain,
    "add-target": add_target,
    "store-down": store_down,
    "shed-target": shed_target,
    "lying-health": lying_health,
    "list-leaving": list_leaving,
    "flood": flood,
}


async def run_event(world: World, event: Event, start: float) -> None:
    """Wait until an event's time and let it happen."""
    await world.clock.sleep(max(0.0, start + event.at - world.clock.now()))
    await EVENTS[event.do](world, event)
