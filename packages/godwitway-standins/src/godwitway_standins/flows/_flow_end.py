"""One end of a flow: ordering, acknowledgement and retransmission."""

from collections.abc import Callable

from godwitway_standins.flows._segment import ACK, DATA_BYTES, FIN, Segment

__all__ = ["FlowEnd"]

WINDOW_PACKETS = 16
FIRST_TIMEOUT_S = 0.2
LONGEST_TIMEOUT_S = 1.6
DELAYED_ACK_S = 0.02
ACK_EVERY = 2


class FlowEnd:
    """Sends and receives the bytes of one end.

    Attributes:
        send: Sends flags, sequence, acknowledged and data.
        now: The clock in seconds.
        unacknowledged: The first byte that the other end has not acknowledged.
        expected: The next byte that the other end sends.
        retransmissions: How often the present first packet was repeated.
        peer_closed: Whether the other end has sent all.
    """

    def __init__(
        self,
        send: Callable[[int, int, int, bytes], None],
        now: Callable[[], float],
        first: int,
        expected: int,
    ) -> None:
        self.send = send
        self.now = now
        self.unacknowledged = first
        self.next = first
        self.expected = expected
        self.outgoing = bytearray()
        self.early: dict[int, bytes] = {}
        self.closing = False
        self.closed = False
        self.peer_closed = False
        self.peer_end: int | None = None
        self.pending_acks = 0
        self.ack_at: float | None = None
        self.resend_at: float | None = None
        self.timeout = FIRST_TIMEOUT_S
        self.retransmissions = 0

    def write(self, data: bytes) -> None:
        """Send data."""
        self.outgoing += data
        self.pump()

    def close(self) -> None:
        """Send all that is left, then close this end."""
        self.closing = True
        self.pump()

    def limit(self) -> int:
        """Return the end of what may be sent, the closing included."""
        return self.unacknowledged + len(self.outgoing) + (1 if self.closing else 0)

    def pump(self) -> None:
        """Send what the window allows."""
        while (
            self.next < self.limit()
            and self.next - self.unacknowledged < WINDOW_PACKETS * DATA_BYTES
        ):
            self.next += self.transmit(self.next)

    def transmit(self, sequence: int) -> int:
        """Send the packet that begins at a byte; returns how much of the sequence it takes."""
        offset = sequence - self.unacknowledged
        data = bytes(self.outgoing[offset : offset + DATA_BYTES])
        last = self.closing and offset + len(data) == len(self.outgoing)
        self.send(ACK | (FIN if last else 0), sequence, self.expected, data)
        self.pending_acks = 0
        self.ack_at = None
        if self.resend_at is None:
            self.resend_at = self.now() + self.timeout
        return len(data) + (1 if last else 0)

    def receive(self, segment: Segment) -> bytes:
        """Take a packet and return the bytes that are now in order."""
        self.take_acknowledgement(segment.acknowledged)
        size = len(segment.data) + (1 if segment.flags & FIN else 0)
        if not size:
            return b""
        if segment.flags & FIN:
            self.peer_end = segment.sequence + len(segment.data)
        if segment.sequence >= self.expected and segment.data:
            self.early[segment.sequence] = segment.data
        received = b""
        while self.expected in self.early:
            data = self.early.pop(self.expected)
            received += data
            self.expected += len(data)
        if self.peer_end == self.expected and not self.peer_closed:
            self.peer_closed = True
            self.expected += 1
        self.pending_acks += 1
        if self.pending_acks >= ACK_EVERY or self.peer_closed or self.early or not received:
            self.acknowledge()
        elif self.ack_at is None:
            self.ack_at = self.now() + DELAYED_ACK_S
        return received

    def take_acknowledgement(self, acknowledged: int) -> None:
        """Drop what the other end has."""
        gained = acknowledged - self.unacknowledged
        if not 0 < gained <= self.next - self.unacknowledged:
            return
        if self.closing and acknowledged == self.limit():
            self.closed = True
        del self.outgoing[: min(gained, len(self.outgoing))]
        self.unacknowledged = acknowledged
        self.timeout = FIRST_TIMEOUT_S
        self.retransmissions = 0
        self.resend_at = None if self.next == acknowledged else self.now() + self.timeout
        self.pump()

    def acknowledge(self) -> None:
        """Send a bare acknowledgement."""
        self.pending_acks = 0
        self.ack_at = None
        self.send(ACK, self.next, self.expected, b"")

    def tick(self) -> None:
        """Send what is due; called every few milliseconds."""
        now = self.now()
        if self.ack_at is not None and now >= self.ack_at:
            self.acknowledge()
        if self.resend_at is not None and now >= self.resend_at:
            self.retransmissions += 1
            self.timeout = min(LONGEST_TIMEOUT_S, self.timeout * 2)
            self.resend_at = now + self.timeout
            self.transmit(self.unacknowledged)
