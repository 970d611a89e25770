"""Datagram ports on UDP sockets, each read in batches by one task."""

import asyncio
import socket
from collections.abc import AsyncIterator
from itertools import islice
from typing import Protocol

from godwitway.addresses import Address

__all__ = ["DatagramPort", "UdpPort", "receive_batches"]

MAX_BATCH_DATAGRAMS = 64
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramPort(Protocol):
    """Sends and receives datagrams at one address."""

    address: Address

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram without waiting; it may be lost."""

    def receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram with its source address, or None when none has arrived."""

    async def wait_readable(self) -> None:
        """Wait until a datagram can be received."""

    def close(self) -> None:
        """Release the address."""


async def receive_batches(port: DatagramPort) -> AsyncIterator[list[tuple[bytes, Address]]]:
    """Yield the datagrams that arrive at a port, up to 64 (`MAX_BATCH_DATAGRAMS`) at a time.

    The iterator never ends; a batch may be empty.
    """
    while True:
        await port.wait_readable()
        yield list(islice(iter(port.receive, None), MAX_BATCH_DATAGRAMS))


class UdpPort:
    """A datagram port on a non-blocking UDP socket; one task at a time may wait for it."""

    __slots__ = ("address", "is_closed", "loop", "readable_future", "socket")

    def __init__(self, address: Address) -> None:
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.bind(address)
        self.address: Address = self.socket.getsockname()
        self.readable_future: asyncio.Future[None] | None = None
        self.is_closed = False
        self.loop.add_reader(self.socket.fileno(), self.handle_readable)

    def handle_readable(self) -> None:
        """Resume the waiting task, or stop watching the socket when no task waits."""
        if self.readable_future is not None and not self.readable_future.done():
            self.readable_future.set_result(None)
        else:
            # The event is level-triggered: without a waiting task it would fire in a busy loop.
            self.loop.remove_reader(self.socket.fileno())

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram; it is lost when the socket buffer is full or the host unreachable."""
        try:
            self.socket.sendto(data, to)
        except OSError:
            return

    def receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram with its source address, or None when none has arrived."""
        try:
            return self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return None

    async def wait_readable(self) -> None:
        """Wait until a datagram can be received."""
        self.readable_future = self.loop.create_future()
        self.loop.add_reader(self.socket.fileno(), self.handle_readable)
        await self.readable_future
        self.readable_future = None

    def close(self) -> None:
        """Close the socket; closing it again does nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        self.loop.remove_reader(self.socket.fileno())
        self.socket.close()
