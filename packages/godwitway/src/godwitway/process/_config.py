"""Distribution of the configuration and of the platform's host list to all entry hosts.

A few hosts of each zone watch the store. Each of them relays what it reads to the hosts of its own
zone, down a tree whose root it is; a host that missed some changes pulls them from a peer. The
revision in force never decreases.
"""

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
from godwitway.process._renumbering import CONFIG_PREFIX, REVISION_MARKER_KEY, RenumberedStore
from godwitway.store import CompactedError, KeyValue, StoreError, WatchEvent
from godwitway.version import build_snapshot, hash_seed

__all__ = ["CONFIG_PREFIX", "HOSTS_PREFIX", "REVISION_MARKER_KEY", "SERVICES_PREFIX", "ConfigSync"]

SERVICES_PREFIX = CONFIG_PREFIX + "services/"
HOSTS_PREFIX = "/platform/hosts/"
RELAY_FANOUT = 8
HISTORY_DELTAS = 512
BACKOFF_MIN_S = 0.2
BACKOFF_MAX_S = 5.0
WATCHER_CHECK_PERIOD_S = 0.5
# Two checks, a call that gets no response and a new read take 7 s of the 9 s within which a change
# must be in force everywhere.
WATCH_CHECK_PERIOD_S = 2.0
PULL_INTERVAL_S = 0.3


