"""One entry host on the platform: wiring, start, upkeep and planned stop."""

import asyncio
import binascii
import json
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from godwitway.addresses import Address, format_address
from godwitway.http import HttpConnection, HttpError, HttpRequest, serve_http
from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._announcements import Announcements
from godwitway.steering._catalog import Catalog
from godwitway.steering._feed import Feed, FleetStore
from godwitway.steering._loads import PeerLoads
from godwitway.steering._model import FleetConfig, Target
from godwitway.steering._peers import HOSTS_PREFIX, Member, Peers, keep_registered
from godwitway.steering._probes import Probe, Probes
from godwitway.steering._replica import Replica
from godwitway.steering._rotation import Rotation
from godwitway.steering._settings import SteeringSettings
from godwitway.steering._steering import CallerPort, Steering
from godwitway.store import KeyValue, RangeResult, StoreError

__all__ = ["Platform", "SteeringNode"]

UPKEEP_S = 0.25
SETTLE_EVERY = 8  # Histograms are brought up to date every two seconds.
PAUSE_S = 0.5  # A process that lost this much time treats its evidence as old.
START_RETRY_S = 0.1
SNAPSHOT_TIMEOUT_S = 1.0
BEHIND_S = 0.7  # A watch brings a change sooner than this, pacing included.
LEAVE_S = 1.2  # Routers take a host out of rotation after two probes, half a second apart.
QUIET_S = 0.5  # After this long without a packet of a caller, none is on its way.
SEED_DELAY_S = 0.15  # The store answers in milliseconds unless it is slow or cut off.
STOP_MARGIN_S = 0.5
STOP_CHECK_S = 0.1
LOG_BUDGET = 50  # Lines of one event a second; a line costs about 20 us.


class Platform(Protocol):
    """What the adapter of a platform provides."""

    config_prefix: str
    targets_prefix: str

    def store(self, settings: SteeringSettings, metrics: Metrics) -> FleetStore:
        """Return a client of the store."""

    def decode_config(self, value: bytes) -> FleetConfig:
        """Decode the configuration; raises `EntryError`."""

    def decode_target(self, key: str, value: bytes, now: float) -> Target:
        """Decode a target's entry; raises `EntryError`."""

    def format_flow(self, key: bytes) -> str:
        """Return a flow's key as text."""

    async def open_packets(
        self, settings: SteeringSettings, receive: Callable[[Any], None]
    ) -> CallerPort:
        """Open the port for callers' packets."""

    probe: Probe


class PeerProtocol(asyncio.DatagramProtocol):
    """Takes reports of other hosts."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take one report."""
        self.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's host is gone; its silence is noticed anyway."""


