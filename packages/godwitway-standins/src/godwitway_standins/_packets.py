"""Building IPv4 packets with TCP and UDP inside, with all checksums."""

import struct

from godwitway.addresses import Address, pack_address
from godwitway.version import TCP, UDP

__all__ = [
    "ANSWER_BYTES_MAX",
    "Request",
    "answer_bytes",
    "build_tcp",
    "build_udp",
    "tcp_fields",
    "udp_payload",
]

IP_HEADER = struct.Struct("!BBHHHBBH4s4s")
TCP_HEADER = struct.Struct("!HHIIBBHHH")
UDP_HEADER = struct.Struct("!HHHH")
PSEUDO = struct.Struct("!4s4sBBH")
REQUEST = struct.Struct("!QIH")
TTL = 64
WINDOW = 65_535
ANSWER_BYTES_MAX = 1_000_000


def checksum(data: bytes) -> int:
    """Return the internet checksum of some bytes."""
    padded = data + b"\0" if len(data) % 2 else data
    folded = int.from_bytes(padded, "big") % 0xFFFF
    return 0xFFFF - folded


def ip_header(source: bytes, destination: bytes, protocol: int, length: int) -> bytes:
    """Return an IPv4 header."""
    fields = (0x45, 0, 20 + length, 0, 0x4000, TTL, protocol)
    without = IP_HEADER.pack(*fields, 0, source, destination)
    return IP_HEADER.pack(*fields, checksum(without), source, destination)


def build_tcp(
    source: Address, destination: Address, seq: int, ack: int, flags: int, payload: bytes = b""
) -> bytes:
    """Return an IPv4 packet with a TCP segment."""
    src, dst = pack_address(source), pack_address(destination)
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    fields = (source[1], destination[1], seq, ack, 0x50, flags, WINDOW)
    segment = TCP_HEADER.pack(*fields, 0, 0) + payload
    pseudo = PSEUDO.pack(src[:4], dst[:4], 0, TCP, len(segment))
    total = TCP_HEADER.pack(*fields, checksum(pseudo + segment), 0) + payload
    return ip_header(src[:4], dst[:4], TCP, len(total)) + total


def build_udp(source: Address, destination: Address, payload: bytes) -> bytes:
    """Return an IPv4 packet with a UDP datagram."""
    src, dst = pack_address(source), pack_address(destination)
    length = UDP_HEADER.size + len(payload)
    without = UDP_HEADER.pack(source[1], destination[1], length, 0) + payload
    total = checksum(PSEUDO.pack(src[:4], dst[:4], 0, UDP, length) + without) or 0xFFFF
    datagram = UDP_HEADER.pack(source[1], destination[1], length, total) + payload
    return ip_header(src[:4], dst[:4], UDP, length) + datagram


class Segment:
    """The TCP fields of a packet."""

    __slots__ = ("ack", "flags", "payload", "seq")

    def __init__(self, seq: int, ack: int, flags: int, payload: bytes) -> None:
        self.seq = seq
        self.ack = ack
        self.flags = flags
        self.payload = payload


def tcp_fields(packet: bytes) -> Segment:
    """Return the TCP fields of a packet."""
    _, _, seq, ack, offset, flags, _, _, _ = TCP_HEADER.unpack_from(packet, 20)
    return Segment(seq, ack, flags, packet[20 + (offset >> 4) * 4 :])


def udp_payload(packet: bytes) -> bytes:
    """Return the payload of a UDP packet."""
    return packet[28:]


class Request:
    """One request as callers write it into a payload.

    Attributes:
        id: The request's id, unique in a trace.
        answer_length: How many bytes the answer has.
        service_ms: How long the server works on it, in milliseconds.
    """

    __slots__ = ("answer_length", "id", "service_ms")

    size = REQUEST.size

    def __init__(self, id: int, answer_length: int, service_ms: int) -> None:
        self.id = id
        self.answer_length = answer_length
        self.service_ms = service_ms

    def encode(self) -> bytes:
        """Return the request's bytes."""
        return REQUEST.pack(self.id, self.answer_length, self.service_ms)

    @classmethod
    def decode(cls, data: bytes) -> "Request":
        """Read a request from its bytes."""
        return cls(*REQUEST.unpack_from(data))


def answer_bytes(request: Request) -> bytes:
    """Return the one right answer to a request."""
    word = (request.id * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF).to_bytes(8, "big")
    return (word * (request.answer_length // 8 + 1))[: request.answer_length]
