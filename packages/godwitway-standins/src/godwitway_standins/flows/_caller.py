"""Callers that speak the platform's flows."""

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

from godwitway_standins.flows._flow_end import FlowEnd
from godwitway_standins.flows._segment import RST, SYN, FlowKey, Segment, decode, encode
from godwitway_standins.flows._target import expected_body

__all__ = ["Attempt", "Caller", "Outcome", "RequestType"]

COPY_S = (0.2, 0.6)
OPENING_S = 1.4
FIRST_PORT = 1_024
LAST_PORT = 60_000
NOT_EXECUTED = b"X-Godwitway-Not-Executed"


@dataclass(slots=True)
class RequestType:
    """A kind of request.

    Attributes:
        repeatable: Whether the caller may repeat a request that may have run.
        keeps_flow: Whether the caller keeps a flow open for its next request.
    """

    name: str
    repeatable: bool
    keeps_flow: bool
    request_bytes: int
    answer_bytes: int
    deadline_s: float
    retries: int = 2


@dataclass(slots=True)
class Outcome:
    """How a request ended: "served", "refused", "reset", "deadline" or "wrong"."""

    request: str
    kind: str
    result: str
    took_s: float
    asked_at: float
    attempts: list[str]


class Attempt:
    """One flow of a caller.

    Attributes:
        opened: Set once the handshake is answered.
        ended: Why the flow ended, or an empty string.
        answer: The bytes of the present answer.
        changed: Set whenever something arrives.
    """

    __slots__ = ("answer", "changed", "echo", "end", "ended", "first", "key", "opened")

    def __init__(self, key: FlowKey, first: int) -> None:
        self.key = key
        self.first = first
        self.echo = 0
        self.end: FlowEnd | None = None
        self.opened = False
        self.ended = ""
        self.answer = b""
        self.changed = asyncio.Event()


