"""The data types of steering: packets, targets, routes and configurations."""

from enum import Enum

from godwitway.addresses import Address

__all__ = [
    "DropReason",
    "FleetConfig",
    "FlowPacket",
    "RejectedRoute",
    "RequestKind",
    "ResetReason",
    "Route",
    "ServiceConfig",
    "Target",
]


class RequestKind(Enum):
    """How callers treat a failed request of a route: whether they may send it again.

    Attributes:
        IDEMPOTENT: They may repeat it; flows at unreachable targets are reset.
        DOWNLOAD: They may repeat it, as for `IDEMPOTENT`; counted separately.
        AT_MOST_ONCE: They must not repeat it; flows are not reset because a target is unreachable.
        UPLOAD: They must not repeat it, as for `AT_MOST_ONCE`; counted separately.
        UNKNOWN: A kind that this version does not know; handled as `AT_MOST_ONCE`.
    """

    IDEMPOTENT = "idempotent"
    DOWNLOAD = "download"
    AT_MOST_ONCE = "at_most_once"
    UPLOAD = "upload"
    UNKNOWN = "unknown"

    def is_repeatable(self) -> bool:
        """Whether callers may repeat a request that may have run."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


class ResetReason(Enum):
    """Why a caller's flow is reset.

    Attributes:
        NO_ROUTE: The configuration has no route for the destination address. An open flow is reset
            for this only by a host that forwarded it while the route was in force.
        NO_TARGET: There is no target for a new flow.
        REGION_UNREACHABLE: No target in the regions that the route is limited to answers.
        EVACUATED: All targets for a new flow are in evacuated availability zones.
        OVERLOADED: A new flow would wait too long at the service's targets.
        COLD_EXHAUSTED: Every target for a new flow is cold, and this host's share of the flows that
            they may get is used up for longer than the caller repeats its opening packet.
        TARGET_LEFT: The flow's target has been removed.
        TARGET_UNREACHABLE: The flow's target is unreachable, and the request may be repeated.
    """

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    REGION_UNREACHABLE = "region_unreachable"
    EVACUATED = "evacuated"
    OVERLOADED = "overloaded"
    COLD_EXHAUSTED = "cold_exhausted"
    TARGET_LEFT = "target_left"
    TARGET_UNREACHABLE = "target_unreachable"


class DropReason(Enum):
    """Why a packet is dropped without an answer.

    Attributes:
        FORGED: It has flags that only a target may send.
        NO_CONFIGURATION: This host has no configuration yet.
        NOT_READY: It opens a flow, and this host has just started: it does not know the targets
            yet, or may lack the route or the target only because its view is not up to date.
        UNKNOWN_TOKEN: Its route token is 0, unknown, or that of another service's target.
        EVACUATED: It opens a flow again at a target whose availability zone has been evacuated.
        EARLIER_FLOW: Its ports have been used again for another flow, and its target has left.
        FLOW_RESET: Its flow was reset shortly before, or the packet is itself a reset.
        COLD_EXHAUSTED: It opens a flow, every target is cold and has no budget left here, and the
            caller will repeat the packet after one of them can take the flow.
    """

    FORGED = "forged"
    NO_CONFIGURATION = "no_configuration"
    NOT_READY = "not_ready"
    UNKNOWN_TOKEN = "no_token"
    EVACUATED = "evacuated"
    EARLIER_FLOW = "earlier_flow"
    FLOW_RESET = "flow_reset"
    COLD_EXHAUSTED = "cold_exhausted"


class FlowPacket:
    """The fields of a caller's packet that steering decisions depend on.

    The platform's adapter creates a packet and sets all attributes.

    Attributes:
        raw: The packet as received.
        flow_key: Bytes of the packet's header that identify the flow: the addresses and ports of
            caller and service in the platform's format.
        service_address: Bytes of the packet's header that identify the destination; equal to
            `Route.service_address` of its route.
        token: The route token that the packet carries, 0 for none.
        opening: Whether the packet opens a flow (SYN).
        closing: Whether the caller closes its side of the flow (FIN).
        reset: Whether the caller resets the flow (RST).
        forged: Whether the packet has flags that only a target may send.
        sequence: The sequence number of the first data byte, 32 bits.
        acknowledged: The acknowledgment number, the next byte that the caller expects, 32 bits.
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
    """A backend server, as announced in the store.

    Attributes:
        id: Its id in the store.
        service: The name of its service.
        address: The address at which it receives packets and health probes.
        zone: Its availability zone.
        slots: The number of requests that it processes concurrently.
        draining: Whether it accepts no new flows.
        has_lapsed: Whether its entry went without notice and was not written again in time. It may
            still serve open flows.
        cold_until: When its warm-up ends, in seconds of this process's clock.
        min_cold_until: The earliest `cold_until` that announcements of this incarnation may set;
            see `Catalog.mark_zone_cold`.
        started_ms: When it started, in Unix milliseconds; identifies the incarnation.
        envelope: The bytes to prepend to each packet that is forwarded to it.
        update_number: A number that rises with each update of the entry by one incarnation.
        token: The route token that its flows carry; assigned by the catalog, 0 before.
    """

    __slots__ = (
        "address",
        "cold_until",
        "draining",
        "envelope",
        "has_lapsed",
        "id",
        "min_cold_until",
        "service",
        "slots",
        "started_ms",
        "token",
        "update_number",
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
        update_number: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.draining = draining
        self.has_lapsed = False
        self.cold_until = cold_until
        self.min_cold_until = 0.0
        self.started_ms = started_ms
        self.envelope = envelope
        self.update_number = update_number
        self.token = 0


class Route:
    """The route of one destination address and port to one or more services.

    Attributes:
        name: The route's name.
        service_address: The destination address and port in the platform's format; see
            `FlowPacket`.
        kind: How callers treat a failed request.
        service_weights: Pairs of service name and weight for new flows.
        services: The names of the services.
        priority: The priority; 0 is the highest.
        latency_objective_s: The latency objective of a request in seconds.
        timeout_s: The longest useful duration of a request in seconds.
        allowed_regions: The regions whose targets may serve the route; None for all.
    """

    __slots__ = (
        "allowed_regions",
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
        allowed_regions: frozenset[str] | None = None,
    ) -> None:
        self.name = name
        self.service_address = service_address
        self.kind = kind
        self.service_weights = service_weights
        self.services = frozenset(service for service, _ in service_weights)
        self.priority = priority
        self.latency_objective_s = latency_objective_s
        self.timeout_s = timeout_s
        self.allowed_regions = allowed_regions


class RejectedRoute:
    """A route of a configuration that cannot be decoded, with the parts that can.

    Attributes:
        name: The route's name, or None.
        service_address: The destination address and port; see `Route.service_address`; or None.
        services: The names of the services, or None.
        reason: Why the route is rejected; names the invalid field.
    """

    __slots__ = ("name", "reason", "service_address", "services")

    def __init__(
        self,
        name: str | None,
        service_address: bytes | None,
        services: frozenset[str] | None,
        reason: str,
    ) -> None:
        self.name = name
        self.service_address = service_address
        self.services = services
        self.reason = reason


class ServiceConfig:
    """The part of a configuration that describes a service.

    Attributes:
        name: The service's name.
        health_path: The URL path of its targets' health endpoint.
        max_flows: The largest number of open flows of a target. Steering does not enforce it.
        cold_start_s: How long a target is cold after its start, in seconds.
        cold_per_s: The part of the limit of new flows to a cold target that depends on the service,
            in flows per second; see `ColdBudgets`.
    """

    __slots__ = ("cold_per_s", "cold_start_s", "health_path", "max_flows", "name")

    def __init__(
        self,
        name: str,
        health_path: str,
        max_flows: int,
        cold_start_s: float = 0.0,
        cold_per_s: float = 0.0,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.max_flows = max_flows
        self.cold_start_s = cold_start_s
        self.cold_per_s = cold_per_s


class FleetConfig:
    """One version of the configuration.

    Attributes:
        version: The version number; newer versions have higher numbers.
        routes: All routes, without the rejected ones.
        services: All services by name.
        idle_timeout_s: How long in seconds a flow without packets is kept.
        rejected_routes: The routes that could not be decoded.
    """

    __slots__ = ("idle_timeout_s", "rejected_routes", "routes", "services", "version")

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
        self.rejected_routes: list[RejectedRoute] = []
