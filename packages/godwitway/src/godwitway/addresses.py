"""IPv4 addresses with a port: as text, as socket addresses and as 6 packed bytes."""

import socket
import struct

__all__ = ["Address", "format_address", "pack_address", "parse_address", "unpack_address"]

Address = tuple[str, int]

PORT_STRUCT = struct.Struct("!H")
MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Parse ``"ip:port"``.

    Raises:
        ValueError: The text is not an IPv4 address with a port from 1 to 65535.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an IPv4 address with a port, such as 10.0.0.1:80")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"{host!r} is not an IPv4 address") from None
    return host, int(port)


def format_address(address: Address) -> str:
    """Return ``"ip:port"``, the form that `parse_address` reads."""
    return f"{address[0]}:{address[1]}"


def pack_address(address: Address) -> bytes:
    """Pack an address into 4 bytes of IP address and 2 bytes of port, in network byte order.

    >>> pack_address(("127.0.0.1", 80)).hex()
    '7f0000010050'
    """
    return socket.inet_aton(address[0]) + PORT_STRUCT.pack(address[1])


def unpack_address(packed: bytes) -> Address:
    """Return the address that `pack_address` packed; bytes after the sixth are ignored.

    >>> unpack_address(bytes.fromhex("7f0000010050"))
    ('127.0.0.1', 80)
    """
    return socket.inet_ntoa(packed[:4]), PORT_STRUCT.unpack(packed[4:6])[0]
