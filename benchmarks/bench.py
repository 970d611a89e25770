"""Measures the packet path, the memory of flow records, and how control costs grow with size.

Each line is ``name: value unit``. Times depend on the machine. Packet times are also given as
ratios to a bare loop of receiving, looking up and sending, measured in turn with them; these
depend on it less.
"""

import asyncio
import gc
import random
import socket
import statistics
import sys
import time
import tracemalloc
import zlib
from collections.abc import Callable

import msgspec
from builders import build_settings, service_document, target_document, tcp_packet
from godwitway.connection import FlowRecord, FlowState, OwnedTarget, TargetUsage, TimerWheel
from godwitway.journal import Journal
from godwitway.process import Clock, LoopClock, Metrics, UdpPort
from godwitway.process._answers import AnswerTracker
from godwitway.process._directory import Directory
from godwitway.process._flows import Flows
from godwitway.process._ingress import Ingress
from godwitway.process._loads import LoadReport
from godwitway.process._member import Member, MemberState
from godwitway.process._messages import (
    ConfigDelta,
    HandoverBatch,
    MovedFlow,
    Probe,
    ProbeKind,
    ServiceChange,
)
from godwitway.process._node import Node
from godwitway.process._ownership import Ownership
from godwitway.process._router import Router
from godwitway.request import ACK, DatagramHeader, Keyring, encode_datagram, flow_key, format_key
from godwitway.version import EMPTY_SNAPSHOT, Snapshot, build_snapshot, check_service

UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 80
PACKETS = 20_000
ROUNDS = 5
FLOWS = 300_000
OWNER_LOOKUPS = 2_000
PAYLOAD = b"x" * 60
LOOPBACK = "127.0.0.1"
MICROSECONDS_PER_S = 1_000_000


def print_result(name: str, value: float, unit: str) -> None:
    """Print one result as ``name: value unit``."""
    sys.stdout.write(f"{name}: {value:.3f} {unit}\n")
    sys.stdout.flush()


class Sockets:
    """Two UDP sockets on loopback: one sends packets to a port, one receives what is forwarded.

    Attributes:
        sender: Sends packets to the port that is measured.
        sink: Receives the forwarded packets; nothing reads them until `empty_sink`.
    """

    def __init__(self) -> None:
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind((LOOPBACK, 0))
        self.sink.setblocking(False)

    def send_batch(self, packets: list[bytes], to: tuple[str, int]) -> None:
        """Send packets to a port, which buffers them until they are handled."""
        for packet in packets:
            self.sender.sendto(packet, to)

    def empty_sink(self) -> None:
        """Discard all packets that the sink has received."""
        try:
            while True:
                self.sink.recvfrom(65_535)
        except BlockingIOError:
            return


# The packets of a batch wait in the receive buffer of the port, so that sending is not timed.
BATCH_PACKETS = 32


def time_batches(sockets: Sockets, port: UdpPort, packets: list[bytes], handle: Callable) -> float:
    """Return the mean time of handling a received packet, in microseconds.

    Args:
        sockets: The sockets that send the packets and receive what is forwarded.
        port: The port that receives the packets.
        packets: The packets to send, in batches.
        handle: Handles the given number of packets that the port has received.
    """
    spent_s = 0.0
    for start in range(0, len(packets), BATCH_PACKETS):
        batch = packets[start : start + BATCH_PACKETS]
        sockets.send_batch(batch, port.address)
        before = time.perf_counter()
        handle(len(batch))
        spent_s += time.perf_counter() - before
        sockets.empty_sink()
    return spent_s / len(packets) * MICROSECONDS_PER_S


class BenchHost:
    """A host with UDP ports on loopback that forwards all packets to the sink.

    The host owns all targets, and none of its flow records are marked as possibly lost.
    """

    def __init__(self, sockets: Sockets, clock: Clock) -> None:
        sink = sockets.sink.getsockname()
        settings = build_settings(fabric=[sink])
        self.node = Node(
            settings,
            clock,
            random.Random(1),
            UdpPort((LOOPBACK, 0)),
            UdpPort((LOOPBACK, 0)),
            NullTransport(),
            Keyring(settings.keys),
            Metrics(),
            Journal("bench", clock.now, lambda line: None, format_key),
        )
        self.flows = Flows(self.node)
        self.router = Router(self.node, self.flows)
        answers = AnswerTracker(self.node, self.flows, self.router)
        self.ingress = Ingress(self.node, self.flows, self.router, answers)
        self.ownership = Ownership(self.node, self.flows, self.router)
        self.ownership.apply_snapshot(build_sink_snapshot(sink))
        self.ownership.start_owning(records_may_be_lost=False)
        for owned in self.flows.owned.values():
            # Without other hosts, a host cannot determine whether records were lost; none were.
            owned.records_may_be_lost = False

    def handle_ingress_packets(self, count: int) -> None:
        """Handle received packets of the fabric, as the reader task does."""
        port = self.node.ingress_port
        for _ in range(count):
            received = port.receive()
            if received is not None:
                self.ingress.run_handler(self.ingress.handle_packet, received)

    def handle_peer_datagrams(self, count: int) -> None:
        """Handle received datagrams of other hosts, as the reader task does."""
        port = self.node.peer_port
        for _ in range(count):
            received = port.receive()
            if received is not None:
                self.ingress.run_handler(self.ingress.handle_datagram, received)


