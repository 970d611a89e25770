"""A deployment on the in-memory network: entries, servers, fabric, callers and the store."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from godwitway.addresses import Address, parse_address
from godwitway.process import (
    HOSTS_PREFIX,
    REVISION_MARKER_KEY,
    SERVICES_PREFIX,
    ApiSettings,
    EndpointReport,
    Host,
    HostDependencies,
    Metrics,
    Settings,
)
from godwitway.version import Service, check_service

from godwitway_standins._deployments import Deployment, entry_address
from godwitway_standins._fabric import Fabric
from godwitway_standins._links import CALLERS, FakeCourier, FakePort, LinkTerms, Network
from godwitway_standins._player import Player
from godwitway_standins._server import BackendServer
from godwitway_standins._spray import Spray
from godwitway_standins._store import MemoryStore
from godwitway_standins._virtual import HostClock

__all__ = ["Entry", "GodwitwayEntry", "World", "link_terms"]

TEST_KEY = bytes(range(32))
FABRIC: Address = ("10.99.0.1", 4100)
CALLERS_PORT: Address = ("10.99.0.2", 4200)
LINK_FIELDS = ("zone_delay_s", "client_delay_s", "loss", "duplication", "late", "late_s")


class FakeHealth:
    """Asks the servers of a world for their health, unless a cut is between."""

    def __init__(self, world: "World", zone: str) -> None:
        self.world = world
        self.zone = zone

    async def fetch(self, address: Address) -> EndpointReport | None:
        """Return what a server says of itself."""
        server = self.world.servers.get((address[0], address[1] - 1))
        if server is None or (self.zone, server.port.zone) in self.world.network.cuts:
            return None
        return EndpointReport(server.healthy, server.draining)


class Entry(Protocol):
    """An entry host of some scheme."""

    name: str
    zone: str
    door: Address

    def start(self) -> None:
        """Start the host."""

    async def stop(self) -> None:
        """Stop it as planned."""

    def kill(self) -> None:
        """Let it die."""

    def pause(self, paused: bool) -> None:
        """Freeze or unfreeze it."""


class GodwitwayEntry:
    """An entry host that runs godwitway."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.number = number
        self.name = f"entry-{number + 1}"
        self.zone = zone
        self.door = entry_address(number)
        self.clock = HostClock()
        network = world.network
        self.door_port: FakePort = network.port(self.door, zone)
        self.peer_port: FakePort = network.port(entry_address(number, 1), zone)
        self.courier: FakeCourier = network.courier(entry_address(number, 2), zone)
        links = HostDependencies(
            self.door_port, self.peer_port, self.courier, world.store, FakeHealth(world, zone)
        )
        rng = random.Random(world.rng.getrandbits(64))
        metrics = Metrics()
        world.metrics.append(metrics)
        sink = world.journal(self.name)
        self.host = Host(self.settings(), links, self.clock, rng, metrics, sink)

    def settings(self) -> Settings:
        """Return the host's settings."""
        return Settings(
            name=self.name,
            zone=self.zone,
            door=self.door,
            peer=entry_address(self.number, 1),
            control=entry_address(self.number, 2),
            api=ApiSettings(entry_address(self.number, 3), None, None, None),
            fabric=[FABRIC],
            store=[],
            seeds=[entry_address(number, 1) for number in range(self.world.seed_count)],
            keys=[TEST_KEY],
            control_bytes_per_s=15_000,
            stop_bound_s=60.0,
            door_packets_per_s=self.world.door_packets_per_s,
            watchers_per_zone=2,
            cold_boot_s=2.0,
        )

    def start(self) -> None:
        """Start the host."""
        self.host.start()

    async def stop(self) -> None:
        """Stop as planned."""
        await self.host.stop()
        self.kill()

    def kill(self) -> None:
        """Let the host die."""
        self.host.cancel_tasks()
        self.door_port.close()
        self.peer_port.close()
        self.courier.close()

    def pause(self, paused: bool) -> None:
        """Freeze or unfreeze the host."""
        for part in (self.door_port, self.peer_port, self.courier):
            part.pause(paused)
        if paused:
            self.clock.running.clear()
        else:
            self.clock.running.set()


EntryFactory = Callable[["World", int, str], Entry]


def link_terms(deployment: Deployment, overrides: dict[str, float]) -> LinkTerms:
    """Return a deployment's network terms with some of them replaced."""
    values = {name: getattr(deployment.terms, name) for name in LINK_FIELDS}
    return LinkTerms(**{**values, **overrides})


