"""Packets that inform a caller that its request was refused or its flow has ended."""

import dpkt

from godwitway.request._packet import ACK, FIN, RST, SYN
from godwitway.version import TCP

__all__ = ["build_refusal", "build_reset"]

ICMP_ADMINISTRATIVELY_PROHIBITED = 13
ICMP_QUOTED_TRANSPORT_BYTES = 8
SEQUENCE_MODULUS = 1 << 32


def build_refusal(packet: bytes) -> bytes:
    """Return the packet that refuses a first packet: a TCP reset, or an ICMP error for UDP."""
    if packet[9] == TCP:
        return build_reset(packet)
    return build_prohibited(packet)


def build_reset(packet: bytes) -> bytes:
    """Return the TCP reset for a caller's packet, built as in RFC 9293, section 3.5.2."""
    received = dpkt.ip.IP(packet)
    segment = received.data
    length = len(segment.data) + bool(segment.flags & SYN) + bool(segment.flags & FIN)
    if segment.flags & ACK:
        reset = dpkt.tcp.TCP(seq=segment.ack, ack=0, flags=RST)
    else:
        acknowledged = (segment.seq + length) % SEQUENCE_MODULUS
        reset = dpkt.tcp.TCP(seq=0, ack=acknowledged, flags=RST | ACK)
    reset.sport, reset.dport, reset.win = segment.dport, segment.sport, 0
    return build_ipv4_packet(received.dst, received.src, dpkt.ip.IP_PROTO_TCP, reset)


def build_prohibited(packet: bytes) -> bytes:
    """Return the ICMP error "communication administratively prohibited" for a UDP packet."""
    received = dpkt.ip.IP(packet)
    quoted = packet[: 20 + ICMP_QUOTED_TRANSPORT_BYTES]
    unreachable = dpkt.icmp.ICMP.Unreach()
    unreachable.data = quoted
    message = dpkt.icmp.ICMP(
        type=dpkt.icmp.ICMP_UNREACH,
        code=ICMP_ADMINISTRATIVELY_PROHIBITED,
        data=unreachable,
    )
    return build_ipv4_packet(received.dst, received.src, dpkt.ip.IP_PROTO_ICMP, message)


def build_ipv4_packet(source: bytes, destination: bytes, protocol: int, data: dpkt.Packet) -> bytes:
    """Return an IPv4 packet that contains a transport message, with all checksums set."""
    packet = dpkt.ip.IP(src=source, dst=destination, p=protocol, ttl=64, data=data)
    packet.len = len(packet)
    return bytes(packet)