class NullTransport:
    """A transport of control messages that sends nothing."""

    address = (LOOPBACK, 1)


def build_sink_snapshot(sink: tuple[str, int]) -> Snapshot:
    """Return a snapshot with one service, whose seven targets use the sink's port."""
    document = service_document(0)
    document["targets"] = [
        target_document(1, "a", address=f"127.0.1.{number + 1}:{sink[1]}", connections=10_000_000)
        for number in range(7)
    ]
    document["load_bound"] = 10
    changes = [(document["name"], msgspec.json.encode(document), 1)]
    return build_snapshot(EMPTY_SNAPSHOT, 1, changes)[0]


def caller_addresses(count: int) -> list[tuple[str, int]]:
    """Return that many different addresses of callers."""
    return [(f"172.16.{n // 60_000}.1", 1_024 + n % 60_000) for n in range(count)]


def bench_packet_path(sockets: Sockets, clock: Clock) -> None:
    """Measure the handling of packets, and the bare loop for comparison."""
    host = BenchHost(sockets, clock)
    bare_port = UdpPort((LOOPBACK, 0))
    sink = sockets.sink.getsockname()
    established = [
        tcp_packet(ACK, caller=caller, payload=PAYLOAD) for caller in caller_addresses(1_000)
    ]
    established *= PACKETS // len(established)
    table = {flow_key(packet): sink for packet in established}

    def bare_loop(count: int) -> None:
        receive, send = bare_port.socket.recvfrom, bare_port.socket.sendto
        for _ in range(count):
            packet, _source = receive(65_535)
            send(packet, table[packet[12:24] + packet[9:10]])

    for packet in established[:1_000]:
        host.ingress.handle_packet(tcp_packet(caller=caller_address_of(packet)), sink)
        host.ingress.handle_packet(packet, sink)
    redirected = [
        encode_datagram(DatagramHeader(target=b"\0" * 6), packet, host.node.keyring)
        for packet in established
    ]
    samples: dict[str, list[float]] = {}
    new_callers = caller_addresses(ROUNDS * 2_000 + 1_000)[1_000:]
    for round_index in range(ROUNDS):
        first_packets = [
            tcp_packet(caller=caller, payload=PAYLOAD)
            for caller in new_callers[round_index * 2_000 : round_index * 2_000 + 2_000]
        ]
        runs = {
            "bare": (bare_port, established, bare_loop),
            "established": (host.node.ingress_port, established, host.handle_ingress_packets),
            "redirected": (host.node.peer_port, redirected, host.handle_peer_datagrams),
            "first": (host.node.ingress_port, first_packets, host.handle_ingress_packets),
        }
        for name, (port, packets, handle) in runs.items():
            samples.setdefault(name, []).append(time_batches(sockets, port, packets, handle))
    median = {name: statistics.median(values) for name, values in samples.items()}
    print_result("packet.bare", median["bare"], "us")
    for name in ("established", "redirected", "first"):
        print_result(f"packet.{name}", median[name], "us")
        print_result(f"packet.{name}.ratio", median[name] / median["bare"], "times the bare loop")
    print_result("packet.admitted", host.node.metrics.counters["flows_admitted", "board"], "flows")


def caller_address_of(packet: bytes) -> tuple[str, int]:
    """Return the source address and port of a packet."""
    return socket.inet_ntoa(packet[12:16]), int.from_bytes(packet[20:22], "big")


def bench_memory() -> None:
    """Measure the memory of flow records with their table and timers."""
    service = check_service(service_document()).unwrap()
    owned = OwnedTarget(TargetUsage(service, service.targets[0], 0.0), 0.0)
    kind = service.kinds[0]
    clock = StoppedClock()
    flow_table = FlowTableStorage(clock)
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(FLOWS):
        key = number.to_bytes(13, "big")
        record = FlowRecord(owned, kind, FlowState.ESTABLISHED, float(number))
        flow_table.table[key] = record
        flow_table.wheel.schedule(key, 7_200.0 + number / 100)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print_result("flow.bytes", used / FLOWS, "bytes a flow")
    print_result("flow.count", FLOWS, "flows")


class StoppedClock:
    """A clock whose time is always 0."""

    def now(self) -> float:
        """Return the time in seconds."""
        return 0.0


class FlowTableStorage:
    """The structures in which a host keeps flow records: the table and the timer wheel."""

    def __init__(self, clock: StoppedClock) -> None:
        self.table: dict[bytes, FlowRecord] = {}
        self.wheel = TimerWheel(clock.now())


