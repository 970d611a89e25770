"""Handling of one packet: parsing, datagrams between hosts, admission and refusals."""

from godwitway.request._admission import (
    Admission,
    connection_bound,
    evaluate_admission,
    reported_load,
)
from godwitway.request._packet import (
    ACK,
    FIN,
    RST,
    SYN,
    flow_key,
    format_key,
    is_transport_checksum_valid,
    packet_error,
    reverse_flow_key,
    tcp_flags,
)
from godwitway.request._redirect import (
    DatagramHeader,
    DatagramType,
    Flag,
    Keyring,
    decode_datagram,
    encode_datagram,
)
from godwitway.request._refusal import build_refusal, build_reset

__all__ = [
    "ACK",
    "FIN",
    "RST",
    "SYN",
    "Admission",
    "DatagramHeader",
    "DatagramType",
    "Flag",
    "Keyring",
    "build_refusal",
    "build_reset",
    "connection_bound",
    "decode_datagram",
    "encode_datagram",
    "evaluate_admission",
    "flow_key",
    "format_key",
    "is_transport_checksum_valid",
    "packet_error",
    "reported_load",
    "reverse_flow_key",
    "tcp_flags",
]
