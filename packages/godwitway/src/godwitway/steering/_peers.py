"""The other hosts: how they are found, what they report, and what this host reports to them."""

import json
import random
from collections.abc import Callable

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
from godwitway.steering._watchers import is_elected
from godwitway.store import KeyValue

__all__ = ["HOSTS_PREFIX", "REPORT_INTERVAL_S", "Member", "Peers"]

HOSTS_PREFIX = "hosts/"
REPORT_INTERVAL_S = 0.1  # Slower reports let bursts pile up at one target: p99 485 ms at 0.25 s.
FULL_REPORT_TICKS = 5  # An unchanged host is heard twice a second.
REPEAT_TICKS = 2  # A lost report is made up for by the next one.
FORGET_S = 30.0  # Half the lease that names a host in the store.
SMALL_FLEET = 16  # Up to this size all hosts report to each other, beyond it only a group's.
LEADERS = 2  # One of them may be cut off from the store without a sign for as long as a bound.


class Member:
    """A host as it is registered in the store."""

    __slots__ = ("address", "name", "zone")

    def __init__(self, name: str, zone: str, address: Address) -> None:
        self.name = name
        self.zone = zone
        self.address = address

    def to_key_value(self) -> KeyValue:
        """Return the key and value that register the host."""
        value = json.dumps({"address": format_address(self.address)}).encode()
        return KeyValue(f"{HOSTS_PREFIX}{self.zone}/{self.name}", value, 0)


def member_of(key: str, value: bytes) -> Member | None:
    """Return the host that a key registers, or None when it cannot be read."""
    try:
        zone, name = key.removeprefix(HOSTS_PREFIX).split("/", 1)
        return Member(name, zone, parse_address(json.loads(value)["address"]))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


