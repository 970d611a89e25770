"""Receiving packets from the fabric and backend servers, and datagrams from other hosts."""

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
    DatagramHeader,
    DatagramType,
    flow_key,
    is_transport_checksum_valid,
    packet_error,
    reverse_flow_key,
    tcp_flags,
)
from godwitway.request._redirect import authenticate, parse_datagram, plain_redirect_packet
from godwitway.version import TCP, UDP, Kind, Service

__all__ = ["HintCache", "Ingress"]

CACHE_CAPACITY_FLOWS = 50_000
# The IPv4 and TCP headers without options: all that the owner needs unless it forwards a reset.
ANSWER_REPORT_BYTES = 40
TCP_FLAGS_OFFSET = 33
STATE_FLAGS = SYN | FIN | RST
PAUSE_THRESHOLD_S = 2.0


class HintCache:
    """Targets of flows that are not on their first candidate, as their owners hinted.

    Without an entry, a packet takes more hops but reaches the same target.

    Attributes:
        capacity: The largest number of flows that are kept.
        targets: The packed target address by flow key, the longest unchanged one first.
    """

    __slots__ = ("capacity", "targets")

    def __init__(self, capacity: int = CACHE_CAPACITY_FLOWS) -> None:
        self.capacity = capacity
        self.targets: OrderedDict[bytes, bytes] = OrderedDict()

    def get(self, key: bytes) -> bytes | None:
        """Return the packed target address of a flow, or None if it is not cached."""
        return self.targets.get(key)

    def put(self, key: bytes, target: bytes) -> None:
        """Store a flow's target and evict the oldest entry beyond the capacity."""
        self.targets[key] = target
        self.targets.move_to_end(key)
        if len(self.targets) > self.capacity:
            self.targets.popitem(last=False)


