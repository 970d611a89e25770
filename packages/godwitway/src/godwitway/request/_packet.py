"""Validation of IPv4 packets, and their flow keys and TCP flags."""

import socket

from godwitway.errors import ErrorKind
from godwitway.version import TCP, UDP

__all__ = [
    "ACK",
    "FIN",
    "RST",
    "SYN",
    "flow_key",
    "format_key",
    "is_transport_checksum_valid",
    "packet_error",
    "reverse_flow_key",
    "tcp_flags",
]

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

IPV4_HEADER_BYTES = 20
TCP_HEADER_BYTES = 20
UDP_HEADER_BYTES = 8
# First header byte: version 4, and a header of 5 words of 4 bytes.
IPV4_NO_OPTIONS = 0x45
MIN_PACKET_BYTES = IPV4_HEADER_BYTES + UDP_HEADER_BYTES
# In header byte 6: the more-fragments flag and the upper 5 bits of the fragment offset. The other
# 8 bits are in byte 7.
FRAGMENT_BITS = 0x3F
# 2**16 is 1 modulo 0xFFFF, so a number modulo 0xFFFF is the ones' complement sum of its 16-bit
# words (RFC 1071). Data with a correct checksum has the sum 0.
CHECKSUM_MODULUS = 0xFFFF


def flow_key(packet: bytes) -> bytes | None:
    """Return the flow key of a packet, or None if the packet is invalid or unsupported.

    The key of a caller's packet has 13 bytes: caller address, service address, caller port,
    service port and protocol. Packets with IPv4 options and fragments are unsupported.
    `packet_error` returns the reason for a packet without a key.
    """
    size = len(packet)
    if size < MIN_PACKET_BYTES or packet[0] != IPV4_NO_OPTIONS:
        return None
    if packet[6] & FRAGMENT_BITS or packet[7] or (packet[2] << 8 | packet[3]) != size:
        return None
    if int.from_bytes(packet[:IPV4_HEADER_BYTES], "big") % CHECKSUM_MODULUS:
        return None
    protocol = packet[9]
    if protocol == TCP:
        if size < IPV4_HEADER_BYTES + TCP_HEADER_BYTES:
            return None
    elif protocol != UDP:
        return None
    return packet[12:24] + packet[9:10]


def packet_error(packet: bytes) -> ErrorKind:
    """Return why `flow_key` returned None for a packet."""
    size = len(packet)
    if size < IPV4_HEADER_BYTES:
        return ErrorKind.TRUNCATED_PACKET
    if packet[0] != IPV4_NO_OPTIONS:
        return ErrorKind.NOT_IPV4
    if packet[2] << 8 | packet[3] != size:
        return ErrorKind.BAD_LENGTH
    if int.from_bytes(packet[:IPV4_HEADER_BYTES], "big") % CHECKSUM_MODULUS:
        return ErrorKind.BAD_CHECKSUM
    if packet[6] & FRAGMENT_BITS or packet[7]:
        return ErrorKind.FRAGMENT
    if packet[9] not in (TCP, UDP):
        return ErrorKind.UNSUPPORTED_PROTOCOL
    return ErrorKind.TRUNCATED_PACKET


def reverse_flow_key(key: bytes) -> bytes:
    """Return the key of the opposite direction, such as the caller's key for an answer's key.

    >>> reverse_flow_key(b"SSSSccccspCPt")
    b'ccccSSSSCPspt'
    """
    return key[4:8] + key[0:4] + key[10:12] + key[8:10] + key[12:13]


def tcp_flags(packet: bytes) -> int:
    """Return the TCP flags of a packet that has a flow key, and 0 for UDP."""
    return packet[33] if packet[9] == TCP else 0


def is_transport_checksum_valid(packet: bytes) -> bool:
    """Return whether the TCP or UDP checksum of a packet that has a flow key is correct.

    A UDP checksum of zero means that the sender computed none. A UDP length that differs from
    that of the IP packet counts as incorrect.
    """
    protocol = packet[9]
    segment = packet[IPV4_HEADER_BYTES:]
    if protocol == UDP:
        if segment[4] << 8 | segment[5] != len(segment):
            return False
        if segment[6:8] == b"\0\0":
            return True
    padded = segment + b"\0" if len(segment) % 2 else segment
    total = int.from_bytes(packet[12:20], "big") + protocol + len(segment)
    return (total + int.from_bytes(padded, "big")) % CHECKSUM_MODULUS == 0


def format_key(key: bytes) -> str:
    """Return a flow key as text for logs and dumps.

    >>> format_key(bytes([10, 0, 0, 1, 10, 0, 0, 2, 0, 9, 0, 80, 6]))
    'tcp 10.0.0.1:9 -> 10.0.0.2:80'
    """
    protocol = {TCP: "tcp", UDP: "udp"}.get(key[12], str(key[12]))
    caller = f"{socket.inet_ntoa(key[0:4])}:{int.from_bytes(key[8:10], 'big')}"
    service = f"{socket.inet_ntoa(key[4:8])}:{int.from_bytes(key[10:12], 'big')}"
    return f"{protocol} {caller} -> {service}"
