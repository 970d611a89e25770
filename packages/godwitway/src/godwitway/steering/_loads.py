"""What hosts of one availability zone tell each other: loads, suspicions and versions.

A report is a datagram: a head, then 8 bytes for each target whose load changed. Reports are
repeated, so that one that is lost is made up for by the next one.
"""

import struct
from collections.abc import Iterator

import xxhash

from godwitway.addresses import Address
from godwitway.steering._groups import rank_of

__all__ = [
    "HEAD_BYTES",
    "PEER_FRESH_S",
    "PeerLoads",
    "Report",
    "decode_report",
    "encode_report",
    "zone_code",
]

MAGIC = 0x67774C32
HEAD = struct.Struct("<IIIQQB")
ENTRY = struct.Struct("<IHBB")
HEAD_BYTES = HEAD.size
MAX_ENTRIES = 140  # Keeps a report within one packet of 1,200 bytes.
BUSY_MAX = 0xFFFF
IDLE_MAX = 0xFF
SUSPECTED = 1
IN_ROTATION = 1
CUT_OFF = 2
REACHES_STORE = 4
PEER_TIMEOUT_S = 2.5  # Five reports of an unchanged host.
PEER_FRESH_S = 0.8  # Hosts are heard at least twice a second.


def zone_code(zone: str) -> int:
    """Return the number that stands for a zone in reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class Report:
    """What one host says.

    Attributes:
        boot: A random number of the sender's process.
        zone: The code of the sender's zone.
        config_version: The version of the configuration in force there.
        newest: The revision of the newest change of the store that it knows of.
        in_rotation: Whether the sender asks for packets.
        cut_off: Whether the sender's zone is cut off and short of targets.
        reaches_store: Whether the sender's last call of the store was answered.
        loads: For each route token: requests in progress, idle flows, whether it is suspected.
    """

    __slots__ = (
        "boot",
        "config_version",
        "cut_off",
        "in_rotation",
        "loads",
        "newest",
        "reaches_store",
        "zone",
    )

    def __init__(
        self,
        boot: int,
        zone: int,
        config_version: int,
        newest: int,
        in_rotation: bool,
        cut_off: bool,
        reaches_store: bool,
        loads: list[tuple[int, int, int, bool]],
    ) -> None:
        self.boot = boot
        self.zone = zone
        self.config_version = config_version
        self.newest = newest
        self.in_rotation = in_rotation
        self.cut_off = cut_off
        self.reaches_store = reaches_store
        self.loads = loads


def encode_report(report: Report) -> Iterator[bytes]:
    """Yield the datagrams of a report; without loads it is one datagram."""
    head = HEAD.pack(
        MAGIC,
        report.boot,
        report.zone,
        report.config_version,
        report.newest,
        IN_ROTATION * report.in_rotation
        | CUT_OFF * report.cut_off
        | REACHES_STORE * report.reaches_store,
    )
    for start in range(0, max(1, len(report.loads)), MAX_ENTRIES):
        entries = b"".join(
            ENTRY.pack(
                token, min(busy, BUSY_MAX), min(idle, IDLE_MAX), SUSPECTED if suspected else 0
            )
            for token, busy, idle, suspected in report.loads[start : start + MAX_ENTRIES]
        )
        yield head + entries


def decode_report(datagram: bytes) -> Report | None:
    """Return the report of a datagram, or None when it is no report."""
    if len(datagram) < HEAD_BYTES or (len(datagram) - HEAD_BYTES) % ENTRY.size:
        return None
    magic, boot, zone, version, newest, flags = HEAD.unpack_from(datagram)
    if magic != MAGIC:
        return None
    loads = [
        (token, busy, idle, bool(flag & SUSPECTED))
        for token, busy, idle, flag in ENTRY.iter_unpack(datagram[HEAD_BYTES:])
    ]
    return Report(
        boot,
        zone,
        version,
        newest,
        bool(flags & IN_ROTATION),
        bool(flags & CUT_OFF),
        bool(flags & REACHES_STORE),
        loads,
    )


class PeerLoads:
    """The last known loads of one peer.

    Attributes:
        address: Where the peer takes reports.
        rank: Its place in the order of its zone's hosts.
        registered: Whether the store names it.
        boot: The random number of its process.
        heard_at: When its last report came, in seconds.
        loads: Requests in progress and idle flows by route token.
        newest: The revision of the newest change of the store that it knows of.
        zone: The code of its zone, None until it is known.
        in_rotation: Whether it asks for packets.
        cut_off: Whether it says that its zone is cut off and short of targets.
        reaches_store: Whether its last call of the store was answered.
    """

    __slots__ = (
        "address",
        "boot",
        "config_version",
        "cut_off",
        "heard_at",
        "in_rotation",
        "loads",
        "newest",
        "rank",
        "reaches_store",
        "registered",
        "zone",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.rank = rank_of(address)
        self.registered = False
        self.boot = 0
        self.heard_at: float | None = None
        self.loads: dict[int, tuple[int, int]] = {}
        self.config_version = 0
        self.newest = 0
        self.reaches_store = False
        self.zone: int | None = None
        self.in_rotation = False
        self.cut_off = False

    def alive(self, now: float, within_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether the peer was heard lately."""
        return self.heard_at is not None and now - self.heard_at < within_s
