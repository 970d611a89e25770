"""The entry's door: packets of the fabric and of backend servers, and redirects of peers."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec
from absl import logging

from godwitway.addresses import Address, pack_address
from godwitway.connection import FlowState
from godwitway.errors import ErrorKind
from godwitway.process._answers import AnswerTracker
from godwitway.process._budget import IngressBudget
from godwitway.process._flows import Flows
from godwitway.process._loads import LoadReport
from godwitway.process._node import Node
from godwitway.process._ports import receive_batches
from godwitway.process._router import Router, may_open_flow
from godwitway.request import (
    FIN,
    RST,
    SYN,
    DatagramType,
    Redirect,
    flow_key,
    is_transport_checksum_valid,
    packet_error,
    reverse_flow_key,
    tcp_flags,
)
from godwitway.request._redirect import authenticate, parse_datagram, plain_redirect_packet
from godwitway.version import TCP, UDP, Kind, Service

__all__ = ["Ingress", "SoftCache"]

CACHE_CAPACITY = 50_000
SHOWN_BYTES = 40
FLAGS_OFFSET = 33
SHOWN_FLAGS = SYN | FIN | RST
PAUSE_S = 2.0


class SoftCache:
    """Targets of flows that are not on their first candidate; losing it costs only hops."""

    __slots__ = ("capacity", "targets")

    def __init__(self, capacity: int = CACHE_CAPACITY) -> None:
        self.capacity = capacity
        self.targets: OrderedDict[bytes, bytes] = OrderedDict()

    def get(self, key: bytes) -> bytes | None:
        """Return the target of a flow, if it is remembered."""
        return self.targets.get(key)

    def put(self, key: bytes, target: bytes) -> None:
        """Remember a flow's target and forget the oldest one beyond the capacity."""
        self.targets[key] = target
        self.targets.move_to_end(key)
        if len(self.targets) > self.capacity:
            self.targets.popitem(last=False)