def build_region_snapshot(targets: int, zones: int) -> Snapshot:
    """Return a snapshot with many targets, seven for each service."""
    changes = []
    for number in range(targets // 7):
        document = service_document(0) | {
            "name": f"service-{number}",
            "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}",
        }
        document["targets"] = [
            target_document(
                1,
                f"zone-{(number + index) % zones}",
                address=f"11.{number >> 8}.{number & 255}.{index + 1}:9000",
            )
            for index in range(7)
        ]
        changes.append((document["name"], msgspec.json.encode(document), 1))
    return build_snapshot(EMPTY_SNAPSHOT, 1, changes)[0]


def build_members(count: int, zones: int) -> list[Member]:
    """Return that many members that are alive."""
    return [
        Member(
            bytes([12, n >> 8, n & 255, 1, 0, 1]),
            f"host-{n}",
            f"zone-{n % zones}",
            (LOOPBACK, 1),
            (LOOPBACK, 2),
            state=MemberState.ALIVE,
        )
        for n in range(count)
    ]


def bench_ownership() -> None:
    """Measure the directory of owners and the configuration at the size of a region.

    A region has 2,900 hosts and 20,000 targets in three zones.
    """
    hosts, targets, zones = 2_900, 20_000, 3
    members = build_members(hosts, zones)
    gc.collect()
    tracemalloc.start()
    snapshot = build_region_snapshot(targets, zones)
    config_bytes = tracemalloc.get_traced_memory()[0]
    directory = Directory("zone-0")
    for member in members:
        directory.add_host(member)
    tracemalloc.stop()
    slice_times_s = []
    before = time.perf_counter()
    for _ in directory.apply_snapshot_in_slices(snapshot):
        slice_times_s.append(time.perf_counter() - before)
        before = time.perf_counter()
    print_result("config.bytes", config_bytes / targets, "bytes a target")
    print_result("directory.start", sum(slice_times_s), "s for a region")
    print_result("directory.start.slice", max(slice_times_s) * 1000, "ms, the longest slice")
    for target in list(snapshot.targets_by_id)[:OWNER_LOOKUPS]:
        directory.owner_of(target)
    removal_times_s = []
    for member in members[:20]:
        before = time.perf_counter()
        directory.remove_host(member.id)
        removal_times_s.append(time.perf_counter() - before)
    print_result("directory.death", statistics.median(removal_times_s) * 1000, "ms")
    addition_times_s = []
    for member in members[:20]:
        before = time.perf_counter()
        directory.add_host(member)
        addition_times_s.append(time.perf_counter() - before)
    print_result("directory.join", statistics.median(addition_times_s) * 1000, "ms")
    bench_config_change(snapshot, directory)


def bench_config_change(snapshot: Snapshot, directory: Directory) -> None:
    """Measure how long a host takes to apply a change of one service in a region."""
    times_s = []
    for number in range(10):
        name = f"service-{number}"
        document = snapshot.documents[name].replace(b'"urgency":9', b'"urgency":8')
        before = time.perf_counter()
        later, _ = build_snapshot(snapshot, 2 + number, [(name, document, 2 + number)])
        directory.apply_snapshot(later)
        times_s.append(time.perf_counter() - before)
    print_result("config.change", statistics.median(times_s) * 1000, "ms")


def bench_messages() -> None:
    """Measure the size of control messages, including UDP or TCP headers."""
    members = build_members(10, 3)
    keyring = Keyring([bytes(32)])

    def datagram_bytes(message: object) -> int:
        body = msgspec.msgpack.encode(message)
        return len(encode_datagram(DatagramHeader(), body, keyring)) + UDP_HEADER_BYTES

    probe = Probe(ProbeKind.PING, 1_000_000, members[0])
    probe_with_gossip = Probe(ProbeKind.PING, 1_000_000, members[0], b"", members[1:9])
    print_result("message.probe", datagram_bytes(probe), "bytes")
    print_result(
        "message.news",
        (datagram_bytes(probe_with_gossip) - datagram_bytes(probe)) / 8,
        "bytes a host",
    )
    loads = [LoadReport(bytes(6), 1_300, False)]
    print_result("message.loads", datagram_bytes(loads), "bytes for one target")
    flows = [MovedFlow(bytes(13), "board", 1, 1_000) for _ in range(60)]
    batch = HandoverBatch(bytes(6), bytes(6), 1, flows, [], [], False, None)
    size = len(msgspec.msgpack.encode(batch)) + TCP_HEADER_BYTES
    print_result("message.handover", size / 60, "bytes a flow")
    document = msgspec.json.encode(service_document(7))
    delta = ConfigDelta(bytes(6), bytes(6), 1, 2, [ServiceChange("service-1", document, 2)])
    print_result("message.delta", len(msgspec.msgpack.encode(delta)) + TCP_HEADER_BYTES, "bytes")
    changes = [
        ServiceChange(name, document, 1)
        for name, document in build_region_snapshot(20_000, 3).documents.items()
    ]
    packed = zlib.compress(msgspec.msgpack.encode(changes))
    print_result("message.state.config", len(packed) / 1000, "KB for a region")
    hosts = msgspec.msgpack.encode(build_members(2_900, 3))
    print_result("message.state.hosts", len(hosts) / 1000, "KB for a region")


async def bench_all() -> None:
    """Run all measurements."""
    bench_messages()
    bench_packet_path(Sockets(), LoopClock())
    bench_memory()
    bench_ownership()


if __name__ == "__main__":
    gc.set_threshold(50_000, 20, 50)
    asyncio.run(bench_all())
