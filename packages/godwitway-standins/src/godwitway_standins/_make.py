"""Making traces from a seed: who calls when, and what happens meanwhile."""

import random
from collections.abc import Iterator

from godwitway.addresses import format_address

from godwitway_standins._deployments import SLOTS, Deployment, Work
from godwitway_standins._packets import Request
from godwitway_standins._trace import (
    Event,
    Outcomes,
    RecordedFlow,
    RecordedPacket,
    Trace,
    TraceHeader,
)

__all__ = ["make_trace"]

HELD_OPEN_OVER_S = 5.0
PING_GAP_S = 4.0
REPEATED_SYN_PART = 0.02
REPEATED_SYN_AFTER_S = 0.3
CLOSE_AFTER_S = 0.05
FIRST_PORT = 20_000
PORTS_PER_CALLER = 40_000
MAX_SEQUENCE = 1 << 30


class Callers:
    """Hands out callers' addresses and request ids, each once."""

    def __init__(self) -> None:
        self.count = 0
        self.requests = 0

    def address(self) -> str:
        """Return the next caller's address."""
        self.count += 1
        host, port = divmod(self.count, PORTS_PER_CALLER)
        third, fourth = divmod(self.count % 50_000, 250)
        return format_address((f"172.{16 + host}.{third}.{fourth + 1}", FIRST_PORT + port))

    def request(self, work: Work) -> bytes:
        """Return the next request."""
        self.requests += 1
        return Request(self.requests, work.answer_bytes, work.service_ms).encode()


class Maker:
    """Makes the flows of one trace."""

    def __init__(self, deployment: Deployment, seed: int, seconds: float) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.callers = Callers()

    def endpoint(self, work: Work) -> tuple[str, str, str]:
        """Return the service address, the protocol and what a kind holds."""
        service = next(doc for doc in self.deployment.services if doc["name"] == work.service)
        kind = next(kind for kind in service["kinds"] if kind["name"] == work.kind)
        return f"{service['address']}:{kind['port']}", kind["protocol"], kind["holds"]

    def capacity(self, work: Work) -> float:
        """Return how many requests of a kind its service can answer in a second."""
        service = next(doc for doc in self.deployment.services if doc["name"] == work.service)
        return len(service["targets"]) * SLOTS * 1000 / work.service_ms

    def held(self, work: Work, count: int) -> Iterator[RecordedFlow]:
        """Yield long flows that are opened early and closed at the end."""
        for _ in range(count):
            at = self.rng.uniform(0, HELD_OPEN_OVER_S)
            ends = self.seconds - at + self.rng.uniform(0, 1)
            times = [0.02]
            while times[-1] + PING_GAP_S < ends - 1:
                times.append(times[-1] + PING_GAP_S * self.rng.uniform(0.7, 1.3))
            yield self.tcp(work, at, times, ends)

    def tcp(self, work: Work, at: float, times: list[float], ends: float) -> RecordedFlow:
        """Return a TCP flow with requests at some times."""
        to, protocol, _ = self.endpoint(work)
        seq = self.rng.randrange(1, MAX_SEQUENCE)
        packets = [RecordedPacket(0.0, "S", seq)]
        if self.rng.random() < REPEATED_SYN_PART:
            packets.append(RecordedPacket(REPEATED_SYN_AFTER_S, "S", seq))
        following = seq + 1
        for time in times:
            payload = self.callers.request(work)
            packets.append(RecordedPacket(round(time, 4), "D", following, payload.hex()))
            following += len(payload)
        packets.append(RecordedPacket(round(ends, 4), "F", following))
        caller = self.callers.address()
        return RecordedFlow(round(at, 4), work.service, work.kind, caller, to, protocol, packets)

    def udp(self, work: Work, at: float) -> RecordedFlow:
        """Return a UDP flow of one request."""
        to, protocol, _ = self.endpoint(work)
        payload = self.callers.request(work).hex()
        packets = [RecordedPacket(0.0, "D", 0, payload)]
        caller = self.callers.address()
        return RecordedFlow(round(at, 4), work.service, work.kind, caller, to, protocol, packets)

    def request_flow(self, work: Work, at: float) -> RecordedFlow:
        """Return the flow of one request for a slot."""
        if self.endpoint(work)[1] == "udp":
            return self.udp(work, at)
        return self.tcp(work, at, [0.0], CLOSE_AFTER_S)

    def requests(self, work: Work, rate: float, start: float, end: float) -> Iterator[RecordedFlow]:
        """Yield requests at random times with a mean rate a second."""
        at = start
        while True:
            at += self.rng.expovariate(rate)
            if at >= end:
                return
            yield self.request_flow(work, at)

    def quiet(self, held: int) -> Iterator[RecordedFlow]:
        """Yield the flows of quiet times."""
        for work in self.deployment.work:
            if self.endpoint(work)[2] == "connection":
                yield from self.held(work, held)
            else:
                rate = self.capacity(work) * work.load
                yield from self.requests(work, rate, 0.0, self.seconds - 1)

    def flood(self, event: Event) -> Iterator[RecordedFlow]:
        """Yield the flows of a flood, in addition to the quiet ones."""
        work = next((work for work in self.deployment.work if work.kind == event.on), None)
        if work is None:
            raise ValueError(f"flood: the deployment has no kind {event.on!r}")
        rate = self.capacity(work) * event.times
        end = min(event.at + (event.seconds or 4.0), self.seconds - 1)
        for flow in self.requests(work, rate, event.at, end):
            flow.flood = True
            yield flow


def make_trace(
    name: str,
    deployment: Deployment,
    seed: int,
    seconds: float,
    events: list[Event],
    outcomes: Outcomes,
    held: int = 100,
    terms: dict[str, float] | None = None,
) -> Trace:
    """Make a trace.

    Args:
        name: The trace's name.
        deployment: Whose services are called.
        seed: The seed of all choices.
        seconds: How long the trace lasts.
        events: What happens during it.
        outcomes: The outcomes that are stated for it.
        held: How many long flows each connection kind has.
        terms: Network terms that differ from the deployment's.

    Raises:
        ValueError: A flood names a kind that the deployment does not have.
    """
    maker = Maker(deployment, seed, seconds)
    flows = list(maker.quiet(held))
    for event in events:
        if event.do == "flood":
            flows += maker.flood(event)
    flows.sort(key=lambda flow: flow.at)
    header = TraceHeader(name, deployment.name, seed, seconds, events, outcomes, terms or {})
    return Trace(header, flows)
