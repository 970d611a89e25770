"""A backend server: TCP and UDP requests over IP-in-UDP, a few slots, a log of what it ran."""

import asyncio
from collections import Counter

from godwitway.addresses import Address, pack_address, unpack_address
from godwitway.process import Clock, DatagramPort, receive_batches, wait_for_event
from godwitway.request import ACK, FIN, RST, SYN, flow_key
from godwitway.version import TCP

from godwitway_standins._packets import (
    Request,
    Segment,
    answer_bytes,
    build_tcp,
    build_udp,
    tcp_fields,
    udp_payload,
)
from godwitway_standins._spray import Spray

__all__ = ["BackendServer"]

SEGMENT_BYTES = 1_000
WINDOW_SEGMENTS = 16
RETRANSMIT_S = 0.4
RETRANSMIT_TRIES = 12
INITIAL_SEQUENCE = 1_000_000
LINGER_S = 5.0


class ServerConnection:
    """One TCP connection at the server.

    Attributes:
        key: The flow key.
        received: The next sequence number that is expected.
        sent: The next sequence number to send.
        acknowledged: The highest acknowledgement that the caller sent.
        requests: Requests that wait for their answer.
        closing: Whether the caller has sent its FIN.
        ended: Whether the server has closed it and only acknowledges what the caller repeats.
    """

    __slots__ = (
        "acknowledged",
        "changed",
        "closing",
        "ended",
        "key",
        "received",
        "requests",
        "sent",
        "task",
    )

    def __init__(self, key: bytes, received: int) -> None:
        self.key = key
        self.received = received
        self.sent = INITIAL_SEQUENCE + 1
        self.acknowledged = INITIAL_SEQUENCE + 1
        self.requests: asyncio.Queue[Request | None] = asyncio.Queue()
        self.changed = asyncio.Event()
        self.closing = self.ended = False
        self.task: asyncio.Task[None] | None = None


