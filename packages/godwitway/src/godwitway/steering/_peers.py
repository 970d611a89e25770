"""The other hosts: membership, the reports and store changes they send, and those sent to them."""

import json
import random
from collections.abc import Callable, Iterable
from heapq import nsmallest

from godwitway.addresses import Address, format_address, parse_address
from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._changes import decode_push, encode_push
from godwitway.steering._groups import ZoneGroups, rank_of
from godwitway.steering._loads import (
    PeerState,
    Report,
    decode_report,
    encode_report,
    hash_zone,
)
from godwitway.steering._replica import Difference
from godwitway.steering._steering import Steering
from godwitway.steering._watchers import StoreRetry, is_elected
from godwitway.steering._zone_room import RoomEntry
from godwitway.store import KeyValue, StorePosition
from godwitway.utf8 import has_utf8_form

__all__ = ["HOSTS_PREFIX", "REPORT_INTERVAL_S", "Member", "Peers"]

HOSTS_PREFIX = "hosts/"
REPORT_INTERVAL_S = 0.1  # Slower reports let bursts pile up at one target: p99 485 ms at 0.25 s.
FULL_REPORT_TICKS = 5  # Every 0.5 s all loads are sent, also when none has changed.
REPORTS_PER_CHANGE = 2  # The second report makes up for a lost datagram.
SILENT_PEER_RETENTION_S = 30.0
# Longer than the outages and freezes for which the platform is tested, so that a host that comes
# back finds itself registered.
DEAD_HOST_RETENTION_S = 60.0
SMALL_FLEET_HOSTS = 16  # In a fleet of at most this size, all hosts report to each other.
LEADER_COUNT = 2  # Of a group, and of a zone; one of them may die unnoticed for a moment.
WATCHER_COUNT = 2  # Changes still arrive if the watch of one is dead.


class Member:
    """A host as it is registered in the store.

    Attributes:
        name: The host's name.
        zone: The name of its zone.
        address: The UDP address at which it sends and receives reports.
    """

    __slots__ = ("address", "name", "zone")

    def __init__(self, name: str, zone: str, address: Address) -> None:
        self.name = name
        self.zone = zone
        self.address = address

    def to_key_value(self) -> KeyValue:
        """Return the item that registers the host in the store."""
        value = json.dumps({"address": format_address(self.address)}).encode()
        return KeyValue(f"{HOSTS_PREFIX}{self.zone}/{self.name}", value, 0)


def parse_member(key: str, value: bytes) -> Member | None:
    """Return the host that an item of the store registers, or None if the item is malformed."""
    if not has_utf8_form(key):
        return None
    try:
        zone, name = key.removeprefix(HOSTS_PREFIX).split("/", 1)
        return Member(name, zone, parse_address(json.loads(value)["address"]))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        return None


