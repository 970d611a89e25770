"""The types of the steering path: packets, targets, routes and configurations."""

from enum import Enum

from godwitway.addresses import Address

__all__ = [
    "DropReason",
    "FleetConfig",
    "FlowPacket",
    "RequestKind",
    "ResetReason",
    "Route",
    "ServiceConfig",
    "Target",
]


class RequestKind(Enum):
    """What a caller may do with a request that failed."""

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    AT_MOST_ONCE = "at_most_once"


class ResetReason(Enum):
    """Why a caller's flow is reset."""

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    TARGET_LEFT = "target_left"
    TARGET_UNREACHABLE = "target_unreachable"


class DropReason(Enum):
    """Why a packet gets no answer."""

    FORGED = "forged"
    NO_CONFIGURATION = "no_configuration"
    NOT_READY = "not_ready"
    NO_TOKEN = "no_token"
    FLOW_RESET = "flow_reset"


class FlowPacket:
    """The fields of one packet of a caller that steering decides by.

    Attributes:
        raw: The packet as it arrived.
        flow_key: The packed addresses and ports of both ends.
        service_address: The packed address and port that the caller wants.
        token: The route token that the packet carries, 0 for none.
        opening: Whether the packet opens a flow.
        closing: Whether the caller has nothing more to send.
        reset: Whether the caller gives the flow up.
        forged: Whether the packet cannot come from a caller.
        sequence: The sequence number of the first data byte, 32 bits.
        acknowledged: The next byte that the caller expects, 32 bits.
        length: The number of data bytes.
    """

    __slots__ = (
        "acknowledged",
        "closing",
        "flow_key",
        "forged",
        "length",
        "opening",
        "raw",
        "reset",
        "sequence",
        "service_address",
        "token",
    )


class Target:
    """A backend server as it announces itself.

    Attributes:
        id: Its name in the platform's store.
        service: The service that it belongs to.
        address: Where it takes packets and health checks.
        zone: Its availability zone.
        slots: How many requests it works on at a time.
        draining: Whether it takes no new flows.
        cold_until: Until when it is slow after its start, in seconds of the process's clock.
        started_ms: When it started, in Unix milliseconds; tells incarnations apart.
        envelope: The bytes that precede each packet to it.
        token: The route token of its flows.
    """

    __slots__ = (
        "address",
        "cold_until",
        "draining",
        "envelope",
        "id",
        "service",
        "slots",
        "started_ms",
        "token",
        "zone",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: Address,
        zone: str,
        slots: int,
        draining: bool = False,
        cold_until: float = 0.0,
        started_ms: int = 0,
        envelope: bytes = b"",
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.draining = draining
        self.cold_until = cold_until
        self.started_ms = started_ms
        self.envelope = envelope
        self.token = 0


class Route:
    """Where new flows to one address and port go.

    Attributes:
        name: The route's name.
        service_address: The packed address and port.
        kind: What callers may do with a failed request.
        service_weights: The services with their weights.
        services: The names of the services.
        priority: The urgency; 0 is the most urgent.
        latency_objective_s: The latency objective in seconds.
        timeout_s: The longest useful time of a request in seconds.
    """

    __slots__ = (
        "kind",
        "latency_objective_s",
        "name",
        "priority",
        "service_address",
        "service_weights",
        "services",
        "timeout_s",
    )

    def __init__(
        self,
        name: str,
        service_address: bytes,
        kind: RequestKind,
        service_weights: list[tuple[str, int]],
        priority: int,
        latency_objective_s: float,
        timeout_s: float,
    ) -> None:
        self.name = name
        self.service_address = service_address
        self.kind = kind
        self.service_weights = service_weights
        self.services = frozenset(service for service, _ in service_weights)
        self.priority = priority
        self.latency_objective_s = latency_objective_s
        self.timeout_s = timeout_s


class ServiceConfig:
    """What a configuration says of a service.

    Attributes:
        name: The service's name.
        health_path: The path of the targets' health endpoint.
        max_flows: How many flows a target holds.
    """

    __slots__ = ("health_path", "max_flows", "name")

    def __init__(self, name: str, health_path: str, max_flows: int) -> None:
        self.name = name
        self.health_path = health_path
        self.max_flows = max_flows


class FleetConfig:
    """One version of the configuration.

    Attributes:
        version: The number of the version; it only rises.
        routes: All routes.
        services: All services by name.
        idle_timeout_s: After how long without a packet a flow may be forgotten, in seconds.
    """

    __slots__ = ("idle_timeout_s", "routes", "services", "version")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, ServiceConfig],
        idle_timeout_s: float,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.idle_timeout_s = idle_timeout_s
