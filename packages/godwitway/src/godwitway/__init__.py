"""The shared library of the godwitway layer-4 load balancer."""

from godwitway.addresses import Address, format_address, pack_address, parse_address
from godwitway.errors import ErrorKind, Problem, response_for

__all__ = [
    "Address",
    "ErrorKind",
    "Problem",
    "format_address",
    "pack_address",
    "parse_address",
    "response_for",
]
