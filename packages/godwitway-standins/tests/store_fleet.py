"""Entry hosts on virtual time that follow a store which leaves single hosts without a response.

The hosts' real tasks, store clients and requests to each other run over in-memory links.
"""

import asyncio
import json
from collections.abc import Callable
from functools import partial
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from godwitway.addresses import Address
from godwitway.http import HttpError, HttpRequest, HttpResponse
from godwitway.metrics import Metrics
from godwitway.steering import SteeringCore, SteeringSettings
from godwitway.steering._membership import report_periodically
from godwitway.steering._peers import Member
from godwitway.steering.node import SteeringNode
from godwitway_platform._formats import PlatformFormats
from godwitway_platform._store import MetadataStoreClient

from godwitway_standins.flows import MetadataServer

__all__ = ["CONFIG_KEY", "StoreFleet", "build_config_value"]

CONFIG_KEY = "op/config"
LINK_DELAY_S = 0.005
STORE_DELAY_S = 0.004
PEER_PORT = 7
CONTROL_PORT = 8
STOPPED_S = 3_600.0  # Longer than any test; stands for a response that never comes.


def build_config_value(version: int, padding: str = "") -> bytes:
    """Return a configuration with one route; `padding` makes it too large for a datagram."""
    route = {
        "name": f"r{padding}",
        "host": "198.18.0.1",
        "prefix": "/443/",
        "type": "idempotent",
        "timeout-ms": 1_500,
        "aim-ms": 300,
        "priority": 1,
        "service": "desk",
        "max-attempts": 2,
    }
    service = {
        "name": "desk",
        "health-path": "/health",
        "max-conns": 2000,
        "protocol": "h1",
        "tls": False,
    }
    return json.dumps(
        {
            "version": version,
            "routes": [route],
            "services": [service],
            "limits": {"idle-timeout-ms": 15_000},
        }
    ).encode()


class NoPackets:
    """The packet socket of a host that gets no packets."""

    unreadable = unsent = 0


class MemoryStoreConnection:
    """A host's connection to the store, in place of an `HttpConnection`.

    Attributes:
        fleet: The fleet.
        ip: The host's address.
    """

    def __init__(self, fleet: "StoreFleet", ip: str) -> None:
        self.fleet = fleet
        self.ip = ip

    async def request(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        silence_s: float = 0.0,
        on_body: Callable[[bytes], None] | None = None,
    ) -> HttpResponse:
        """Return the store's response; see `HttpConnection.request`."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.respond(target)
        except TimeoutError as error:
            raise HttpError(f"{method} {target}: timed out") from error

    async def respond(self, target: str) -> HttpResponse:
        """Return the response, or none to a host that is refused when it arrives or is sent."""
        await asyncio.sleep(STORE_DELAY_S / 2)
        await self.wait_if_refused()
        parts = urlsplit(target)
        request = SimpleNamespace(query=dict(parse_qsl(parts.query, keep_blank_values=True)))
        server = self.fleet.server
        calls = {"/kv-range": server.get_range, "/kv-watch": server.watch}
        self.fleet.calls += 1
        status, document = await calls[parts.path](request)
        await self.wait_if_refused()
        await asyncio.sleep(STORE_DELAY_S / 2)
        return HttpResponse(status, json.dumps(document).encode(), {b"store-era": b"1"})

    async def wait_if_refused(self) -> None:
        """Wait longer than any caller if the store gives this host no response."""
        if self.ip in self.fleet.refused:
            await asyncio.sleep(STOPPED_S)

    def close(self) -> None:
        """Do nothing; the next request is independent of this one."""


class MemoryPeerConnection:
    """A connection to another host's control address, in place of an `HttpConnection`."""

    def __init__(self, fleet: "StoreFleet", address: Address, connect_timeout_s: float) -> None:
        self.fleet = fleet
        self.address = address

    async def request(
        self, method: str, target: str, body: bytes, timeout_s: float, silence_s: float = 0.0
    ):
        """Return the response of the host's handler."""
        await asyncio.sleep(LINK_DELAY_S)
        node = self.fleet.nodes[self.address[0]]
        status, content, _ = await node.handle_control(HttpRequest(method, target))
        await asyncio.sleep(LINK_DELAY_S)
        return HttpResponse(status, content, {})

    def close(self) -> None:
        """Do nothing."""


class MemoryConnections:
    """The platform connections of one host."""

    probe_health = probe_connect = None

    def __init__(self, fleet: "StoreFleet", ip: str) -> None:
        self.fleet = fleet
        self.ip = ip

    def create_store(self, settings: SteeringSettings, metrics: Metrics) -> MetadataStoreClient:
        """Return a real client of the store over an in-memory connection."""
        client = MetadataStoreClient(settings.store, metrics)
        client.connection = MemoryStoreConnection(self.fleet, self.ip)
        return client


