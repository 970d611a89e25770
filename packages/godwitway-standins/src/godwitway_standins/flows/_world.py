"""A small deployment on loopback: the platform's parts in this process, hosts as real programs."""

import asyncio
import random
from pathlib import Path
from typing import Any

from godwitway_standins.flows._caller import Caller
from godwitway_standins.flows._cold_flows import COLD_START_S
from godwitway_standins.flows._config import (
    EXTRA_NET,
    KINDS,
    ODD_KINDS,
    SERVICE_OF,
    SERVICE_PORT,
    address_of,
    build_config,
    odd_address_of,
)
from godwitway_standins.flows._host_process import (
    CONTROL_PORT,
    PACKET_PORT,
    READY_PORT,
    HostProcess,
)
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._metadata import MetadataServer
from godwitway_standins.flows._odd_routes import OddRouteUsers
from godwitway_standins.flows._operator import Operator
from godwitway_standins.flows._proxy import TcpProxy
from godwitway_standins.flows._route_probes import RouteProber
from godwitway_standins.flows._router import RoutedHost, Router
from godwitway_standins.flows._store_copies import StoreCopies
from godwitway_standins.flows._target import FlowTarget

__all__ = ["KINDS", "FlowWorld", "HostProcess", "Layout"]

STORE_PORT = 8_169
TICK_S = 0.01
PAUSE_S = 0.3
SPEEDS = (0.6, 1.0, 1.6)  # Of the targets of service "desk", relative to the usual speed.
HEARTBEAT_S = 0.4  # Within this time, a target's entry says that it is cold after an evacuation.
# A target that took no new flow for this long is cold when an evacuation ends. Hosts that could not
# learn of the evacuation keep a target in use, and thus warm.
COOLING_S = 1.0


class Layout:
    """How large the deployment is.

    Attributes:
        net: The second number of all its loopback addresses, so that runs do not meet.
        zones: The names of the zones.
        hosts: Hosts in each zone.
        desks: Targets of the first service in each zone.
        stores: Targets of the second service in each zone.
        callers: Callers in each zone.
    """

    def __init__(
        self,
        net: int = 40,
        zones: str = "abc",
        hosts: int = 2,
        desks: int = 3,
        stores: int = 1,
        callers: int = 6,
    ) -> None:
        self.net = net
        self.zones = list(zones)
        self.hosts = hosts
        self.desks = desks
        self.stores = stores
        self.callers = callers

    def ip(self, part: int, number: int) -> str:
        """Return an address of one part of the deployment."""
        return f"127.{self.net}.{part * 16 + number // 250}.{number % 250 + 1}"


