"""Sending and receiving authenticated control messages, with a bandwidth budget."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from godwitway.addresses import Address
from godwitway.errors import ErrorKind
from godwitway.process._messages import ControlMessage
from godwitway.process._node import Node
from godwitway.request._redirect import AUTHENTICATOR_BYTES

__all__ = ["Control"]

PACED_FRACTION = 0.6  # Of `control_bytes_per_s`; the rest is for messages that are not paced.
TRANSPORT_OVERHEAD_BYTES = 80  # Counted for each message in addition to its payload.

Handler = Callable[[Any], Awaitable[None] | None]


class Control:
    """Sends, authenticates and dispatches the control messages of one host.

    Attributes:
        node: The host.
        handlers: The handler of each message type, set before `run` starts.
        next_paced_send: The earliest time of the next paced message, in seconds of the clock.
    """

    __slots__ = ("handlers", "next_paced_send", "node")

    def __init__(self, node: Node) -> None:
        self.node = node
        self.handlers: dict[type, Handler] = {}
        self.next_paced_send = node.now()

    async def send(self, message: ControlMessage, host_id: bytes) -> bool:
        """Send a message to a host and return whether it was accepted for sending.

        False for an unknown host; an accepted message may still be lost.
        """
        member = self.node.members.get(host_id)
        return member is not None and await self.send_to(message, member.control)

    async def send_to(self, message: ControlMessage, address: Address) -> bool:
        """Send a message to a control address and return whether it was accepted for sending."""
        body = msgspec.msgpack.encode(message)
        data = self.node.keyring.sign(body) + body
        # The class name is the label of the metric.
        message_type = type(message).__name__
        self.node.metrics.count(
            "control_bytes_sent", message_type, len(data) + TRANSPORT_OVERHEAD_BYTES
        )
        return await self.node.transport.send(data, address)

    async def send_paced(self, message: ControlMessage, host_id: bytes) -> bool:
        """Wait until the budget for paced messages allows a message, then `send` it."""
        bytes_per_s = self.node.settings.control_bytes_per_s * PACED_FRACTION
        size = len(msgspec.msgpack.encode(message)) + TRANSPORT_OVERHEAD_BYTES
        now = self.node.now()
        start = max(now, self.next_paced_send)
        self.next_paced_send = start + size / bytes_per_s
        if start > now:
            await self.node.clock.sleep(start - now)
        return await self.send(message, host_id)

    async def run(self) -> None:
        """Receive and handle messages one after another until cancelled."""
        while True:
            data = await self.node.transport.receive()
            self.node.metrics.count(
                "control_bytes_received", "", len(data) + TRANSPORT_OVERHEAD_BYTES
            )
            await self.handle(data)

    async def handle(self, data: bytes) -> None:
        """Authenticate, decode and dispatch one message; an invalid one is counted and dropped."""
        body = data[AUTHENTICATOR_BYTES:]
        if not self.node.keyring.verify(body, data[:AUTHENTICATOR_BYTES]):
            self.node.record_drop(ErrorKind.BAD_AUTHENTICATOR)
            return
        try:
            message = msgspec.msgpack.decode(body, type=ControlMessage)
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        pending = self.handlers[type(message)](message)
        if pending is not None:
            await pending