class StoreFleet:
    """The hosts of some zones and the store; a host that is stopped sends and receives nothing.

    Attributes:
        server: The content of the store.
        refused: The addresses of the hosts to which the store gives no response.
        nodes: The running hosts by address.
        known_at: When each host had each revision of a changed key, by address and revision.
        calls: The number of calls that the store has responded to.
        seed: Determines the hosts' random numbers.
    """

    def __init__(self, monkeypatch, hosts: int, zones: str, seed: int) -> None:
        self.server = MetadataServer()
        self.refused: set[str] = set()
        self.nodes: dict[str, SteeringNode] = {}
        self.known_at: dict[tuple[str, int], float] = {}
        self.calls = 0
        self.seed = seed
        self.zone_of = {
            f"10.0.0.{number + 1}": zones[number % len(zones)] for number in range(hosts)
        }
        self.server.put(CONFIG_KEY, build_config_value(1))
        for ip in self.zone_of:
            item = self.build_member(ip).to_key_value()
            self.server.put(item.key, item.value)
        monkeypatch.setattr(
            "godwitway.steering._node.HttpConnection", partial(MemoryPeerConnection, self)
        )

    def build_member(self, ip: str) -> Member:
        """Return the registration of a host."""
        return Member(f"host-{ip}", self.zone_of[ip], (ip, PEER_PORT))

    async def start_all(self) -> None:
        """Start all hosts, and wait until some have begun to watch the store."""
        for ip in self.zone_of:
            await self.start(ip)
        await asyncio.sleep(3.0)

    async def start(self, ip: str) -> None:
        """Start a host: it reads the store, and then runs its tasks."""
        node = SteeringNode(self.build_core(ip), MemoryConnections(self, ip))
        core = node.core
        core.replica.on_change = partial(self.record_change, ip, core.replica.on_change)
        await node.list_store()
        core.peers.send = partial(self.send, ip)
        core.peers.on_report = node.compare_revisions
        self.nodes[ip] = node
        for job in (node.feed.run, partial(report_periodically, core.peers), node.upkeep):
            node.supervise(job)

    def build_core(self, ip: str) -> SteeringCore:
        """Return the state of a host with seeded random numbers and without packets."""
        control = (ip, CONTROL_PORT)
        peer = (ip, PEER_PORT)
        settings = SteeringSettings(
            f"host-{ip}",
            self.zone_of[ip],
            peer,
            control,
            control,
            peer,
            peer,
            [],
            6.0,
            metrics=None,
        )
        core = SteeringCore(
            settings, PlatformFormats(), NoPackets(), list, asyncio.get_running_loop().time
        )
        core.rng.seed(f"{self.seed} {ip} {len(self.nodes)}")
        core.peers.boot_id = core.rng.getrandbits(32)
        return core

    def stop(self, ip: str) -> None:
        """Stop a host at once."""
        node = self.nodes.pop(ip)
        for task in node.background:
            task.cancel()

    def send(self, source: str, datagram: bytes, to: Address) -> None:
        """Deliver a datagram from one host to another after the delay of a link."""
        asyncio.get_running_loop().call_later(LINK_DELAY_S, self.deliver, source, datagram, to[0])

    def deliver(self, source: str, datagram: bytes, to: str) -> None:
        """Pass a datagram to a host that runs."""
        if to in self.nodes:
            self.nodes[to].core.peers.handle_datagram(datagram, (source, PEER_PORT))

    def record_change(
        self, ip: str, apply_change: Any, key: str, value: bytes | None, revision: int
    ) -> None:
        """Record when a host learned of a change, and let it apply the change."""
        self.known_at.setdefault((ip, revision), asyncio.get_running_loop().time())
        apply_change(key, value, revision)

    def watching_hosts(self) -> list[str]:
        """Return the addresses of the hosts that watch the store."""
        return [ip for ip, node in self.nodes.items() if node.feed.is_watching]

    async def delay_of_change(self, value: bytes, wait_s: float) -> float:
        """Write the configuration, and return after how many seconds the last host has it.

        Hosts to which the store gives no response count as well; infinite if one of the hosts does
        not have it after `wait_s`.
        """
        began = asyncio.get_running_loop().time()
        revision = self.server.put(CONFIG_KEY, value)
        await asyncio.sleep(wait_s)
        return max(self.known_at.get((ip, revision), float("inf")) for ip in self.nodes) - began
