"""The tasks of one entry host on the platform: start, upkeep and planned stop."""

import asyncio
import json
import time
from collections.abc import Coroutine
from typing import Any, Protocol

from godwitway.addresses import Address, format_address
from godwitway.http import HttpConnection, HttpRequest, serve_http
from godwitway.http_messages import HttpError
from godwitway.metrics import Metrics
from godwitway.steering._changes import decode_difference, encode_difference
from godwitway.steering._core import SteeringCore
from godwitway.steering._feed import Feed
from godwitway.steering._loads import PeerState
from godwitway.steering._membership import keep_registered, keep_reporting
from godwitway.steering._probes import ConnectProbe, HealthProbe, HealthProber
from godwitway.steering._settings import SteeringSettings
from godwitway.store import SteeringStore, StoreError

__all__ = ["PlatformConnections", "SteeringNode"]

UPKEEP_S = 0.25  # A quarter of the shortest bound that it serves, `SILENCE_S`.
SETTLE_EVERY = 8  # Histograms are brought up to date every two seconds.
PAUSE_S = 0.5  # A process that lost this much time treats its evidence as old.
ASKED_AT_ONCE = 2  # One may be dead; a whole zone that starts must not ask everyone.
START_RETRY_S = 0.1  # Rises to 0.5 s; a host without configuration serves nobody.
PEER_TIMEOUT_S = 1.0  # Leaves two more attempts within the 3 s bound of a change.
ENCODED_KEPT = 4  # Most hosts of a zone have the same revision.
CHANGES_PATH = "/changes/"
CATCH_UP_S = 0.25  # Spreads the hosts of a zone that ask a watching host for its changes.
LEAVE_S = 1.2  # Routers take a host out of rotation after two probes, half a second apart.
QUIET_S = 0.5  # After this long without a packet of a caller, none is on its way.
SEED_DELAY_S = 0.15  # The store answers in milliseconds unless it is slow or cut off.
STOP_MARGIN_S = 0.5  # For closing sockets and the last log lines.
STOP_CHECK_S = 0.1  # A report of the other hosts.


class PlatformConnections(Protocol):
    """The connections that the adapter of a platform provides."""

    def create_store(self, settings: SteeringSettings, metrics: Metrics) -> SteeringStore:
        """Return a client of the store with a connection of its own."""

    probe_health: HealthProbe
    probe_connect: ConnectProbe


class PeerProtocol(asyncio.DatagramProtocol):
    """Takes reports of other hosts."""

    def __init__(self, core: SteeringCore) -> None:
        self.core = core

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take one report."""
        self.core.peers.handle_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's host is gone; its silence is noticed anyway."""


