"""The packets that callers and backend servers exchange."""

import socket
import struct

import xxhash

__all__ = ["ACK", "DATA_BYTES", "FIN", "RST", "SYN", "FlowKey", "Segment", "decode", "encode"]

HEAD = struct.Struct("<IIBHIIHHII")
BOUNCED = 64
SYN = 16
ACK = 1
FIN = 8
RST = 32
DATA_BYTES = 1_200
KEY = 0x5EED

FlowKey = tuple[str, int, str, int]


class Segment:
    """One packet.

    Attributes:
        echo: The route token.
        flags: The flags.
        source: The sender's address and port.
        destination: The receiver's address and port.
        sequence: The number of the first data byte.
        acknowledged: The next byte that the sender expects; the copy's number in a first packet.
        data: The data.
    """

    __slots__ = ("acknowledged", "data", "destination", "echo", "flags", "sequence", "source")

    def __init__(
        self,
        source: tuple[str, int],
        destination: tuple[str, int],
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
        echo: int = 0,
    ) -> None:
        self.source = source
        self.destination = destination
        self.flags = flags
        self.sequence = sequence
        self.acknowledged = acknowledged
        self.data = data
        self.echo = echo

    def key(self) -> FlowKey:
        """Return the addresses and ports."""
        return (*self.source, *self.destination)


def number(ip: str) -> int:
    """Return an address as a number."""
    return int.from_bytes(socket.inet_aton(ip), "big")


def text(ip: int) -> str:
    """Return a number as an address."""
    return socket.inet_ntoa(ip.to_bytes(4, "big"))


def keyed_sum(raw: bytes) -> int:
    """Return the sum over all fields but the echo and the sum itself."""
    flags = raw[8] & ~BOUNCED
    return xxhash.xxh32_intdigest(bytes([flags]) + raw[9:], KEY) or 1


def encode(segment: Segment) -> bytes:
    """Return a packet with its sum."""
    raw = (
        HEAD.pack(
            segment.echo,
            0,
            segment.flags,
            segment.destination[1],
            number(segment.destination[0]),
            number(segment.source[0]),
            segment.source[1],
            len(segment.data),
            segment.sequence % (1 << 32),
            segment.acknowledged % (1 << 32),
        )
        + segment.data
    )
    return raw[:4] + struct.pack("<I", keyed_sum(raw)) + raw[8:]


def decode(raw: bytes) -> tuple[Segment, bool]:
    """Return the packet and whether its sum is right."""
    echo, total, flags, dport, dst, src, sport, length, sequence, acknowledged = HEAD.unpack_from(
        raw
    )
    segment = Segment(
        (text(src), sport),
        (text(dst), dport),
        flags,
        sequence,
        acknowledged,
        raw[HEAD.size :],
        echo,
    )
    right = length == len(raw) - HEAD.size and total == keyed_sum(raw)
    return segment, right
