"""An in-memory network: delay, loss, duplication, reordering and cuts, from one seed."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass

from godwitway.addresses import Address

__all__ = ["FakeCourier", "FakePort", "LinkTerms", "Network"]

PORT_QUEUE = 8192
LOCAL_DELAY_S = 0.0002
JITTER = 0.3
RELIABLE_RETRY_S = 0.2
RELIABLE_TRIES = 5


@dataclass(slots=True)
class LinkTerms:
    """How datagrams between zones fare.

    Attributes:
        zone_delay_s: One way between two zones.
        client_delay_s: One way to and from callers.
        loss: The part of datagrams between zones that is lost.
        duplication: The part of datagrams that arrives twice.
        late: The part of datagrams that arrives late.
        late_s: How late these are.
    """

    zone_delay_s: float = 0.003
    client_delay_s: float = 0.003
    loss: float = 0.0
    duplication: float = 0.0
    late: float = 0.0
    late_s: float = 0.5


CALLERS = "callers"


class Network:
    """Connects ports and couriers by address.

    Attributes:
        terms: How datagrams fare.
        rng: The seeded random numbers.
        ports: The open ports by address.
        cuts: Pairs of zones of which the first does not reach the second.
    """

    def __init__(self, rng: random.Random, terms: LinkTerms) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = rng
        self.terms = terms
        self.ports: dict[Address, FakePort] = {}
        self.couriers: dict[Address, FakeCourier] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.datagrams = 0

    def port(self, address: Address, zone: str) -> "FakePort":
        """Open a port."""
        port = FakePort(self, address, zone)
        self.ports[address] = port
        return port

    def courier(self, address: Address, zone: str) -> "FakeCourier":
        """Open a courier."""
        courier = FakeCourier(self, address, zone)
        self.couriers[address] = courier
        return courier

    def cut(self, zone: str, others: list[str]) -> None:
        """Cut a zone from others in both directions."""
        for other in others:
            self.cuts |= {(zone, other), (other, zone)}

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def delay(self, source: str, destination: str) -> float:
        """Return the delay of one datagram in seconds."""
        if source == destination:
            base = LOCAL_DELAY_S
        elif CALLERS in (source, destination):
            base = self.terms.client_delay_s
        else:
            base = self.terms.zone_delay_s
        return base * self.rng.uniform(1, 1 + JITTER)

    def is_lost(self, source: str, destination: str) -> bool:
        """Whether one datagram is lost."""
        if (source, destination) in self.cuts:
            return True
        far = source != destination
        return far and self.terms.loss > 0 and self.rng.random() < self.terms.loss

    def carry(self, source: "FakePort", data: bytes, to: Address) -> None:
        """Carry one datagram."""
        self.datagrams += 1
        destination = self.ports.get(to)
        if destination is None or self.is_lost(source.zone, destination.zone):
            return
        terms = self.terms
        delay = self.delay(source.zone, destination.zone)
        if terms.late and self.rng.random() < terms.late:
            delay += terms.late_s * self.rng.random()
        self.loop.call_later(delay, destination.push, data, source.address)
        if terms.duplication and self.rng.random() < terms.duplication:
            again = delay + self.delay(source.zone, destination.zone)
            self.loop.call_later(again, destination.push, data, source.address)

    def carry_message(self, source: "FakeCourier", message: bytes, to: Address, tries: int) -> None:
        """Carry one control message over a connection that repeats what is lost."""
        destination = self.couriers.get(to)
        if destination is None:
            return
        if self.is_lost(source.zone, destination.zone):
            if tries > 1:
                again = (source, message, to, tries - 1)
                self.loop.call_later(RELIABLE_RETRY_S, self.carry_message, *again)
            return
        delay = self.delay(source.zone, destination.zone)
        # A connection delivers in order.
        at = max(self.loop.time() + delay, destination.last_arrival + 1e-6)
        destination.last_arrival = at
        self.loop.call_at(at, destination.push, message)


class FakePort:
    """A datagram port on the in-memory network."""

    def __init__(self, network: Network, address: Address, zone: str) -> None:
        self.network = network
        self.address = address
        self.zone = zone
        self.queue: deque[tuple[bytes, Address]] = deque()
        self.arrived = asyncio.Event()
        self.paused = False
        self.overflowed = 0

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram."""
        if not self.paused:
            self.network.carry(self, data, to)

    def receive(self) -> tuple[bytes, Address] | None:
        """Return the next datagram that has arrived, or None."""
        return self.queue.popleft() if self.queue and not self.paused else None

    async def wait_readable(self) -> None:
        """Wait until a datagram has arrived."""
        while not self.queue or self.paused:
            self.arrived.clear()
            await self.arrived.wait()

    def push(self, data: bytes, source: Address) -> None:
        """Take in a datagram; a full queue loses it, as a socket would."""
        if len(self.queue) >= PORT_QUEUE:
            self.overflowed += 1
            return
        self.queue.append((data, source))
        if not self.paused:
            self.arrived.set()

    def pause(self, paused: bool) -> None:
        """Stop or resume taking and sending datagrams."""
        self.paused = paused
        if not paused:
            self.arrived.set()

    def close(self) -> None:
        """Close the port."""
        if self.network.ports.get(self.address) is self:
            del self.network.ports[self.address]


class FakeCourier:
    """Control messages on the in-memory network."""

    def __init__(self, network: Network, address: Address, zone: str) -> None:
        self.network = network
        self.address = address
        self.zone = zone
        self.queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.last_arrival = 0.0
        self.running = asyncio.Event()
        self.running.set()

    async def send(self, message: bytes, to: Address) -> bool:
        """Send a message."""
        await self.running.wait()
        self.network.carry_message(self, message, to, RELIABLE_TRIES)
        return to in self.network.couriers

    async def receive(self) -> bytes:
        """Return the next message."""
        message = await self.queue.get()
        await self.running.wait()
        return message

    def push(self, message: bytes) -> None:
        """Take in a message."""
        self.queue.put_nowait(message)

    def pause(self, paused: bool) -> None:
        """Stop or resume."""
        if paused:
            self.running.clear()
        else:
            self.running.set()

    def close(self) -> None:
        """Close the courier."""
        if self.network.couriers.get(self.address) is self:
            del self.network.couriers[self.address]