class SteeringNode:
    """Runs one entry host.

    Attributes:
        core: The host's state and decisions.
        stopping: Whether a planned stop has begun.
        stopped: Set when the planned stop is complete, or an essential task has failed.
        failure: Why a task failed, if one did.
        catching_up: Whether changes of another host are being asked for.
        encoded: Answers for hosts that ask for changes, by the revision that they have.
        encoded_at: The revision that the answers lead to.
    """

    def __init__(self, core: SteeringCore, connections: PlatformConnections) -> None:
        self.core = core
        self.now = core.now
        self.metrics = core.metrics
        self.journal = core.journal
        self.background: set[asyncio.Task[None]] = set()
        self.stopping = False
        self.stopped = asyncio.Event()
        self.failure: BaseException | None = None
        self.catching_up = False
        self.encoded: dict[int, bytes] = {}
        self.encoded_at = 0
        self.replica = core.replica
        self.store = connections.create_store(core.settings, core.metrics)
        self.feed = Feed(
            connections.create_store(core.settings, core.metrics),
            core.replica,
            core.watches_store,
            self.store_reached,
            core.peers.push_changes,
            core.rng,
            core.metrics,
            core.journal,
        )
        self.probes = HealthProber(
            core.steering, connections.probe_health, connections.probe_connect, self.spawn
        )

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
        if settings.metrics is not None:
            servers.append(await serve_http(settings.metrics, self.handle_metrics))
        await self.synchronize()
        for job in (
            self.feed.run(),
            keep_reporting(core.peers),
            self.upkeep(),
            keep_registered(
                self.store, core.peers.own_member, self.store_reached, self.journal, self.metrics
            ),
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
        while not self.core.start_serving():
            attempt += 1
            listing = asyncio.ensure_future(self.list_store())
            await asyncio.wait([listing], timeout=SEED_DELAY_S)
            if not listing.done():
                await self.ask_hosts()
            if self.core.start_serving():
                listing.cancel()  # The feed goes on from what the host knew.
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
            self.journal.event("store_lost", call="range", reason=str(error))
            return False

    async def ask_hosts(self) -> None:
        """Take over what some seeds know, or hosts that have reported to this one."""
        settings = self.core.settings
        peers = self.core.peers
        heard = [peer for peer in peers.by_address.values() if peer.last_report_at is not None]
        near = [peer for peer in heard if peer.zone_hash == peers.zone_hash] or heard
        groups = ([(peer.address[0], settings.control[1]) for peer in near], settings.seeds)
        known = [
            address
            for group in groups
            for address in self.core.rng.sample(group, min(len(group), ASKED_AT_ONCE))
        ]
        addresses = set(known) - {settings.control}
        tasks = [asyncio.ensure_future(self.fetch_changes(address)) for address in addresses]
        for task in asyncio.as_completed(tasks):
            if await task:
                break
        for task in tasks:
            task.cancel()

    async def fetch_changes(self, address: Address) -> bool:
        """Take over what another host knows; returns whether there is a configuration then."""
        connection = HttpConnection(address, PEER_TIMEOUT_S)
        target = f"{CHANGES_PATH}{self.replica.revision if self.replica.has_listing else 0}"
        try:
            response = await connection.request("GET", target, b"", PEER_TIMEOUT_S)
            if response.status != 200:
                return False
            difference = decode_difference(response.body)
        except (HttpError, ValueError) as error:
            self.journal.event("changes_failed", peer=format_address(address), reason=str(error))
            return False
        finally:
            connection.close()
        if self.replica.apply_difference(difference):
            self.metrics.count("changes_taken", "all" if difference.is_full else "some")
            self.journal.event(
                "changes_taken",
                peer=format_address(address),
                full=difference.is_full,
                revision=self.replica.revision,
            )
        return self.core.catalog.config is not None

    def store_reached(self, reached: bool) -> None:
        """Take note of whether a call of the store was answered."""
        self.core.peers.reaches_store = reached

    def compare_revisions(self, peer: PeerState) -> None:
        """Ask for the changes that a peer has and this host has not."""
        if peer.advertised_revision > self.replica.revision and not self.catching_up:
            self.catching_up = True
            self.spawn(self.catch_up())

    async def catch_up(self) -> None:
        """Take over changes from one of the hosts that have them."""
        try:
            await asyncio.sleep(self.core.rng.uniform(0.0, CATCH_UP_S))
            now = self.now()
            ahead = [
                peer.address
                for peer in self.core.peers.by_address.values()
                if peer.advertised_revision > self.replica.revision and peer.is_alive(now)
            ]
            if not ahead:
                return
            ip, _ = self.core.rng.choice(ahead)
            if not await self.fetch_changes((ip, self.core.settings.control[1])):
                self.feed.ask_once()
        finally:
            self.catching_up = False

    async def upkeep(self) -> None:
        """Expire what is old and notice pauses of this process."""
        ticks = 0
        last, last_boot = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            await asyncio.sleep(UPKEEP_S)
            now, boot_id = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
            elapsed = max(now - last, boot_id - last_boot)
            if elapsed > UPKEEP_S + PAUSE_S:
                self.paused(elapsed - UPKEEP_S)
            last, last_boot = now, boot_id
            ticks += 1
            self.core.expire_state()
            self.probes.ask_suspected()
            self.core.update_rotation()
            if ticks % SETTLE_EVERY == 0:
                self.metrics.flush_durations()

    def paused(self, seconds: float) -> None:
        """Treat evidence and revisions as old after this process stood still."""
        self.metrics.count("pauses")
        self.journal.event("paused", seconds=round(seconds, 3))
        self.core.clear_evidence()
        self.feed.wake()

    async def handle_ready(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Answer the platform's question whether packets should come here."""
        return (200 if self.core.peers.in_rotation else 503), b"{}", "application/json"

    async def handle_metrics(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve the metrics as text."""
        return 200, self.metrics.text_exposition(), "text/plain; version=0.0.4"

    async def handle_control(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve changes to other hosts, metrics and the state dump."""
        if request.path.startswith(CHANGES_PATH) and self.core.catalog.config is not None:
            revision = request.path.removeprefix(CHANGES_PATH)
            if revision.isdecimal():
                return 200, self.changes_since(int(revision)), "application/octet-stream"
        if request.path == "/metrics":
            return await self.handle_metrics(request)
        if request.path == "/state":
            return 200, json.dumps(self.core.state_as_json()).encode(), "application/json"
        return 404, b"{}", "application/json"

    def changes_since(self, revision: int) -> bytes:
        """Return what a host lacks, encoded once for all that ask for the same."""
        if self.encoded_at != self.replica.revision:
            self.encoded_at = self.replica.revision
            self.encoded.clear()
        if revision not in self.encoded:
            self.encoded[revision] = encode_difference(self.replica.difference_since(revision))
            if len(self.encoded) > ENCODED_KEPT:
                del self.encoded[next(iter(self.encoded))]
        return self.encoded[revision]

    def reload(self, settings: SteeringSettings | None) -> None:
        """Take over changed settings; those that name sockets need a restart."""
        if settings is None:
            self.journal.event("reload_failed", reason="the settings file has errors")
            return
        present = self.core.settings
        needs_restart = [
            name
            for name in ("name", "zone", "packets", "ready", "control", "metrics", "peer", "store")
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
        self.journal.event("stopping", flows=len(core.steering.flow_table.flows))
        while not core.rotation.may_leave() and self.now() < bound - LEAVE_S - QUIET_S:
            await asyncio.sleep(STOP_CHECK_S)
        core.is_leaving = True
        core.update_rotation()
        left = self.now()
        self.journal.event("left_rotation", waited_s=round(left - began, 3))
        while self.now() < bound:
            await asyncio.sleep(STOP_CHECK_S)
            now = self.now()
            if now - left > LEAVE_S and now - core.steering.last_packet_at > QUIET_S:
                break
        self.stopped.set()
