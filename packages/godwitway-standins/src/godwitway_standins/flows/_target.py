"""A backend server that speaks the platform's flows."""

import asyncio
import json
import socket
import time
from collections.abc import Callable
from typing import Protocol

from godwitway_standins.flows._cold_flows import COLD_START_S
from godwitway_standins.flows._flow_end import FlowEnd
from godwitway_standins.flows._segment import (
    ACK,
    RST,
    SYN,
    FlowKey,
    Segment,
    decode,
    encode,
)

__all__ = ["FlowTarget", "RunLog", "expected_body"]

TICK_S = 0.01
QUEUE = 12
MAX_RETRANSMISSIONS = 8
ENVELOPE_BYTES = 8
SEQUENCE_SPAN = 1 << 30


class RunLog(Protocol):
    """Takes note of what a target does."""

    def took(self, target: "FlowTarget", key: FlowKey, host: str) -> None:
        """A target took the opening packet of a flow from a host."""

    def ran(self, target: "FlowTarget", request: str, key: FlowKey) -> None:
        """A target began to work on a request."""

    def forged(self, where: str) -> None:
        """A packet came that its sender did not write so."""


def expected_body(request: str, size: int) -> bytes:
    """Return the body of the answer to a request."""
    return (request.encode() * (size // len(request) + 1))[:size]


class HeldFlow:
    """A flow at a target."""

    __slots__ = ("buffer", "echo", "end", "opened")

    def __init__(self, end: FlowEnd, echo: int) -> None:
        self.end = end
        self.echo = echo
        self.opened = False
        self.buffer = b""


class FlowTarget:
    """One backend server.

    Attributes:
        name: Its id.
        service: Its service.
        zone: Its availability zone.
        address: Where it takes packets and health checks.
        work_s: How long a request takes at the usual speed.
        speed: Its speed relative to the usual one.
        slowdown: How much longer than at its own speed requests take at present, as a factor.
        cold_until: When its warm-up ends, in seconds of the event loop's clock.
        restarted: Whether it is cold because it restarted under its id.
        last_flow_at: When it last accepted a new flow, by the same clock.
        reaches: Whether packets of a host, by IP address, arrive.
        draining: Whether it is leaving.
        alive: Whether it answers at all.
    """

    def __init__(
        self,
        number: int,
        service: str,
        zone: str,
        address: tuple[str, int],
        log: RunLog,
        caller_port: int,
        work_s: float = 0.02,
        slots: int = 3,
        speed: float = 1.0,
    ) -> None:
        self.number = number
        self.name = f"i-{number:08x}"
        self.service = service
        self.zone = zone
        self.address = address
        self.log = log
        self.caller_port = caller_port
        self.work_s = work_s
        self.slots = slots
        self.speed = speed
        self.slowdown = 1.0
        self.cold_until = 0.0
        self.restarted = False
        self.last_flow_at = 0.0
        self.reaches: Callable[[str], bool] = lambda host: True
        self.draining = False
        self.alive = False
        self.started_ms = 0
        self.sequence = 0
        self.waiting = 0
        self.flows: dict[FlowKey, HeldFlow] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.free = asyncio.Semaphore(slots)

    async def start(self) -> None:
        """Listen, for the first time or again after a crash."""
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind(self.address)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)
        self.health = await asyncio.start_server(self.answer_health, *self.address)
        self.alive = True
        self.cool()
        self.restarted = self.started_ms > 0
        self.started_ms = int(time.time() * 1000)
        self.spawn(self.tick())

    def spawn(self, job) -> None:
        """Run a job until the target ends."""
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self) -> None:
        """End at once, with all flows."""
        self.alive = False
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
        self.health.close()
        self.flows.clear()
        for task in list(self.tasks):
            task.cancel()

    def cool(self) -> None:
        """Become cold, as after a start."""
        self.restarted = False
        self.cold_until = asyncio.get_running_loop().time() + COLD_START_S

    def is_cold(self, now: float) -> bool:
        """Whether it has not warmed up yet."""
        return now < self.cold_until

    def entry(self) -> bytes:
        """Return what the target says of itself."""
        self.sequence += 1
        cold_left_s = max(0.0, self.cold_until - asyncio.get_running_loop().time())
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone,
                "version": "v1",
                "concurrency": self.slots,
                "state": "draining" if self.draining else "ready",
                "cold-left-ms": int(cold_left_s * 1000),
                "sequence": self.sequence,
                "born": self.started_ms,
            }
        ).encode()

    async def answer_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one health check."""
        if not self.reaches(writer.get_extra_info("peername")[0]):
            writer.transport.abort()
            return
        await reader.readline()
        status = b"503 Service Unavailable" if self.draining else b"200 OK"
        writer.write(
            b"HTTP/1.1 "
            + status
            + b"\r\nX-Godwitway-Instance-Id: "
            + self.name.encode()
            + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        writer.close()

    def read(self) -> None:
        """Take the packets that have arrived."""
        while self.alive:
            try:
                raw, source = self.socket.recvfrom(2_048)
            except BlockingIOError:
                return
            if self.reaches(source[0]):
                self.take(raw, source[0])

    def take(self, raw: bytes, host: str) -> None:
        """Take one packet from a host."""
        meant = int.from_bytes(raw[:ENVELOPE_BYTES], "big")
        segment, right = decode(raw[ENVELOPE_BYTES:])
        if meant not in (0, self.number):
            return
        if not right or segment.flags & (SYN | ACK) == SYN | ACK:
            self.log.forged(self.name)
            return
        key = segment.key()
        flow = self.flows.get(key)
        if segment.flags & SYN:
            self.open(segment, key, flow, host)
        elif flow is None:
            if not segment.flags & RST:
                self.reply(segment, RST, segment.acknowledged, 0, b"", segment.echo)
        elif segment.flags & RST:
            del self.flows[key]
        else:
            self.go_on(segment, key, flow)

    def open(self, segment: Segment, key: FlowKey, flow: HeldFlow | None, host: str) -> None:
        """Accept a flow, or answer a copy of its opening packet."""
        if flow is None:
            first = (hash((key, self.number, self.sequence)) % SEQUENCE_SPAN) + 1
            flow = HeldFlow(None, segment.echo)
            flow.end = FlowEnd(
                lambda flags, seq, ack, data: self.reply(segment, flags, seq, ack, data, flow.echo),
                asyncio.get_running_loop().time,
                first,
                segment.sequence + 1,
            )
            self.flows[key] = flow
            self.last_flow_at = asyncio.get_running_loop().time()
            self.log.took(self, key, host)
        if not flow.opened:
            end = flow.end
            self.reply(segment, SYN | ACK, end.next - 1, end.expected, b"", flow.echo)

    def go_on(self, segment: Segment, key: FlowKey, flow: HeldFlow) -> None:
        """Take a later packet of a flow."""
        if not flow.opened and segment.acknowledged != flow.end.next:
            return
        flow.opened = True
        flow.echo = segment.echo
        flow.buffer += flow.end.receive(segment)
        if flow.end.peer_closed and not flow.end.closing:
            flow.end.close()
        if flow.end.closed and flow.end.peer_closed:
            del self.flows[key]
            return
        head, separator, body = flow.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
        length = int(fields.get("Content-Length", 0))
        if len(body) >= length:
            flow.buffer = body[length:]
            size = int(fields["X-Size"])
            self.spawn(self.work(fields["X-Godwitway-Request-Id"], size, key, flow))

    async def work(self, request: str, size: int, key: FlowKey, flow: HeldFlow) -> None:
        """Work on a request, or reject it when too many wait."""
        if self.free.locked() and self.waiting >= QUEUE:
            flow.end.write(
                b"HTTP/1.1 503 Busy\r\nX-Godwitway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.log.ran(self, request, key)
            await asyncio.sleep(self.work_s * self.slowdown / self.speed)
        body = expected_body(request, size)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Godwitway-Server-Stamp: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        flow.end.write(head.encode() + body)
        if self.draining:
            flow.end.close()

    def reply(
        self, to: Segment, flags: int, sequence: int, acknowledged: int, data: bytes, echo: int
    ) -> None:
        """Send a packet to the caller directly."""
        segment = Segment(to.destination, to.source, flags, sequence, acknowledged, data, echo)
        try:
            self.socket.sendto(encode(segment), (to.source[0], self.caller_port))
        except OSError:
            return  # A full buffer loses packets like any link.

    async def tick(self) -> None:
        """Repeat what was not acknowledged, and give up flows that make no progress."""
        while True:
            await asyncio.sleep(TICK_S)
            for key, flow in list(self.flows.items()):
                flow.end.tick()
                if flow.end.retransmissions > MAX_RETRANSMISSIONS:
                    del self.flows[key]