class ConfigSync:
    """Gets configuration changes from the store or from peers and puts them in force.

    Attributes:
        node: The host.
        ownership: Applies a snapshot to the owned targets.
        control: Sends control messages.
        store: The platform's key-value store.
        history: The latest deltas, sent to peers that lack them.
        is_watching: Whether this host watches the store now.
        rejected_services: The names of services whose latest document is invalid.
        in_force_since: When the current revision came into force, in seconds of the clock; only
            written.
        pulled_at: When this host last scheduled a pull because a peer had a newer revision.
        state_received: Set when the state of a peer has arrived.
        joined_known: Always False; not used.
        replied_peers: The ids of the peers that have sent their state; only written.
        listeners: Events that are set whenever a new revision comes into force.
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

    def __init__(
        self, node: Node, ownership: Ownership, control: Control, store: RenumberedStore
    ) -> None:
        self.node = node
        self.ownership = ownership
        self.control = control
        self.store = store
        self.history: deque[ConfigDelta] = deque(maxlen=HISTORY_DELTAS)
        self.is_watching = False
        self.in_force_since = node.now()
        self.pulled_at = -PULL_INTERVAL_S
        self.state_received = asyncio.Event()
        self.joined_known = False
        self.replied_peers: set[bytes] = set()
        self.rejected_services: set[str] = set()
        self.listeners: dict[asyncio.Event, None] = {}

    # Putting versions in force

    def apply_delta(self, delta: ConfigDelta) -> bool:
        """Put a delta in force, and return False when it is old or changes before it are missing.

        A service whose document is invalid keeps its last valid version.
        """
        current = self.node.snapshot
        if delta.revision <= current.revision or delta.since > current.revision:
            return False
        changes = [(change.name, change.document, change.version) for change in delta.changes]
        snapshot, rejected = build_snapshot(current, delta.revision, changes)
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
        """Return whether this host is one of the `watchers_per_zone` hosts that watch the store.

        The hash of zone and host id is the rank: every host of the zone ranks the same members and
        gets the same result.
        """
        node = self.node
        hosts = [(hash_seed(node.settings.zone.encode() + node.id), node.id)]
        hosts += [
            (hash_seed(member.zone.encode() + member.id), member.id)
            for member in node.members.values()
            if member.may_own_targets and member.zone == node.settings.zone
        ]
        watchers = sorted(hosts, reverse=True)[: node.settings.watchers_per_zone]
        return node.id in {host for _, host in watchers}

    async def run(self) -> None:
        """Watch the store whenever this host is a watcher, with backoff; runs until cancelled."""
        backoff = BACKOFF_MIN_S
        while True:
            if not self.is_watcher():
                await self.node.clock.sleep(WATCHER_CHECK_PERIOD_S)
                continue
            started = self.node.now()
            try:
                await self.watch_store()
                backoff = BACKOFF_MIN_S
            except CompactedError:
                # The store is up but has dropped the revision: read it again without a delay, and
                # watch from the revision of that read.
                continue
            except StoreError as error:
                self.node.journal.event("store_unavailable", reason=str(error))
                if self.node.now() - started > BACKOFF_MAX_S:
                    backoff = BACKOFF_MIN_S
                await self.node.clock.sleep(backoff * self.node.rng.uniform(0.5, 1.5))
                backoff = min(BACKOFF_MAX_S, backoff * 2)
            finally:
                self.is_watching = False

    async def watch_store(self) -> None:
        """Read the store, then follow its watches until one fails or this host is no watcher."""
        services = await self.store.range(CONFIG_PREFIX)
        hosts = await self.store.range(HOSTS_PREFIX)
        await self.apply_full_read(services.items)
        await self.apply_platform_hosts(hosts.items, full=True)
        self.is_watching = True
        tasks = [
            asyncio.ensure_future(self.follow_services(services.revision + 1)),
            asyncio.ensure_future(self.follow_hosts(hosts.revision + 1)),
            asyncio.ensure_future(self.wait_until_replaced()),
            asyncio.ensure_future(self.check_watches()),
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
        """Return when this host is no longer one of the watchers of its zone."""
        while self.is_watcher():
            await self.node.clock.sleep(WATCHER_CHECK_PERIOD_S)

    async def check_watches(self) -> None:
        """Compare the newest revision of the configuration with the one in force, again and again.

        A watch has no end, and one whose connection is dead looks like one without changes.

        Raises:
            StoreError: The store gave no response, or it has had a change for a whole period that
                no watch has brought.
        """
        missing = 0
        while True:
            await self.node.clock.sleep(WATCH_CHECK_PERIOD_S)
            marker = await self.store.range(REVISION_MARKER_KEY)
            newest = max((item.mod_revision for item in marker.items), default=0)
            in_force = self.node.snapshot.revision
            if newest <= in_force:
                missing = 0
            elif newest == missing:
                raise StoreError(f"no watch has brought revision {newest}, {in_force} is in force")
            else:
                missing = newest

    async def follow_services(self, revision: int) -> None:
        """Apply and relay configuration changes from a store revision on."""
        async for events in self.store.watch(CONFIG_PREFIX, revision):
            await self.apply_watch_events(events)

    async def follow_hosts(self, revision: int) -> None:
        """Apply and relay changes of the platform's host list from a store revision on."""
        # A deleted key is recorded as a host in state `gone`, so that the version of the deletion
        # outranks older entries that peers still relay.
        async for events in self.store.watch(HOSTS_PREFIX, revision):
            await self.apply_platform_hosts(
                [
                    KeyValue(event.key, event.value or b"gone", event.mod_revision)
                    for event in events
                ]
            )

    async def apply_full_read(self, items: list[KeyValue]) -> None:
        """Apply a full read of the configuration.

        A read that is not newer than the configuration in force is ignored.
        """
        current = self.node.snapshot
        marker = next((item for item in items if item.key == REVISION_MARKER_KEY), None)
        revision = marker.mod_revision if marker else 0
        if revision <= current.revision:
            return
        services = {
            item.key.removeprefix(SERVICES_PREFIX): item
            for item in items
            if item.key.startswith(SERVICES_PREFIX)
        }
        changes = [
            ServiceChange(name, item.value, item.mod_revision)
            for name, item in services.items()
            if current.resource_versions.get(name) != item.mod_revision
            or current.documents[name] != item.value
        ]
        gone = [
            ServiceChange(name, None, revision)
            for name in current.documents
            if name not in services
        ]
        await self.apply_and_relay(
            ConfigDelta(self.node.id, self.node.id, current.revision, revision, changes + gone)
        )

    async def apply_watch_events(self, events: list[WatchEvent]) -> None:
        """Apply the changes of one watch response, one store revision after another."""
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
        """Put a delta in force and, if it was new, relay it."""
        if self.apply_delta(delta):
            await self.relay_delta(delta)

    # Between hosts

    def relay_children(self, root: bytes) -> list[bytes]:
        """Return the ids of this host's children in the relay tree of the zone.

        The root and then the other live hosts of the zone, ordered by a hash of root and host id,
        form a heap in which each host has up to `RELAY_FANOUT` children. All hosts with the same
        members compute the same tree.

        Args:
            root: The id of the root, a host of this zone.
        """
        node = self.node
        hosts = {member.id for member in node.members.values() if member.is_live}
        hosts = {host for host in hosts if node.members[host].zone == node.settings.zone}
        order = sorted((hosts | {node.id}) - {root}, key=lambda host: hash_seed(root + host))
        order.insert(0, root)
        position = order.index(node.id)
        return order[position * RELAY_FANOUT + 1 : position * RELAY_FANOUT + RELAY_FANOUT + 1]

    async def relay_delta(self, delta: ConfigDelta) -> None:
        """Send a delta to this host's children in the relay tree."""
        relayed = msgspec.structs.replace(delta, sender=self.node.id)
        for child in self.relay_children(delta.root):
            await self.control.send(relayed, child)

    async def on_config_delta(self, delta: ConfigDelta) -> None:
        """Apply a relayed delta, or pull from its sender when changes before it are missing."""
        if delta.since > self.node.snapshot.revision:
            await self.pull(delta.sender)
            return
        await self.apply_and_relay(delta)

    def on_newer_revision(self, member: Member) -> None:
        """Schedule a pull from a member that has a newer revision, at most once per interval."""
        if self.node.now() - self.pulled_at < PULL_INTERVAL_S:
            return
        self.pulled_at = self.node.now()
        self.node.spawn(self.pull_after_delay(member.id))

    async def pull_after_delay(self, host: bytes) -> None:
        """Pull from a peer unless a relayed delta arrives within the pull interval."""
        revision = self.node.snapshot.revision
        await self.node.clock.sleep(PULL_INTERVAL_S)
        if self.node.snapshot.revision == revision:
            await self.pull(host)

    async def pull(self, host: bytes) -> None:
        """Request the changes since the current revision from a peer."""
        self.node.metrics.count("config_pulls")
        request = StateRequest(self.node.own_member(), self.node.snapshot.revision)
        await self.control.send(request, host)

    async def on_state_request(self, request: StateRequest) -> None:
        """Send a peer the members, the configuration changes it lacks and the host list."""
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
        """Return (revision, changes since it), or (0, the whole configuration).

        The latter is returned when the history does not reach back to the revision.
        """
        deltas = [delta for delta in self.history if delta.revision > revision]
        is_complete = bool(deltas) and deltas[0].since <= revision
        if is_complete or revision == self.node.snapshot.revision:
            latest = {change.name: change for delta in deltas for change in delta.changes}
            return revision, list(latest.values())
        snapshot = self.node.snapshot
        documents = [
            ServiceChange(name, document, snapshot.resource_versions[name])
            for name, document in snapshot.documents.items()
        ]
        return 0, documents

    async def apply_state_reply(self, reply: StateReply) -> None:
        """Apply the configuration and the host list that a peer sent.

        Services that a newer whole configuration does not contain are deleted. Changes that apply
        to a newer revision than the one in force are ignored; the host list is merged anyway.
        """
        changes = msgspec.msgpack.decode(zlib.decompress(reply.changes), type=list[ServiceChange])
        current = self.node.snapshot
        if reply.since == 0 and reply.revision > current.revision:
            names = {change.name for change in changes}
            gone = [name for name in current.documents if name not in names]
            changes += [ServiceChange(name, None, reply.revision) for name in gone]
        delta = ConfigDelta(
            reply.sender.id,
            reply.sender.id,
            min(reply.since, current.revision),
            reply.revision,
            changes,
        )
        if reply.since <= current.revision:
            self.apply_delta(delta)
        self.merge_platform_hosts(reply.hosts)
        self.replied_peers.add(reply.sender.id)
        self.state_received.set()

    # The platform's host list

    async def apply_platform_hosts(self, items: list[KeyValue], full: bool = False) -> None:
        """Merge entries of the platform's host list from the store and relay the new ones.

        Args:
            items: The entries, with the host's IP address after `HOSTS_PREFIX` and its state.
            full: Whether `items` is the whole list; has no effect.
        """
        entries = [
            (
                item.key.removeprefix(HOSTS_PREFIX),
                item.value.decode(errors="replace"),  # An unknown state.
                item.mod_revision,
            )
            for item in items
        ]
        newer = self.merge_platform_hosts(entries)
        if newer:
            await self.relay_hosts(newer)

    def merge_platform_hosts(
        self, entries: list[tuple[str, str, int]]
    ) -> list[tuple[str, str, int]]:
        """Merge entries of (IP address, state, version), and return those that are newer."""
        states = self.node.platform_host_states
        newer = [entry for entry in entries if entry[2] > states.get(entry[0], ("", 0))[1]]
        for ip, state, version in newer:
            states[ip] = (state, version)
            self.node.journal.event("platform_host", ip=ip, state=state)
        return newer

    async def relay_hosts(self, entries: list[tuple[str, str, int]]) -> None:
        """Send entries of the host list to the children of this host as the root of the tree."""
        for child in self.relay_children(self.node.id):
            await self.control.send(HostNotes(entries), child)

    async def on_host_notes(self, message: HostNotes) -> None:
        """Merge relayed entries of the host list and relay the new ones."""
        newer = self.merge_platform_hosts(message.hosts)
        if newer:
            await self.relay_hosts(newer)

    async def wait_for_state(self, timeout_s: float) -> bool:
        """Wait until a peer has sent its state, up to a timeout, and return whether one has."""
        return await wait_for_event(self.node.clock, self.state_received, timeout_s)
