"""The configuration in force: watched by a few hosts, relayed to all, never going back."""

import asyncio
import zlib
from collections import deque

import msgspec

from godwitway.process._clock import wait_for_event
from godwitway.process._control import Control
from godwitway.process._member import Member
from godwitway.process._messages import (
    ConfigDelta,
    HostNotes,
    ServiceChange,
    StateReply,
    StateRequest,
)
from godwitway.process._node import Node
from godwitway.process._ownership import Ownership
from godwitway.process._store import Store
from godwitway.store import CompactedError, KeyValue, StoreError, WatchEvent
from godwitway.version import build_snapshot, hash_seed

__all__ = ["CONFIG_PREFIX", "HOSTS_PREFIX", "REVISION_MARKER_KEY", "SERVICES_PREFIX", "ConfigSync"]

CONFIG_PREFIX = "/godwitway/config/"
SERVICES_PREFIX = CONFIG_PREFIX + "services/"
REVISION_MARKER_KEY = CONFIG_PREFIX + "marker"
HOSTS_PREFIX = "/platform/hosts/"
FANOUT = 8
HISTORY = 512
BACKOFF_FIRST_S = 0.2
BACKOFF_MOST_S = 5.0
CHECK_PERIOD_S = 0.5
PULL_GAP_S = 0.3


