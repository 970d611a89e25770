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
    "HEADER_BYTES",
    "PEER_FRESH_S",
    "PeerState",
    "Report",
    "decode_report",
    "encode_report",
    "hash_zone",
]

MAGIC = 0x67774C32
HEAD = struct.Struct("<IIIQQB")
ENTRY = struct.Struct("<IHBB")
HEADER_BYTES = HEAD.size
MAX_ENTRIES = 140  # Keeps a report within one packet of 1,200 bytes.
BUSY_MAX = 0xFFFF
IDLE_MAX = 0xFF
SUSPECTED = 1
IN_ROTATION = 1
CUT_OFF = 2
REACHES_STORE = 4
PEER_TIMEOUT_S = 2.5  # Five reports of an unchanged host.
PEER_FRESH_S = 0.8  # Hosts are heard at least twice a second.


def hash_zone(zone: str) -> int:
    """Return the number that stands for a zone in reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class Report:
    """What one host says.

    Attributes:
        boot: A random number of the sender's process.
        zone_hash: The hash of the sender's zone.
        config_version: The version of the configuration in force there.
        newest: The revision of the newest change of the store that it knows of.
        in_rotation: Whether the sender asks for packets.
        cut_off: Whether the sender's zone is cut off and short of targets.
        reaches_store: Whether the sender's last call of the store was answered.
        loads: For each route token: requests in progress, idle flows, whether it is suspected.
    """

    __slots__ = (
        "advertised_revision",
        "boot_id",
        "config_version",
        "in_rotation",
        "loads",
        "reaches_store",
        "zone_cut_off",
        "zone_hash",
    )

    def __init__(
        self,
        boot_id: int,
        zone_hash: int,
        config_version: int,
        advertised_revision: int,
        in_rotation: bool,
        zone_cut_off: bool,
        reaches_store: bool,
        loads: list[tuple[int, int, int, bool]],
    ) -> None:
        self.boot_id = boot_id
        self.zone_hash = zone_hash
        self.config_version = config_version
        self.advertised_revision = advertised_revision
        self.in_rotation = in_rotation
        self.zone_cut_off = zone_cut_off
        self.reaches_store = reaches_store
        self.loads = loads


def encode_report(report: Report) -> Iterator[bytes]:
    """Yield the datagrams of a report; without loads it is one datagram."""
    head = HEAD.pack(
        MAGIC,
        report.boot_id,
        report.zone_hash,
        report.config_version,
        report.advertised_revision,
        IN_ROTATION * report.in_rotation
        | CUT_OFF * report.zone_cut_off
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
    if len(datagram) < HEADER_BYTES or (len(datagram) - HEADER_BYTES) % ENTRY.size:
        return None
    magic, boot_id, zone_hash, version, advertised_revision, flags = HEAD.unpack_from(datagram)
    if magic != MAGIC:
        return None
    loads = [
        (token, busy, idle, bool(flag & SUSPECTED))
        for token, busy, idle, flag in ENTRY.iter_unpack(datagram[HEADER_BYTES:])
    ]
    return Report(
        boot_id,
        zone_hash,
        version,
        advertised_revision,
        bool(flags & IN_ROTATION),
        bool(flags & CUT_OFF),
        bool(flags & REACHES_STORE),
        loads,
    )


class PeerState:
    """The last known loads of one peer.

    Attributes:
        address: Where the peer takes reports.
        rank: Its place in the order of its zone's hosts.
        registered: Whether the store names it.
        boot: The random number of its process.
        last_report_at: When its last report came, in seconds.
        loads: Requests in progress and idle flows by route token.
        newest: The revision of the newest change of the store that it knows of.
        zone_hash: The hash of its zone, None until it is known.
        in_rotation: Whether it asks for packets.
        cut_off: Whether it says that its zone is cut off and short of targets.
        reaches_store: Whether its last call of the store was answered.
    """

    __slots__ = (
        "address",
        "advertised_revision",
        "boot_id",
        "config_version",
        "in_rotation",
        "is_registered",
        "last_report_at",
        "loads",
        "rank",
        "reaches_store",
        "zone_cut_off",
        "zone_hash",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.rank = rank_of(address)
        self.is_registered = False
        self.boot_id = 0
        self.last_report_at: float | None = None
        self.loads: dict[int, tuple[int, int]] = {}
        self.config_version = 0
        self.advertised_revision = 0
        self.reaches_store = False
        self.zone_hash: int | None = None
        self.in_rotation = False
        self.zone_cut_off = False

    def is_alive(self, now: float, within_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether the peer was heard lately."""
        return self.last_report_at is not None and now - self.last_report_at < within_s
