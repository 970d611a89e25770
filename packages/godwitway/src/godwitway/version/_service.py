"""The model of a service: its address, kinds of work, targets and drain terms."""

from dataclasses import dataclass, field
from typing import Any

from result import Result

from godwitway.addresses import Address, format_address, pack_address
from godwitway.checks import (
    Checker,
    Field,
    address,
    boolean,
    choice,
    integer,
    ip_address,
    list_of,
    number,
    object_of,
    text,
)
from godwitway.errors import Problem
from godwitway.version._order import CANDIDATE_COUNT, hash_seed, rank_targets, top_ranked_target

__all__ = ["TCP", "UDP", "Drain", "Kind", "Service", "Target", "check_service"]

TCP = 6
UDP = 17
PROTOCOLS = {"tcp": TCP, "udp": UDP}

DAY_S = 86_400.0
DEFAULT_LOAD_BOUND = 0.07
DEFAULT_IDLE_S = 7_200.0
DEFAULT_REPEAT_S = 10.0
DEFAULT_WAIT_S = 1.0
DEFAULT_DRAIN_GRACE_S = 3_600.0
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 10_000_000


@dataclass(slots=True, eq=False)
class Kind:
    """One kind of work of a service, told apart by protocol and port.

    Attributes:
        name: The kind's name within its service.
        protocol: The IP protocol number.
        port: The service port.
        holds: ``"slot"`` for a short request, ``"connection"`` for a long flow.
        urgency: Higher is more urgent.
        repeatable: Whether a request may safely run twice.
        wait_s: The longest time in seconds that a request waits for a slot.
        share: The guaranteed part of a target's slots, from 0 to 1.
        idle_s: The time in seconds after which a silent flow ends.
        repeat_s: The time in seconds within which a caller may repeat a packet of a request.
    """

    name: str
    protocol: int
    port: int
    holds: str
    urgency: int
    repeatable: bool
    wait_s: float
    share: float
    idle_s: float
    repeat_s: float

    @property
    def holds_slot(self) -> bool:
        """Whether a flow of this kind takes a slot."""
        return self.holds == "slot"

    @property
    def is_at_most_once(self) -> bool:
        """Whether a repeated datagram may start a request a second time."""
        return self.protocol == UDP and not self.repeatable


@dataclass(slots=True, eq=False)
class Target:
    """One backend server of a service.

    Attributes:
        address: Where IP-in-UDP datagrams are sent.
        zone: The availability zone.
        slots: How many requests run at once.
        connections: How many connections it holds at most.
        state: ``"active"`` or ``"draining"``.
        health: Where its health endpoint listens, or None.
        cold_start_s: The time in seconds over which a new target's share grows.
        id: The packed address.
        seed: The hash seed of the target.
    """

    address: Address
    zone: str
    slots: int
    connections: int
    state: str
    health: Address | None
    cold_start_s: float
    id: bytes = field(init=False)
    seed: int = field(init=False)

    def __post_init__(self) -> None:
        self.id = pack_address(self.address)
        self.seed = hash_seed(self.id)

    @property
    def is_draining(self) -> bool:
        """Whether the target takes no new flows."""
        return self.state == "draining"


@dataclass(slots=True, eq=False)
class Drain:
    """How long held flows stay on a draining target and how they end.

    Attributes:
        grace_s: The time in seconds that held flows are given.
        end: ``"keep"`` leaves them, ``"reset"`` ends them with a TCP reset.
    """

    grace_s: float = DEFAULT_DRAIN_GRACE_S
    end: str = "keep"


