"""The tasks of one entry host on the platform: start, periodic work and planned stop."""

import asyncio
import json
import socket
import time
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

from godwitway.addresses import Address, format_address
from godwitway.http import HttpConnection, HttpRequest, serve_http
from godwitway.http_messages import HttpError
from godwitway.metrics import Metrics
from godwitway.steering._changes import decode_difference, encode_difference
from godwitway.steering._core import SteeringCore
from godwitway.steering._feed import StoreFeed
from godwitway.steering._loads import PeerState
from godwitway.steering._membership import Registration, report_periodically
from godwitway.steering._probes import ConnectProbe, HealthProbe, HealthProber
from godwitway.steering._settings import SteeringSettings
from godwitway.store import FIRST_POSITION, SteeringStore, StoreError, StorePosition

__all__ = ["PlatformConnections", "SteeringNode"]

# Half of the shortest bound that depends on it, `PROBE_INTERVAL_S` in `_probes`, and a quarter of
# `SILENCE_S` in `_rotation`.
UPKEEP_INTERVAL_S = 0.25
FLUSH_TICKS = 8  # Recorded durations are moved into the histograms every two seconds.
MIN_PAUSE_S = 0.5  # After a pause of this length, stalls and suspicions are outdated.
# The number of seeds, and of reporting hosts, to fetch from at the start: a second one in case the
# first is dead, but few, because a whole zone may start at once.
MAX_FETCHES = 2
STATUS_OK = 200
TASK_RESTART_DELAY_S = 1.0
START_RETRY_S = 0.1  # Rises to 0.5 s; a host without configuration serves nobody.
# Until the response begins, and then between its parts: all changes take seconds over a slow link.
# Leaves two more attempts within the 3 s in which a change must take effect.
FETCH_TIMEOUT_S = 1.0
MAX_CACHED_DIFFERENCES = 4  # Most hosts of a zone have the same revision.
CHANGES_PATH = "/changes/"
MAX_POSITION_CHARS = 40  # Of two 64-bit numbers; `int` raises an error for thousands of digits.
CONFIG_PATH = "/config"
WHERE_PATH = "/where/"
CONFIG_FETCH_INTERVAL_S = 1.0  # Two attempts within the 3 s in which a change must take effect.
# A change that a starting host has not heard of by then is not in force at the others either.
VIEW_TIMEOUT_S = 3.0
CATCH_UP_DELAY_S = 0.25  # Spreads the requests of a zone's hosts to the one that has the changes.
# The users' bench reports a stopped host that routers still find ready 4 s after SIGTERM. They
# notice within 1.0 s that it has left.
MAX_LEAVE_WAIT_S = 2.5
ROTATION_EXIT_S = 1.2  # Routers take a host out of rotation after two probes, half a second apart.
QUIET_PERIOD_S = 0.5  # After this long without a packet of a caller, none is on its way.
LISTING_DELAY_S = 0.15  # The store answers in milliseconds unless it is slow or cut off.
STOP_MARGIN_S = 0.5  # For closing sockets and the last log lines.
# The settings that are read only at the start.
RESTART_SETTINGS = (
    "name",
    "zone",
    "packets",
    "ready",
    "control",
    "metrics",
    "peer",
    "store",
    "cold_rate_factor",
    "cold_rate_slack",
)
STOP_POLL_S = 0.1  # `REPORT_INTERVAL_S` in `_peers`, the shortest interval between reports.


def parse_position(text: str) -> StorePosition | None:
    """Return the position with era and revision separated by a slash, or None if malformed.

    >>> parse_position("2/17")
    StorePosition(era=2, revision=17)
    >>> parse_position("2/" + 5_000 * "9")
    """
    era, _, revision = text.partition("/")
    if not (era.isdecimal() and revision.isdecimal()) or len(text) > MAX_POSITION_CHARS:
        return None
    return StorePosition(int(era), int(revision))


class PlatformConnections(Protocol):
    """The connections to the platform that its adapter provides.

    Attributes:
        probe_health: See `HealthProber.probe_health`.
        probe_connect: See `HealthProber.probe_connect`.
    """

    def create_store(self, settings: SteeringSettings, metrics: Metrics) -> SteeringStore:
        """Return a client of the store with a connection of its own."""

    probe_health: HealthProbe
    probe_connect: ConnectProbe


