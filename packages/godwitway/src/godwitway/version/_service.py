"""Model of a service: address, kinds of work, targets and drain settings."""

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
    """One kind of work of a service, identified by protocol and port.

    Attributes:
        name: Name, unique within the service.
        protocol: IP protocol number, TCP or UDP.
        port: Service port.
        holds: ``"slot"`` for a short request, ``"connection"`` for a long-lived flow.
        urgency: Priority of waiting requests, from 0 to 9; higher is more urgent.
        repeatable: Whether a request may run twice without harm.
        wait_s: Longest time in seconds that a request waits for a slot; 0 for no waiting.
        share: Guaranteed fraction of a target's slots, from 0 to 1.
        idle_s: Time in seconds without packets after which a flow ends.
        repeat_s: Time in seconds within which a caller may repeat a packet of a request.
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
        """Whether a flow of this kind occupies a slot, rather than a connection."""
        return self.holds == "slot"

    @property
    def is_at_most_once(self) -> bool:
        """Whether the load balancer has to ensure that a request runs at most once.

        A repeated UDP datagram can start a request again. A repeated SYN cannot, since the
        caller completes only one handshake.
        """
        return self.protocol == UDP and not self.repeatable


@dataclass(slots=True, eq=False)
class Target:
    """One backend server of a service.

    Attributes:
        address: Address to which packets are sent, encapsulated as IP in UDP.
        zone: Availability zone.
        slots: Number of requests that may run at the same time.
        connections: Number of connections that may be open at the same time.
        state: ``"active"`` or ``"draining"``.
        health: Address of the health endpoint, or None.
        cold_start_s: Time in seconds over which a new target's share of flows grows to its full
            share; 0 for none.
        id: Packed address, 6 bytes: IPv4 address and port.
        seed: Seed for rendezvous hashing.
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
        """Whether the target gets no new flows."""
        return self.state == "draining"


@dataclass(slots=True, eq=False)
class Drain:
    """Treatment of the flows of a draining target.

    Attributes:
        grace_s: Time in seconds after the start of the drain during which flows are kept.
        end: What happens to them afterwards: ``"keep"`` leaves them, ``"reset"`` ends a TCP
            flow with a reset at the caller's next packet.
    """

    grace_s: float = DEFAULT_DRAIN_GRACE_S
    end: str = "keep"


@dataclass(slots=True, eq=False)
class Service:
    """One service as its operators declare it.

    Attributes:
        name: Name of the service.
        address: IPv4 address that callers use, as 4 bytes.
        kinds: Kinds of work.
        targets: Backend servers.
        answers: Path of answer packets to callers: ``"via_entry"`` or ``"direct"``, without an
            entry host. Informational: hosts treat both alike.
        load_bound: Fraction by which a target's connections may exceed the mean of the targets.
        max_draining: Largest number of targets that may drain at the same time; 0 for no limit.
        drain: Treatment of the flows of draining targets.
        target_seeds: Hash seeds of the targets, in the order of `targets`.
        targets_by_id: Targets by packed address, see `Target.id`.
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
        """Return the first candidate target for a flow key, or None without targets."""
        return top_ranked_target(key, self.targets, self.target_seeds)

    def candidates(self, key: bytes) -> list[Target]:
        """Return up to `CANDIDATE_COUNT` candidate targets for a flow key, in order."""
        return rank_targets(key, self.targets, self.target_seeds)[:CANDIDATE_COUNT]


def build_kind(protocol: str, **values: Any) -> Kind:
    """Return a kind from checked values; the protocol is ``"tcp"`` or ``"udp"``."""
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
    """Return the service that an operator's decoded document declares, or all problems in it."""
    checker = Checker()
    service = CHECK_SERVICE(raw, "", checker)
    if service is not None:
        check_relations(service, checker)
    return checker.result(service)


def check_relations(service: Service, checker: Checker) -> None:
    """Report problems that involve several fields: duplicates and limits on sums."""
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