class Ingress:
    """Reads the ports of one host and passes each packet to where it belongs.

    Attributes:
        node: The host.
        flows: The flows of the owned targets.
        router: The chain of candidates.
        answers: What owners learn from answers.
        cache: The soft cache.
        budget: The fair limit on packets.
        on_membership_datagram: Takes the datagrams of the membership protocol.
        on_pause: Called with the length of a pause in seconds.
        awake_at: When this host last ran, to notice that it was paused.
        last_packet_at: When the last packet came from the fabric.
    """

    __slots__ = (
        "answers",
        "awake_at",
        "budget",
        "cache",
        "flows",
        "last_packet_at",
        "node",
        "on_membership_datagram",
        "on_pause",
        "router",
    )

    def __init__(self, node: Node, flows: Flows, router: Router, answers: AnswerTracker) -> None:
        self.node = node
        self.flows = flows
        self.router = router
        self.answers = answers
        self.cache = SoftCache()
        self.budget = IngressBudget(node.settings.door_packets_per_s, node.now())
        self.on_membership_datagram = ignore_datagram
        self.on_pause = ignore_pause
        self.awake_at = node.now()
        self.last_packet_at = node.now()

    async def read_ingress_port(self) -> None:
        """Empty the door's port for ever."""
        async for batch in receive_batches(self.node.ingress_port):
            self.detect_pause()
            self.last_packet_at = self.awake_at
            self.budget.start_batch(self.awake_at)
            for received in batch:
                self.run_handler(self.handle_packet, received)

    async def read_peer_port(self) -> None:
        """Empty the port for datagrams of other hosts for ever."""
        async for batch in receive_batches(self.node.peer_port):
            self.detect_pause()
            for received in batch:
                self.run_handler(self.handle_datagram, received)

    def run_handler(
        self, handle: Callable[[bytes, Address], None], received: tuple[bytes, Address]
    ) -> None:
        """Handle a datagram so that an error in it is logged and ends nothing else."""
        try:
            handle(received[0], received[1])
        except Exception:
            self.node.metrics.count("internal_errors")
            logging.exception("a datagram could not be handled")

    def detect_pause(self) -> None:
        """Call for help when this process did not run for longer than suspicion takes."""
        now = self.node.now()
        paused = now - self.awake_at
        self.awake_at = now
        if paused > PAUSE_S:
            self.on_pause(paused)

    def handle_packet(self, packet: bytes, source: Address) -> None:
        """Handle one packet from the fabric or from a backend server."""
        key = flow_key(packet)
        if key is None:
            self.node.record_drop(packet_error(packet))
            return
        if not self.forwarded(packet, key):
            self.packet_without_flow(packet, key, source)

    def forwarded(self, packet: bytes, key: bytes) -> bool:
        """Forward a packet in the middle of an owned flow, and return whether it was one."""
        record = self.flows.table.get(key)
        if record is None or record.state != FlowState.ESTABLISHED:
            return False
        if packet[9] == TCP and packet[FLAGS_OFFSET] & SHOWN_FLAGS:
            return False
        owned = record.owned
        if owned.drain_started_at is not None:
            return False
        record.last_packet_at = self.awake_at
        self.node.ingress_port.send(packet, owned.usage.target.address)
        return True

    def packet_without_flow(self, packet: bytes, key: bytes, source: Address) -> None:
        """Handle a packet that is not simply forwarded to an owned target."""
        found = self.node.snapshot.find_kind(key)
        if found is not None:
            self.caller_packet(packet, key, *found)
        elif key[0:4] in self.node.snapshot.service_addresses:
            self.answer(packet, reverse_flow_key(key), source)
        else:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE)

    def caller_packet(self, packet: bytes, key: bytes, service: Service, kind: Kind) -> None:
        """Handle a caller's packet."""
        first = may_open_flow(packet)
        if not self.budget.admit_packet(service.name, first):
            self.node.record_drop(ErrorKind.OVER_PACKET_BUDGET)
            return
        if first and not is_transport_checksum_valid(packet):
            self.node.record_drop(ErrorKind.BAD_CHECKSUM)
            return
        if key in self.flows.table:
            self.router.handle_as_owner(packet, key, Redirect(entry=self.node.id))
            return
        cached = self.cache.get(key)
        if cached is not None and not first:
            self.router.forward_to_cached_target(packet, key, cached)
            return
        self.router.start_chain(packet, key, service, kind, first)

    def answer(self, packet: bytes, key: bytes, source: Address) -> None:
        """Pass a backend server's answer to the fabric and show its owner what matters."""
        found = self.node.snapshot.find_kind(key)
        target = pack_address(source)
        if found is None or target not in found[0].targets_by_id:
            self.node.record_drop(ErrorKind.FOREIGN_ANSWER)
            return
        flags = tcp_flags(packet)
        if flags & RST:
            # The owner decides whether the caller may see a reset.
            self.show(packet, key, target)
            return
        self.node.send_to_fabric(packet)
        if packet[9] == UDP or flags & SHOWN_FLAGS:
            self.show(packet[:SHOWN_BYTES], key, target)

    def show(self, packet: bytes, key: bytes, target: bytes) -> None:
        """Show an answer to the owner of the target that sent it."""
        redirect = Redirect(type=DatagramType.TARGET_ANSWER, target=target, entry=self.node.id)
        if target in self.flows.owned or key in self.flows.table:
            self.answers.handle_answer(packet, key, redirect)
            return
        owner = self.node.directory.owner_of(target)
        member = self.node.members.get(owner) if owner is not None else None
        if member is None:
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)
            return
        self.node.send_datagram(redirect, packet, member.address)

    def handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Handle one datagram from another host."""
        data = authenticate(datagram, self.node.keyring)
        if data is None:
            self.node.record_drop(ErrorKind.BAD_AUTHENTICATOR)
            return
        packet = plain_redirect_packet(data)
        if packet is not None:
            key = flow_key(packet)
            if key is not None and self.forwarded(packet, key):
                return
        parsed = parse_datagram(data)
        if parsed.is_err():
            self.node.record_drop(parsed.unwrap_err())
            return
        redirect, body = parsed.unwrap()
        match redirect.type:
            case DatagramType.REDIRECT:
                self.redirected(redirect, body)
            case DatagramType.PROBE:
                self.on_membership_datagram(body, source)
            case DatagramType.TARGET_ANSWER:
                self.shown(redirect, body)
            case DatagramType.LOADS:
                self.learn_loads(body)
            case DatagramType.HINT:
                self.cache.put(body, redirect.target)
            case _:
                self.node.record_drop(ErrorKind.BAD_DATAGRAM)

    def redirected(self, redirect: Redirect, packet: bytes) -> None:
        """Handle a packet that another host sends to this one as an owner."""
        key = flow_key(packet)
        if key is None:
            self.node.record_drop(packet_error(packet))
            return
        self.router.handle_as_owner(packet, key, redirect)

    def shown(self, redirect: Redirect, packet: bytes) -> None:
        """Learn from an answer that another entry passed on."""
        if len(packet) < SHOWN_BYTES and (len(packet) < 28 or packet[9] == TCP):
            self.node.record_drop(ErrorKind.TRUNCATED_PACKET)
            return
        self.answers.handle_answer(packet, reverse_flow_key(packet[12:24] + packet[9:10]), redirect)

    def learn_loads(self, body: bytes) -> None:
        """Take over the load reports of another owner."""
        try:
            reports = msgspec.msgpack.decode(body, type=list[LoadReport])
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        now = self.node.now()
        for report in reports:
            self.flows.loads.record_report(report, now)


def ignore_datagram(body: bytes, source: Address) -> None:
    """Take a datagram before the membership protocol runs."""


def ignore_pause(seconds: float) -> None:
    """Take a pause before the membership protocol runs."""