class World:
    """Everything that takes part in a replay.

    Attributes:
        deployment: The deployment.
        network: The in-memory network.
        store: The platform's store.
        spray: The fabric's choice of entries.
        zone_sprays: The servers' choice of entries, by zone.
        entries: The entry hosts by name.
        servers: The backend servers by address.
        player: The callers.
        documents: The services' documents as last written.
        metrics: The metrics of all hosts, also of those that are gone.
        log: The journal lines of all hosts.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        terms: LinkTerms,
        make_entry: EntryFactory = GodwitwayEntry,
        door_packets_per_s: int = 100_000,
    ) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = HostClock()
        self.network = Network(random.Random(self.rng.getrandbits(64)), terms)
        self.store = MemoryStore(self.clock, random.Random(self.rng.getrandbits(64)))
        self.spray = Spray([], random.Random(self.rng.getrandbits(64)))
        self.zone_sprays = {
            zone: Spray([], random.Random(self.rng.getrandbits(64))) for zone in deployment.zones
        }
        self.make_entry = make_entry
        self.door_packets_per_s = door_packets_per_s
        self.entries: dict[str, Entry] = {}
        self.servers: dict[Address, BackendServer] = {}
        self.documents: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.metrics: list[Metrics] = []
        self.log: list[dict[str, Any]] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.seed_count = len(deployment.entry_zones())
        self.next_entry = 0
        self.config_listeners: list[Callable[[], None]] = []
        self.fabric = Fabric(self.network.port(FABRIC, CALLERS), self.spray, set())
        self.player = Player(self.network.port(CALLERS_PORT, CALLERS), FABRIC, self.clock)

    def journal(self, name: str) -> Callable[[dict[str, Any]], None]:
        """Return where a host's journal lines go."""
        return self.log.append

    def spawn(self, job: Any) -> None:
        """Run a task for as long as the world."""
        self.tasks.append(asyncio.ensure_future(job))

    def start(self) -> None:
        """Write the configuration and start everything."""
        for document in self.deployment.services:
            copy = msgspec.json.decode(msgspec.json.encode(document))
            self.write(copy)
            self.start_servers(copy)
        self.spawn(self.fabric.run())
        for zone in self.deployment.entry_zones():
            self.add_entry(zone)

    def write(self, document: dict[str, Any]) -> int:
        """Write a service's document to the store and return the revision."""
        name = document["name"]
        self.documents[name] = document
        body = msgspec.json.encode(document)
        self.store.put_now(SERVICES_PREFIX + name, body)
        self.versions[name] = self.store.put_now(REVISION_MARKER_KEY, name.encode())
        for listener in self.config_listeners:
            listener()
        return self.versions[name]

    def service(self, name: str) -> Service:
        """Return a service as last written."""
        return check_service(self.documents[name]).unwrap()

    def start_servers(self, document: dict[str, Any]) -> None:
        """Start the backend servers of a service that do not run yet."""
        service = check_service(document).unwrap()
        self.fabric.services.add(service.address)
        closes = {
            kind.port
            for kind in service.kinds
            if self.deployment.work_of(service.name, kind.name).closes
        }
        for target in service.targets:
            if target.address in self.servers:
                continue
            port = self.network.port(target.address, target.zone)
            spray = self.zone_sprays[target.zone]
            server = BackendServer(port, spray, self.clock, service.address, target.slots, closes)
            self.servers[target.address] = server
            self.spawn(server.run())

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the servers of a service."""
        addresses = [parse_address(raw["address"]) for raw in self.documents[service]["targets"]]
        return [self.servers[address] for address in addresses]

    def add_entry(self, zone: str) -> Entry:
        """Start an entry host."""
        entry = self.make_entry(self, self.next_entry, zone)
        self.next_entry += 1
        self.entries[entry.name] = entry
        entry.start()
        self.route(entry, True)
        return entry

    def route(self, entry: Entry, live: bool) -> None:
        """Let the fabric and the servers use an entry, or not any more."""
        for spray in (self.spray, *self.zone_sprays.values()):
            if live:
                spray.add(entry.door)
            else:
                spray.remove(entry.door)

    def route_around_cut(self, zone: str) -> None:
        """Let servers and callers use only the entries on their side of a cut."""
        inside = [entry.door for entry in self.entries.values() if entry.zone == zone]
        outside = [entry.door for entry in self.entries.values() if entry.zone != zone]
        for name, spray in self.zone_sprays.items():
            spray.entries = list(inside if name == zone else outside)
        rng = self.spray.rng
        self.fabric.sides = (Spray(inside, rng), Spray(outside, rng))

    def route_everywhere(self) -> None:
        """Let servers and callers use all entries again."""
        self.fabric.sides = None
        doors = [entry.door for entry in self.entries.values()]
        for spray in self.zone_sprays.values():
            spray.entries = list(doors)

    def platform_host(self, ip: str, state: str) -> None:
        """Change the platform's list of hosts."""
        self.store.put_now(HOSTS_PREFIX + ip, state.encode())

    def close(self) -> None:
        """Stop everything."""
        for entry in self.entries.values():
            entry.kill()
        for task in self.tasks:
            task.cancel()
