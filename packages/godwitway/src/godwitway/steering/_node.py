"""The tasks of one entry host on the platform: start, upkeep and planned stop."""

import asyncio
import binascii
import json
import time
from collections.abc import Coroutine
from typing import Any, Protocol

from godwitway.addresses import Address, format_address
from godwitway.http import HttpConnection, HttpRequest, serve_http
from godwitway.http_messages import HttpError
from godwitway.metrics import Metrics
from godwitway.steering._core import SteeringCore
from godwitway.steering._feed import Feed
from godwitway.steering._loads import PeerLoads
from godwitway.steering._membership import keep_registered, keep_reporting
from godwitway.steering._probes import Probe, Probes
from godwitway.steering._settings import SteeringSettings
from godwitway.store import FleetStore, KeyValue, StoreError

__all__ = ["Links", "SteeringNode"]

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


class Links(Protocol):
    """The connections that the adapter of a platform provides."""

    def store(self, settings: SteeringSettings, metrics: Metrics) -> FleetStore:
        """Return a client of the store with a connection of its own."""

    probe: Probe


class PeerProtocol(asyncio.DatagramProtocol):
    """Takes reports of other hosts."""

    def __init__(self, core: SteeringCore) -> None:
        self.core = core

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take one report."""
        self.core.peers.take(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's host is gone; its silence is noticed anyway."""


