"""What hosts of one availability zone tell each other: loads, suspicions and versions.

A report is a datagram: a head, then 8 bytes for each target whose load changed. Reports are
repeated, so that one that is lost is made up for by the next one.
"""

import struct
from collections.abc import Iterator

import xxhash

from godwitway.addresses import Address

__all__ = ["HEAD_BYTES", "PeerLoads", "Report", "decode_report", "encode_report", "zone_code"]

MAGIC = 0x67774C32
HEAD = struct.Struct("<IIIQQQB")
ENTRY = struct.Struct("<IHBB")
HEAD_BYTES = HEAD.size
MAX_ENTRIES = 140  # Keeps a report within one packet of 1,200 bytes.
BUSY_MAX = 0xFFFF
IDLE_MAX = 0xFF
SUSPECTED = 1
IN_ROTATION = 1
CUT_OFF = 2
PEER_TIMEOUT_S = 2.5


def zone_code(zone: str) -> int:
    """Return the number that stands for a zone in reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class Report:
    """What one host says.

    Attributes:
        boot: A random number of the sender's process.
        zone: The code of the sender's zone.
        config_version: The version of the configuration in force there.
        config_revision: The store's revision of what it knows of the configuration.
        targets_revision: The store's revision of what it knows of the targets.
        in_rotation: Whether the sender asks for packets.
        cut_off: Whether the sender's zone is cut off and short of targets.
        loads: For each route token: requests in progress, idle flows, whether it is suspected.
    """

    __slots__ = (
        "boot",
        "config_revision",
        "config_version",
        "cut_off",
        "in_rotation",
        "loads",
        "targets_revision",
        "zone",
    )

    def __init__(
        self,
        boot: int,
        zone: int,
        config_version: int,
        config_revision: int,
        targets_revision: int,
        in_rotation: bool,
        cut_off: bool,
        loads: list[tuple[int, int, int, bool]],
    ) -> None:
        self.boot = boot
        self.zone = zone
        self.config_version = config_version
        self.config_revision = config_revision
        self.targets_revision = targets_revision
        self.in_rotation = in_rotation
        self.cut_off = cut_off
        self.loads = loads


def encode_report(report: Report) -> Iterator[bytes]:
    """Yield the datagrams of a report; without loads it is one datagram."""
    head = HEAD.pack(
        MAGIC,
        report.boot,
        report.zone,
        report.config_version,
        report.config_revision,
        report.targets_revision,
        IN_ROTATION * report.in_rotation | CUT_OFF * report.cut_off,
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
    magic, boot, zone, version, config_revision, targets_revision, flags = HEAD.unpack_from(
        datagram
    )
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
        config_revision,
        targets_revision,
        bool(flags & IN_ROTATION),
        bool(flags & CUT_OFF),
        loads,
    )


class PeerLoads:
    """The last known loads of one peer.

    Attributes:
        address: Where the peer takes reports.
        boot: The random number of its process.
        heard_at: When its last report came, in seconds.
        loads: Requests in progress and idle flows by route token.
        config_revision: The store's revision of its configuration.
        targets_revision: The store's revision of its targets.
        zone: The code of its zone, None until it is known.
        in_rotation: Whether it asks for packets.
        cut_off: Whether it says that its zone is cut off and short of targets.
    """

    __slots__ = (
        "address",
        "boot",
        "config_revision",
        "config_version",
        "cut_off",
        "heard_at",
        "in_rotation",
        "loads",
        "targets_revision",
        "zone",
    )

    def __init__(self, address: Address) -> None:
        self.address = address
        self.boot = 0
        self.heard_at: float | None = None
        self.loads: dict[int, tuple[int, int]] = {}
        self.config_version = 0
        self.config_revision = 0
        self.targets_revision = 0
        self.zone: int | None = None
        self.in_rotation = False
        self.cut_off = False

    def alive(self, now: float, within_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether the peer was heard lately."""
        return self.heard_at is not None and now - self.heard_at < within_s
