"""The two deployments of the brief: zones, entry hosts, services, targets and delays."""

from dataclasses import dataclass, field
from typing import Any

from godwitway.addresses import Address, format_address

from godwitway_standins._links import LinkTerms

__all__ = ["DEPLOYMENTS", "Deployment", "Work"]

SLOTS = 3
CONNECTIONS = 2000
ENTRY_PORT = 4000
TARGET_PORT = 9000


@dataclass(slots=True, frozen=True)
class Work:
    """How callers use one kind of work.

    Attributes:
        service: The service's name.
        kind: The kind's name.
        service_ms: How long the server works on a request, in milliseconds.
        answer_bytes: How long an answer is.
        load: For slots, the part of the service's capacity that quiet times use.
        closes: Whether the server ends the connection after one answer.
    """

    service: str
    kind: str
    service_ms: int
    answer_bytes: int
    load: float = 0.0
    closes: bool = False


@dataclass(slots=True, frozen=True)
class Deployment:
    """One user's installation.

    Attributes:
        name: Its name.
        zones: Its availability zones.
        entries: How many entry hosts each zone has.
        services: The services' documents.
        work: How callers use each kind.
        terms: The delays of its network.
    """

    name: str
    zones: list[str]
    entries: list[int]
    services: list[dict[str, Any]]
    work: list[Work]
    terms: LinkTerms = field(default_factory=LinkTerms)

    def entry_zones(self) -> list[str]:
        """Return the zone of each entry host."""
        counted = zip(self.zones, self.entries, strict=True)
        return [zone for zone, count in counted for _ in range(count)]

    def service_s(self) -> dict[str, float]:
        """Return how long a server works on a request of each kind, in seconds."""
        return {item.kind: item.service_ms / 1000 for item in self.work}

    def work_of(self, service: str, kind: str) -> Work:
        """Return how callers use a kind."""
        return next(item for item in self.work if (item.service, item.kind) == (service, kind))


def entry_address(index: int, port_offset: int = 0) -> Address:
    """Return an address of an entry host by its number."""
    return f"10.0.0.{index + 1}", ENTRY_PORT + port_offset


def target_document(network: int, index: int, zone: str) -> dict[str, Any]:
    """Return the document of one target."""
    ip = f"10.{network}.0.{index + 1}"
    return {
        "address": format_address((ip, TARGET_PORT)),
        "zone": zone,
        "slots": SLOTS,
        "connections": CONNECTIONS,
        "health": format_address((ip, TARGET_PORT + 1)),
    }


def targets(network: int, zones: list[str]) -> list[dict[str, Any]]:
    """Return the documents of a service's targets, one for each zone named."""
    return [target_document(network, index, zone) for index, zone in enumerate(zones)]


KINGSTON_ZONES = ["kingston-a", "kingston-b", "kingston-c"]
ALMATY_ZONES = ["almaty-a", "almaty-b", "almaty-c", "almaty-d"]

KINGSTON = Deployment(
    name="kingston",
    zones=KINGSTON_ZONES,
    entries=[3, 2, 2],
    services=[
        {
            "name": "live-auction",
            "address": "10.10.0.1",
            "kinds": [
                {
                    "name": "board",
                    "protocol": "tcp",
                    "port": 7001,
                    "holds": "connection",
                    "urgency": 5,
                    "idle_s": 7200,
                },
                {
                    "name": "bid",
                    "protocol": "udp",
                    "port": 7002,
                    "holds": "slot",
                    "urgency": 9,
                    "repeatable": False,
                    "wait_s": 1.5,
                    "share": 0.4,
                    "idle_s": 5,
                    "repeat_s": 10,
                },
                {
                    "name": "lots",
                    "protocol": "tcp",
                    "port": 7003,
                    "holds": "slot",
                    "urgency": 3,
                    "wait_s": 2,
                    "share": 0.34,
                },
            ],
            "targets": targets(1, [KINGSTON_ZONES[i] for i in (0, 0, 0, 1, 1, 2, 2)]),
        },
        {
            "name": "catalogue",
            "address": "10.10.0.2",
            "kinds": [
                {
                    "name": "catalogue",
                    "protocol": "tcp",
                    "port": 7101,
                    "holds": "slot",
                    "urgency": 1,
                    "wait_s": 2,
                },
                {
                    "name": "index",
                    "protocol": "tcp",
                    "port": 7102,
                    "holds": "slot",
                    "urgency": 5,
                    "wait_s": 2,
                    "share": 0.34,
                },
            ],
            "targets": targets(2, KINGSTON_ZONES),
        },
    ],
    work=[
        Work("live-auction", "board", 2, 400),
        Work("live-auction", "bid", 100, 40, load=0.2),
        Work("live-auction", "lots", 100, 3_000, load=0.1, closes=True),
        Work("catalogue", "catalogue", 300, 20_000, load=0.3, closes=True),
        Work("catalogue", "index", 100, 1_000, load=0.1, closes=True),
    ],
    terms=LinkTerms(zone_delay_s=0.003, client_delay_s=0.003),
)

ALMATY = Deployment(
    name="almaty",
    zones=ALMATY_ZONES,
    entries=[2, 2, 2, 1],
    services=[
        {
            "name": "dispatch",
            "address": "10.20.0.1",
            "kinds": [
                {
                    "name": "feed",
                    "protocol": "tcp",
                    "port": 8001,
                    "holds": "connection",
                    "urgency": 6,
                    "idle_s": 7200,
                },
                {
                    "name": "survey",
                    "protocol": "udp",
                    "port": 8002,
                    "holds": "slot",
                    "urgency": 7,
                    "repeatable": False,
                    "wait_s": 2,
                    "share": 0.4,
                    "idle_s": 5,
                    "repeat_s": 10,
                },
                {
                    "name": "photo",
                    "protocol": "tcp",
                    "port": 8003,
                    "holds": "slot",
                    "urgency": 1,
                    "wait_s": 3,
                    "share": 0.2,
                },
            ],
            "targets": targets(1, [ALMATY_ZONES[i] for i in (0, 0, 1, 1, 2, 2, 3)]),
        },
        {
            "name": "drawings",
            "address": "10.20.0.2",
            "kinds": [
                {
                    "name": "layout",
                    "protocol": "tcp",
                    "port": 8101,
                    "holds": "slot",
                    "urgency": 8,
                    "wait_s": 1.5,
                    "share": 0.4,
                },
                {
                    "name": "archive",
                    "protocol": "tcp",
                    "port": 8102,
                    "holds": "slot",
                    "urgency": 1,
                    "wait_s": 3,
                    "share": 0.2,
                },
            ],
            "targets": targets(2, ALMATY_ZONES),
        },
    ],
    work=[
        Work("dispatch", "feed", 2, 300),
        Work("dispatch", "survey", 100, 40, load=0.2),
        Work("dispatch", "photo", 150, 200, load=0.1, closes=True),
        Work("drawings", "layout", 100, 6_000, load=0.2, closes=True),
        Work("drawings", "archive", 300, 20_000, load=0.15, closes=True),
    ],
    terms=LinkTerms(zone_delay_s=0.005, client_delay_s=0.001),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (KINGSTON, ALMATY)}
