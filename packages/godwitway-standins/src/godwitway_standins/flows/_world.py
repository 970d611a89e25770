"""A small deployment on loopback: the platform's parts in this process, hosts as real programs."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from pathlib import Path

from godwitway_standins.flows._caller import Caller, RequestType
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._metadata import MetadataServer
from godwitway_standins.flows._proxy import TcpProxy
from godwitway_standins.flows._route_probes import RouteProber
from godwitway_standins.flows._router import RoutedHost, Router
from godwitway_standins.flows._store_copies import StoreCopies
from godwitway_standins.flows._target import FlowTarget

__all__ = ["KINDS", "FlowWorld", "HostProcess", "Layout"]

PACKET_PORT = 8_172
READY_PORT = 8_167
CONTROL_PORT = 8_166
PEER_PORT = 7_720
STORE_PORT = 8_169
SERVICE_PORT = 443
STOP_BOUND_S = 6
TICK_S = 0.01
EXTRA_NET = "198.18.1."  # Of the addresses of routes that come and go.
PAUSE_S = 0.3
KINDS = {
    "board": RequestType("board", True, True, 0, 4_000, 1.5),
    "bid": RequestType("bid", False, False, 900, 600, 2.0),
    "catalogue": RequestType("catalogue", True, False, 0, 30_000, 3.0),
}
SERVICE_OF = {"board": "desk", "bid": "desk", "catalogue": "store"}
TYPE_OF = {"board": "idempotent", "bid": "non_idempotent", "catalogue": "download"}


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


class HostProcess:
    """One entry host as a real process.

    Attributes:
        name: The host's name.
        ip: Its address.
        proxy: The proxy between it and the store.
        process: The process, None while the host is down.
        paused: Whether the process is stopped by a signal.
    """

    def __init__(
        self, name: str, zone: str, ip: str, proxy: TcpProxy, folder: Path, seeds: list[str]
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.proxy = proxy
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False
        self.cuts: set[str] = set()
        self.settings.write_text(
            json.dumps(
                {
                    "name": name,
                    "zone": zone,
                    "packets": f"{ip}:{PACKET_PORT}",
                    "ready": f"{ip}:{READY_PORT}",
                    "control": f"{ip}:{CONTROL_PORT}",
                    "peer": f"{ip}:{PEER_PORT}",
                    "store": f"{proxy.listen[0]}:{proxy.listen[1]}",
                    "seeds": seeds,
                    "stop_bound_s": STOP_BOUND_S,
                },
                indent=2,
            )
        )

    def start(self) -> None:
        """Start the program."""
        environment = os.environ | {"GODWITWAY_CONFIG": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "godwitway_platform"],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.paused = False

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP

    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def kill(self) -> None:
        """End the process at once."""
        if not self.ended():
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.process = None


class FlowWorld:
    """The whole deployment.

    Attributes:
        layout: Its size.
        judge: What callers and targets have seen.
        store: The platform's store.
        router: The platform's routers.
        hosts: All hosts.
        targets: All targets that have been.
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
        # Generators of their own: requests and other faults of a seed stay the same.
        self.copies = StoreCopies(self.store, random.Random(f"copies {seed}"))
        self.prober = RouteProber(
            self.judge, self.router, self.address_of("board"), random.Random(f"probes {seed}")
        )
        self.prober.may_move = lambda address: address[0].startswith(EXTRA_NET)

    async def start(self) -> None:
        """Start everything but the callers' requests."""
        layout = self.layout
        await self.store.serve(layout.ip(0, 0), STORE_PORT)
        self.configure()
        for zone in layout.zones:
            for _ in range(layout.desks):
                await self.add_target("desk", zone)
            for _ in range(layout.stores):
                await self.add_target("store", zone)
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
        target.reaches = lambda host: self.reaches(host, target)
        await target.start()
        self.targets.append(target)
        self.announce(target)
        return target

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

    def address_of(self, kind: str) -> tuple[str, int]:
        """Return the address that requests of a kind are sent to."""
        return (f"198.18.0.{list(KINDS).index(kind) + 1}", SERVICE_PORT)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = {self.address_of(kind): (kind, SERVICE_OF[kind]) for kind in KINDS}
        for number in range(self.extra_routes):
            routes[f"{EXTRA_NET}{number % 250 + 1}", SERVICE_PORT] = ("board", "desk")
        document = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{address[0]}",
                    "host": address[0],
                    "prefix": f"/{address[1]}/",
                    "type": TYPE_OF[kind],
                    "timeout-ms": self.timeout_ms,
                    "aim-ms": 300,
                    "priority": 1 if kind == "bid" else 2,
                    "service": service,
                    "max-attempts": 2,
                }
                for address, (kind, service) in routes.items()
            ],
            "services": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in ("desk", "store")
            ],
            "limits": {"idle-timeout-ms": 15_000},
        }
        self.config_value = json.dumps(document).encode()
        self.store.put("op/config", self.config_value)
        self.judge.configured({address: service for address, (_, service) in routes.items()})

    async def restore_store(self, age: float) -> None:
        """Restore the store from a copy, and let operator and targets write again what it lost.

        Args:
            age: Chooses the copy; see `StoreCopies.restore`.
        """
        lost = self.copies.restore(age)
        alive = {f"servers/{target.name}" for target in self.targets if target.alive}
        await self.copies.write_again(
            lost, lambda key, value: key in alive or value == self.config_value
        )

    def add_caller(self, zone: str, number: int) -> None:
        """Add a caller."""
        caller = Caller(
            self.layout.ip(5, number),
            PACKET_PORT,
            zone,
            self.router.send,
            random.Random(self.rng.random()),
            f"c{number}",
        )
        caller.on_reset = self.judge.reset
        caller.on_forged = self.judge.forged
        caller.sent = self.judge.sent
        self.callers.append(caller)

    async def ask(self, caller: Caller, pause_s: float = PAUSE_S) -> None:
        """Let a caller send one request after another."""
        while self.asking:
            await asyncio.sleep(caller.rng.expovariate(1 / pause_s))
            kind = caller.rng.choices(list(KINDS), [7, 2, 1])[0]
            outcome = await caller.request(KINDS[kind], self.address_of(kind))
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
            for caller in self.callers:
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
        for caller in self.callers:
            caller.close()
        self.prober.close()
        for target in self.targets:
            if target.alive:
                target.crash()
        self.router.socket.close()
        await self.store.close()
