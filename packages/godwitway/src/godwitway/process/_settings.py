"""The settings of an entry host: reading a file of JSON with comments and validating it."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Result

from godwitway.addresses import Address
from godwitway.checks import (
    Checker,
    Field,
    address,
    integer,
    list_of,
    load_jsonc,
    number,
    object_of,
    text,
)
from godwitway.errors import ErrorKind, Problem

__all__ = ["ApiSettings", "Settings", "check_settings", "read_settings"]

KEY_BYTES_MIN = 16
KEY_BYTES_MAX = 64
DEFAULT_CONTROL_BYTES_PER_S = 15_000
DEFAULT_STOP_BOUND_S = 60.0
DEFAULT_DOOR_PACKETS_PER_S = 100_000
LOOPBACK_PREFIX = "127."


@dataclass(slots=True)
class ApiSettings:
    """Where the resource API listens and how it is protected.

    Attributes:
        address: The address to listen on.
        token: The bearer token that requests need, or None for no authentication.
        certificate: The path of the TLS certificate, or None for plain HTTP.
        private_key: The path of the private key of the certificate, or None.
    """

    address: Address
    token: str | None
    certificate: str | None
    private_key: str | None


@dataclass(slots=True)
class Settings:
    """The settings of one host.

    Attributes:
        name: The host's name.
        zone: Its availability zone.
        door: The UDP address for packets from the fabric and from backend servers.
        peer: The UDP address for datagrams from other hosts.
        control: The TCP address for control messages from other hosts.
        api: The resource API.
        fabric: The addresses that packets for callers are sent to.
        store: The addresses of the platform's key-value store.
        seeds: The peer addresses of some other hosts, contacted to join.
        keys: The keys that authenticate traffic between hosts; the first one signs, all verify.
        control_bytes_per_s: The budget for control traffic, in bytes per second.
        stop_bound_s: The limit on a planned stop, in seconds.
        door_packets_per_s: The ingress budget, in packets per second; packets that would open
            new flows are dropped beyond it.
        watchers_per_zone: How many hosts of each zone watch the store.
        cold_boot_s: How long a host waits for peers before it serves alone, in seconds.
    """

    name: str
    zone: str
    door: Address
    peer: Address
    control: Address
    api: ApiSettings
    fabric: list[Address]
    store: list[Address]
    seeds: list[Address]
    keys: list[bytes]
    control_bytes_per_s: int
    stop_bound_s: float
    door_packets_per_s: int
    watchers_per_zone: int
    cold_boot_s: float


def secret_key(value: Any, field: str, checker: Checker) -> Any:
    """Check for a key in hexadecimal digits and return its bytes; errors never contain it."""
    try:
        key = bytes.fromhex(value)
    except (TypeError, ValueError):
        checker.report(field, "expected hexadecimal digits")
        return b""
    if not KEY_BYTES_MIN <= len(key) <= KEY_BYTES_MAX:
        checker.report(field, f"expected {KEY_BYTES_MIN} to {KEY_BYTES_MAX} bytes")
    return key


CHECK_API = object_of(
    ApiSettings,
    [
        Field("address", address),
        Field("token", text, None),
        Field("certificate", text, None),
        Field("private_key", text, None),
    ],
)
CHECK_SETTINGS = object_of(
    Settings,
    [
        Field("name", text),
        Field("zone", text),
        Field("door", address),
        Field("peer", address),
        Field("control", address),
        Field("api", CHECK_API),
        Field("fabric", list_of(address, min_items=1)),
        Field("store", list_of(address), list),
        Field("seeds", list_of(address), list),
        Field("keys", list_of(secret_key, min_items=1)),
        Field("control_bytes_per_s", integer(1_000, 10_000_000), DEFAULT_CONTROL_BYTES_PER_S),
        Field("stop_bound_s", number(0, 3600), DEFAULT_STOP_BOUND_S),
        Field("door_packets_per_s", integer(100, 10_000_000), DEFAULT_DOOR_PACKETS_PER_S),
        Field("watchers_per_zone", integer(1, 16), 2),
        Field("cold_boot_s", number(0, 60), 2.0),
    ],
)


def check_settings(document: str) -> Result[Settings, list[Problem]]:
    """Validate a settings document, and return the settings or all errors in it."""
    parsed = load_jsonc(document)
    if parsed.is_err():
        return parsed
    checker = Checker()
    settings = CHECK_SETTINGS(parsed.unwrap(), "", checker)
    if settings is not None:
        check_api_protection(settings.api, checker)
    return checker.result(settings)


def check_api_protection(api: ApiSettings, checker: Checker) -> None:
    """Report an API that listens beyond loopback without a token and TLS."""
    if (api.certificate is None) != (api.private_key is None):
        checker.report("api.certificate", "certificate and private_key go together")
    if api.address[0].startswith(LOOPBACK_PREFIX):
        return
    if api.token is None:
        checker.report("api.token", "is required when the API listens beyond loopback")
    if api.certificate is None:
        checker.report("api.certificate", "is required when the API listens beyond loopback")


def read_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and validate a settings file; a file that cannot be read is a `BAD_JSON` problem."""
    try:
        document = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(ErrorKind.BAD_JSON, f"cannot read {path}: {error}")])
    return check_settings(document)