class SteeringNode:
    """One entry host on the platform.

    Attributes:
        settings: The checked settings.
        platform: The adapter.
        stopping: Whether a planned stop has begun.
        leaving: Whether the host has left the rotation for a planned stop.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        platform: Platform,
        sink: Callable[[dict[str, Any]], None],
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.now = asyncio.get_running_loop().time
        self.rng = random.Random()
        self.metrics = Metrics()
        self.journal = Journal(settings.name, self.now, sink, platform.format_flow, LOG_BUDGET)
        self.catalog = Catalog()
        self.background: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.leaving = False
        self.behind_since: dict[Address, float] = {}
        self.stopped = asyncio.Event()
        self.failure: BaseException | None = None
        self.started_at = self.now()
        self.announcements = Announcements(
            self.catalog,
            platform.decode_config,
            platform.decode_target,
            self.now,
            self.metrics,
            self.journal,
        )
        self.config_replica = Replica(platform.config_prefix, self.announcements.config_changed)
        self.targets_replica = Replica(platform.targets_prefix, self.announcements.target_changed)
        self.store = platform.store(settings, self.metrics)
        self.feeds = [
            Feed(
                platform.store(settings, self.metrics),
                replica,
                self.rng,
                self.metrics,
                self.journal,
            )
            for replica in (self.config_replica, self.targets_replica)
        ]

    async def run(self) -> None:
        """Serve until a planned stop is complete or a task has failed."""
        settings = self.settings
        self.journal.event("start", zone=settings.zone, store=format_address(settings.store))
        port = await self.platform.open_packets(settings, lambda packet: self.steering.take(packet))
        self.steering = Steering(
            port,
            self.catalog,
            settings.zone,
            self.now,
            self.rng,
            self.metrics,
            self.journal,
        )
        self.announcements.on_restart = self.target_restarted
        self.probes = Probes(self.steering, self.platform.probe, self.spawn)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: PeerProtocol(self.report_received), local_addr=settings.peer
        )
        self.peers = Peers(
            Member(settings.name, settings.zone, settings.peer),
            self.steering,
            transport.sendto,
            self.revisions,
            self.rng,
            self.metrics,
            self.journal,
        )
        self.peers.on_report = self.compare_revisions
        self.steering.peer_loads = self.peers.loads_at
        self.rotation = Rotation(self.steering, self.peers)
        servers = [
            await serve_http(settings.ready, self.handle_ready),
            await serve_http(settings.control, self.handle_control),
        ]
        await self.synchronize()
        self.steering.ready = True
        self.update_rotation()
        self.journal.event(
            "ready",
            version=self.catalog.config.version,
            targets=len(self.catalog.targets),
            peers=len(self.peers.by_address),
            took_s=round(self.now() - self.started_at, 3),
            cpu_s=round(time.process_time(), 3),
        )
        for job in (
            *(feed.run() for feed in self.feeds),
            self.peers.run(),
            self.upkeep(),
            keep_registered(self.store, self.peers.own, self.journal, self.metrics),
        ):
            self.spawn(job, essential=True)
        await self.stopped.wait()
        for server in servers:
            server.close()
        transport.close()
        self.journal.event("stop")
        if self.failure is not None:
            raise self.failure

    def spawn(self, job: Coroutine[Any, Any, None], essential: bool = False) -> None:
        """Run a background job; the process ends when an essential one fails."""
        task = asyncio.ensure_future(job)
        self.background.add(task)

        def done(task: asyncio.Task[None]) -> None:
            self.background.discard(task)
            if task.cancelled() or task.exception() is None:
                return
            self.metrics.count("internal_errors")
            self.journal.event("job_failed", error=repr(task.exception()))
            if essential:
                self.failure = task.exception()
                self.stopped.set()

        task.add_done_callback(done)

    async def synchronize(self) -> None:
        """Learn configuration, targets and hosts from the store, or else from another host."""
        attempt = 0
        while self.catalog.config is None:
            attempt += 1
            listing = asyncio.ensure_future(self.list_store())
            await asyncio.wait([listing], timeout=SEED_DELAY_S)
            if not listing.done():
                await self.ask_hosts()
            if self.catalog.config is not None:
                # The feeds go on from the snapshot's revisions.
                listing.cancel()
                return
            if not await listing:
                await self.ask_hosts()
                await asyncio.sleep(START_RETRY_S * min(attempt, 5))

    async def ask_hosts(self) -> None:
        """Take over the snapshot of a seed, or of a host that has reported to this one."""
        heard = [
            (address[0], self.settings.control[1])
            for address, peer in self.peers.by_address.items()
            if peer.heard_at is not None
        ]
        addresses = {*heard, *self.settings.seeds} - {self.settings.control}
        tasks = [asyncio.ensure_future(self.fetch_snapshot(address)) for address in addresses]
        for task in asyncio.as_completed(tasks):
            if await task:
                break
        for task in tasks:
            task.cancel()

    async def list_store(self) -> bool:
        """Read all keys of the store."""
        try:
            listing: RangeResult = await self.store.range("")
        except StoreError as error:
            self.metrics.count("store_errors", "start")
            self.journal.event("store_lost", prefix="", reason=str(error))
            return False
        if not any(item.key.startswith(self.platform.config_prefix) for item in listing.items):
            self.journal.event("no_configuration", revision=listing.revision)
            return False
        self.config_replica.apply_listing(listing.items, listing.revision)
        self.targets_replica.apply_listing(listing.items, listing.revision)
        self.peers.learn_members(
            [item for item in listing.items if item.key.startswith(HOSTS_PREFIX)]
        )
        return self.catalog.config is not None

    async def fetch_snapshot(self, address: Address) -> bool:
        """Take over what another host knows; returns whether it knew enough."""
        connection = HttpConnection(address, SNAPSHOT_TIMEOUT_S)
        try:
            response = await connection.request("GET", "/snapshot", b"", SNAPSHOT_TIMEOUT_S)
            document = json.loads(response.body) if response.status == 200 else None
        except (HttpError, ValueError) as error:
            self.journal.event("snapshot_failed", peer=format_address(address), reason=str(error))
            return False
        finally:
            connection.close()
        if document is None:
            return False
        for replica in (self.config_replica, self.targets_replica):
            part = document[replica.prefix]
            items = [
                KeyValue(key, binascii.a2b_base64(value), revision)
                for key, value, revision in part["items"]
            ]
            replica.apply_listing(items, part["revision"])
        self.metrics.count("snapshots_taken")
        self.journal.event(
            "snapshot_taken",
            peer=format_address(address),
            config_revision=self.config_replica.revision,
            targets_revision=self.targets_replica.revision,
        )
        return self.catalog.config is not None

    def snapshot(self) -> bytes:
        """Return what this host knows, for another host."""
        return json.dumps(
            {
                replica.prefix: {
                    "revision": replica.revision,
                    "items": [
                        (
                            item.key,
                            binascii.b2a_base64(item.value, newline=False).decode(),
                            item.mod_revision,
                        )
                        for item in replica.items.values()
                    ],
                }
                for replica in (self.config_replica, self.targets_replica)
            }
        ).encode()

    def revisions(self) -> tuple[int, int, int]:
        """Return the configuration's version, and the revisions of both replicas."""
        version = self.catalog.config.version if self.catalog.config else 0
        return version, self.config_replica.newest, self.targets_replica.newest

    def target_restarted(self, target_id: str) -> None:
        """Forget what was known of a target's earlier incarnation."""
        self.steering.evidence.pop(target_id, None)

    def report_received(self, datagram: bytes, source: Address) -> None:
        """Take a peer's report."""
        self.peers.take(datagram, source)

    def compare_revisions(self, peer: PeerLoads) -> None:
        """Ask for changes that a peer has had for a while and this host has not."""
        if (
            peer.config_revision <= self.config_replica.revision
            and peer.targets_revision <= self.targets_replica.revision
        ):
            self.behind_since.pop(peer.address, None)
            return
        now = self.now()
        since = self.behind_since.setdefault(peer.address, now)
        if now - since > BEHIND_S:
            del self.behind_since[peer.address]
            self.metrics.count("behind_peer")
            self.journal.event(
                "behind_peer",
                peer=format_address(peer.address),
                config_revision=self.config_replica.revision,
                targets_revision=self.targets_replica.revision,
                peer_config_revision=peer.config_revision,
                peer_targets_revision=peer.targets_revision,
            )
            control = (peer.address[0], self.settings.control[1])
            self.spawn(self.catch_up(control))

    async def catch_up(self, address: Address) -> None:
        """Take over a peer's snapshot, and have the watches connect anew."""
        await self.fetch_snapshot(address)
        for feed in self.feeds:
            feed.wake()

    async def upkeep(self) -> None:
        """Expire what is old and notice pauses of this process."""
        ticks = 0
        last, last_boot = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            await asyncio.sleep(UPKEEP_S)
            now, boot = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
            if max(now - last, boot - last_boot) > UPKEEP_S + PAUSE_S:
                self.paused(max(now - last, boot - last_boot) - UPKEEP_S)
            last, last_boot = now, boot
            ticks += 1
            idle_timeout_s = self.catalog.config.idle_timeout_s
            self.steering.table.expire(now, idle_timeout_s)
            self.announcements.expire_held()
            self.catalog.forget_departed(now)
            self.peers.forget_silent(now)
            self.probes.ask_suspected()
            self.update_rotation()
            if ticks % SETTLE_EVERY == 0:
                self.metrics.settle()

    def paused(self, seconds: float) -> None:
        """Treat evidence and revisions as old after this process stood still."""
        self.metrics.count("pauses")
        self.journal.event("paused", seconds=round(seconds, 3))
        for evidence in self.steering.evidence.values():
            evidence.clear()
        for feed in self.feeds:
            feed.wake()

    async def handle_ready(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Answer the platform's question whether packets should come here."""
        return (200 if self.peers.in_rotation else 503), b"{}", "application/json"

    async def handle_control(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve snapshots, metrics and the state dump."""
        if request.path == "/snapshot" and self.catalog.config is not None:
            return 200, self.snapshot(), "application/json"
        if request.path == "/metrics":
            return 200, self.metrics.exposition(), "text/plain; version=0.0.4"
        if request.path == "/state":
            return 200, json.dumps(self.state()).encode(), "application/json"
        return 404, b"{}", "application/json"

    def state(self) -> dict[str, Any]:
        """Return what this host believes, for operators."""
        now = self.now()
        return {
            "host": self.settings.name,
            "zone": self.settings.zone,
            "uptime_s": round(now - self.started_at, 3),
            "ready": self.steering.ready,
            "leaving": self.leaving,
            "in_rotation": self.peers.in_rotation,
            "yielding": self.rotation.yielding,
            "demand": self.rotation.demand,
            "config": {
                "version": self.catalog.config.version if self.catalog.config else None,
                "revision": self.config_replica.revision,
                "routes": len(self.catalog.routes),
            },
            "targets_revision": self.targets_replica.revision,
            "store_connected": {feed.replica.prefix: feed.connected for feed in self.feeds},
            "flows": len(self.steering.table.flows),
            "targets": [self.target_state(target, now) for target in self.catalog.targets.values()],
            "peers": {
                format_address(peer.address): {
                    "alive": peer.alive(now),
                    "heard_s_ago": None if peer.heard_at is None else round(now - peer.heard_at, 3),
                    "config_version": peer.config_version,
                }
                for peer in self.peers.by_address.values()
            },
            "metrics": self.metrics.as_json(),
        }

    def target_state(self, target: Target, now: float) -> dict[str, Any]:
        """Return what this host believes of a target."""
        load = self.steering.view(target)
        evidence = self.steering.evidence.get(target.id)
        return {
            "id": target.id,
            "service": target.service,
            "zone": target.zone,
            "token": target.token,
            "draining": target.draining,
            "cold": now < target.cold_until,
            "busy": load.busy,
            "idle": load.idle,
            "suspected": self.steering.suspected(target, now),
            "stalled_flows": len(evidence.stalls) if evidence else 0,
            "held": target.id in self.announcements.held,
        }

    def reload(self, settings: SteeringSettings | None) -> None:
        """Take over changed settings; those that name sockets need a restart."""
        if settings is None:
            self.journal.event("reload_failed", reason="the settings file has errors")
            return
        needs_restart = [
            name
            for name in ("name", "zone", "packets", "ready", "control", "peer", "store")
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings.seeds = settings.seeds
        self.settings.stop_bound_s = settings.stop_bound_s
        self.journal.event("reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave the rotation, forward what still comes, then end."""
        if self.stopping:
            return
        self.stopping = True
        began = self.now()
        bound = began + self.settings.stop_bound_s - STOP_MARGIN_S
        self.journal.event("stopping", flows=len(self.steering.table.flows))
        while not self.rotation.may_leave() and self.now() < bound - LEAVE_S - QUIET_S:
            await asyncio.sleep(STOP_CHECK_S)
        self.leaving = True
        self.update_rotation()
        left = self.now()
        self.journal.event("left_rotation", waited_s=round(left - began, 3))
        while self.now() < bound:
            await asyncio.sleep(STOP_CHECK_S)
            now = self.now()
            if now - left > LEAVE_S and now - self.steering.last_packet_at > QUIET_S:
                break
        self.stopped.set()

    def update_rotation(self) -> None:
        """Decide anew whether to ask for packets, and tell the other hosts."""
        self.rotation.update()
        self.peers.in_rotation = (
            self.steering.ready and not self.leaving and not self.rotation.yielding
        )
