"""Tests of flow keys, packet errors and checksums."""

import dpkt
import pytest
from builders import BOARD_PORT, CALLER, tcp_packet, udp_packet
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from godwitway.errors import ErrorKind
from godwitway.request import (
    flow_key,
    format_key,
    is_transport_checksum_valid,
    packet_error,
    reverse_flow_key,
)


class TestFlowKey:
    """Tests of `flow_key` and `packet_error`."""

    def test_key_contains_both_endpoints(self):
        """A key contains the protocol, and the addresses and ports of caller and service."""
        key = flow_key(tcp_packet())
        assert key is not None
        assert format_key(key) == f"tcp {CALLER[0]}:{CALLER[1]} -> 10.10.0.1:{BOARD_PORT}"

    def test_reversing_twice_returns_key(self):
        """Reversing a key once changes it, and reversing it twice returns the key."""
        key = flow_key(udp_packet())
        assert key is not None
        assert reverse_flow_key(reverse_flow_key(key)) == key
        assert reverse_flow_key(key) != key

    @pytest.mark.parametrize(
        ("damage", "kind"),
        [
            (lambda p: p[:12], ErrorKind.TRUNCATED_PACKET),
            (lambda p: b"\x65" + p[1:], ErrorKind.NOT_IPV4),
            (lambda p: b"\x46" + p[1:], ErrorKind.NOT_IPV4),
            (lambda p: p + b"x", ErrorKind.BAD_LENGTH),
            (lambda p: p[:-1], ErrorKind.BAD_LENGTH),
            (lambda p: p[:8] + b"\x01" + p[9:], ErrorKind.BAD_CHECKSUM),
        ],
    )
    def test_rejects_damaged_packet(self, damage, kind):
        """A damaged packet has no key, and the error kind names the reason."""
        packet = damage(tcp_packet())
        assert flow_key(packet) is None
        assert packet_error(packet) == kind

    def test_rejects_fragment(self):
        """A fragment has no key."""
        packet = dpkt.ip.IP(tcp_packet())
        packet.mf = 1
        packet.sum = 0
        assert flow_key(bytes(packet)) is None
        assert packet_error(bytes(packet)) == ErrorKind.FRAGMENT

    def test_rejects_other_protocol(self):
        """A packet that is neither TCP nor UDP has no key."""
        packet = dpkt.ip.IP(tcp_packet())
        packet.p = 1
        packet.sum = 0
        assert flow_key(bytes(packet)) is None
        assert packet_error(bytes(packet)) == ErrorKind.UNSUPPORTED_PROTOCOL

    @seed(1)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_raise_no_exception(self, packet):
        """Any bytes yield a key or an error kind."""
        if flow_key(packet) is None:
            assert isinstance(packet_error(packet), ErrorKind)

    @seed(2)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.integers(0, 39), st.integers(1, 255))
    def test_detects_any_changed_byte(self, position, change):
        """The header's or the segment's checksum detects one changed byte."""
        packet = bytearray(tcp_packet(payload=b"ab"))
        packet[position] ^= change
        changed = bytes(packet)
        assert flow_key(changed) is None or not is_transport_checksum_valid(changed)


class TestTransportChecksum:
    """Tests of `is_transport_checksum_valid`."""

    def test_accepts_checksums_of_dpkt(self):
        """Checksums that another library computed are correct."""
        assert is_transport_checksum_valid(tcp_packet(payload=b"abc"))
        assert is_transport_checksum_valid(udp_packet(payload=b"abcd"))

    def test_rejects_changed_payload(self):
        """The checksum detects a changed payload."""
        assert not is_transport_checksum_valid(udp_packet()[:-1] + b"y")
