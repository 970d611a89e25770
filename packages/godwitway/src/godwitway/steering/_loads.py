"""The reports that hosts send each other: loads, suspected targets and known versions.

A report of changes contains the loads that changed since the last report, and again those of the
report before, so the loss of a single datagram loses nothing. A full report, twice a second,
contains all loads and suspicions. A datagram is a header, 8 bytes for each target, and sections
that begin with their kind and length; a receiver skips sections of a kind that it does not know. A
report on more than `MAX_ENTRIES` targets takes several datagrams with the same header.
"""

import struct
from collections.abc import Iterator
from typing import TypeVar

import xxhash

from godwitway.addresses import Address
from godwitway.steering._groups import rank_of
from godwitway.steering._zone_room import RoomEntry
from godwitway.store import FIRST_POSITION, StorePosition

__all__ = [
    "HEADER_BYTES",
    "PEER_FRESH_S",
    "PeerState",
    "Report",
    "decode_report",
    "encode_report",
    "hash_zone",
]

MAGIC = 0x67774C34  # ASCII "gwL4".
# Magic number, boot id, zone hash, configuration version, advertised era and revision, flags, and
# the number of targets.
HEADER = struct.Struct("<IIIQIQBB")
ENTRY = struct.Struct("<IHBB")  # Route token, requests in progress, idle flows, flags.
HEADER_BYTES = HEADER.size
MAX_DATAGRAM_BYTES = 1_200
MAX_ENTRIES = 140  # Keeps a report without sections within `MAX_DATAGRAM_BYTES`.
SECTION = struct.Struct("<BH")  # Kind, and length in bytes of what follows.
SPEEDS_SECTION = 1
ROOMS_SECTION = 2
SPEED = struct.Struct("<IBB")  # Route token, encoded speed, encoded number and load.
ROOM = struct.Struct("<IIhB")  # The fields of a `RoomEntry`.
MAX_SECTION_ITEMS = 100  # Keeps a section within one datagram.
T = TypeVar("T")
MAX_BUSY = 0xFFFF
MAX_IDLE = 0xFF
SUSPECTED_FLAG = 1
IN_ROTATION_FLAG = 1
ZONE_SHORT_FLAG = 2
REACHES_STORE_FLAG = 4
# After five missing full reports a peer counts as dead: its loads are cleared.
PEER_TIMEOUT_S = 2.5
# Hosts send a report at least every 0.5 s. Elections and the rotation use this shorter limit, so
# that a dead host is soon replaced as a watcher, and not counted on to serve.
PEER_FRESH_S = 0.8


def hash_zone(zone: str) -> int:
    """Return the 32-bit hash that identifies a zone in reports."""
    return xxhash.xxh32_intdigest(zone.encode())


class Report:
    """The contents of one report.

    Attributes:
        boot_id: A random number that identifies the sender's process.
        zone_hash: The hash of the sender's zone; see `hash_zone`.
        config_version: The version of the configuration that is in force at the sender.
        advertised_position: The store position of the latest change that receivers should fetch.
        in_rotation: Whether the sender answers routers' readiness probes positively.
        zone_short: Whether the sender finds its zone cut off from the others and short of slots.
        reaches_store: Whether the sender's last store call was answered.
        loads: One tuple for each target: route token, requests in progress, idle flows, and
            whether the sender suspects the target.
        speeds: One tuple for each target with new samples of its speed: route token, encoded speed,
            and the encoded number and load of the sample; see `SpeedReports`.
        rooms: The room of zones by service, as far as the sender knows it.
    """

    __slots__ = (
        "advertised_position",
        "boot_id",
        "config_version",
        "in_rotation",
        "loads",
        "reaches_store",
        "rooms",
        "speeds",
        "zone_hash",
        "zone_short",
    )

    def __init__(
        self,
        boot_id: int,
        zone_hash: int,
        config_version: int,
        advertised_position: StorePosition,
        in_rotation: bool,
        zone_short: bool,
        reaches_store: bool,
        loads: list[tuple[int, int, int, bool]],
        speeds: list[tuple[int, int, int]] | None = None,
        rooms: list[RoomEntry] | None = None,
    ) -> None:
        self.boot_id = boot_id
        self.zone_hash = zone_hash
        self.config_version = config_version
        self.advertised_position = advertised_position
        self.in_rotation = in_rotation
        self.zone_short = zone_short
        self.reaches_store = reaches_store
        self.loads = loads
        self.speeds = speeds or []
        self.rooms = rooms or []


def encode_report(report: Report) -> Iterator[bytes]:
    """Yield the datagrams of a report: one for every `MAX_ENTRIES` targets, and at least one.

    Loads that exceed their fields are capped at `MAX_BUSY` and `MAX_IDLE`. Sections follow the last
    targets if they fit, otherwise in datagrams without targets.
    """
    loads = list(chunks_of(report.loads, MAX_ENTRIES)) or [[]]
    datagrams = [encode_header(report, len(chunk)) + encode_loads(chunk) for chunk in loads]
    for section in encode_sections(report):
        if len(datagrams[-1]) + len(section) > MAX_DATAGRAM_BYTES:
            datagrams.append(encode_header(report, 0))
        datagrams[-1] += section
    yield from datagrams


def chunks_of(items: list[T], size: int) -> Iterator[list[T]]:
    """Yield consecutive parts of a list, each of at most `size` items."""
    return (items[start : start + size] for start in range(0, len(items), size))


