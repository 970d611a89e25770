"""The transport of control messages between entry hosts, on pynng push and pull sockets."""

import asyncio
from collections import OrderedDict
from typing import Protocol

import pynng

from godwitway.addresses import Address, format_address

__all__ = ["ControlTransport", "NngTransport"]

SEND_TIMEOUT_MS = 1_000
MAX_OPEN_SENDERS = 64
MAX_QUEUED_MESSAGES = 64


class ControlTransport(Protocol):
    """Sends and receives whole control messages without a delivery guarantee.

    Attributes:
        address: Where this host receives messages.
    """

    address: Address

    async def send(self, message: bytes, to: Address) -> bool:
        """Send a message and return whether it was accepted for sending."""

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""

    def close(self) -> None:
        """Close all connections; queued messages are lost."""


class PeerSender:
    """Sends queued messages to one peer in a task of its own."""

    __slots__ = ("queue", "socket", "task")

    def __init__(self, to: Address) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        self.socket.dial(f"tcp://{format_address(to)}", block=False)
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Send the queued messages; one that the peer does not accept in time is dropped."""
        while True:
            message = await self.queue.get()
            try:
                await self.socket.asend(message)
            except pynng.Timeout:
                continue

    def close(self) -> None:
        """Cancel the task and close the socket; queued messages are lost."""
        self.task.cancel()
        self.socket.close()


class NngTransport:
    """A transport that receives on one pull socket and sends on one push socket per peer."""

    __slots__ = ("address", "listener", "senders")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.listener = pynng.Pull0(listen=f"tcp://{format_address(address)}")
        self.senders: OrderedDict[Address, PeerSender] = OrderedDict()

    def sender_for(self, to: Address) -> PeerSender:
        """Return the sender for a peer; beyond the limit the least recently used one is closed."""
        if to not in self.senders:
            self.senders[to] = PeerSender(to)
            if len(self.senders) > MAX_OPEN_SENDERS:
                self.senders.popitem(last=False)[1].close()
        self.senders.move_to_end(to)
        return self.senders[to]

    async def send(self, message: bytes, to: Address) -> bool:
        """Queue a message and return False when the queue of the peer is full."""
        try:
            self.sender_for(to).queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> bytes:
        """Wait for the next message and return it."""
        return await self.listener.arecv()

    def close(self) -> None:
        """Close all sockets and cancel the sender tasks."""
        self.listener.close()
        for sender in self.senders.values():
            sender.close()