class Peers:
    """The state of the other hosts, and the exchange of reports and store changes with them.

    Hosts of a small fleet all report to each other. In a larger fleet a host reports to its group
    of its zone. The group's leaders relay versions and store changes between groups, and the zone's
    leaders between zones.

    Attributes:
        own_member: This host.
        boot_id: A random number that identifies this process.
        by_address: The other hosts, by the UDP address at which they send and receive reports.
        registered_addresses: The address of each registered host, by its key in the store.
        groups: The division of this zone's hosts into groups.
        other_zone_leaders: The addresses of the hosts of other zones that relay changes of the
            store, unless they are dead.
        registrations: The address of each registered host, including this one, by zone and key.
        on_registration: Called with a zone and the addresses of its registered hosts after these
            have changed.
        is_grouping_current: Whether the division includes all changes of the zone's hosts.
        peer_load_totals: The sums of the peers' requests in progress and of their idle flows, by
            route token; shared with `Steering`.
        rank: This host's sort key in the order that all hosts compute alike; see `rank_of`.
        zone_hash: The hash of this host's zone.
        send: Sends a datagram to an address.
        on_report: Called with a peer after its report was applied.
        on_push: Called with store changes that a peer pushed; returns whether they were applied.
        get_reported_versions: Returns the version of the configuration in force, 0 without one, and
            this host's advertised position.
        in_rotation: Whether this host answers routers' readiness probes positively.
        zone_short: Whether this host finds its zone cut off from the others and short of slots.
        reaches_store: Whether this host's last store call was answered; False before the first
            one, so that a host that starts while the store does not respond to it is not elected.
        store_retry: Decides when to try the store again after a call that was not answered.
        recent_changes: The ids of the targets whose loads changed before each of the latest
            reports, latest first.
        report_ticks: How many times `send_report` was called.
        reported_state: The configuration's version, the advertised position and `reaches_store` in
            the latest report, None before the first one.
        urgent_reports: How many of the next reports are sent although no load has changed, because
            `reported_state` has.
        latest_remote: The hosts outside the group that the latest report to such hosts went to.
        newcomers: How many more times to send the learned speeds to peers that have started, by
            their address.
    """

    def __init__(
        self,
        own_member: Member,
        steering: Steering,
        get_reported_versions: Callable[[], tuple[int, StorePosition]],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.own_member = own_member
        self.boot_id = rng.getrandbits(32)
        self.steering = steering
        self.send: Callable[[bytes, Address], None] = lambda datagram, address: None
        self.get_reported_versions = get_reported_versions
        self.metrics = metrics
        self.journal = journal
        self.by_address: dict[Address, PeerState] = {}
        self.registered_addresses: dict[str, Address] = {}
        self.groups = ZoneGroups(own_member.address)
        self.other_zone_leaders: set[Address] = set()
        self.registrations: dict[str, dict[str, Address]] = {}
        self.on_registration: Callable[[str, Iterable[Address]], None] = lambda zone, hosts: None
        self.is_grouping_current = False
        self.peer_load_totals: dict[int, tuple[int, int]] = {}
        self.rank = rank_of(own_member.address)
        self.zone_hash = hash_zone(own_member.zone)
        self.on_push: Callable[[Difference], bool] = lambda difference: False
        self.on_report: Callable[[PeerState], None] = lambda peer: None
        self.in_rotation = False
        self.zone_short = False
        self.reaches_store = False
        self.store_retry = StoreRetry(rng)
        self.recent_changes: list[set[str]] = [set()] * REPORTS_PER_CHANGE
        self.report_ticks = 0
        self.reported_state: tuple[int, StorePosition, bool] | None = None
        self.urgent_reports = 0
        self.latest_remote: list[Address] = []
        self.newcomers: dict[Address, int] = {}

    def apply_member_change(self, key: str, value: bytes | None, revision: int) -> bool:
        """Apply a change of a host's key in the store.

        A host whose key is deleted is removed at once only if it is silent; otherwise its key may
        have lapsed during an outage of the store.

        Args:
            key: The key, which begins with `HOSTS_PREFIX`.
            value: The new value, or None after a deletion.
            revision: The store revision of the change.

        Returns:
            False if the value is malformed.
        """
        member = None if value is None else parse_member(key, value)
        self.record_registration(key, member)
        if value is None:
            self.unregister_member(key)
            return True
        if member is None:
            self.metrics.count("entries_rejected", "host")
            self.journal.event("entry_rejected", key=key, reason="not a host", revision=revision)
        elif member.name != self.own_member.name:
            if self.registered_addresses.get(key) != member.address:
                self.unregister_member(key)
            self.registered_addresses[key] = member.address
            peer = self.by_address.setdefault(
                member.address, PeerState(member.address, self.steering.now())
            )
            peer.is_registered = True
            peer.zone_hash = hash_zone(member.zone)
            self.is_grouping_current = False
        return member is not None

    def record_registration(self, key: str, member: Member | None) -> None:
        """Record which host a key registers, None after a deletion or for a malformed value."""
        zone = key.removeprefix(HOSTS_PREFIX).split("/", 1)[0]
        hosts = self.registrations.setdefault(zone, {})
        if member is None:
            hosts.pop(key, None)
        else:
            hosts[key] = member.address
        self.on_registration(zone, hosts.values())

    def unregister_member(self, key: str) -> None:
        """Remove the registration under a key, and its host unless that still reports.

        `remove_silent_peers` removes a reporting host later.
        """
        address = self.registered_addresses.pop(key, None)
        if address is None or address in self.registered_addresses.values():
            return
        peer = self.by_address[address]
        peer.is_registered = False
        if not peer.is_alive(self.steering.now()):
            self.remove_peer(peer)

    def remove_peer(self, peer: PeerState) -> None:
        """Remove a peer together with its loads."""
        self.clear_loads(peer)
        self.steering.speeds.reports.forget_peer(peer.boot_id)
        del self.by_address[peer.address]
        self.is_grouping_current = False
        self.journal.event("peer_forgotten", peer=format_address(peer.address))

    def is_small_fleet(self) -> bool:
        """Whether the fleet is small enough for all its hosts to report to each other."""
        return len(self.by_address) < SMALL_FLEET_HOSTS

    def update_groups(self) -> None:
        """Divide the zone's hosts into groups.

        In a larger fleet, the loads of peers outside this host's group are cleared.
        """
        zone_peers, is_small, before = self.zone_peers(), self.is_small_fleet(), self.groups.count
        self.groups.divide([peer.address for peer in zone_peers], LEADER_COUNT, is_small)
        self.other_zone_leaders = self.find_other_zone_leaders()
        self.is_grouping_current = True
        for peer in self.by_address.values():
            if not is_small and peer.address not in self.groups.members:
                self.clear_loads(peer)
        if self.groups.count != before:
            self.journal.event("zone_divided", groups=self.groups.count, hosts=len(zone_peers) + 1)

    def find_other_zone_leaders(self) -> set[Address]:
        """Return the first `LEADER_COUNT` hosts by rank of each other zone."""
        by_zone: dict[int | None, list[PeerState]] = {}
        for peer in self.by_address.values():
            if peer.zone_hash not in (None, self.zone_hash):
                by_zone.setdefault(peer.zone_hash, []).append(peer)
        return {
            peer.address
            for peers in by_zone.values()
            for peer in nsmallest(LEADER_COUNT, peers, key=lambda peer: peer.rank)
        }

    def zone_peers(self) -> list[PeerState]:
        """Return the other hosts of this host's zone."""
        return [peer for peer in self.by_address.values() if peer.zone_hash == self.zone_hash]

    def group_peers(self) -> list[PeerState]:
        """Return the other hosts of this host's group, after dividing the zone if needed."""
        if not self.is_grouping_current:
            self.update_groups()
        return [self.by_address[address] for address in self.groups.members]

    def report_recipients(self) -> list[Address]:
        """Return the addresses that this host reports to: all hosts, or those of its group."""
        group = self.group_peers()
        return list(self.by_address) if self.is_small_fleet() else [peer.address for peer in group]

    def remote_recipients(self, now: float) -> list[Address]:
        """Return the hosts outside this host's group to which it sends versions and store changes.

        None in a small fleet, where `report_recipients` are all hosts; leaders of other groups if
        this host leads its group; besides, leaders of other zones if it leads its zone.
        """
        if self.is_small_fleet() or not self.is_group_leader(now):
            return []
        recipients = self.other_group_recipients() if self.groups.count > 1 else []
        if self.is_zone_leader(now):
            recipients += self.other_zone_recipients(now)
        return recipients

    def other_zone_recipients(self, now: float) -> list[Address]:
        """Return the hosts of other zones that relay changes within their zone.

        These are the first ones by rank of each zone, and the hosts whose reports arrive here, as
        for `other_group_recipients`.
        """
        if not self.is_grouping_current:
            self.update_groups()
        reporting = {
            peer.address
            for peer in self.by_address.values()
            if peer.zone_hash != self.zone_hash and peer.is_alive(now)
        }
        return list(reporting | self.other_zone_leaders)

    def other_group_recipients(self) -> list[Address]:
        """Return the hosts of other groups of the zone that relay changes within their group.

        These are the leaders by rank, and the hosts whose reports arrive here: a host that acts
        as a leader in place of a dead one sends its reports to other groups.
        """
        now = self.steering.now()
        reporting = {
            peer.address
            for peer in self.zone_peers()
            if peer.address not in self.groups.members and peer.is_alive(now)
        }
        return list(reporting.union(self.groups.other_leaders))

    def is_group_leader(self, now: float) -> bool:
        """Whether this host relays store changes and versions between its group and the others."""
        return is_elected(self.rank, self.reaches_store, self.group_peers(), now, LEADER_COUNT)

    def is_zone_leader(self, now: float) -> bool:
        """Whether this host relays store changes and versions between its zone and the others.

        The candidates are the hosts of the zone whose reports arrive here: those of this host's
        group, and the leaders of the other groups.
        """
        return is_elected(self.rank, self.reaches_store, self.zone_peers(), now, LEADER_COUNT)

    def is_store_watcher(self, now: float) -> bool:
        """Whether this host watches the store for all hosts that it can reach.

        The candidates are all hosts whose reports arrive here: those of this host's group, the
        leaders of the other groups, and to a zone's leaders those of the other zones. A host that
        is elected is therefore a leader of its zone. The hosts of a zone that is cut off from the
        others elect their own.
        """
        peers = self.by_address.values()
        may_reach = self.reaches_store or self.store_retry.is_due(peers, now)
        return is_elected(self.rank, may_reach, peers, now, WATCHER_COUNT)

    def record_store_call(self, was_answered: bool) -> None:
        """Record whether the latest call of the store was answered; reports include it."""
        self.reaches_store = was_answered
        if not was_answered:
            self.store_retry.schedule(self.by_address.values(), self.steering.now())

    def send_report(self) -> None:
        """Send the loads that changed, and every `FULL_REPORT_TICKS` calls all loads.

        Called every `REPORT_INTERVAL_S`. Nothing is sent if no load changed since the last reports,
        no speed was measured, no peer has started and no full report is due, unless
        `reported_state` has changed: other hosts then have to fetch a change, or to watch the store
        in place of this host. Full reports also include all targets that this host suspects, and
        those of a group's leader the room of zones. A leader also sends each full report, and each
        one with such a change, to the other groups, without loads.
        """
        self.report_ticks += 1
        config_version, advertised_position = self.get_reported_versions()
        state = (config_version, advertised_position, self.reaches_store)
        if self.reported_state not in (None, state):
            self.urgent_reports = REPORTS_PER_CHANGE
        self.reported_state = state
        is_urgent = self.urgent_reports > 0
        self.urgent_reports = max(0, self.urgent_reports - 1)
        is_full = self.report_ticks % FULL_REPORT_TICKS == 0
        if is_full:
            self.clear_silent_loads()
        flow_table = self.steering.flow_table
        changed, flow_table.changed_targets = flow_table.changed_targets, set()
        self.recent_changes = [changed, *self.recent_changes[:-1]]
        target_ids = set().union(*self.recent_changes)
        if is_full:
            target_ids |= flow_table.loads.keys() | self.suspected_targets()
        speeds = self.steering.speeds.entries_to_report()
        has_news = bool(target_ids or speeds or self.newcomers)
        if not has_news and not is_full and not is_urgent:
            return
        loads = [
            entry for target_id in target_ids if (entry := self.load_entry(target_id)) is not None
        ]
        report = Report(
            self.boot_id,
            self.zone_hash,
            config_version,
            advertised_position,
            self.in_rotation,
            self.zone_short,
            self.reaches_store,
            loads,
            speeds,
        )
        if is_full:
            report.rooms = self.rooms_to_report()
        recipients = self.report_recipients()
        for datagram in encode_report(report):
            self.send_all(datagram, recipients)
        if self.newcomers:
            self.report_to_newcomers(report)
        if is_full or is_urgent:
            self.report_to_remote(report, is_urgent)

    def rooms_to_report(self) -> list[RoomEntry]:
        """Return the room of all zones, if this host leads its group in a fleet with groups.

        In a small fleet all hosts know each other's loads.
        """
        now, rooms = self.steering.now(), self.steering.zone_rooms
        if self.is_small_fleet() or not self.is_group_leader(now):
            return []
        rooms.expire(now)
        rooms.update(self.steering.measure_rooms(now), now)
        return rooms.entries_to_report(now)

    def report_to_newcomers(self, report: Report) -> None:
        """Send what this host has learned of targets' speeds to peers that have started.

        Args:
            report: The report; its loads and speeds are replaced.
        """
        targets = self.steering.catalog.targets.values()
        report.loads, report.rooms, report.speeds = (
            [],
            [],
            self.steering.speeds.entries_for_newcomer(targets),
        )
        if report.speeds:
            for datagram in encode_report(report):
                self.send_all(datagram, list(self.newcomers))
        self.newcomers = {
            address: count - 1 for address, count in self.newcomers.items() if count > 1
        }

    def report_to_remote(self, report: Report, is_urgent: bool) -> None:
        """Send a report without its loads and speeds to the hosts outside this host's group.

        Args:
            report: The report; its loads and speeds are removed.
            is_urgent: Whether to include the recipients of the last such report. A host that no
                longer reaches the store may not be a leader any more, and those that counted on it
                have to know why they hear no more from it.
        """
        recipients = self.remote_recipients(self.steering.now())
        previous, self.latest_remote = self.latest_remote, recipients
        if is_urgent:
            recipients = list(dict.fromkeys(recipients + previous))
        report.loads, report.speeds = [], []
        for datagram in encode_report(report):
            self.send_all(datagram, recipients)

    def send_all(self, datagram: bytes, addresses: list[Address]) -> None:
        """Send a datagram to each address."""
        for address in addresses:
            self.send(datagram, address)

    def push_changes(self, difference: Difference) -> None:
        """Send store changes to the other hosts if they fit into a datagram.

        Hosts that miss them see the later position in the next reports and fetch the changes.
        """
        datagram = encode_push(difference)
        if datagram is not None:
            now = self.steering.now()
            self.send_all(datagram, self.report_recipients() + self.remote_recipients(now))

    def handle_push(self, datagram: bytes, source: Address) -> bool:
        """Apply store changes that a peer pushed.

        New changes from another group are relayed to this host's group, and those from another zone
        also to the zone's other groups.

        Returns:
            Whether the datagram has the form of a push, also if it is malformed or not applied.
        """
        try:
            difference = decode_push(datagram)
        except ValueError as error:
            self.metrics.count("reports_rejected")
            self.journal.event("changes_failed", peer=format_address(source), reason=str(error))
            return True
        if difference is None:
            return False
        was_applied = self.on_push(difference)
        if was_applied and not self.is_small_fleet() and source not in self.groups.members:
            recipients = self.report_recipients()
            peer = self.by_address.get(source)
            if peer is not None and peer.zone_hash != self.zone_hash and self.groups.count > 1:
                recipients = recipients + self.other_group_recipients()
            self.send_all(datagram, recipients)
        return True

    def find_dead_hosts(self, now: float) -> list[str]:
        """Return the keys of hosts that this host should remove from the store.

        These are the registered hosts of its group that have sent no report for
        `DEAD_HOST_RETENTION_S`, if this host leads the group. A host that hears less than half of
        its group may itself be cut off, and removes none.
        """
        if not self.is_group_leader(now):
            return []
        group = self.group_peers()
        if 2 * sum(peer.is_alive(now) for peer in group) < len(group):
            return []
        dead = {
            peer.address for peer in group if now - peer.last_heard_at() > DEAD_HOST_RETENTION_S
        }
        return [key for key, address in self.registered_addresses.items() if address in dead]

    def suspected_targets(self) -> set[str]:
        """Return the ids of the targets that this host itself suspects."""
        return {
            target_id
            for target_id, evidence in self.steering.evidence.items()
            if evidence.suspected_since is not None
        }

    def load_entry(self, target_id: str) -> tuple[int, int, int, bool] | None:
        """Return a target's entry for a report, or None if the target is not in the catalog.

        Returns:
            Route token, requests in progress, idle flows, whether this host suspects the target.
        """
        target = self.steering.catalog.targets.get(target_id)
        if target is None:
            return None
        load = self.steering.flow_table.loads.get(target_id)
        evidence = self.steering.evidence.get(target_id)
        suspected = evidence is not None and evidence.suspected_since is not None
        if load is None:
            return target.token, 0, 0, suspected
        return target.token, load.busy, load.idle, suspected

    def handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Apply a report or pushed store changes; a datagram that is neither is counted.

        Reports of this process itself are ignored. A report from an unknown address adds a peer.
        Suspicions count only within the zone, since hosts of other zones reach targets over other
        paths.
        """
        if self.handle_push(datagram, source):
            return
        report = decode_report(datagram)
        if report is None:
            self.metrics.count("reports_rejected")
            return
        if report.boot_id == self.boot_id:
            return
        now = self.steering.now()
        peer = self.by_address.get(source)
        if peer is None:
            peer = self.by_address[source] = PeerState(source, now)
            self.is_grouping_current = False
        if peer.boot_id != report.boot_id:
            self.steering.speeds.reports.forget_peer(peer.boot_id)
            peer.boot_id = report.boot_id
            self.clear_loads(peer)
            if report.zone_hash == self.zone_hash:
                self.newcomers[source] = REPORTS_PER_CHANGE
            self.journal.event("peer_heard", peer=format_address(source), boot=report.boot_id)
        peer.last_report_at = now
        peer.config_version = report.config_version
        peer.advertised_position = report.advertised_position
        peer.reaches_store = report.reaches_store
        if peer.zone_hash != report.zone_hash:
            peer.zone_hash = report.zone_hash
            self.is_grouping_current = False
        peer.in_rotation = report.in_rotation
        peer.zone_short = report.zone_short
        same_zone = report.zone_hash == self.zone_hash
        for token, busy, idle, suspected in report.loads:
            self.update_load(peer, token, busy, idle)
            if suspected and same_zone:
                self.record_peer_suspicion(token, peer, now)
        if same_zone:
            self.record_speeds(report, now)
        if report.rooms:
            self.steering.zone_rooms.update(report.rooms, now)
        self.on_report(peer)

    def record_speeds(self, report: Report, now: float) -> None:
        """Learn from the speeds that a host of the same zone reports.

        Hosts of other zones prefer other targets, so the usual times that their speeds are relative
        to may differ.
        """
        by_token = self.steering.catalog.by_token
        for token, speed, knee in report.speeds:
            target = by_token.get(token)
            if target is not None and target.id in self.steering.catalog.targets:
                self.steering.speeds.record_peer(target, report.boot_id, speed, knee, now)

    def record_peer_suspicion(self, token: int, peer: PeerState, now: float) -> None:
        """Record in a target's evidence that a host of the same zone suspects the target."""
        target = self.steering.catalog.by_token.get(token)
        if target is not None:
            self.steering.evidence_of(target).suspected_by[peer.boot_id] = now

    def update_load(self, peer: PeerState, token: int, busy: int, idle: int) -> None:
        """Set a peer's load of one target, and adjust the totals by the difference."""
        busy_before, idle_before = peer.loads.get(token, (0, 0))
        total_busy, total_idle = self.peer_load_totals.get(token, (0, 0))
        total = (total_busy + busy - busy_before, total_idle + idle - idle_before)
        peer.loads[token] = (busy, idle)
        self.peer_load_totals[token] = total
        if not busy and not idle:
            del peer.loads[token]
        if total == (0, 0):
            del self.peer_load_totals[token]

    def clear_loads(self, peer: PeerState) -> None:
        """Remove a peer's loads from it and from the totals."""
        for token in list(peer.loads):
            self.update_load(peer, token, 0, 0)

    def clear_silent_loads(self) -> None:
        """Clear the loads of peers whose reports have stopped."""
        now = self.steering.now()
        for peer in self.by_address.values():
            if peer.loads and not peer.is_alive(now):
                self.clear_loads(peer)

    def remove_silent_peers(self, now: float) -> None:
        """Remove unregistered peers that sent no report for `SILENT_PEER_RETENTION_S`."""
        silent = [
            peer
            for peer in self.by_address.values()
            if not peer.is_registered and not peer.is_alive(now, SILENT_PEER_RETENTION_S)
        ]
        for peer in silent:
            self.remove_peer(peer)