@dataclass(slots=True, eq=False)
class Service:
    """One service as its operators declare it.

    Attributes:
        name: The service's name.
        address: The packed IPv4 address that callers use.
        kinds: The kinds of work.
        targets: The backend servers.
        answers: ``"via_entry"`` or ``"direct"``.
        load_bound: How far above the mean load a target may go, as a fraction.
        max_draining: How many targets may drain at once; 0 for no limit.
        drain: The terms for flows on draining targets.
    """

    name: str
    address: bytes
    kinds: list[Kind]
    targets: list[Target]
    answers: str
    load_bound: float
    max_draining: int
    drain: Drain
    target_seeds: list[int] = field(init=False)
    targets_by_id: dict[bytes, Target] = field(init=False)

    def __post_init__(self) -> None:
        self.target_seeds = [target.seed for target in self.targets]
        self.targets_by_id = {target.id: target for target in self.targets}

    def first_candidate(self, key: bytes) -> Target | None:
        """Return the first candidate target of a flow."""
        return top_ranked_target(key, self.targets, self.target_seeds)

    def candidates(self, key: bytes) -> list[Target]:
        """Return the first candidate targets of a flow, in order."""
        return rank_targets(key, self.targets, self.target_seeds)[:CANDIDATE_COUNT]


def build_kind(protocol: str, **values: Any) -> Kind:
    """Build a kind from checked values."""
    return Kind(protocol=PROTOCOLS[protocol], **values)


CHECK_KIND = object_of(
    build_kind,
    [
        Field("name", text),
        Field("protocol", choice(*PROTOCOLS)),
        Field("port", integer(1, 65535)),
        Field("holds", choice("slot", "connection")),
        Field("urgency", integer(0, 9), 1),
        Field("repeatable", boolean, True),
        Field("wait_s", number(0, 60), DEFAULT_WAIT_S),
        Field("share", number(0, 1), 0.0),
        Field("idle_s", number(0.1, DAY_S), DEFAULT_IDLE_S),
        Field("repeat_s", number(0, 600), DEFAULT_REPEAT_S),
    ],
)
CHECK_TARGET = object_of(
    Target,
    [
        Field("address", address),
        Field("zone", text),
        Field("slots", integer(0, MAX_SLOTS), 3),
        Field("connections", integer(1, MAX_CONNECTIONS), 2000),
        Field("state", choice("active", "draining"), "active"),
        Field("health", address, None),
        Field("cold_start_s", number(0, 3600), 0.0),
    ],
)
CHECK_DRAIN = object_of(
    Drain,
    [
        Field("grace_s", number(0, DAY_S), DEFAULT_DRAIN_GRACE_S),
        Field("end", choice("keep", "reset"), "keep"),
    ],
)
CHECK_SERVICE = object_of(
    Service,
    [
        Field("name", text),
        Field("address", ip_address),
        Field("kinds", list_of(CHECK_KIND, min_items=1)),
        Field("targets", list_of(CHECK_TARGET)),
        Field("answers", choice("via_entry", "direct"), "via_entry"),
        Field("load_bound", number(0.01, 10), DEFAULT_LOAD_BOUND),
        Field("max_draining", integer(0, 100_000), 0),
        Field("drain", CHECK_DRAIN, Drain),
    ],
)


def check_service(raw: Any) -> Result[Service, list[Problem]]:
    """Check an operator's document and build the service, or report every problem in it."""
    checker = Checker()
    service = CHECK_SERVICE(raw, "", checker)
    if service is not None:
        check_relations(service, checker)
    return checker.result(service)


def check_relations(service: Service, checker: Checker) -> None:
    """Check what several fields of a service say together."""
    endpoints = [(kind.protocol, kind.port) for kind in service.kinds]
    names = [kind.name for kind in service.kinds]
    addresses = [target.address for target in service.targets]
    for index, kind in enumerate(service.kinds):
        if endpoints.index((kind.protocol, kind.port)) != index:
            checker.report(f"kinds[{index}].port", "another kind has this protocol and port")
        if names.index(kind.name) != index:
            checker.report(f"kinds[{index}].name", "another kind has this name")
    for index, target in enumerate(service.targets):
        if addresses.index(target.address) != index:
            shown = format_address(target.address)
            checker.report(f"targets[{index}].address", f"{shown} is listed twice")
    if sum(kind.share for kind in service.kinds) > 1:
        checker.report("kinds", "the guaranteed shares add up to more than 1")
    draining = sum(target.is_draining for target in service.targets)
    if service.max_draining and draining > service.max_draining:
        message = f"{draining} targets are draining, max_draining is {service.max_draining}"
        checker.report("targets", message)
