"""Sending and receiving control messages, signed and within the budget."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from godwitway.addresses import Address
from godwitway.errors import ErrorKind
from godwitway.process._messages import ControlMessage
from godwitway.process._node import Node
from godwitway.request._redirect import AUTHENTICATOR_BYTES

__all__ = ["Control"]

PACED_PART = 0.6
OVERHEAD_BYTES = 80

Handler = Callable[[Any], Awaitable[None] | None]


class Control:
    """The control messages of one host.

    Attributes:
        node: The host.
        handlers: The handler of each message type.
        next_send: When the budget allows the next paced message, in seconds.
    """

    __slots__ = ("handlers", "next_send", "node")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.handlers: dict[type, Handler] = {}
        self.next_send = node.now()

    async def send(self, message: ControlMessage, host: bytes) -> bool:
        """Send a message to a host and return whether it left this one."""
        member = self.node.members.get(host)
        return member is not None and await self.send_to(message, member.control)

    async def send_to(self, message: ControlMessage, address: Address) -> bool:
        """Send a message to a control address and return whether it left this host."""
        body = msgspec.msgpack.encode(message)
        data = self.node.keyring.sign(body) + body
        kind = type(message).__name__
        self.node.metrics.count("control_bytes_sent", kind, len(data) + OVERHEAD_BYTES)
        return await self.node.transport.send(data, address)

    async def send_paced(self, message: ControlMessage, host: bytes) -> bool:
        """Send a message when the budget for control traffic allows it."""
        budget = self.node.settings.control_bytes_per_s * PACED_PART
        size = len(msgspec.msgpack.encode(message)) + OVERHEAD_BYTES
        now = self.node.now()
        start = max(now, self.next_send)
        self.next_send = start + size / budget
        if start > now:
            await self.node.clock.sleep(start - now)
        return await self.send(message, host)

    async def run(self) -> None:
        """Handle arriving messages, for ever."""
        while True:
            data = await self.node.transport.receive()
            self.node.metrics.count("control_bytes_received", "", len(data) + OVERHEAD_BYTES)
            await self.handle(data)

    async def handle(self, data: bytes) -> None:
        """Check and handle one message."""
        body = data[AUTHENTICATOR_BYTES:]
        if not self.node.keyring.verify(body, data[:AUTHENTICATOR_BYTES]):
            self.node.record_drop(ErrorKind.BAD_AUTHENTICATOR)
            return
        try:
            message = msgspec.msgpack.decode(body, type=ControlMessage)
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        answered = self.handlers[type(message)](message)
        if answered is not None:
            await answered