class SteeringNode:
    """Runs one entry host.

    Attributes:
        core: The host's state and decisions.
        stopping: Whether a planned stop has begun.
        stopped: Set when the planned stop is complete, or an essential task has failed.
        failure: Why a task failed, if one did.
        behind_since: Since when each peer has known of changes that this host lacks.
    """

    def __init__(self, core: SteeringCore, links: Links) -> None:
        self.core = core
        self.now = core.now
        self.metrics = core.metrics
        self.journal = core.journal
        self.background: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.stopped = asyncio.Event()
        self.failure: BaseException | None = None
        self.behind_since: dict[Address, float] = {}
        self.replicas = (core.config_replica, core.targets_replica)
        self.store = links.store(core.settings, core.metrics)
        self.feeds = [
            Feed(
                links.store(core.settings, core.metrics),
                replica,
                core.rng,
                core.metrics,
                core.journal,
            )
            for replica in self.replicas
        ]
        self.probes = Probes(core.steering, links.probe, self.spawn)

    async def run(self) -> None:
        """Serve until a planned stop is complete or a task has failed."""
        core, settings = self.core, self.core.settings
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: PeerProtocol(core), local_addr=settings.peer
        )
        core.peers.send = transport.sendto
        core.peers.on_report = self.compare_revisions
        servers = [
            await serve_http(settings.ready, self.handle_ready),
            await serve_http(settings.control, self.handle_control),
        ]
        await self.synchronize()
        for job in (
            *(feed.run() for feed in self.feeds),
            keep_reporting(core.peers),
            self.upkeep(),
            keep_registered(self.store, core.peers.own, self.journal, self.metrics),
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
        while not self.core.begin():
            attempt += 1
            listing = asyncio.ensure_future(self.list_store())
            await asyncio.wait([listing], timeout=SEED_DELAY_S)
            if not listing.done():
                await self.ask_hosts()
            if self.core.begin():
                listing.cancel()  # The feeds go on from the snapshot's revisions.
                return
            if not await listing:
                await self.ask_hosts()
                await asyncio.sleep(START_RETRY_S * min(attempt, 5))

    async def list_store(self) -> bool:
        """Read all keys of the store; returns whether there is a configuration."""
        try:
            return self.core.apply_listing(await self.store.range(""))
        except StoreError as error:
            self.metrics.count("store_errors", "start")
            self.journal.event("store_lost", prefix="", reason=str(error))
            return False

    async def ask_hosts(self) -> None:
        """Take over the snapshot of a seed, or of a host that has reported to this one."""
        settings = self.core.settings
        heard = [
            (address[0], settings.control[1])
            for address, peer in self.core.peers.by_address.items()
            if peer.heard_at is not None
        ]
        addresses = {*heard, *settings.seeds} - {settings.control}
        tasks = [asyncio.ensure_future(self.fetch_snapshot(address)) for address in addresses]
        for task in asyncio.as_completed(tasks):
            if await task:
                break
        for task in tasks:
            task.cancel()

    async def fetch_snapshot(self, address: Address) -> bool:
        """Take over what another host knows; returns whether it knew enough."""
        connection = HttpConnection(address, SNAPSHOT_TIMEOUT_S)
        try:
            response = await connection.request("GET", "/snapshot", b"", SNAPSHOT_TIMEOUT_S)
            if response.status != 200:
                return False
            document = json.loads(response.body)
        except (HttpError, ValueError) as error:
            self.journal.event("snapshot_failed", peer=format_address(address), reason=str(error))
            return False
        finally:
            connection.close()
        for replica in self.replicas:
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
            config_revision=self.core.config_replica.revision,
            targets_revision=self.core.targets_replica.revision,
        )
        return self.core.catalog.config is not None

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
                for replica in self.replicas
            }
        ).encode()

    def compare_revisions(self, peer: PeerLoads) -> None:
        """Ask for changes that a peer has had for a while and this host has not."""
        config_replica, targets_replica = self.replicas
        if (
            peer.config_revision <= config_replica.revision
            and peer.targets_revision <= targets_replica.revision
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
                config_revision=config_replica.revision,
                targets_revision=targets_replica.revision,
                peer_config_revision=peer.config_revision,
                peer_targets_revision=peer.targets_revision,
            )
            control = (peer.address[0], self.core.settings.control[1])
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
            elapsed = max(now - last, boot - last_boot)
            if elapsed > UPKEEP_S + PAUSE_S:
                self.paused(elapsed - UPKEEP_S)
            last, last_boot = now, boot
            ticks += 1
            self.core.expire()
            self.probes.ask_suspected()
            self.core.update_rotation()
            if ticks % SETTLE_EVERY == 0:
                self.metrics.settle()

    def paused(self, seconds: float) -> None:
        """Treat evidence and revisions as old after this process stood still."""
        self.metrics.count("pauses")
        self.journal.event("paused", seconds=round(seconds, 3))
        self.core.forget_evidence()
        for feed in self.feeds:
            feed.wake()

    async def handle_ready(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Answer the platform's question whether packets should come here."""
        return (200 if self.core.peers.in_rotation else 503), b"{}", "application/json"

    async def handle_control(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve snapshots, metrics and the state dump."""
        if request.path == "/snapshot" and self.core.catalog.config is not None:
            return 200, self.snapshot(), "application/json"
        if request.path == "/metrics":
            return 200, self.metrics.exposition(), "text/plain; version=0.0.4"
        if request.path == "/state":
            return 200, json.dumps(self.state()).encode(), "application/json"
        return 404, b"{}", "application/json"

    def state(self) -> dict[str, Any]:
        """Return what this host believes, for operators."""
        connected = {feed.replica.prefix: feed.connected for feed in self.feeds}
        return self.core.state() | {"store_connected": connected}

    def reload(self, settings: SteeringSettings | None) -> None:
        """Take over changed settings; those that name sockets need a restart."""
        if settings is None:
            self.journal.event("reload_failed", reason="the settings file has errors")
            return
        present = self.core.settings
        needs_restart = [
            name
            for name in ("name", "zone", "packets", "ready", "control", "peer", "store")
            if getattr(settings, name) != getattr(present, name)
        ]
        present.seeds = settings.seeds
        present.stop_bound_s = settings.stop_bound_s
        self.journal.event("reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave the rotation, forward what still comes, then end."""
        if self.stopping:
            return
        self.stopping = True
        core = self.core
        began = self.now()
        bound = began + core.settings.stop_bound_s - STOP_MARGIN_S
        self.journal.event("stopping", flows=len(core.steering.table.flows))
        while not core.rotation.may_leave() and self.now() < bound - LEAVE_S - QUIET_S:
            await asyncio.sleep(STOP_CHECK_S)
        core.leaving = True
        core.update_rotation()
        left = self.now()
        self.journal.event("left_rotation", waited_s=round(left - began, 3))
        while self.now() < bound:
            await asyncio.sleep(STOP_CHECK_S)
            now = self.now()
            if now - left > LEAVE_S and now - core.steering.last_packet_at > QUIET_S:
                break
        self.stopped.set()