class PeerProtocol(asyncio.DatagramProtocol):
    """Passes the datagrams of other hosts to the host's `Peers`."""

    def __init__(self, core: SteeringCore) -> None:
        self.core = core

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a report or pushed changes of the store."""
        self.core.peers.handle_datagram(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors; a peer that is gone is detected by its missing reports."""


class SteeringNode:
    """Runs the tasks of one entry host.

    Attributes:
        core: The host's state and decisions.
        background: The running background tasks.
        is_stopping: Whether a planned stop has begun.
        stopped: Set when a planned stop is complete.
        is_catching_up: Whether changes are being fetched from another host.
        is_fetching_config: Whether the configuration was requested from another host less than
            `CONFIG_FETCH_INTERVAL_S` ago.
        unusable_config_version: The latest version of a configuration that another host has in
            force and this one cannot decode; it is not fetched again.
        store: The store client that registers the host and lists the store at the start.
        feed: Follows the store over a connection of its own.
        registration: Keeps this host's key in the store, over the connection of `store`.
        prober: Probes targets.
        ready_listener: A socket that already listens for readiness probes, or None.
        encoded_differences: Encoded differences for other hosts, by their base.
        encoded_position: The position that the encoded differences lead to.
    """

    def __init__(self, core: SteeringCore, connections: PlatformConnections) -> None:
        self.core = core
        self.now = core.now
        self.metrics = core.metrics
        self.journal = core.journal
        self.ready_listener: socket.socket | None = None
        self.background: set[asyncio.Task[None]] = set()
        self.is_stopping = False
        self.stopped = asyncio.Event()
        self.is_catching_up = False
        self.is_fetching_config = False
        self.unusable_config_version = 0
        self.encoded_differences: dict[StorePosition, bytes] = {}
        self.encoded_position = FIRST_POSITION
        self.replica = core.replica
        self.store = connections.create_store(core.settings, core.metrics)
        self.feed = StoreFeed(
            connections.create_store(core.settings, core.metrics),
            core.replica,
            core.watches_store,
            self.record_feed_call,
            core.peers.push_changes,
            core.rng,
            core.metrics,
            core.journal,
        )
        self.registration = Registration(
            self.store,
            core.peers.own_member,
            core.replica,
            core.peers,
            core.peers.record_store_call,
            core.journal,
            core.metrics,
        )
        self.prober = HealthProber(
            core.steering, connections.probe_health, connections.probe_connect, self.spawn
        )

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        core, settings = self.core, self.core.settings
        asyncio.get_running_loop().set_exception_handler(self.handle_loop_error)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: PeerProtocol(core), local_addr=settings.peer
        )
        core.peers.send = transport.sendto
        core.peers.on_report = self.compare_revisions
        servers = [
            await serve_http(settings.ready, self.handle_ready, self.ready_listener),
            await serve_http(settings.control, self.handle_control),
        ]
        if settings.metrics is not None:
            servers.append(await serve_http(settings.metrics, self.handle_metrics))
        # In the background, so that a planned stop ends a start that waits for the store.
        self.supervise(self.start)
        await self.stopped.wait()
        for server in servers:
            server.close()
        transport.close()
        self.journal.event("stop")

    async def start(self) -> None:
        """Register this host, load what the store has, and start the periodic jobs."""
        if self.core.settings.first_start:
            # Before listing: of any two hosts, one then finds the other in its listing.
            await self.registration.register()
        await self.load_initial_state()
        for job in (
            self.feed.run,
            partial(report_periodically, self.core.peers),
            self.upkeep,
            self.registration.maintain,
        ):
            self.supervise(job)

    def spawn(self, job: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background and log its failure."""
        task = asyncio.ensure_future(job)
        self.background.add(task)

        def handle_done(task: asyncio.Task[None]) -> None:
            self.background.discard(task)
            if not task.cancelled() and isinstance(error := task.exception(), Exception):
                self.core.record_internal_error("job_failed", error)

        task.add_done_callback(handle_done)

    def supervise(self, start_job: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a job in the background, and start it again after a failure, which is logged.

        A host that lacks one of its jobs for a moment still forwards packets; one that ended would
        drop them.

        Args:
            start_job: Returns the coroutine of the job.
        """

        async def run() -> None:
            while True:
                try:
                    await start_job()
                    return
                except Exception as error:
                    self.core.record_internal_error("job_failed", error)
                await asyncio.sleep(TASK_RESTART_DELAY_S)

        self.spawn(run())

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log an error that the event loop caught in a callback or a connection's handler."""
        error = context.get("exception")
        self.core.record_internal_error(
            "job_failed",
            error if isinstance(error, Exception) else RuntimeError(context["message"]),
        )

    async def load_initial_state(self) -> None:
        """Load what the store has: the configuration, the targets and the hosts.

        Returns once there is a configuration, or the store has none yet. Changes are fetched from
        other hosts if the store does not answer within `LISTING_DELAY_S`.
        """
        attempts = 0
        while not self.core.start_serving() and not self.replica.has_listing:
            attempts += 1
            listing = asyncio.ensure_future(self.list_store())
            await asyncio.wait([listing], timeout=LISTING_DELAY_S)
            if not listing.done():
                await self.fetch_from_hosts()
            if self.core.start_serving():
                listing.cancel()  # The feed continues from the revision that a host sent.
                return
            await listing
            if not self.replica.has_listing:
                await self.fetch_from_hosts()
                await asyncio.sleep(START_RETRY_S * min(attempts, 5))

    async def list_store(self) -> None:
        """Apply a listing of the store; a call that fails is logged."""
        try:
            listing = await self.store.range("")
        except StoreError as error:
            self.core.record_failed_listing("range", error)
        else:
            self.core.record_listing(listing)

    async def fetch_from_hosts(self) -> None:
        """Fetch changes from a few hosts, and use the first answer that has a configuration.

        These are at most `MAX_FETCHES` seeds, and as many hosts whose reports have arrived:
        hosts of this zone if there are any.
        """
        settings = self.core.settings
        peers = self.core.peers
        reporting = [peer for peer in peers.by_address.values() if peer.last_report_at is not None]
        preferred = [peer for peer in reporting if peer.zone_hash == peers.zone_hash] or reporting
        sources = ([(peer.address[0], settings.control[1]) for peer in preferred], settings.seeds)
        chosen = [
            address
            for source in sources
            for address in self.core.rng.sample(source, min(len(source), MAX_FETCHES))
        ]
        addresses = set(chosen) - {settings.control}
        tasks = [asyncio.ensure_future(self.fetch_changes(address)) for address in addresses]
        for task in asyncio.as_completed(tasks):
            if await task:
                break
        for task in tasks:
            task.cancel()

    async def fetch_changes(self, address: Address) -> bool:
        """Fetch the changes that this host lacks from another host, and apply them.

        Args:
            address: The other host's control address.

        Returns:
            False if the request failed, or if there is no configuration after it.
        """
        connection = HttpConnection(address, FETCH_TIMEOUT_S)
        base = self.replica.position if self.replica.has_listing else FIRST_POSITION
        path = f"{CHANGES_PATH}{base.era}/{base.revision}"
        try:
            response = await connection.request("GET", path, b"", FETCH_TIMEOUT_S, FETCH_TIMEOUT_S)
            if response.status != STATUS_OK:
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
                revision=self.replica.position.revision,
            )
        return self.core.catalog.config is not None

    def record_feed_call(self, was_answered: bool) -> None:
        """Record a call of the store by the feed, whose answer brings this host up to date."""
        self.core.peers.record_store_call(was_answered)
        if was_answered:
            self.core.confirm_view("watch")

    def compare_revisions(self, peer: PeerState) -> None:
        """Start catching up if a peer advertises a position that this host has not reached.

        A peer without such a position but with a newer configuration has it from before the store
        was restored from a copy. The configuration is then fetched from the peer. A peer that
        reaches the store and has nothing newer confirms this host's view.
        """
        if peer.advertised_position > self.replica.position:
            if not self.is_catching_up:
                self.is_catching_up = True
                self.spawn(self.catch_up())
        elif peer.config_version > max(self.core.config_version(), self.unusable_config_version):
            if not self.is_fetching_config:
                self.is_fetching_config = True
                self.spawn(self.fetch_newer_config(peer))
        elif peer.reaches_store:
            self.core.confirm_view("report")

    async def fetch_config(self, address: Address) -> bool:
        """Fetch the configuration that another host has in force, and apply it.

        Args:
            address: The other host's control address.

        Returns:
            False if the configuration cannot be decoded; True also if the request failed.
        """
        connection = HttpConnection(address, FETCH_TIMEOUT_S)
        try:
            response = await connection.request(
                "GET", CONFIG_PATH, b"", FETCH_TIMEOUT_S, FETCH_TIMEOUT_S
            )
            if response.status == STATUS_OK:
                self.metrics.count("configs_taken")
                self.journal.event("config_taken", peer=format_address(address))
                return self.core.apply_config_of_host(response.body)
        except HttpError as error:
            self.journal.event("changes_failed", peer=format_address(address), reason=str(error))
        finally:
            connection.close()
        return True

    async def fetch_newer_config(self, peer: PeerState) -> None:
        """Fetch a peer's configuration, at most once every `CONFIG_FETCH_INTERVAL_S`."""
        version = peer.config_version
        try:
            if not await self.fetch_config((peer.address[0], self.core.settings.control[1])):
                self.unusable_config_version = max(version, self.unusable_config_version)
            await asyncio.sleep(CONFIG_FETCH_INTERVAL_S)
        finally:
            self.is_fetching_config = False

    async def catch_up(self) -> None:
        """Fetch changes from one of the live hosts that have them, otherwise from the store.

        Hosts of this zone are preferred.
        """
        try:
            await asyncio.sleep(self.core.rng.uniform(0.0, CATCH_UP_DELAY_S))
            now = self.now()
            peers = self.core.peers
            ahead = [
                peer
                for peer in peers.by_address.values()
                if peer.advertised_position > self.replica.position and peer.is_alive(now)
            ]
            if not ahead:
                return
            near = [peer for peer in ahead if peer.zone_hash == peers.zone_hash]
            ip, _ = self.core.rng.choice(near or ahead).address
            if not await self.fetch_changes((ip, self.core.settings.control[1])):
                self.feed.request_poll()
        finally:
            self.is_catching_up = False

    async def upkeep(self) -> None:
        """Expire old state, probe suspected targets, update the rotation and detect pauses.

        Runs every `UPKEEP_INTERVAL_S`; never returns. CLOCK_BOOTTIME is read as well, because the
        monotonic clock stops while the machine is suspended.
        """
        ticks = 0
        last, last_boot = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            now, boot = self.now(), time.clock_gettime(time.CLOCK_BOOTTIME)
            elapsed_s = max(now - last, boot - last_boot)
            if elapsed_s > UPKEEP_INTERVAL_S + MIN_PAUSE_S:
                self.handle_pause(elapsed_s - UPKEEP_INTERVAL_S)
            last, last_boot = now, boot
            ticks += 1
            self.core.start_serving()
            if now - self.core.started_at > VIEW_TIMEOUT_S:
                self.core.confirm_view("timeout")
            self.core.expire_state()
            self.prober.probe_suspected_targets()
            self.core.update_rotation()
            if ticks % FLUSH_TICKS == 0:
                self.metrics.flush_durations()

    def handle_pause(self, duration_s: float) -> None:
        """Clear suspicions and restart the watch after this process did not run for a time."""
        self.metrics.count("pauses")
        self.journal.event("paused", seconds=round(duration_s, 3))
        self.core.clear_suspicions()
        self.feed.restart_watch()

    async def handle_ready(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Answer a router's readiness probe: 200 if this host is in rotation, otherwise 503."""
        return (200 if self.core.peers.in_rotation else 503), b"{}", "application/json"

    async def handle_metrics(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve the metrics in the Prometheus text format."""
        return 200, self.metrics.text_exposition(), "text/plain; version=0.0.4"

    async def handle_control(self, request: HttpRequest) -> tuple[int, bytes, str]:
        """Serve store changes and the configuration to other hosts, metrics and the state dump."""
        if request.path.startswith(CHANGES_PATH) and self.core.catalog.config is not None:
            base = parse_position(request.path.removeprefix(CHANGES_PATH))
            if base is not None:
                return 200, self.changes_since(base), "application/octet-stream"
        if request.path == CONFIG_PATH and self.core.announcements.config_value is not None:
            return 200, self.core.announcements.config_value, "application/octet-stream"
        if request.path == "/metrics":
            return await self.handle_metrics(request)
        if request.path.startswith(WHERE_PATH):
            from urllib.parse import unquote  # Not needed at the start.

            return self.explain_placement(unquote(request.path.removeprefix(WHERE_PATH)))
        if request.path == "/state":
            return 200, json.dumps(self.core.state_as_json()).encode(), "application/json"
        return 404, b"{}", "application/json"

    def explain_placement(self, route_name: str) -> tuple[int, bytes, str]:
        """Return the response that says where a new flow of a route would go; 404 if unknown."""
        from godwitway.steering._where import explain_placement  # Not needed at the start.

        steering = self.core.steering
        for route in steering.catalog.routes.values():
            if route.name == route_name:
                explanation = explain_placement(steering, route, self.now())
                explanation["host"] = self.core.settings.name
                return 200, json.dumps(explanation).encode(), "application/json"
        return 404, json.dumps({"error": f"no route {route_name!r}"}).encode(), "application/json"

    def changes_since(self, base: StorePosition) -> bytes:
        """Return the encoded difference from a position to the replica's.

        It is cached for other hosts with the same position, until the replica changes.
        """
        if self.encoded_position != self.replica.position:
            self.encoded_position = self.replica.position
            self.encoded_differences.clear()
        if base not in self.encoded_differences:
            self.encoded_differences[base] = encode_difference(self.replica.difference_since(base))
            if len(self.encoded_differences) > MAX_CACHED_DIFFERENCES:
                del self.encoded_differences[next(iter(self.encoded_differences))]
        return self.encoded_differences[base]

    def reload(self, settings: SteeringSettings | None) -> None:
        """Apply changed seeds and stop bound, and log the changed settings that need a restart.

        Args:
            settings: The new settings, or None if the settings file has errors.
        """
        if settings is None:
            self.journal.event("reload_failed", reason="the settings file has errors")
            return
        current = self.core.settings
        needs_restart = [
            name for name in RESTART_SETTINGS if getattr(settings, name) != getattr(current, name)
        ]
        current.seeds = settings.seeds
        current.stop_bound_s = settings.stop_bound_s
        self.journal.event("reloaded", needs_restart=needs_restart)

    async def stop(self) -> None:
        """Leave the rotation, forward the packets that still arrive, then end `run`.

        A host that does not serve yet ends at once. Otherwise the host stays in rotation until
        enough other hosts of its zone serve, `MAX_LEAVE_WAIT_S` at most, and forwards packets until
        routers have noticed and no packet arrives any more; both within the stop bound.
        """
        if self.is_stopping:
            return
        self.is_stopping = True
        core = self.core
        started_at = self.now()
        deadline = started_at + core.settings.stop_bound_s - STOP_MARGIN_S
        self.journal.event("stopping", flows=len(core.steering.flow_table.flows))
        if not core.steering.is_ready:
            self.stopped.set()
            return
        leave_by = min(started_at + MAX_LEAVE_WAIT_S, deadline - ROTATION_EXIT_S - QUIET_PERIOD_S)
        while not core.rotation.may_leave() and self.now() < leave_by:
            await asyncio.sleep(STOP_POLL_S)
        core.is_leaving = True
        core.update_rotation()
        left_at = self.now()
        self.journal.event("left_rotation", waited_s=round(left_at - started_at, 3))
        while self.now() < deadline:
            await asyncio.sleep(STOP_POLL_S)
            now = self.now()
            if (
                now - left_at > ROTATION_EXIT_S
                and now - core.steering.last_packet_at > QUIET_PERIOD_S
            ):
                break
        self.stopped.set()