class Peers:
    """What is known of the other hosts.

    Attributes:
        own_member: This host.
        boot: A random number of this process.
        by_address: Peers by the address of their reports.
        registered_addresses: The address of each host that the store names, by key.
        groups: How the hosts of this zone are divided.
        divided: Whether the division is up to date.
        load_totals: What all peers together see at each route token: requests and idle flows.
        zone_hash: The hash of this host's zone.
        send: Sends a datagram to a peer.
        on_report: Called with a peer that has just reported.
        on_push: Called with a peer's changes of the store; returns whether they are new.
        versions: Returns the configuration's version and the newest change that this host knows.
        in_rotation: Whether this host asks for packets.
        cut_off: Whether this host's zone is cut off and short of targets.
        reaches_store: Whether this host's last call of the store was answered.
    """

    def __init__(
        self,
        own_member: Member,
        steering: Steering,
        versions: Callable[[], tuple[int, int]],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.own_member = own_member
        self.boot_id = rng.getrandbits(32)
        self.steering = steering
        self.send: Callable[[bytes, Address], None] = lambda datagram, address: None
        self.versions = versions
        self.metrics = metrics
        self.journal = journal
        self.by_address: dict[Address, PeerState] = {}
        self.registered_addresses: dict[str, Address] = {}
        self.groups = ZoneGroups(own_member.address)
        self.divided = False
        self.load_totals: dict[int, tuple[int, int]] = {}
        self.rank = rank_of(own_member.address)
        self.zone_hash = hash_zone(own_member.zone)
        self.on_push: Callable[[Difference], bool] = lambda difference: False
        self.on_report: Callable[[PeerState], None] = lambda peer: None
        self.in_rotation = False
        self.zone_cut_off = False
        self.reaches_store = True
        self.recent: list[set[str]] = [set()] * REPEAT_TICKS
        self.tick = 0

    def apply_member_change(self, key: str, value: bytes | None, revision: int) -> None:
        """Add a host that is registered in the store, or drop a silent one that no longer is."""
        if value is None:
            self.unregister(key)
            return
        member = member_of(key, value)
        if member is None:
            self.metrics.count("entries_rejected", "host")
            self.journal.event("entry_rejected", key=key, reason="not a host", revision=revision)
        elif member.name != self.own_member.name:
            if self.registered_addresses.get(key) != member.address:
                self.unregister(key)
            self.registered_addresses[key] = member.address
            peer = self.by_address.setdefault(member.address, PeerState(member.address))
            peer.is_registered = True
            peer.zone_hash = hash_zone(member.zone)
            self.divided = False

    def unregister(self, key: str) -> None:
        """Take note that the store no longer names a host; one that is heard falls silent later."""
        address = self.registered_addresses.pop(key, None)
        if address is None or address in self.registered_addresses.values():
            return
        peer = self.by_address[address]
        peer.is_registered = False
        if not peer.is_alive(self.steering.now()):
            self.forget(peer)

    def forget(self, peer: PeerState) -> None:
        """Drop a peer."""
        self.forget_loads(peer)
        del self.by_address[peer.address]
        self.divided = False
        self.journal.event("peer_forgotten", peer=format_address(peer.address))

    def small(self) -> bool:
        """Whether the fleet is so small that all its hosts report to each other."""
        return len(self.by_address) < SMALL_FLEET

    def divide(self) -> None:
        """Divide the zone's hosts anew after some came or went."""
        zonal, small, before = self.zonal(), self.small(), self.groups.count
        self.groups.divide([peer.address for peer in zonal], LEADERS, small)
        self.divided = True
        for peer in self.by_address.values():
            if not small and peer.address not in self.groups.members:
                self.forget_loads(peer)
        if self.groups.count != before:
            self.journal.event("zone_divided", groups=self.groups.count, hosts=len(zonal) + 1)

    def zonal(self) -> list[PeerState]:
        """Return the other hosts of this host's zone."""
        return [peer for peer in self.by_address.values() if peer.zone_hash == self.zone_hash]

    def group_peers(self) -> list[PeerState]:
        """Return the other hosts of this host's group."""
        if not self.divided:
            self.divide()
        return [self.by_address[address] for address in self.groups.members]

    def listeners(self) -> list[Address]:
        """Return the hosts that this one reports to."""
        group = self.group_peers()
        return list(self.by_address) if self.small() else [peer.address for peer in group]

    def others_of_zone(self) -> list[Address]:
        """Return the hosts of other groups that pass changes on, as far as they are known."""
        now = self.steering.now()
        heard = {
            peer.address
            for peer in self.zonal()
            if peer.address not in self.groups.members and peer.is_alive(now)
        }
        return list(heard.union(self.groups.other_leaders))

    def is_group_leader(self, now: float) -> bool:
        """Whether this host passes changes of the store on between its group and the others."""
        return is_elected(self.rank, self.reaches_store, self.group_peers(), now, LEADERS)

    def is_store_watcher(self, now: float) -> bool:
        """Whether this host watches the store for its zone.

        Hosts hear their own group and those of other groups that pass changes on.
        """
        return is_elected(self.rank, self.reaches_store, self.zonal(), now, self.watchers())

    def watchers(self) -> int:
        """Return how many hosts of a zone watch the store.

        Where hosts of several zones report to each other, another zone's watch makes up for one
        that has ended without a sign.
        """
        several_zones = any(peer.zone_hash != self.zone_hash for peer in self.by_address.values())
        return 1 if self.small() and several_zones else LEADERS

    def send_report(self) -> None:
        """Tell the other hosts what changed; called every `REPORT_S`."""
        self.tick += 1
        refresh = self.tick % FULL_REPORT_TICKS == 0
        if refresh:
            self.clear_silent_loads()
        table = self.steering.flow_table
        changed, table.changed_targets = table.changed_targets, set()
        self.recent = [changed, *self.recent[:-1]]
        told = set().union(*self.recent)
        if refresh:
            told |= table.loads.keys() | self.suspected_targets()
        if not told and not refresh:
            return
        version, advertised_revision = self.versions()
        loads = [entry for target_id in told if (entry := self.entry(target_id)) is not None]
        report = Report(
            self.boot_id,
            self.zone_hash,
            version,
            advertised_revision,
            self.in_rotation,
            self.zone_cut_off,
            self.reaches_store,
            loads,
        )
        listeners = self.listeners()
        for datagram in encode_report(report):
            self.send_all(datagram, listeners)
        if refresh and self.groups.count > 1 and self.is_group_leader(self.steering.now()):
            report.loads = []
            for datagram in encode_report(report):
                self.send_all(datagram, self.others_of_zone())

    def send_all(self, datagram: bytes, addresses: list[Address]) -> None:
        """Send a datagram to some hosts."""
        for address in addresses:
            self.send(datagram, address)

    def push_changes(self, difference: Difference) -> None:
        """Send changes of the store to the other hosts; lost ones are asked for."""
        datagram = encode_push(difference)
        if datagram is not None:
            self.send_all(datagram, self.listeners())
            if self.groups.count > 1:
                self.send_all(datagram, self.others_of_zone())

    def take_push(self, datagram: bytes, source: Address) -> bool:
        """Take over changes that a peer has sent; returns whether the datagram has any.

        Changes from another group are sent on to the own one.
        """
        try:
            difference = decode_push(datagram)
        except ValueError as error:
            self.metrics.count("reports_rejected")
            self.journal.event("changes_failed", peer=format_address(source), reason=str(error))
            return True
        if difference is None:
            return False
        new = self.on_push(difference)
        if new and self.groups.count > 1 and source not in self.groups.members:
            self.send_all(datagram, self.listeners())
        return True

    def suspected_targets(self) -> set[str]:
        """Return the targets that this host itself suspects."""
        return {
            target_id
            for target_id, evidence in self.steering.evidence.items()
            if evidence.suspected_since is not None
        }

    def entry(self, target_id: str) -> tuple[int, int, int, bool] | None:
        """Return what this host says of a target."""
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
        """Take over a peer's report, or changes of the store that it sends."""
        if self.take_push(datagram, source):
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
            peer = self.by_address[source] = PeerState(source)
            self.divided = False
        if peer.boot_id != report.boot_id:
            peer.boot_id = report.boot_id
            self.forget_loads(peer)
            self.journal.event("peer_heard", peer=format_address(source), boot=report.boot_id)
        peer.last_report_at = now
        peer.config_version = report.config_version
        peer.advertised_revision = report.advertised_revision
        peer.reaches_store = report.reaches_store
        if peer.zone_hash != report.zone_hash:
            peer.zone_hash = report.zone_hash
            self.divided = False
        peer.in_rotation = report.in_rotation
        peer.zone_cut_off = report.zone_cut_off
        in_zone = report.zone_hash == self.zone_hash
        for token, busy, idle, suspected in report.loads:
            self.take_load(peer, token, busy, idle)
            if suspected and in_zone:
                self.suspected_by_peer(token, peer, now)
        self.on_report(peer)

    def suspected_by_peer(self, token: int, peer: PeerState, now: float) -> None:
        """Take note that a host of the same zone suspects a target."""
        target = self.steering.catalog.by_token.get(token)
        if target is not None:
            self.steering.evidence_of(target).suspected_by[peer.boot_id] = now

    def take_load(self, peer: PeerState, token: int, busy: int, idle: int) -> None:
        """Take over a peer's load of one target, and keep the totals in step."""
        before_busy, before_idle = peer.loads.get(token, (0, 0))
        total_busy, total_idle = self.load_totals.get(token, (0, 0))
        total = (total_busy + busy - before_busy, total_idle + idle - before_idle)
        peer.loads[token] = (busy, idle)
        self.load_totals[token] = total
        if not busy and not idle:
            del peer.loads[token]
        if total == (0, 0):
            del self.load_totals[token]

    def forget_loads(self, peer: PeerState) -> None:
        """Drop the loads that a peer has reported."""
        for token in list(peer.loads):
            self.take_load(peer, token, 0, 0)

    def clear_silent_loads(self) -> None:
        """Drop the loads of peers that were not heard lately."""
        now = self.steering.now()
        for peer in self.by_address.values():
            if peer.loads and not peer.is_alive(now):
                self.forget_loads(peer)

    def remove_silent_peers(self, now: float) -> None:
        """Drop peers that the store does not name and that were not heard for a while."""
        silent = [
            peer
            for peer in self.by_address.values()
            if not peer.is_registered and not peer.is_alive(now, FORGET_S)
        ]
        for peer in silent:
            self.forget(peer)
