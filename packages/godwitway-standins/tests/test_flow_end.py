"""Tests of the stand-in's flows."""

import random

from godwitway_platform._packets import decode_packet, encode_reset, find_request_id

from godwitway_standins.flows._flow_end import FlowEnd
from godwitway_standins.flows._segment import ACK, DATA_BYTES, SYN, Segment, decode, encode


class LossyLink:
    """Two ends whose packets are lost and overtaken."""

    def __init__(self, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.time = 0.0
        self.waiting: list[tuple[float, FlowEnd, Segment]] = []
        self.received = {"left": b"", "right": b""}
        self.left = FlowEnd(lambda *fields: self.send("right", *fields), self.now, 1, 1_001)
        self.right = FlowEnd(lambda *fields: self.send("left", *fields), self.now, 1_001, 1)

    def now(self) -> float:
        """Return the time."""
        return self.time

    def send(self, to: str, flags: int, sequence: int, acknowledged: int, data: bytes) -> None:
        """Lose a packet, or deliver it some time later."""
        if self.rng.random() >= self.loss:
            segment = Segment(("", 0), ("", 0), flags, sequence, acknowledged, data)
            self.waiting.append((self.time + self.rng.uniform(0.001, 0.02), to, segment))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.time + seconds
        while self.time < end:
            self.time += 0.005
            due = [entry for entry in self.waiting if entry[0] <= self.time]
            self.waiting = [entry for entry in self.waiting if entry[0] > self.time]
            for _, to, segment in sorted(due, key=lambda entry: entry[0]):
                self.received[to] += getattr(self, to).receive(segment)
            self.left.tick()
            self.right.tick()


class TestFlowEnd:
    """One end against another one."""

    def test_bytes_arrive_whole_and_in_order_over_a_lossy_link(self):
        """Lost packets are repeated, and early ones are kept."""
        for seed in range(5):
            link = LossyLink(seed, 0.1)
            sent = random.Random(seed).randbytes(60_000)
            link.left.write(sent)
            link.right.write(b"answer")
            link.left.close()
            link.right.close()
            link.run(30.0)
            assert link.received == {"left": b"answer", "right": sent}
            assert link.left.closed
            assert link.right.closed

    def test_a_silent_peer_is_asked_ever_more_rarely(self):
        """The time-out doubles up to 1.6 s."""
        link = LossyLink(1, 1.0)
        link.left.write(b"x")
        link.run(7.0)
        assert link.left.retransmissions == 6


class TestSegment:
    """The form of packets, against the adapter that hosts use."""

    def test_hosts_read_what_callers_write(self):
        """Both were written from the platform's pages."""
        data = b"GET / HTTP/1.1\r\nX-Godwitway-Request-Id: a-1\r\n\r\n"
        raw = encode(Segment(("127.0.0.9", 4_000), ("198.18.0.1", 443), ACK, 77, 99, data, 5))
        packet = decode_packet(raw)
        assert (packet.token, packet.sequence, packet.acknowledged) == (5, 77, 99)
        assert find_request_id(packet.raw) == "a-1"
        reset, address = encode_reset(packet, 8_172)
        segment, right = decode(reset)
        assert not right
        assert segment.source == ("198.18.0.1", 443)
        assert segment.destination == ("127.0.0.9", 4_000)
        assert address == ("127.0.0.9", 8_172)

    def test_the_sum_covers_all_but_the_echo(self):
        """Hosts may write the echo and nothing else."""
        raw = encode(Segment(("1.2.3.4", 1), ("5.6.7.8", 2), SYN, 3, 0, b"x" * DATA_BYTES))
        assert decode(b"\x09" * 4 + raw[4:])[1]
        for position in range(8, len(raw), 97):
            changed = bytearray(raw)
            changed[position] ^= 1
            assert not decode(bytes(changed))[1]
