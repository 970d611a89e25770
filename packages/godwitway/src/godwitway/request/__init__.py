"""What lives for one packet: parsing, redirect headers, admission and refusals."""

from godwitway.request._admission import Verdict, admit, connection_bound, pressure_of
from godwitway.request._packet import (
    ACK,
    FIN,
    RST,
    SYN,
    answer_key,
    diagnose,
    flow_key,
    format_key,
    tcp_flags,
    transport_checksum_ok,
)
from godwitway.request._redirect import DatagramType, Flag, Keyring, Redirect, decode, encode
from godwitway.request._refusal import build_refusal, build_reset

__all__ = [
    "ACK",
    "FIN",
    "RST",
    "SYN",
    "DatagramType",
    "Flag",
    "Keyring",
    "Redirect",
    "Verdict",
    "admit",
    "answer_key",
    "build_refusal",
    "build_reset",
    "connection_bound",
    "decode",
    "diagnose",
    "encode",
    "flow_key",
    "format_key",
    "pressure_of",
    "tcp_flags",
    "transport_checksum_ok",
]
