"""Plays recorded flows as their callers would, and notes what came of each."""

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from godwitway.addresses import Address, parse_address, unpack_address
from godwitway.process import Clock, DatagramPort, receive_batches, wait_for_event
from godwitway.request import ACK, FIN, RST, SYN, flow_key, reverse_flow_key
from godwitway.version import TCP, UDP

from godwitway_standins._packets import (
    Request,
    answer_bytes,
    build_tcp,
    build_udp,
    tcp_fields,
    udp_payload,
)
from godwitway_standins._trace import RecordedFlow, RecordedPacket

__all__ = ["FlowResult", "Player", "Verdict"]

ICMP = 1
SYN_RETRY_S = (1.0, 2.0, 4.0, 8.0)
DATA_RETRY_S = (0.3, 0.6, 1.2, 2.4, 4.8)
UDP_RETRY_S = (0.5, 1.0, 2.0, 4.0)
PROGRESS_TIMEOUT_S = 12.0
QUOTED_OFFSET = 28


class Verdict(Enum):
    """What came of a flow."""

    RUNNING = "running"
    COMPLETE = "complete"
    REFUSED = "refused"
    UNOPENED = "unopened"
    BROKEN = "broken"


@dataclass(slots=True, eq=False)
class FlowResult:
    """What came of one flow.

    Attributes:
        flow: The recorded flow.
        verdict: What came of it.
        opened: Whether its handshake completed.
        requests: The ids of the requests that were sent.
        answered: The ids of the requests whose whole answer came.
        wrong: Answers that were not the right ones.
        first_answer_s: How long the first answer took, in seconds.
    """

    flow: RecordedFlow
    verdict: Verdict = Verdict.RUNNING
    opened: bool = False
    requests: list[int] = field(default_factory=list)
    answered: list[int] = field(default_factory=list)
    wrong: int = 0
    first_answer_s: float | None = None
    ended_at: float = 0.0


class Stream:
    """One caller's flow while it is played."""

    def __init__(self, result: FlowResult) -> None:
        flow = result.flow
        self.result = result
        self.caller: Address = parse_address(flow.caller)
        self.service: Address = parse_address(flow.to)
        self.changed = asyncio.Event()
        self.data = bytearray()
        self.early: dict[int, bytes] = {}
        self.next_expected = 0
        self.acknowledged = 0
        self.established = False
        self.reset = False
        self.refused = False
        self.server_closed = False
        self.sent_up_to = 0