def encode_header(report: Report, load_count: int) -> bytes:
    """Return the header of a datagram with a number of targets."""
    return HEADER.pack(
        MAGIC,
        report.boot_id,
        report.zone_hash,
        report.config_version,
        *report.advertised_position,
        IN_ROTATION_FLAG * report.in_rotation
        | ZONE_SHORT_FLAG * report.zone_short
        | REACHES_STORE_FLAG * report.reaches_store,
        load_count,
    )


def encode_loads(loads: list[tuple[int, int, int, bool]]) -> bytes:
    """Return the entries of targets, with loads capped at `MAX_BUSY` and `MAX_IDLE`."""
    return b"".join(
        ENTRY.pack(
            token, min(busy, MAX_BUSY), min(idle, MAX_IDLE), SUSPECTED_FLAG if suspected else 0
        )
        for token, busy, idle, suspected in loads
    )


def encode_sections(report: Report) -> Iterator[bytes]:
    """Yield the sections of a report; each fits into one datagram."""
    for kind, item, values in (
        (SPEEDS_SECTION, SPEED, report.speeds),
        (ROOMS_SECTION, ROOM, report.rooms),
    ):
        for chunk in chunks_of(values, MAX_SECTION_ITEMS):
            yield SECTION.pack(kind, item.size * len(chunk)) + b"".join(
                item.pack(*value) for value in chunk
            )


def decode_report(datagram: bytes) -> Report | None:
    """Return the report in a datagram, or None if its lengths or its magic number are wrong."""
    if len(datagram) < HEADER_BYTES:
        return None
    magic, boot_id, zone_hash, version, era, revision, flags, count = HEADER.unpack_from(datagram)
    loads_end = HEADER_BYTES + count * ENTRY.size
    if magic != MAGIC or len(datagram) < loads_end:
        return None
    sections = decode_sections(datagram[loads_end:])
    if sections is None:
        return None
    loads = [
        (token, busy, idle, bool(target_flags & SUSPECTED_FLAG))
        for token, busy, idle, target_flags in ENTRY.iter_unpack(datagram[HEADER_BYTES:loads_end])
    ]
    return Report(
        boot_id,
        zone_hash,
        version,
        StorePosition(era, revision),
        bool(flags & IN_ROTATION_FLAG),
        bool(flags & ZONE_SHORT_FLAG),
        bool(flags & REACHES_STORE_FLAG),
        loads,
        decode_items(sections, SPEEDS_SECTION, SPEED),
        decode_items(sections, ROOMS_SECTION, ROOM),
    )


def decode_sections(data: bytes) -> dict[int, bytes] | None:
    """Return the contents of sections by kind, or None if one is truncated."""
    sections: dict[int, bytes] = {}
    while data:
        if len(data) < SECTION.size:
            return None
        kind, length = SECTION.unpack_from(data)
        end = SECTION.size + length
        if len(data) < end:
            return None
        sections[kind] = sections.get(kind, b"") + data[SECTION.size : end]
        data = data[end:]
    return sections


def decode_items(sections: dict[int, bytes], kind: int, item: struct.Struct) -> list[tuple]:
    """Return the items of a section; an incomplete last one is ignored."""
    content = sections.get(kind, b"")
    return list(item.iter_unpack(content[: len(content) // item.size * item.size]))


class PeerState:
    """What this host knows of another host, mostly from its last report.

    Attributes:
        address: The address at which the peer receives reports, and from which it sends them.
        rank: The peer's sort key in the order that all hosts compute alike; see `rank_of`.
        is_registered: Whether the store has the peer's key.
        known_since: When this host learned of the peer, in seconds.
        boot_id: The number that identifies the peer's process; 0 before its first report.
        last_report_at: When the last report arrived, in seconds; None before the first one.
        loads: Requests in progress and idle flows by route token; tokens without load are left
            out.
        config_version: The version of the configuration that is in force at the peer.
        advertised_position: The store position of the latest change that this host should fetch.
        zone_hash: The hash of the peer's zone; None until a report or the store has named it.
        in_rotation: Whether the peer answers routers' readiness probes positively.
        zone_short: Whether the peer finds its zone cut off from the others and short of slots.
        reaches_store: Whether the peer's last store call was answered.
    """

    __slots__ = (
        "address",
        "advertised_position",
        "boot_id",
        "config_version",
        "in_rotation",
        "is_registered",
        "known_since",
        "last_report_at",
        "loads",
        "rank",
        "reaches_store",
        "zone_hash",
        "zone_short",
    )

    def __init__(self, address: Address, known_since: float) -> None:
        self.address = address
        self.known_since = known_since
        self.rank = rank_of(address)
        self.is_registered = False
        self.boot_id = 0
        self.last_report_at: float | None = None
        self.loads: dict[int, tuple[int, int]] = {}
        self.config_version = 0
        self.advertised_position = FIRST_POSITION
        self.reaches_store = False
        self.zone_hash: int | None = None
        self.in_rotation = False
        self.zone_short = False

    def is_alive(self, now: float, timeout_s: float = PEER_TIMEOUT_S) -> bool:
        """Whether the last report arrived less than `timeout_s` seconds ago."""
        return self.last_report_at is not None and now - self.last_report_at < timeout_s

    def last_heard_at(self) -> float:
        """Return when the last report arrived, or when the peer became known without one."""
        return self.known_since if self.last_report_at is None else self.last_report_at