class FlowWorld:
    """The whole deployment.

    Attributes:
        layout: Its size.
        judge: What callers and targets have seen.
        store: The platform's store.
        router: The platform's routers.
        hosts: All hosts.
        targets: All targets that have been.
        operator: Evacuates zones.
        odd_users: Callers of the routes of uncommon kinds.
        broken_fields: The fields that make a route of the configuration invalid, beside routes of
            uncommon kinds; None while there is none of both.
        copies: Copies of the store from the last seconds.
        prober: Probes the hosts on routes that come and go.
        config_value: The newest configuration that the store acknowledged.
    """

    def __init__(self, layout: Layout, folder: Path, seed: int) -> None:
        self.layout = layout
        self.folder = folder
        self.rng = random.Random(seed)
        self.judge = Judge(asyncio.get_running_loop().time)
        self.store = MetadataServer()
        self.router = Router()
        self.hosts: list[HostProcess] = []
        self.targets: list[FlowTarget] = []
        self.callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 0
        self.timeout_ms = 1_500
        self.extra_routes = 0
        self.numbers = 0
        self.asking = True
        self.config_value = b""
        self.broken_fields: dict[str, Any] | None = None
        self.operator = Operator(self.store, self.judge)
        self.operator.on_return = self.cool_zone
        # Generators of their own: requests and other faults of a seed stay the same.
        self.copies = StoreCopies(self.store, random.Random(f"copies {seed}"))
        self.prober = RouteProber(
            self.judge, self.router, address_of("board"), random.Random(f"probes {seed}")
        )
        self.return_rng = random.Random(f"returns {seed}")
        self.odd_users = OddRouteUsers(
            self.judge,
            [
                self.build_caller(layout.ip(7, number), zone, f"o{number}", f"odd {zone} {seed}")
                for number, zone in enumerate(layout.zones)
            ],
        )
        self.prober.may_move = lambda address: address[0].startswith(EXTRA_NET)

    async def start(self) -> None:
        """Start everything but the callers' requests; the first targets are warm."""
        layout = self.layout
        await self.store.serve(layout.ip(0, 0), STORE_PORT)
        self.configure()
        for zone in layout.zones:
            for _ in range(layout.desks):
                await self.add_target("desk", zone)
            for _ in range(layout.stores):
                await self.add_target("store", zone)
        for target in self.targets:
            target.cold_until = 0.0
            self.announce(target)
        await self.start_hosts()
        for index, zone in enumerate(layout.zones):
            for number in range(layout.callers):
                self.add_caller(zone, index * layout.callers + number)
        self.tasks += [
            asyncio.ensure_future(job)
            for job in (self.router.run(), self.tick(), self.copies.run(), self.prober.run())
        ]

    async def start_hosts(self) -> None:
        """Start the hosts' programs and wait until all are ready."""
        layout = self.layout
        total = len(layout.zones) * layout.hosts
        seeds = [f"{layout.ip(1, number)}:{CONTROL_PORT}" for number in range(min(3, total))]
        for number in range(total):
            zone = layout.zones[number % len(layout.zones)]
            proxy = TcpProxy((layout.ip(2, number), STORE_PORT), (layout.ip(0, 0), STORE_PORT))
            await proxy.start()
            ip = layout.ip(1, number)
            host = HostProcess(f"host-{number}", zone, ip, proxy, self.folder, seeds)
            self.hosts.append(host)
            self.router.hosts[host.name] = RoutedHost(zone, (ip, PACKET_PORT), (ip, READY_PORT))
            self.prober.add_host(host.name, (layout.ip(6, number), PACKET_PORT))
            host.start()
            await asyncio.sleep(0.02)

    async def add_target(self, service: str, zone: str) -> FlowTarget:
        """Add a target."""
        self.numbers += 1
        ip = self.layout.ip(3, self.numbers)
        target = FlowTarget(self.numbers, service, zone, (ip, 80), self.judge, PACKET_PORT)
        if service == "desk":
            target.speed = SPEEDS[self.numbers % len(SPEEDS)]
        target.reaches = lambda host: self.reaches(host, target)
        self.targets.append(target)
        await self.start_target(target)
        return target

    async def start_target(self, target: FlowTarget) -> None:
        """Start a target, for the first time or again, and announce it."""
        await target.start()
        self.announce(target)
        target.spawn(self.announce_later(target, COLD_START_S))

    async def announce_later(self, target: FlowTarget, *delays_s: float) -> None:
        """Write a target's entry after each of some delays, which add up."""
        for delay_s in delays_s:
            await asyncio.sleep(delay_s)
            self.announce(target)

    def cool_zone(self, zone: str) -> None:
        """Let the idle targets of a zone be cold, at the end of its evacuation."""
        for target in self.targets:
            idle_s = self.judge.now() - target.last_flow_at
            if target.alive and target.zone == zone and idle_s > COOLING_S:
                target.cool()
                delay_s = self.return_rng.uniform(0.0, HEARTBEAT_S)
                target.spawn(self.announce_later(target, delay_s, COLD_START_S))

    def reaches(self, host_ip: str, target: FlowTarget) -> bool:
        """Whether packets of a host reach a target."""
        host = next((host for host in self.hosts if host.ip == host_ip), None)
        return host is None or target.zone not in host.cuts

    def announce(self, target: FlowTarget) -> None:
        """Write a target's entry."""
        self.store.put(f"servers/{target.name}", target.entry())
        if target.draining:
            self.judge.draining.setdefault(target.name, self.judge.now())

    def remove(self, target: FlowTarget) -> None:
        """Let a target end and its entry go."""
        self.judge.disturb(target.name)
        target.crash()
        self.store.delete(f"servers/{target.name}")

    def serving(self, service: str) -> list[FlowTarget]:
        """Return the targets of a service that are not leaving."""
        return [
            target
            for target in self.targets
            if target.alive and not target.draining and target.service == service
        ]

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        kinds = {address_of(kind): kind for kind in KINDS}
        for number in range(self.extra_routes):
            kinds[f"{EXTRA_NET}{number % 250 + 1}", SERVICE_PORT] = "board"
        if self.broken_fields is not None:
            kinds |= {odd_address_of(kind): kind for kind in ODD_KINDS}
        self.config_value = build_config(self.version, kinds, self.timeout_ms, self.broken_fields)
        self.store.put("op/config", self.config_value)
        self.judge.configured({address: SERVICE_OF[kind] for address, kind in kinds.items()})

    async def restore_store(self, age: float) -> None:
        """Restore the store from a copy, and let operator and targets write again what it lost.

        Args:
            age: Chooses the copy; see `StoreCopies.restore`.
        """
        lost = self.copies.restore(age)
        alive = {f"servers/{target.name}" for target in self.targets if target.alive}
        await self.copies.write_again(
            lost,
            lambda key, value: (
                key in alive or value == self.config_value or self.operator.is_current(key)
            ),
        )
        self.operator.remove_ended()

    def add_caller(self, zone: str, number: int) -> None:
        """Add a caller."""
        ip = self.layout.ip(5, number)
        self.callers.append(self.build_caller(ip, zone, f"c{number}", self.rng.random()))

    def build_caller(self, ip: str, zone: str, name: str, seed: float | str) -> Caller:
        """Return a caller that tells the judge what it sees."""
        caller = Caller(ip, PACKET_PORT, zone, self.router.send, random.Random(seed), name)
        caller.on_open = self.judge.opened
        caller.on_reset = self.judge.reset
        caller.on_forged = self.judge.forged
        caller.sent = self.judge.sent
        return caller

    async def ask(self, caller: Caller, pause_s: float = PAUSE_S) -> None:
        """Let a caller send one request after another."""
        while self.asking:
            await asyncio.sleep(caller.rng.expovariate(1 / pause_s))
            kind = caller.rng.choices(list(KINDS), [7, 2, 1])[0]
            outcome = await caller.request(KINDS[kind], address_of(kind))
            self.judge.ended(outcome, KINDS[kind].repeatable)

    def start_asking(self) -> None:
        """Let all callers send requests."""
        self.tasks += [asyncio.ensure_future(self.ask(caller)) for caller in self.callers]

    async def all_ready(self, within_s: float) -> bool:
        """Wait until the routers find every running host ready."""
        deadline = self.judge.now() + within_s
        while self.judge.now() < deadline:
            if all(host.in_rotation() for host in self.router.hosts.values()):
                return True
            await asyncio.sleep(0.1)
        return False

    async def tick(self) -> None:
        """Drive the callers' timers, and notice hosts that ended by themselves."""
        while True:
            await asyncio.sleep(TICK_S)
            for caller in [*self.callers, *self.odd_users.callers]:
                caller.tick()

    async def close(self) -> None:
        """End everything that this world started."""
        self.asking = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            host.kill()
            host.proxy.close()
        for caller in [*self.callers, *self.odd_users.callers]:
            caller.close()
        self.prober.close()
        for target in self.targets:
            if target.alive:
                target.crash()
        self.router.socket.close()
        await self.store.close()
