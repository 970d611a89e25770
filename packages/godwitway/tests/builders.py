"""Builders of test data: services, packets, owned targets and nodes."""

import random
from typing import Any

import dpkt
import msgspec

from godwitway.addresses import Address, pack_address
from godwitway.connection import OwnedTarget, TargetUsage
from godwitway.process import ApiSettings, Journal, Metrics, Settings
from godwitway.process._node import Node
from godwitway.request import Keyring, format_key
from godwitway.version import EMPTY_SNAPSHOT, Service, Snapshot, build_snapshot, check_service

DATAGRAM_KEY = bytes(range(32))
SERVICE_IP = "10.10.0.1"
CALLER: Address = ("172.16.0.1", 20_000)
BOARD_PORT = 7001
BID_PORT = 7002
LOTS_PORT = 7003


def target_document(number: int, zone: str = "a", **more: Any) -> dict[str, Any]:
    """Return the document of a target; `more` replaces or adds fields."""
    return {"address": f"10.1.0.{number}:9000", "zone": zone, "slots": 3, "connections": 100} | more


def service_document(targets: int = 4, **more: Any) -> dict[str, Any]:
    """Return the document of a service with a connection, an at-most-once and a slot kind."""
    return {
        "name": "auction",
        "address": SERVICE_IP,
        "kinds": [
            {"name": "board", "protocol": "tcp", "port": BOARD_PORT, "holds": "connection"},
            {
                "name": "bid",
                "protocol": "udp",
                "port": BID_PORT,
                "holds": "slot",
                "urgency": 9,
                "repeatable": False,
                "idle_s": 5,
            },
            {"name": "lots", "protocol": "tcp", "port": LOTS_PORT, "holds": "slot", "share": 0.5},
        ],
        "targets": [target_document(number + 1) for number in range(targets)],
    } | more


def build_service(targets: int = 4, **more: Any) -> Service:
    """Return the validated service of `service_document`."""
    return check_service(service_document(targets, **more)).unwrap()


def build_usage(slots: int = 3) -> TargetUsage:
    """Return the usage, without any flow, of the first target of a service."""
    service = build_service()
    service.targets[0].slots = slots
    return TargetUsage(service, service.targets[0], 0.0)


def build_owned(slots: int = 3) -> OwnedTarget:
    """Return an owned target without any flow."""
    return OwnedTarget(build_usage(slots), records_complete_since=0.0)


def snapshot_of(*documents: dict[str, Any]) -> Snapshot:
    """Return a snapshot of some services at revision 1."""
    changes = [(document["name"], msgspec.json.encode(document), 1) for document in documents]
    return build_snapshot(EMPTY_SNAPSHOT, 1, changes)[0]


def tcp_packet(
    flags: int = dpkt.tcp.TH_SYN,
    port: int = BOARD_PORT,
    caller: Address = CALLER,
    payload: bytes = b"",
    seq: int = 100,
) -> bytes:
    """Return a caller's TCP packet."""
    segment = dpkt.tcp.TCP(sport=caller[1], dport=port, seq=seq, flags=flags, data=payload, off=5)
    packet = dpkt.ip.IP(
        src=pack_address(caller)[:4],
        dst=pack_address((SERVICE_IP, 1))[:4],
        p=dpkt.ip.IP_PROTO_TCP,
        data=segment,
    )
    packet.len = len(packet)
    return bytes(packet)


def udp_packet(port: int = BID_PORT, caller: Address = CALLER, payload: bytes = b"x") -> bytes:
    """Return a caller's UDP packet."""
    datagram = dpkt.udp.UDP(sport=caller[1], dport=port, data=payload)
    datagram.ulen = len(datagram)
    packet = dpkt.ip.IP(
        src=pack_address(caller)[:4],
        dst=pack_address((SERVICE_IP, 1))[:4],
        p=dpkt.ip.IP_PROTO_UDP,
        data=datagram,
    )
    packet.len = len(packet)
    return bytes(packet)


class ManualClock:
    """A clock that stands still until a test advances it."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time in seconds."""
        return self.time

    async def sleep(self, seconds: float) -> None:
        """Advance the time and return immediately."""
        self.time += seconds


class RecordingPort:
    """A datagram port that records sent datagrams and receives none."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.sent: list[tuple[bytes, Address]] = []

    def send(self, data: bytes, to: Address) -> None:
        """Record a datagram."""
        self.sent.append((data, to))

    def receive(self) -> None:
        """Return None, as if no datagram were waiting."""
        return

    def sent_to(self, address: Address) -> list[bytes]:
        """Return the datagrams that were sent to an address, in order."""
        return [data for data, to in self.sent if to == address]


class DiscardingTransport:
    """A transport for control messages that discards every message."""

    address: Address = ("10.0.0.1", 4002)

    async def send(self, message: bytes, to: Address) -> bool:
        """Discard the message and return False, as if it could not be queued."""
        return False


FABRIC: Address = ("10.99.0.1", 4100)


def build_settings(**more: Any) -> Settings:
    """Return the settings of a host; `more` replaces values."""
    values = {
        "name": "entry-1",
        "zone": "a",
        "door": ("10.0.0.1", 4000),
        "peer": ("10.0.0.1", 4001),
        "control": ("10.0.0.1", 4002),
        "api": ApiSettings(("127.0.0.1", 4003), None, None, None),
        "fabric": [FABRIC],
        "store": [],
        "seeds": [],
        "keys": [DATAGRAM_KEY],
        "control_bytes_per_s": 15_000,
        "stop_bound_s": 60.0,
        "door_packets_per_s": 100_000,
        "watchers_per_zone": 2,
        "cold_boot_s": 2.0,
    }
    return Settings(**(values | more))


def build_node(clock: ManualClock | None = None) -> Node:
    """Return a node whose ports record what is sent."""
    clock = clock or ManualClock()
    settings = build_settings()
    lines: list[dict[str, Any]] = []
    return Node(
        settings=settings,
        clock=clock,
        rng=random.Random(1),
        ingress_port=RecordingPort(settings.door),
        peer_port=RecordingPort(settings.peer),
        transport=DiscardingTransport(),
        keyring=Keyring(settings.keys),
        metrics=Metrics(),
        journal=Journal("entry-1", clock.now, lines.append, format_key),
    )
