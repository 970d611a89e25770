"""Control messages between entry hosts, over pynng push and pull sockets."""

import asyncio
from collections import OrderedDict
from typing import Protocol

import pynng

from godwitway.addresses import Address, format_address

__all__ = ["ControlTransport", "NngTransport"]

SEND_TIMEOUT_MS = 1_000
MAX_OPEN_PEERS = 64
QUEUE_MESSAGES = 64


class ControlTransport(Protocol):
    """Sends and receives whole control messages."""

    address: Address

    async def send(self, message: bytes, to: Address) -> bool:
        """Send a message and return whether it left this host."""

    async def receive(self) -> bytes:
        """Return the next message."""

    def close(self) -> None:
        """Stop sending and receiving."""


class PeerLink:
    """The outgoing messages to one peer, sent by a task of its own."""

    __slots__ = ("queue", "socket", "task")

    def __init__(self, to: Address) -> None:
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_MESSAGES)
        self.socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
        self.socket.dial(f"tcp://{format_address(to)}", block=False)
        self.task = asyncio.ensure_future(self.run())

    async def run(self) -> None:
        """Send the queued messages; one that the peer does not take in time is lost."""
        while True:
            message = await self.queue.get()
            try:
                await self.socket.asend(message)
            except pynng.Timeout:
                continue

    def close(self) -> None:
        """Stop sending."""
        self.task.cancel()
        self.socket.close()


class NngTransport:
    """A transport that pulls on one socket and pushes on one socket for each peer."""

    __slots__ = ("address", "listener", "peers")

    def __init__(self, address: Address) -> None:
        self.address = address
        self.listener = pynng.Pull0(listen=f"tcp://{format_address(address)}")
        self.peers: OrderedDict[Address, PeerLink] = OrderedDict()

    def link(self, to: Address) -> PeerLink:
        """Return the link to a peer, and close the one unused longest."""
        if to not in self.peers:
            self.peers[to] = PeerLink(to)
            if len(self.peers) > MAX_OPEN_PEERS:
                self.peers.popitem(last=False)[1].close()
        self.peers.move_to_end(to)
        return self.peers[to]

    async def send(self, message: bytes, to: Address) -> bool:
        """Queue a message and return whether there was room for it."""
        try:
            self.link(to).queue.put_nowait(message)
        except asyncio.QueueFull:
            return False
        return True

    async def receive(self) -> bytes:
        """Return the next message."""
        return await self.listener.arecv()

    def close(self) -> None:
        """Close all sockets."""
        self.listener.close()
        for link in self.peers.values():
            link.close()