class ConfigSync:
    """Gets configuration versions from the store or from peers and puts them in force.

    Attributes:
        node: The host.
        ownership: Puts a snapshot in force.
        control: Sends control messages.
        store: The platform's store.
        history: The latest changes, for peers that are behind.
        is_watching: Whether this host watches the store now.
        in_force_since: When the present revision came in force, in seconds.
        state_received: Set when a peer's state has arrived.
        listeners: Set whenever a new version is in force.
    """

    __slots__ = (
        "control",
        "history",
        "in_force_since",
        "is_watching",
        "joined_known",
        "listeners",
        "node",
        "ownership",
        "pulled_at",
        "rejected_services",
        "replied_peers",
        "state_received",
        "store",
    )

    def __init__(self, node: Node, ownership: Ownership, control: Control, store: Store) -> None:
        self.node = node
        self.ownership = ownership
        self.control = control
        self.store = store
        self.history: deque[ConfigDelta] = deque(maxlen=HISTORY)
        self.is_watching = False
        self.in_force_since = node.now()
        self.pulled_at = -PULL_GAP_S
        self.state_received = asyncio.Event()
        self.joined_known = False
        self.replied_peers: set[bytes] = set()
        self.rejected_services: set[str] = set()
        self.listeners: dict[asyncio.Event, None] = {}

    # Putting versions in force

    def apply_delta(self, delta: ConfigDelta) -> bool:
        """Apply a delta that builds on the present revision, and return whether it did."""
        present = self.node.snapshot
        if delta.revision <= present.revision or delta.since > present.revision:
            return False
        changes = [(change.name, change.document, change.version) for change in delta.changes]
        snapshot, rejected = build_snapshot(present, delta.revision, changes)
        self.rejected_services -= {change.name for change in delta.changes}
        self.rejected_services |= set(rejected)
        for name in rejected:
            self.node.journal.event("config_rejected", service=name, revision=delta.revision)
        self.ownership.apply_snapshot(snapshot)
        self.history.append(delta)
        self.in_force_since = self.node.now()
        names = [change.name for change in delta.changes]
        self.node.journal.event("in_force", revision=delta.revision, services=names)
        for listener in self.listeners:
            listener.set()
        return True

    # From the store

    def is_watcher(self) -> bool:
        """Whether this host is among the few of its zone that watch the store."""
        node = self.node
        hosts = [(hash_seed(node.settings.zone.encode() + node.id), node.id)]
        hosts += [
            (hash_seed(member.zone.encode() + member.id), member.id)
            for member in node.members.values()
            if member.may_own_targets and member.zone == node.settings.zone
        ]
        first = sorted(hosts, reverse=True)[: node.settings.watchers_per_zone]
        return node.id in {host for _, host in first}

    async def run(self) -> None:
        """Watch the store while this host is a watcher, for ever."""
        backoff = BACKOFF_FIRST_S
        while True:
            if not self.is_watcher():
                await self.node.clock.sleep(CHECK_PERIOD_S)
                continue
            started = self.node.now()
            try:
                await self.watch_store()
                backoff = BACKOFF_FIRST_S
            except CompactedError:
                continue
            except StoreError as error:
                self.node.journal.event("store_unavailable", reason=str(error))
                if self.node.now() - started > BACKOFF_MOST_S:
                    backoff = BACKOFF_FIRST_S
                await self.node.clock.sleep(backoff * self.node.rng.uniform(0.5, 1.5))
                backoff = min(BACKOFF_MOST_S, backoff * 2)
            finally:
                self.is_watching = False

    async def watch_store(self) -> None:
        """Read the store once, then follow both of its watches."""
        services = await self.store.range(CONFIG_PREFIX)
        hosts = await self.store.range(HOSTS_PREFIX)
        await self.apply_full_read(services.items, services.revision)
        await self.apply_platform_hosts(hosts.items, full=True)
        self.is_watching = True
        tasks = [
            asyncio.ensure_future(self.follow_services(services.revision + 1)),
            asyncio.ensure_future(self.follow_hosts(hosts.revision + 1)),
            asyncio.ensure_future(self.wait_until_replaced()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_until_replaced(self) -> None:
        """Return when other hosts of the zone are to watch the store instead."""
        while self.is_watcher():
            await self.node.clock.sleep(CHECK_PERIOD_S)

    async def follow_services(self, revision: int) -> None:
        """Relay the changes of the configuration."""
        async for events in self.store.watch(CONFIG_PREFIX, revision):
            await self.apply_watch_events(events)

    async def follow_hosts(self, revision: int) -> None:
        """Relay the changes of the platform's list of hosts."""
        async for events in self.store.watch(HOSTS_PREFIX, revision):
            await self.apply_platform_hosts(
                [
                    KeyValue(event.key, event.value or b"gone", event.mod_revision)
                    for event in events
                ]
            )

    async def apply_full_read(self, items: list[KeyValue], store_revision: int) -> None:
        """Take over everything that the store holds, unless the store went back."""
        present = self.node.snapshot
        marker = next((item for item in items if item.key == REVISION_MARKER_KEY), None)
        revision = marker.mod_revision if marker else 0
        if revision <= present.revision:
            if store_revision < present.revision:
                self.node.journal.event("store_went_back", store=store_revision)
            return
        services = {
            item.key.removeprefix(SERVICES_PREFIX): item
            for item in items
            if item.key.startswith(SERVICES_PREFIX)
        }
        changes = [
            ServiceChange(name, item.value, item.mod_revision)
            for name, item in services.items()
            if present.resource_versions.get(name) != item.mod_revision
        ]
        gone = [
            ServiceChange(name, None, revision)
            for name in present.documents
            if name not in services
        ]
        await self.apply_and_relay(
            ConfigDelta(self.node.id, self.node.id, present.revision, revision, changes + gone)
        )

    async def apply_watch_events(self, events: list[WatchEvent]) -> None:
        """Take over the changes of one watch answer, one store revision after another."""
        revisions = sorted({event.mod_revision for event in events})
        for revision in revisions:
            changes = [
                ServiceChange(event.key.removeprefix(SERVICES_PREFIX), event.value, revision)
                for event in events
                if event.mod_revision == revision and event.key.startswith(SERVICES_PREFIX)
            ]
            since = self.node.snapshot.revision
            if revision > since:
                await self.apply_and_relay(
                    ConfigDelta(self.node.id, self.node.id, since, revision, changes)
                )

    async def apply_and_relay(self, delta: ConfigDelta) -> None:
        """Put a delta in force and relay it."""
        if self.apply_delta(delta):
            await self.relay_delta(delta)

    # Between hosts

    def relay_children(self, root: bytes) -> list[bytes]:
        """Return the hosts that this one relays to, in the tree of a watcher of its zone."""
        node = self.node
        hosts = {member.id for member in node.members.values() if member.is_reachable}
        hosts = {host for host in hosts if node.members[host].zone == node.settings.zone}
        order = sorted((hosts | {node.id}) - {root}, key=lambda host: hash_seed(root + host))
        order.insert(0, root)
        position = order.index(node.id)
        return order[position * FANOUT + 1 : position * FANOUT + FANOUT + 1]

    async def relay_delta(self, delta: ConfigDelta) -> None:
        """Send a delta down the tree."""
        passed = msgspec.structs.replace(delta, sender=self.node.id)
        for child in self.relay_children(delta.root):
            await self.control.send(passed, child)

    async def on_config_delta(self, delta: ConfigDelta) -> None:
        """Take over a relayed delta, or ask for what is missing before it."""
        if delta.since > self.node.snapshot.revision:
            await self.pull(delta.sender)
            return
        await self.apply_and_relay(delta)

    def on_newer_revision(self, member: Member) -> None:
        """Ask a peer with a higher revision, unless a delta is surely on its way."""
        if self.node.now() - self.pulled_at < PULL_GAP_S:
            return
        self.pulled_at = self.node.now()
        self.node.spawn(self.pull_after_delay(member.id))

    async def pull_after_delay(self, host: bytes) -> None:
        """Pull from a peer when no delta has come after a short wait."""
        revision = self.node.snapshot.revision
        await self.node.clock.sleep(PULL_GAP_S)
        if self.node.snapshot.revision == revision:
            await self.pull(host)

    async def pull(self, host: bytes) -> None:
        """Ask a peer for the changes since the present revision."""
        self.node.metrics.count("config_pulls")
        request = StateRequest(self.node.own_member(), self.node.snapshot.revision)
        await self.control.send(request, host)

    async def on_state_request(self, request: StateRequest) -> None:
        """Send a peer what it lacks."""
        sender = request.sender
        members = [self.node.own_member(), *self.node.members.values()]
        since, changes = self.changes_since(request.since)
        packed = zlib.compress(msgspec.msgpack.encode(changes))
        hosts = [
            (ip, state, version) for ip, (state, version) in self.node.platform_host_states.items()
        ]
        reply = StateReply(
            self.node.own_member(), members, since, self.node.snapshot.revision, packed, hosts
        )
        await self.control.send_to(reply, sender.control)

    def changes_since(self, revision: int) -> tuple[int, list[ServiceChange]]:
        """Return the changes since a revision, or the whole configuration since 0."""
        deltas = [delta for delta in self.history if delta.revision > revision]
        complete = bool(deltas) and deltas[0].since <= revision
        if complete or revision == self.node.snapshot.revision:
            latest = {change.name: change for delta in deltas for change in delta.changes}
            return revision, list(latest.values())
        snapshot = self.node.snapshot
        documents = [
            ServiceChange(name, document, snapshot.resource_versions[name])
            for name, document in snapshot.documents.items()
        ]
        return 0, documents

    async def apply_state_reply(self, reply: StateReply) -> None:
        """Take over the configuration that a peer sent."""
        changes = msgspec.msgpack.decode(zlib.decompress(reply.changes), type=list[ServiceChange])
        present = self.node.snapshot
        if reply.since == 0 and reply.revision > present.revision:
            names = {change.name for change in changes}
            gone = [name for name in present.documents if name not in names]
            changes += [ServiceChange(name, None, reply.revision) for name in gone]
        delta = ConfigDelta(
            reply.sender.id,
            reply.sender.id,
            min(reply.since, present.revision),
            reply.revision,
            changes,
        )
        if reply.since <= present.revision:
            self.apply_delta(delta)
        self.merge_platform_hosts(reply.hosts)
        self.replied_peers.add(reply.sender.id)
        self.state_received.set()

    # The platform's list of hosts

    async def apply_platform_hosts(self, items: list[KeyValue], full: bool = False) -> None:
        """Take over entries of the platform's list and relay the new ones."""
        notes = [
            (item.key.removeprefix(HOSTS_PREFIX), item.value.decode(), item.mod_revision)
            for item in items
        ]
        fresh = self.merge_platform_hosts(notes)
        if fresh:
            await self.relay_hosts(fresh)

    def merge_platform_hosts(self, notes: list[tuple[str, str, int]]) -> list[tuple[str, str, int]]:
        """Take over newer entries of the platform's list and return them."""
        states = self.node.platform_host_states
        fresh = [note for note in notes if note[2] > states.get(note[0], ("", 0))[1]]
        for ip, state, version in fresh:
            states[ip] = (state, version)
            self.node.journal.event("platform_host", ip=ip, state=state)
        return fresh

    async def relay_hosts(self, notes: list[tuple[str, str, int]]) -> None:
        """Send entries of the platform's list down the tree of this host's zone."""
        for child in self.relay_children(self.node.id):
            await self.control.send(HostNotes(notes), child)

    async def on_host_notes(self, message: HostNotes) -> None:
        """Take over relayed entries of the platform's list."""
        fresh = self.merge_platform_hosts(message.hosts)
        if fresh:
            await self.relay_hosts(fresh)

    async def wait_for_state(self, seconds: float) -> bool:
        """Wait until a peer has sent its state, and return whether one has."""
        return await wait_for_event(self.node.clock, self.state_received, seconds)