class Ingress:
    """Reads the two ports of one host and dispatches each packet and datagram.

    Attributes:
        node: The state shared by the parts of this host.
        flows: The flows of the targets that this host owns.
        router: Sends packets of unknown flows along their candidates' owners.
        answers: Updates flows of this host's targets according to their answers.
        cache: Targets of flows whose owners sent a hint.
        budget: The rate limit on callers' packets.
        on_membership_datagram: Called with the body and the source of membership datagrams.
        on_pause: Called with the length of a pause of the process, in seconds.
        last_run_at: When this host last ran, in seconds of its clock, to detect pauses.
        last_ingress_at: When the last batch from the ingress port began, in the same seconds.
    """

    __slots__ = (
        "answers",
        "budget",
        "cache",
        "flows",
        "last_ingress_at",
        "last_run_at",
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
        self.cache = HintCache()
        self.budget = IngressBudget(node.settings.door_packets_per_s, node.now())
        self.on_membership_datagram = ignore_datagram
        self.on_pause = ignore_pause
        self.last_run_at = node.now()
        self.last_ingress_at = node.now()

    async def read_ingress_port(self) -> None:
        """Handle packets from the fabric and from backend servers; runs until it is cancelled."""
        async for batch in receive_batches(self.node.ingress_port):
            self.detect_pause()
            self.last_ingress_at = self.last_run_at
            self.budget.update_window(self.last_run_at)
            for received in batch:
                self.run_handler(self.handle_packet, received)

    async def read_peer_port(self) -> None:
        """Handle datagrams from other hosts; runs until it is cancelled."""
        async for batch in receive_batches(self.node.peer_port):
            self.detect_pause()
            for received in batch:
                self.run_handler(self.handle_datagram, received)

    def run_handler(
        self, handle: Callable[[bytes, Address], None], received: tuple[bytes, Address]
    ) -> None:
        """Call a handler for one received datagram and log any exception that it raises.

        One datagram that cannot be handled must not end the task that reads the port.

        Args:
            handle: The handler, called with the data and the source address.
            received: The data and the source address.
        """
        try:
            handle(received[0], received[1])
        except Exception:
            self.node.metrics.count("internal_errors")
            logging.exception(
                "a received packet or datagram could not be handled; continuing with the next one"
            )

    def detect_pause(self) -> None:
        """Call `on_pause` if this process did not run for longer than `PAUSE_THRESHOLD_S`.

        The threshold exceeds the suspicion timeout of membership: after such a pause, peers may
        have declared this host dead and taken over its targets.
        """
        now = self.node.now()
        pause_s = now - self.last_run_at
        self.last_run_at = now
        if pause_s > PAUSE_THRESHOLD_S:
            self.on_pause(pause_s)

    def handle_packet(self, packet: bytes, source: Address) -> None:
        """Handle one packet from the fabric or from a backend server; drop an invalid one."""
        key = flow_key(packet)
        if key is None:
            self.node.record_drop(packet_error(packet))
            return
        if not self.forward_established(packet, key):
            self.route_packet(packet, key, source)

    def forward_established(self, packet: bytes, key: bytes) -> bool:
        """Forward a packet of an established flow whose target this host owns.

        Returns:
            False, with nothing done, if the flow is not established here, its target is
            draining, or the packet's flags change the flow's state.
        """
        record = self.flows.table.get(key)
        if record is None or record.state != FlowState.ESTABLISHED:
            return False
        if packet[9] == TCP and packet[TCP_FLAGS_OFFSET] & STATE_FLAGS:
            return False
        owned = record.owned
        if owned.drain_started_at is not None:
            return False
        record.last_packet_at = self.last_run_at
        self.node.ingress_port.send(packet, owned.usage.target.address)
        return True

    def route_packet(self, packet: bytes, key: bytes, source: Address) -> None:
        """Handle a packet that `forward_established` did not forward, by its direction."""
        found = self.node.snapshot.find_service_and_kind(key)
        if found is not None:
            self.handle_caller_packet(packet, key, *found)
        elif key[0:4] in self.node.snapshot.service_addresses:
            self.forward_answer(packet, reverse_flow_key(key), source)
        else:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE)

    def handle_caller_packet(self, packet: bytes, key: bytes, service: Service, kind: Kind) -> None:
        """Handle a packet that a caller sent to a kind of a service."""
        opens_flow = may_open_flow(packet)
        if not self.budget.admit_packet(service.name, opens_flow):
            self.node.record_drop(ErrorKind.OVER_PACKET_BUDGET)
            return
        if opens_flow and not is_transport_checksum_valid(packet):
            self.node.record_drop(ErrorKind.BAD_CHECKSUM)
            return
        if key in self.flows.table:
            self.router.handle_as_owner(packet, key, DatagramHeader(entry=self.node.id))
            return
        cached = self.cache.get(key)
        if cached is not None and not opens_flow:
            self.router.forward_to_cached_target(packet, key, cached)
            return
        self.router.start_chain(packet, key, service, kind, opens_flow)

    def forward_answer(self, packet: bytes, key: bytes, source: Address) -> None:
        """Forward a backend server's answer to the fabric.

        UDP answers and TCP state changes are also reported to the target's owner. A reset is only
        reported, not forwarded.
        """
        found = self.node.snapshot.find_service_and_kind(key)
        target = pack_address(source)
        if found is None or target not in found[0].targets_by_id:
            self.node.record_drop(ErrorKind.FOREIGN_ANSWER)
            return
        flags = tcp_flags(packet)
        if flags & RST:
            # A reset may reject a request that is then retried: the owner decides whether to
            # forward it.
            self.report_answer(packet, key, target)
            return
        self.node.send_to_fabric(packet)
        if packet[9] == UDP or flags & STATE_FLAGS:
            self.report_answer(packet[:ANSWER_REPORT_BYTES], key, target)

    def report_answer(self, packet: bytes, key: bytes, target: bytes) -> None:
        """Report an answer to the owner of the target that sent it, which may be this host."""
        header = DatagramHeader(type=DatagramType.TARGET_ANSWER, target=target, entry=self.node.id)
        if target in self.flows.owned or key in self.flows.table:
            self.answers.handle_answer(packet, key, header)
            return
        owner = self.node.directory.owner_of(target)
        member = self.node.members.get(owner) if owner is not None else None
        if member is None:
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)
            return
        self.node.send_datagram(header, packet, member.address)

    def handle_datagram(self, datagram: bytes, source: Address) -> None:
        """Handle one datagram from another host; drop it if it is invalid or not authentic."""
        data = authenticate(datagram, self.node.keyring)
        if data is None:
            self.node.record_drop(ErrorKind.BAD_AUTHENTICATOR)
            return
        # Fast path: for an established flow, a redirect without flags needs no parsed header.
        packet = plain_redirect_packet(data)
        if packet is not None:
            key = flow_key(packet)
            if key is not None and self.forward_established(packet, key):
                return
        parsed = parse_datagram(data)
        if parsed.is_err():
            self.node.record_drop(parsed.unwrap_err())
            return
        header, body = parsed.unwrap()
        match header.type:
            case DatagramType.REDIRECT:
                self.handle_redirect(header, body)
            case DatagramType.PROBE:
                self.on_membership_datagram(body, source)
            case DatagramType.TARGET_ANSWER:
                self.handle_answer_report(header, body)
            case DatagramType.LOADS:
                self.handle_load_reports(body)
            case DatagramType.HINT:
                self.cache.put(body, header.target)
            case _:
                self.node.record_drop(ErrorKind.BAD_DATAGRAM)

    def handle_redirect(self, redirect: DatagramHeader, packet: bytes) -> None:
        """Handle a packet that another host sent to this one as the owner of a target."""
        key = flow_key(packet)
        if key is None:
            self.node.record_drop(packet_error(packet))
            return
        self.router.handle_as_owner(packet, key, redirect)

    def handle_answer_report(self, header: DatagramHeader, packet: bytes) -> None:
        """Handle the report of another entry host about a target's answer.

        That host has validated the packet, of which the report may be only the start.
        """
        # 28 bytes are the IPv4 and UDP headers, from which the flow key is read.
        if len(packet) < ANSWER_REPORT_BYTES and (len(packet) < 28 or packet[9] == TCP):
            self.node.record_drop(ErrorKind.TRUNCATED_PACKET)
            return
        self.answers.handle_answer(packet, reverse_flow_key(packet[12:24] + packet[9:10]), header)

    def handle_load_reports(self, body: bytes) -> None:
        """Store the load reports of another owner."""
        try:
            reports = msgspec.msgpack.decode(body, type=list[LoadReport])
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        now = self.node.now()
        for report in reports:
            self.flows.loads.record_report(report, now)


def ignore_datagram(body: bytes, source: Address) -> None:
    """Discard a membership datagram; the default until a handler is set."""


def ignore_pause(seconds: float) -> None:
    """Do nothing about a pause; the default until a handler is set."""
