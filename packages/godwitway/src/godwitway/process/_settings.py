"""The settings of a host process, read from JSON with comments and checked whole."""

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
        token: The bearer token, or None on loopback.
        certificate: The path of the TLS certificate, or None.
        private_key: The path of the TLS key, or None.
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
        door: Where packets of the fabric and of backend servers arrive.
        peer: Where datagrams of other hosts arrive.
        control: Where control messages of other hosts arrive.
        api: The resource API.
        fabric: Where packets for callers are sent.
        store: The addresses of the platform's key-value service.
        seeds: Peer addresses of some other hosts.
        keys: The keys for datagrams between hosts; the first one signs.
        control_bytes_per_s: The budget for control traffic in bytes a second.
        stop_bound_s: The longest time in seconds that a planned stop takes.
        door_packets_per_s: How many packets a second the door takes before it sheds.
        watchers_per_zone: How many hosts of a zone watch the store.
        cold_boot_s: How long in seconds a host waits for peers before it serves alone.
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
    """Check for a key written as hexadecimal digits, without repeating it in the error."""
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
    """Check a settings document and report every error in it at once."""
    parsed = load_jsonc(document)
    if parsed.is_err():
        return parsed
    checker = Checker()
    settings = CHECK_SETTINGS(parsed.unwrap(), "", checker)
    if settings is not None:
        check_api_protection(settings.api, checker)
    return checker.result(settings)


def check_api_protection(api: ApiSettings, checker: Checker) -> None:
    """Refuse an API beyond loopback without a token and TLS."""
    if (api.certificate is None) != (api.private_key is None):
        checker.report("api.certificate", "certificate and private_key go together")
    if api.address[0].startswith(LOOPBACK_PREFIX):
        return
    if api.token is None:
        checker.report("api.token", "is required when the API listens beyond loopback")
    if api.certificate is None:
        checker.report("api.certificate", "is required when the API listens beyond loopback")


def read_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Read and check a settings file."""
    try:
        document = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(ErrorKind.BAD_JSON, f"cannot read {path}: {error}")])
    return check_settings(document)