class BackendServer:
    """One backend server of one service.

    Attributes:
        service: The packed address of its service.
        slots: How many requests it runs at once.
        runs: How often it ran each request.
        foreign: Packets that were meant for another service.
        shed: Whether it resets new connections.
        healthy: What its health endpoint says.
        draining: Whether its health endpoint says that it is leaving.
        closes: Ports of kinds whose connections it ends after one answer.
        busy_time: The slot time that its requests took, in seconds.
        peak: The most requests that it held at once, running or waiting.
        opened: When each flow was opened here, in seconds.
    """

    def __init__(
        self,
        port: DatagramPort,
        spray: Spray,
        clock: Clock,
        service: bytes,
        slots: int,
        closes: set[int],
    ) -> None:
        self.port = port
        self.spray = spray
        self.clock = clock
        self.service = service
        self.closes = closes
        self.slots = asyncio.Semaphore(slots)
        self.connections: dict[bytes, ServerConnection] = {}
        self.answers: dict[tuple[bytes, int], bytes | None] = {}
        self.runs: Counter[int] = Counter()
        self.foreign = 0
        self.resets = 0
        self.shed = False
        self.healthy = True
        self.draining = False
        self.busy_time = 0.0
        self.in_hand = 0
        self.peak = 0
        self.opened: dict[bytes, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve for ever."""
        async for batch in receive_batches(self.port):
            for packet, _ in batch:
                self.packet(packet)

    def start(self, job: "asyncio.Future[None] | object") -> "asyncio.Task[None]":
        """Start a task and keep it until it ends."""
        task: asyncio.Task[None] = asyncio.ensure_future(job)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def send(self, packet: bytes) -> None:
        """Send an answer through any entry."""
        entry = self.spray.choose()
        if entry is not None:
            self.port.send(packet, entry)

    def packet(self, packet: bytes) -> None:
        """Handle one packet."""
        key = flow_key(packet)
        if key is None or key[4:8] != self.service:
            self.foreign += 1
            return
        if packet[9] == TCP:
            self.segment(key, tcp_fields(packet))
        else:
            self.datagram(key, udp_payload(packet))

    # UDP

    def datagram(self, key: bytes, payload: bytes) -> None:
        """Run a request once for each flow, and repeat its answer when asked again."""
        request = Request.decode(payload)
        known = (key, request.id)
        if known in self.answers:
            answer = self.answers[known]
            if answer is not None:
                self.send_udp(key, answer)
            return
        self.answers[known] = None
        self.opened.setdefault(key, self.clock.now())
        self.start(self.run_datagram(key, request))

    async def run_datagram(self, key: bytes, request: Request) -> None:
        """Run a UDP request and send its answer."""
        await self.work(request)
        answer = request.id.to_bytes(8, "big") + answer_bytes(request)
        self.answers[key, request.id] = answer
        self.send_udp(key, answer)

    def send_udp(self, key: bytes, answer: bytes) -> None:
        """Send a UDP answer."""
        caller, service = ends(key)
        self.send(build_udp(service, caller, answer))

    async def work(self, request: Request) -> None:
        """Hold a slot for as long as a request takes."""
        self.in_hand += 1
        self.peak = max(self.peak, self.in_hand)
        async with self.slots:
            self.runs[request.id] += 1
            await self.clock.sleep(request.service_ms / 1000)
        self.in_hand -= 1
        self.busy_time += request.service_ms / 1000

    # TCP

    def segment(self, key: bytes, segment: Segment) -> None:
        """Handle one TCP segment."""
        connection = self.connections.get(key)
        if segment.flags & SYN:
            self.open(key, segment, connection)
        elif connection is None:
            if not segment.flags & RST:
                self.resets += 1
                self.send_tcp(key, segment.ack, 0, RST)
        elif segment.flags & RST:
            self.close(connection)
        else:
            self.later_segment(connection, segment)

    def count_open(self) -> int:
        """Return the number of TCP connections that have not ended."""
        return sum(not connection.ended for connection in self.connections.values())

    def open(self, key: bytes, segment: Segment, connection: ServerConnection | None) -> None:
        """Answer a SYN, or turn it away."""
        if connection is None and self.shed:
            self.send_tcp(key, 0, segment.seq + 1, RST | ACK)
            return
        if connection is not None and connection.received != segment.seq + 1:
            # A late copy of an old SYN gets no more than an acknowledgement.
            self.send_tcp(key, connection.sent, connection.received, ACK)
            return
        if connection is None:
            connection = ServerConnection(key, (segment.seq + 1) & 0xFFFFFFFF)
            self.connections[key] = connection
            self.opened[key] = self.clock.now()
            connection.task = self.start(self.serve(connection))
        self.send_tcp(key, INITIAL_SEQUENCE, connection.received, SYN | ACK)

    def later_segment(self, connection: ServerConnection, segment: Segment) -> None:
        """Take in data, acknowledgements and the end of a connection."""
        if segment.ack > connection.acknowledged:
            connection.acknowledged = segment.ack
            connection.changed.set()
        if segment.payload:
            if segment.seq == connection.received:
                connection.received += len(segment.payload)
                connection.requests.put_nowait(Request.decode(segment.payload))
            self.send_tcp(connection.key, connection.sent, connection.received, ACK)
        if segment.flags & FIN and segment.seq + len(segment.payload) == connection.received:
            if not connection.closing:
                connection.closing = True
                connection.received += 1
                connection.requests.put_nowait(None)
            self.send_tcp(connection.key, connection.sent, connection.received, ACK)

    async def serve(self, connection: ServerConnection) -> None:
        """Answer the requests of one connection in order, then close it."""
        caller_port = ends(connection.key)[1][1]
        while True:
            request = await connection.requests.get()
            if request is None:
                break
            if caller_port in self.closes:
                await self.work(request)
            else:
                self.runs[request.id] += 1
                await self.clock.sleep(request.service_ms / 1000)
            await self.send_reliably(connection, answer_bytes(request))
            if caller_port in self.closes:
                break
        await self.send_fin(connection)
        connection.ended = True
        await self.clock.sleep(LINGER_S)
        self.connections.pop(connection.key, None)

    async def send_reliably(self, connection: ServerConnection, answer: bytes) -> None:
        """Send an answer in segments and repeat what is not acknowledged."""
        start = connection.sent
        end = start + len(answer)
        tries = 0
        while connection.acknowledged < end and tries < RETRANSMIT_TRIES:
            base = max(connection.acknowledged, start)
            for number in range(WINDOW_SEGMENTS):
                seq = base + number * SEGMENT_BYTES
                if seq >= end:
                    break
                chunk = answer[seq - start : seq - start + SEGMENT_BYTES]
                connection.sent = max(connection.sent, seq + len(chunk))
                self.send_tcp(connection.key, seq, connection.received, ACK, chunk)
            window_end = min(end, base + WINDOW_SEGMENTS * SEGMENT_BYTES)
            progressed = await self.wait_acknowledged(connection, window_end)
            tries = 0 if progressed else tries + 1
        connection.sent = end

    async def wait_acknowledged(self, connection: ServerConnection, end: int) -> bool:
        """Wait until a window is acknowledged or it is time to repeat it."""
        before = connection.acknowledged
        deadline = self.clock.now() + RETRANSMIT_S
        while connection.acknowledged < end and self.clock.now() < deadline:
            connection.changed.clear()
            left = max(0.001, deadline - self.clock.now())
            await wait_for_event(self.clock, connection.changed, left)
        return connection.acknowledged > before

    async def send_fin(self, connection: ServerConnection) -> None:
        """Send the FIN until it is acknowledged."""
        end = connection.sent + 1
        for _ in range(RETRANSMIT_TRIES):
            self.send_tcp(connection.key, connection.sent, connection.received, FIN | ACK)
            await self.wait_acknowledged(connection, end)
            if connection.acknowledged >= end:
                return

    def close(self, connection: ServerConnection) -> None:
        """Forget a connection."""
        self.connections.pop(connection.key, None)
        if connection.task is not None:
            connection.task.cancel()

    def send_tcp(self, key: bytes, seq: int, ack: int, flags: int, data: bytes = b"") -> None:
        """Send a TCP segment to a caller."""
        caller, service = ends(key)
        self.send(build_tcp(service, caller, seq, ack, flags, data))


def ends(key: bytes) -> tuple[Address, Address]:
    """Return the caller's and the service's address of a flow key."""
    return unpack_address(key[0:4] + key[8:10]), unpack_address(key[4:8] + key[10:12])


def service_id(address: str) -> bytes:
    """Return the packed IP address of a service."""
    return pack_address((address, 1))[:4]
