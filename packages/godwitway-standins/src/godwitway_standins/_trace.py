"""Recorded traces: what callers sent, when, and the outcomes that are stated for it."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

__all__ = [
    "Event",
    "Outcomes",
    "RecordedFlow",
    "RecordedPacket",
    "Trace",
    "TraceHeader",
    "parse_event",
    "read_trace",
    "write_trace",
]


class Event(msgspec.Struct, omit_defaults=True):
    """Something that happens during a trace.

    Attributes:
        at: When, in seconds from the start.
        do: What, such as ``kill-entry``.
        on: Which host, target, zone or kind; empty for the player's choice.
        times: How much, for floods: a multiple of the capacity.
        seconds: For how long, 0 for no end.
    """

    at: float
    do: str
    on: str = ""
    times: float = 1.0
    seconds: float = 0.0


class Outcomes(msgspec.Struct, omit_defaults=True):
    """The outcomes that are stated for a trace; each is an upper or a lower bound.

    Attributes:
        broken_flows: The most established flows that may break, None when nothing is stated.
        incomplete_answers: The most answers that may be wrong or cut off.
        duplicate_runs: The most at-most-once requests that may run twice.
        wrong_service: The most packets that may reach a wrong service.
        untrue_refusals: The most refused requests that may have run.
        imbalance: The largest ratio of the highest to the mean connections of a target.
        kept: The least part of each kind's answered requests beside the quiet run.
        goodput: The least part of the service's capacity that answers requests.
        queue_p99: The longest 99th percentile of the wait by kind, in service times.
        unopened: The most flows that may neither open nor be refused.
    """

    broken_flows: int | None = 0
    incomplete_answers: int = 0
    duplicate_runs: int = 0
    wrong_service: int = 0
    untrue_refusals: int = 0
    imbalance: float | None = None
    kept: dict[str, float] = {}
    goodput: float | None = None
    queue_p99: dict[str, float] = {}
    unopened: int | None = None


class RecordedPacket(msgspec.Struct, array_like=True):
    """One packet of a caller.

    Attributes:
        after: When it was sent, in seconds after the flow's first packet.
        flags: ``S`` for SYN, ``D`` for data, ``F`` for FIN, ``R`` for RST.
        seq: The TCP sequence number, 0 for UDP.
        payload: The payload in hexadecimal.
    """

    after: float
    flags: str
    seq: int
    payload: str = ""


class RecordedFlow(msgspec.Struct):
    """All packets that a caller sent on one flow.

    Attributes:
        at: When the first packet was sent, in seconds from the start.
        service: The name of the service.
        kind: The name of the kind of work.
        caller: The caller's address.
        to: The service's address.
        protocol: ``tcp`` or ``udp``.
        flood: Whether the flow is part of a flood.
        packets: The packets.
    """

    at: float
    service: str
    kind: str
    caller: str
    to: str
    protocol: str
    packets: list[RecordedPacket]
    flood: bool = False


class TraceHeader(msgspec.Struct):
    """The first line of a trace.

    Attributes:
        trace: The trace's name.
        deployment: The name of the deployment.
        seed: The seed that made it.
        seconds: How long it lasts.
        events: What happens during it.
        outcomes: What is to come out of it.
        terms: The terms of the network, beside the deployment's delays.
    """

    trace: str
    deployment: str
    seed: int
    seconds: float
    events: list[Event]
    outcomes: Outcomes
    terms: dict[str, float] = {}


class Trace:
    """A whole trace."""

    __slots__ = ("flows", "header")

    def __init__(self, header: TraceHeader, flows: list[RecordedFlow]) -> None:
        self.header = header
        self.flows = flows


def parse_event(text: str) -> Event:
    """Read an event as the command line writes it.

    The form is ``NAME[:ON]@SECOND[xTIMES][+SECONDS]``.

    Raises:
        ValueError: The text has another form.

    >>> parse_event("flood:catalogue@8x10+4")
    Event(at=8.0, do='flood', on='catalogue', times=10.0, seconds=4.0)
    """
    what, at_sign, when = text.partition("@")
    name, _, on = what.partition(":")
    start, _, seconds = when.partition("+")
    at, _, times = start.partition("x")
    if not at_sign or not name:
        raise ValueError(f"event {text!r} has not the form NAME[:ON]@SECOND[xTIMES][+SECONDS]")
    try:
        return Event(float(at), name, on, float(times or 1), float(seconds or 0))
    except ValueError:
        raise ValueError(f"event {text!r} has a part that is no number") from None


def read_trace(path: Path) -> Trace:
    """Read a trace from JSON lines."""
    lines = path.read_bytes().splitlines()
    header = msgspec.json.decode(lines[0], type=TraceHeader)
    return Trace(header, [msgspec.json.decode(line, type=RecordedFlow) for line in lines[1:]])


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace as JSON lines."""
    lines: Iterable[Any] = [trace.header, *trace.flows]
    path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