class Player:
    """Plays flows through a port to the fabric.

    Attributes:
        port: Where packets are sent and answers arrive.
        fabric: The fabric's address.
        clock: The clock.
        streams: The flows that are being played, by flow key.
        results: What came of each flow.
    """

    def __init__(self, port: DatagramPort, fabric: Address, clock: Clock) -> None:
        self.port = port
        self.fabric = fabric
        self.clock = clock
        self.streams: dict[bytes, Stream] = {}
        self.results: list[FlowResult] = []
        self.stray_answers = 0

    async def play(self, flows: list[RecordedFlow]) -> None:
        """Play all flows at their times and wait until the last one has ended."""
        reader = asyncio.ensure_future(self.read())
        started = self.clock.now()
        tasks = []
        for flow in sorted(flows, key=lambda flow: flow.at):
            await self.sleep_until(started + flow.at)
            result = FlowResult(flow)
            self.results.append(result)
            tasks.append(asyncio.ensure_future(self.play_flow(Stream(result))))
        for task in tasks:
            await task
        reader.cancel()

    async def sleep_until(self, when: float) -> None:
        """Sleep until a time."""
        left = when - self.clock.now()
        if left > 0:
            await self.clock.sleep(left)

    async def read(self) -> None:
        """Take in answers for ever."""
        async for batch in receive_batches(self.port):
            for packet, _ in batch:
                self.packet(packet)

    async def play_flow(self, stream: Stream) -> None:
        """Play one flow."""
        flow = stream.result.flow
        key = flow_key(self.build(stream, SYN, 0, b""))
        if key is None:
            raise ValueError(f"the flow of {flow.caller} is not playable")
        self.streams[key] = stream
        if flow.protocol == "udp":
            await self.play_udp(stream)
        else:
            await self.play_tcp(stream)
        stream.result.ended_at = self.clock.now()
        del self.streams[key]

    # Sending

    def build(self, stream: Stream, flags: int, seq: int, payload: bytes) -> bytes:
        """Build a packet of a flow."""
        if stream.result.flow.protocol == "udp":
            return build_udp(stream.caller, stream.service, payload)
        return build_tcp(stream.caller, stream.service, seq, stream.next_expected, flags, payload)

    def send(self, stream: Stream, flags: int, seq: int, payload: bytes = b"") -> None:
        """Send a packet of a flow."""
        self.port.send(self.build(stream, flags, seq, payload), self.fabric)

    async def changed(self, stream: Stream, seconds: float) -> None:
        """Wait until something arrives for a flow, or a time has passed."""
        stream.changed.clear()
        await wait_for_event(self.clock, stream.changed, max(0.001, seconds))

    # UDP

    async def play_udp(self, stream: Stream) -> None:
        """Send a request again and again until it is answered or refused."""
        result = stream.result
        payload = bytes.fromhex(result.flow.packets[0].payload)
        request = Request.decode(payload)
        result.requests.append(request.id)
        result.opened = True
        started = self.clock.now()
        for wait in (*UDP_RETRY_S, UDP_RETRY_S[-1]):
            self.send(stream, 0, 0, payload)
            deadline = self.clock.now() + wait
            while self.clock.now() < deadline and not (stream.refused or stream.data):
                await self.changed(stream, deadline - self.clock.now())
            if stream.refused or stream.data:
                break
        if stream.data:
            result.first_answer_s = self.clock.now() - started
            expected = request.id.to_bytes(8, "big") + answer_bytes(request)
            self.note_answer(result, request, bytes(stream.data) == expected)
            result.verdict = Verdict.COMPLETE
        else:
            result.verdict = Verdict.REFUSED if stream.refused else Verdict.UNOPENED

    def note_answer(self, result: FlowResult, request: Request, right: bool) -> None:
        """Note a whole or a wrong answer."""
        if right:
            result.answered.append(request.id)
        else:
            result.wrong += 1

    # TCP

    async def play_tcp(self, stream: Stream) -> None:
        """Open a connection, send its requests and close it."""
        packets = stream.result.flow.packets
        started = self.clock.now()
        for packet in packets:
            if packet.flags == "S" and packet.after > 0:
                loop = asyncio.get_running_loop()
                loop.call_later(packet.after, self.send, stream, SYN, packet.seq)
        if not await self.open(stream, packets[0]):
            return
        stream.result.opened = True
        for packet in packets:
            if packet.flags == "S":
                continue
            await self.sleep_watching(stream, started + packet.after)
            if stream.reset:
                break
            if packet.flags == "D" and not await self.request(stream, packet):
                return
            if packet.flags == "F":
                await self.close(stream, packet.seq)
        stream.result.verdict = self.tcp_verdict(stream)

    def tcp_verdict(self, stream: Stream) -> Verdict:
        """Return what came of a connection that ended."""
        wanted = sum(packet.flags == "D" for packet in stream.result.flow.packets)
        done = len(stream.result.answered) + stream.result.wrong
        return Verdict.COMPLETE if done == wanted else Verdict.BROKEN

    async def sleep_watching(self, stream: Stream, until: float) -> None:
        """Sleep until a time, but notice a reset."""
        while self.clock.now() < until and not stream.reset:
            await self.changed(stream, until - self.clock.now())

    async def open(self, stream: Stream, syn: RecordedPacket) -> bool:
        """Send a SYN until it is answered, and return whether the connection opened."""
        stream.acknowledged = stream.sent_up_to = syn.seq
        for wait in SYN_RETRY_S:
            self.send(stream, SYN, syn.seq)
            deadline = self.clock.now() + wait
            while self.clock.now() < deadline and not (stream.established or stream.reset):
                await self.changed(stream, deadline - self.clock.now())
            if stream.established:
                return True
            if stream.reset:
                stream.result.verdict = Verdict.REFUSED
                return False
        stream.result.verdict = Verdict.UNOPENED
        return False

    async def request(self, stream: Stream, packet: RecordedPacket) -> bool:
        """Send a request and wait for its whole answer; return whether the flow lives on."""
        payload = bytes.fromhex(packet.payload)
        request = Request.decode(payload)
        result = stream.result
        result.requests.append(request.id)
        expected = answer_bytes(request)
        stream.data.clear()
        started = self.clock.now()
        stream.sent_up_to = packet.seq + len(payload)
        retry = iter(DATA_RETRY_S)
        resend_at = started
        progress = (0, started)
        while len(stream.data) < len(expected) and not stream.reset:
            now = self.clock.now()
            if len(stream.data) > progress[0]:
                progress = (len(stream.data), now)
            if now - progress[1] > PROGRESS_TIMEOUT_S:
                break
            if now >= resend_at:
                if stream.acknowledged < stream.sent_up_to:
                    self.send(stream, ACK, packet.seq, payload)
                else:
                    self.send(stream, ACK, stream.sent_up_to)
                resend_at = now + next(retry, DATA_RETRY_S[-1])
            await self.changed(stream, resend_at - now)
        if len(stream.data) < len(expected):
            result.verdict = Verdict.BROKEN
            return False
        if result.first_answer_s is None:
            result.first_answer_s = self.clock.now() - started
        self.note_answer(result, request, bytes(stream.data) == expected)
        return True

    async def close(self, stream: Stream, seq: int) -> None:
        """Send a FIN until it is acknowledged; an unanswered one does no harm."""
        for wait in DATA_RETRY_S[:3]:
            self.send(stream, FIN | ACK, seq)
            deadline = self.clock.now() + wait
            while self.clock.now() < deadline and not stream.reset:
                if stream.acknowledged > seq and stream.server_closed:
                    return
                await self.changed(stream, deadline - self.clock.now())

    # Receiving

    def packet(self, packet: bytes) -> None:
        """Handle one packet that came back."""
        if packet[9] == ICMP:
            quoted = packet[QUOTED_OFFSET:]
            stream = self.streams.get(quoted[12:24] + quoted[9:10])
            if stream is not None:
                stream.refused = True
                stream.changed.set()
            return
        key = flow_key(packet)
        stream = self.streams.get(reverse_flow_key(key)) if key is not None else None
        if stream is None:
            self.stray_answer(packet)
        elif packet[9] == UDP:
            stream.data[:] = udp_payload(packet)
            stream.changed.set()
        elif packet[9] == TCP:
            self.segment(stream, packet)

    def stray_answer(self, packet: bytes) -> None:
        """Reset a connection that its caller has given up, as a kernel does."""
        self.stray_answers += 1
        if packet[9] != TCP or not tcp_fields(packet).flags & SYN:
            return
        service = unpack_address(packet[12:16] + packet[20:22])
        caller = unpack_address(packet[16:20] + packet[22:24])
        reset = build_tcp(caller, service, tcp_fields(packet).ack, 0, RST)
        self.port.send(reset, self.fabric)

    def segment(self, stream: Stream, packet: bytes) -> None:
        """Handle one TCP segment that came back."""
        segment = tcp_fields(packet)
        stream.changed.set()
        if segment.flags & RST:
            stream.reset = True
            return
        if segment.flags & SYN:
            if not stream.established:
                stream.established = True
                stream.next_expected = segment.seq + 1
                stream.acknowledged = stream.sent_up_to = segment.ack
            self.send(stream, ACK, stream.sent_up_to)
            return
        stream.acknowledged = max(stream.acknowledged, segment.ack)
        if segment.payload:
            self.take_data(stream, segment.seq, segment.payload)
            self.send(stream, ACK, stream.sent_up_to)
        if segment.flags & FIN and segment.seq + len(segment.payload) == stream.next_expected:
            stream.server_closed = True
            stream.next_expected += 1
            self.send(stream, ACK, stream.sent_up_to)

    def take_data(self, stream: Stream, seq: int, payload: bytes) -> None:
        """Take in data, and keep what came before its turn."""
        if seq >= stream.next_expected:
            stream.early[seq] = payload
        while stream.next_expected in stream.early:
            data = stream.early.pop(stream.next_expected)
            stream.data += data
            stream.next_expected += len(data)
