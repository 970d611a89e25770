"""The other hosts: how they are found, what they report, and what this host reports to them."""

import json
import random
from collections.abc import Callable

from godwitway.addresses import Address, format_address, parse_address
from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._changes import decode_push, encode_push
from godwitway.steering._loads import (
    PeerLoads,
    Report,
    decode_report,
    encode_report,
    zone_code,
)
from godwitway.steering._model import Target
from godwitway.steering._replica import Difference
from godwitway.steering._steering import Steering
from godwitway.store import KeyValue

__all__ = ["HOSTS_PREFIX", "REPORT_S", "Member", "Peers"]

HOSTS_PREFIX = "hosts/"
REPORT_S = 0.1  # Slower reports let bursts pile up at one target: p99 485 ms at 0.25 s.
REFRESH_TICKS = 5  # An unchanged host is heard twice a second.
REPEAT_TICKS = 2  # A lost report is made up for by the next one.
FORGET_S = 30.0  # Half the lease that names a host in the store.
SMALL_FLEET = 16  # Up to this size all hosts report to each other, beyond it only a zone's.


class Member:
    """A host as it is registered in the store."""

    __slots__ = ("address", "name", "zone")

    def __init__(self, name: str, zone: str, address: Address) -> None:
        self.name = name
        self.zone = zone
        self.address = address

    def item(self) -> KeyValue:
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
        own: This host.
        boot: A random number of this process.
        by_address: Peers by the address of their reports.
        zone: The code of this host's zone.
        send: Sends a datagram to a peer.
        on_report: Called with a peer that has just reported.
        on_push: Called with changes of the store that a peer has sent.
        versions: Returns the configuration's version and the newest change that this host knows.
        in_rotation: Whether this host asks for packets.
        cut_off: Whether this host's zone is cut off and short of targets.
        reaches_store: Whether this host's last call of the store was answered.
    """

    def __init__(
        self,
        own: Member,
        steering: Steering,
        versions: Callable[[], tuple[int, int]],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.own = own
        self.boot = rng.getrandbits(32)
        self.steering = steering
        self.send: Callable[[bytes, Address], None] = lambda datagram, address: None
        self.versions = versions
        self.metrics = metrics
        self.journal = journal
        self.by_address: dict[Address, PeerLoads] = {}
        self.zone = zone_code(own.zone)
        self.on_push: Callable[[Difference], None] = lambda difference: None
        self.on_report: Callable[[PeerLoads], None] = lambda peer: None
        self.in_rotation = False
        self.cut_off = False
        self.reaches_store = True
        self.recent: list[set[str]] = [set()] * REPEAT_TICKS
        self.tick = 0

    def member_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Add a host that is registered in the store; one that has gone falls silent by itself."""
        if value is None:
            return
        member = member_of(key, value)
        if member is None:
            self.metrics.count("entries_rejected", "host")
            self.journal.event("entry_rejected", key=key, reason="not a host", revision=revision)
        elif member.name != self.own.name:
            peer = self.by_address.setdefault(member.address, PeerLoads(member.address))
            peer.zone = zone_code(member.zone)

    def listeners(self) -> list[Address]:
        """Return the hosts that this one reports to."""
        if len(self.by_address) < SMALL_FLEET:
            return list(self.by_address)
        return [peer.address for peer in self.by_address.values() if self.near(peer)]

    def watchers(self) -> int:
        """Return how many hosts of a zone watch the store.

        One of them may be cut off from the store without a sign for as long as a bound. Where
        hosts of several zones report to each other, another zone's watch makes up for it.
        """
        several_zones = any(not self.near(peer) for peer in self.by_address.values())
        return 1 if len(self.by_address) < SMALL_FLEET and several_zones else 2

    def near(self, peer: PeerLoads) -> bool:
        """Whether a peer is in this host's zone, or its zone is not known yet."""
        return peer.zone is None or peer.zone == self.zone

    def report(self) -> None:
        """Tell the other hosts what changed; called every `REPORT_S`."""
        self.tick += 1
        table = self.steering.table
        refresh = self.tick % REFRESH_TICKS == 0
        changed, table.changed = table.changed, set()
        self.recent = [changed, *self.recent[:-1]]
        told = set().union(*self.recent)
        if refresh:
            told |= table.loads.keys() | self.suspected_targets()
        if not told and not refresh:
            return
        version, newest = self.versions()
        loads = [entry for target_id in told if (entry := self.entry(target_id)) is not None]
        report = Report(
            self.boot,
            self.zone,
            version,
            newest,
            self.in_rotation,
            self.cut_off,
            self.reaches_store,
            loads,
        )
        for datagram in encode_report(report):
            for address in self.listeners():
                self.send(datagram, address)

    def push(self, difference: Difference) -> None:
        """Send changes of the store to the other hosts; lost ones are asked for."""
        datagram = encode_push(difference)
        if datagram is not None:
            for address in self.listeners():
                self.send(datagram, address)

    def take_push(self, datagram: bytes) -> bool:
        """Take over changes that a peer has sent; returns whether the datagram has any."""
        try:
            difference = decode_push(datagram)
        except ValueError as error:
            self.metrics.count("reports_rejected")
            self.journal.event("changes_failed", peer=None, reason=str(error))
            return True
        if difference is None:
            return False
        self.on_push(difference)
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
        load = self.steering.table.loads.get(target_id)
        evidence = self.steering.evidence.get(target_id)
        suspected = evidence is not None and evidence.suspected_since is not None
        if load is None:
            return target.token, 0, 0, suspected
        return target.token, load.busy, load.idle, suspected

    def take(self, datagram: bytes, source: Address) -> None:
        """Take over a peer's report, or changes of the store that it sends."""
        if self.take_push(datagram):
            return
        report = decode_report(datagram)
        if report is None:
            self.metrics.count("reports_rejected")
            return
        if report.boot == self.boot:
            return
        now = self.steering.now()
        peer = self.by_address.get(source)
        if peer is None:
            peer = self.by_address[source] = PeerLoads(source)
        if peer.boot != report.boot:
            peer.boot = report.boot
            peer.loads.clear()
            self.journal.event("peer_heard", peer=format_address(source), boot=report.boot)
        peer.heard_at = now
        peer.config_version = report.config_version
        peer.newest = report.newest
        peer.reaches_store = report.reaches_store
        peer.zone = report.zone
        peer.in_rotation = report.in_rotation
        peer.cut_off = report.cut_off
        in_zone = report.zone == self.zone
        for token, busy, idle, suspected in report.loads:
            peer.loads[token] = (busy, idle)
            if suspected and in_zone:
                self.suspected_by_peer(token, peer, now)
        self.on_report(peer)

    def suspected_by_peer(self, token: int, peer: PeerLoads, now: float) -> None:
        """Take note that a host of the same zone suspects a target."""
        target = self.steering.catalog.by_token.get(token)
        if target is not None:
            self.steering.evidence_of(target).suspected_by[peer.boot] = now

    def loads_at(self, target: Target) -> tuple[int, int]:
        """Return the requests in progress and idle flows that live peers see at a target."""
        now = self.steering.now()
        busy = idle = 0
        for peer in self.by_address.values():
            load = peer.loads.get(target.token)
            if load is not None and peer.alive(now):
                busy += load[0]
                idle += load[1]
        return busy, idle

    def forget_silent(self, now: float) -> None:
        """Drop peers that were not heard for a while."""
        for address, peer in list(self.by_address.items()):
            if peer.heard_at is not None and now - peer.heard_at > FORGET_S:
                del self.by_address[address]
                self.journal.event("peer_forgotten", peer=format_address(address))