class Caller:
    """One caller with a user that sends one request after another.

    Attributes:
        on_open: Called with a flow just before its first opening packet is sent.
        on_reset: Called with a flow that a reset ended, and whether a target wrote the reset.
        on_forged: Called when a packet came that nobody wrote so.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        zone: str,
        send: Callable[[str, bytes, bytes], None],
        rng: random.Random,
        name: str,
    ) -> None:
        self.ip = ip
        self.zone = zone
        self.to_router = send
        self.rng = rng
        self.name = name
        self.next_port = rng.randrange(FIRST_PORT, LAST_PORT)
        self.attempts: dict[tuple[str, int, int], Attempt] = {}
        self.kept: dict[tuple[str, int], Attempt] = {}
        self.count = 0
        self.sent: dict[str, str] = {}
        self.on_open: Callable[[Attempt], None] = lambda attempt: None
        self.on_reset: Callable[[Attempt, bool], None] = lambda attempt, by_target: None
        self.on_forged: Callable[[str], None] = lambda where: None
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((ip, port))
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def close(self) -> None:
        """Stop taking packets."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()

    def tick(self) -> None:
        """Repeat what was not acknowledged; called every few milliseconds."""
        for attempt in list(self.attempts.values()):
            if attempt.end is not None and not attempt.ended:
                attempt.end.tick()

    def read(self) -> None:
        """Take the packets that have arrived."""
        while True:
            try:
                raw = self.socket.recv(2_048)
            except BlockingIOError:
                return
            segment, right = decode(raw)
            by_target = right
            if not right and not (
                segment.flags == RST and not segment.data and raw[4:8] == bytes(4)
            ):
                self.on_forged(self.name)
                continue
            self.take(segment, by_target)

    def take(self, segment: Segment, by_target: bool) -> None:
        """Take one packet."""
        attempt = self.attempts.get((*segment.source, segment.destination[1]))
        if attempt is None or attempt.ended:
            return
        if segment.flags & RST:
            if attempt.opened and not by_target:
                window = (segment.sequence - attempt.end.expected + 76_800) % (1 << 32)
                if window > 153_600:
                    return
            attempt.ended = "reset"
            self.on_reset(attempt, by_target)
        elif segment.flags & SYN:
            if not attempt.opened:
                self.opened(attempt, segment)
        elif attempt.opened:
            attempt.echo = segment.echo
            attempt.answer += attempt.end.receive(segment)
        attempt.changed.set()

    def opened(self, attempt: Attempt, segment: Segment) -> None:
        """Answer a target's handshake."""
        attempt.opened = True
        attempt.echo = segment.echo
        attempt.end = FlowEnd(
            lambda flags, seq, ack, data: self.transmit(attempt, flags, seq, ack, data),
            asyncio.get_running_loop().time,
            attempt.first + 1,
            segment.sequence + 1,
        )
        attempt.end.acknowledge()

    def transmit(self, attempt: Attempt, flags: int, seq: int, ack: int, data: bytes) -> None:
        """Send a packet through the routers."""
        source, destination = attempt.key[:2], attempt.key[2:]
        segment = Segment(source, destination, flags, seq, ack, data, attempt.echo)
        self.to_router(self.zone, repr(attempt.key).encode(), encode(segment))

    async def request(self, kind: RequestType, to: tuple[str, int]) -> Outcome:
        """Send a request, again where that is allowed, and return how it ended."""
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        deadline = asked_at + kind.deadline_s
        ids: list[str] = []
        result = "deadline"
        for _ in range(1 + kind.retries):
            self.count += 1
            request = f"{self.name}-{self.count}"
            ids.append(request)
            result, again = await self.attempt(kind, to, request, deadline)
            if not again or loop.time() >= deadline:
                break
        return Outcome(ids[-1], kind.name, result, loop.time() - asked_at, asked_at, ids)

    async def attempt(
        self, kind: RequestType, to: tuple[str, int], request: str, deadline: float
    ) -> tuple[str, bool]:
        """Try once; returns how it ended and whether the request may be sent again."""
        attempt = self.kept.get(to) if kind.keeps_flow else None
        if attempt is None or attempt.ended or attempt.end.peer_closed:
            attempt = await self.open(to, deadline)
            if not attempt.opened:
                ended = attempt.ended or "deadline"
                self.forget(attempt)
                return ended, True
        self.send_request(attempt, kind, request)
        answer = await self.wait_for_answer(attempt, deadline)
        if answer is None:
            ended = attempt.ended or "deadline"
            self.forget(attempt)
            return ended, kind.repeatable
        if kind.keeps_flow and not attempt.end.peer_closed:
            self.kept[to] = attempt
        else:
            attempt.end.close()
            asyncio.get_running_loop().call_later(1.0, self.forget, attempt)
        return self.judge_answer(kind, request, answer)

    def send_request(self, attempt: Attempt, kind: RequestType, request: str) -> None:
        """Send a request on an open flow; see `wait_for_answer`."""
        attempt.answer = b""
        head = (
            f"POST /{kind.name} HTTP/1.1\r\nX-Godwitway-Request-Id: {request}\r\n"
            f"X-Size: {kind.answer_bytes}\r\nContent-Length: {kind.request_bytes}\r\n\r\n"
        )
        self.sent[request] = kind.name
        attempt.end.write(head.encode() + b"x" * kind.request_bytes)

    @staticmethod
    def judge_answer(kind: RequestType, request: str, answer: bytes) -> tuple[str, bool]:
        """Return what an answer says and whether the request may be sent again."""
        head, _, body = answer.partition(b"\r\n\r\n")
        if b" 503 " in head:
            return "refused", NOT_EXECUTED in head or kind.repeatable
        right = b"Server-Stamp" in head and body == expected_body(request, kind.answer_bytes)
        return ("served" if right else "wrong"), False

    async def open(self, to: tuple[str, int], deadline: float) -> Attempt:
        """Open a flow, with copies of the opening packet."""
        loop = asyncio.get_running_loop()
        self.next_port = FIRST_PORT + (self.next_port + 1) % (LAST_PORT - FIRST_PORT)
        first = self.rng.randrange(1, 1 << 30)
        attempt = Attempt((self.ip, self.next_port, *to), first)
        self.attempts[(*to, self.next_port)] = attempt
        began = loop.time()
        self.on_open(attempt)
        for copy, until in enumerate((*COPY_S, OPENING_S)):
            self.transmit(attempt, SYN, first, copy, b"")
            while not attempt.opened and not attempt.ended:
                left = min(began + until, deadline) - loop.time()
                if left <= 0:
                    break
                await self.wait(attempt, left)
            if attempt.opened or attempt.ended or loop.time() >= deadline:
                break
        return attempt

    async def wait_for_answer(self, attempt: Attempt, deadline: float) -> bytes | None:
        """Return the whole answer, or None when the flow or the time ended before."""
        loop = asyncio.get_running_loop()
        while True:
            head, separator, body = attempt.answer.partition(b"\r\n\r\n")
            if separator:
                fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:])
                if len(body) >= int(fields["Content-Length"]):
                    return attempt.answer
            left = deadline - loop.time()
            if attempt.ended or left <= 0:
                return None
            await self.wait(attempt, left)

    @staticmethod
    async def wait(attempt: Attempt, seconds: float) -> None:
        """Wait until something arrives, no longer than a time."""
        attempt.changed.clear()
        try:
            await asyncio.wait_for(attempt.changed.wait(), seconds)
        except TimeoutError:
            return

    def forget(self, attempt: Attempt) -> None:
        """Drop a flow."""
        if not attempt.ended:
            attempt.ended = "forgotten"
            if attempt.opened:
                self.transmit(attempt, RST, attempt.end.next, attempt.end.expected, b"")
        self.attempts.pop((*attempt.key[2:], attempt.key[1]), None)
        if self.kept.get(attempt.key[2:]) is attempt:
            del self.kept[attempt.key[2:]]
