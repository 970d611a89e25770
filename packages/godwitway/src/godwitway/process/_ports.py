"""Datagram ports over UDP sockets, emptied by one task each."""

import asyncio
import socket
from collections.abc import AsyncIterator
from itertools import islice
from typing import Protocol

from godwitway.addresses import Address

__all__ = ["DatagramPort", "UdpPort", "receive_batches"]

BATCH = 64
MAX_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024


class DatagramPort(Protocol):
    """Where datagrams are sent and received."""

    address: Address

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram, or lose it as a network would."""

    def receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram that has arrived, or None."""

    async def wait_readable(self) -> None:
        """Wait until a datagram has arrived."""

    def close(self) -> None:
        """Stop sending and receiving."""


async def receive_batches(port: DatagramPort) -> AsyncIterator[list[tuple[bytes, Address]]]:
    """Yield what arrives at a port for ever, up to 64 datagrams at a time."""
    while True:
        await port.wait_readable()
        yield list(islice(iter(port.receive, None), BATCH))


class UdpPort:
    """A datagram port on a UDP socket."""

    __slots__ = ("address", "closed", "loop", "socket", "wakeup")

    def __init__(self, address: Address) -> None:
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.bind(address)
        self.address: Address = self.socket.getsockname()
        self.wakeup: asyncio.Future[None] | None = None
        self.closed = False
        self.loop.add_reader(self.socket.fileno(), self.wake)

    def wake(self) -> None:
        """Wake the reader task."""
        if self.wakeup is not None and not self.wakeup.done():
            self.wakeup.set_result(None)
        else:
            # Without a waiting reader the level-triggered event would spin the loop.
            self.loop.remove_reader(self.socket.fileno())

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram; a full socket buffer or an unreachable host loses it."""
        try:
            self.socket.sendto(data, to)
        except OSError:
            return

    def receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram that has arrived, or None."""
        try:
            return self.socket.recvfrom(MAX_DATAGRAM_BYTES)
        except OSError:
            return None

    async def wait_readable(self) -> None:
        """Wait until a datagram has arrived."""
        self.wakeup = self.loop.create_future()
        self.loop.add_reader(self.socket.fileno(), self.wake)
        await self.wakeup
        self.wakeup = None

    def close(self) -> None:
        """Close the socket."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.socket.fileno())
        self.socket.close()
