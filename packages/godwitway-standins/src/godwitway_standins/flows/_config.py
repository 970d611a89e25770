"""Builds the configuration that the stand-in's operator writes."""

import json
from typing import Any

from godwitway_standins.flows._caller import RequestType
from godwitway_standins.flows._cold_flows import COLD_PER_S, COLD_START_S

__all__ = [
    "BROKEN_FIELDS",
    "EXTRA_NET",
    "KINDS",
    "ODD_KINDS",
    "SERVICE_OF",
    "SERVICE_PORT",
    "address_of",
    "build_config",
    "odd_address_of",
]

SERVICE_PORT = 443
EXTRA_NET = "198.18.1."  # Of the addresses of routes that come and go.
BROKEN_ROUTE_HOST = "198.18.2.250"
KINDS = {
    "board": RequestType("board", True, True, 0, 4_000, 1.5),
    "bid": RequestType("bid", False, False, 900, 600, 2.0),
    "catalogue": RequestType("catalogue", True, False, 0, 30_000, 3.0),
}
# Routes of these kinds are in the configuration only at times.
ODD_KINDS = {
    "upload": RequestType("upload", False, False, 20_000, 300, 2.0),
    "unknown": RequestType("unknown", False, False, 900, 600, 2.0),
}
SERVICE_OF = {
    "board": "desk",
    "bid": "desk",
    "catalogue": "store",
    "upload": "store",
    "unknown": "desk",
}
TYPE_OF = {
    "board": "idempotent",
    "bid": "non_idempotent",
    "catalogue": "download",
    "upload": "upload",
    "unknown": "subscribe",
}
# Each makes a route invalid.
BROKEN_FIELDS: tuple[dict[str, Any], ...] = (
    {"priority": "high"},
    {"prefix": "/https/"},
    {"service": None},
    {"aim-ms": -1},
)

Address = tuple[str, int]


def address_of(kind: str) -> Address:
    """Return the address that requests of one of `KINDS` are sent to."""
    return f"198.18.0.{list(KINDS).index(kind) + 1}", SERVICE_PORT


def odd_address_of(kind: str) -> Address:
    """Return the address that requests of one of `ODD_KINDS` are sent to."""
    return f"198.18.2.{list(ODD_KINDS).index(kind) + 1}", SERVICE_PORT


def build_route(address: Address, kind: str, timeout_ms: int) -> dict[str, Any]:
    """Return the entry of a route for requests of a kind."""
    return {
        "name": f"r-{address[0]}",
        "host": address[0],
        "prefix": f"/{address[1]}/",
        "type": TYPE_OF[kind],
        "timeout-ms": timeout_ms,
        "aim-ms": 300,
        "priority": 1 if kind == "bid" else 2,
        "service": SERVICE_OF[kind],
        "max-attempts": 2,
    }


def build_service(name: str) -> dict[str, Any]:
    """Return the entry of a service."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": 2000,
        "protocol": "h1",
        "tls": False,
        "cold-start-s": COLD_START_S,
        "cold-per-s": COLD_PER_S,
    }


def build_config(
    version: int,
    kinds: dict[Address, str],
    timeout_ms: int,
    broken_fields: dict[str, Any] | None = None,
) -> bytes:
    """Return a configuration.

    Args:
        version: Its version.
        kinds: The kind of request of each route, by address.
        timeout_ms: The timeout of all routes.
        broken_fields: The fields that make one more route invalid; None for no such route, which
            comes before the valid ones.
    """
    routes = [build_route(address, kind, timeout_ms) for address, kind in kinds.items()]
    if broken_fields is not None:
        broken = build_route((BROKEN_ROUTE_HOST, SERVICE_PORT), "board", timeout_ms)
        routes.insert(0, broken | broken_fields)
    document = {
        "version": version,
        "routes": routes,
        "services": [build_service(name) for name in ("desk", "store")],
        "limits": {"idle-timeout-ms": 15_000},
    }
    return json.dumps(document).encode()
