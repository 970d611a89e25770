"""Reads and validates the settings of a steering host, a file of JSON with comments."""

from godwitway.addresses import Address
from godwitway.checks import (
    Checker,
    Field,
    address,
    boolean,
    list_of,
    map_of,
    number,
    object_of,
    parse_jsonc,
    text,
)
from godwitway.errors import ErrorKind, Problem

__all__ = [
    "SettingsError",
    "SteeringSettings",
    "check_steering_settings",
    "read_steering_settings",
]

DEFAULT_STOP_BOUND_S = 6.0  # The platform's grace period for a planned stop.


class SettingsError(Exception):
    """Raised for an invalid settings document; `problems` lists all problems found.

    An exception is used instead of the `result` library, because importing that library takes a
    quarter of the time that a host needs to become ready.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class SteeringSettings:
    """The settings of one host on the platform.

    All addresses are pairs of IP address and port.

    Attributes:
        name: The host's name.
        zone: Its availability zone.
        packets: The UDP address that receives callers' packets.
        ready: The HTTP address of the readiness check.
        control: The HTTP address that serves state, metrics and changes of the store.
        metrics: An additional HTTP address that serves metrics, or None.
        peer: The UDP address that receives reports from other hosts.
        store: The address of the platform's store.
        seeds: The control addresses of hosts to contact at start.
        first_start: Whether the whole fleet starts for the first time, so that the store is empty.
        stop_bound_s: The longest duration of a planned stop in seconds.
        regions: The region of each availability zone, by the zone's name; routes may be limited to
            regions.
        cold_rate_factor: The factor by which a service's `cold_per_s` is multiplied for the limit
            of new flows to a cold target, or None.
        cold_rate_slack: The flows per second that are added to the product, or None. Without both
            settings there is no limit.
    """

    __slots__ = (
        "cold_rate_factor",
        "cold_rate_slack",
        "control",
        "first_start",
        "metrics",
        "name",
        "packets",
        "peer",
        "ready",
        "regions",
        "seeds",
        "stop_bound_s",
        "store",
        "zone",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        packets: Address,
        ready: Address,
        control: Address,
        peer: Address,
        store: Address,
        seeds: list[Address],
        stop_bound_s: float,
        metrics: Address | None,
        first_start: bool = False,
        regions: dict[str, str] | None = None,
        cold_rate_factor: float | None = None,
        cold_rate_slack: float | None = None,
    ) -> None:
        self.name = name
        self.zone = zone
        self.packets = packets
        self.ready = ready
        self.control = control
        self.peer = peer
        self.store = store
        self.seeds = seeds
        self.stop_bound_s = stop_bound_s
        self.metrics = metrics
        self.first_start = first_start
        self.regions = regions or {}
        self.cold_rate_factor = cold_rate_factor
        self.cold_rate_slack = cold_rate_slack


CHECK_SETTINGS = object_of(
    SteeringSettings,
    [
        Field("name", text),
        Field("zone", text),
        Field("packets", address),
        Field("ready", address),
        Field("control", address),
        Field("peer", address),
        Field("store", address),
        Field("seeds", list_of(address), list),
        Field("stop_bound_s", number(0, 3600), DEFAULT_STOP_BOUND_S),
        Field("metrics", address, None),
        Field("first_start", boolean, False),
        Field("regions", map_of(text), dict),
        Field("cold_rate_factor", number(0, 1_000_000), None),
        Field("cold_rate_slack", number(0, 1_000_000), None),
    ],
)


def check_steering_settings(document: str) -> SteeringSettings:
    """Parse and validate a settings document.

    Raises:
        SettingsError: The document is invalid; the error lists all problems.
    """
    checker = Checker()
    parsed = parse_jsonc(document, checker)
    settings = None if checker.problems else CHECK_SETTINGS(parsed, "", checker)
    if checker.problems:
        raise SettingsError(checker.problems)
    return settings


def read_steering_settings(path: str) -> SteeringSettings:
    """Read and validate a settings file.

    Raises:
        SettingsError: The file cannot be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib is slow to import.
            document = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            [Problem(ErrorKind.BAD_JSON, f"cannot read the settings file: {error}")]
        ) from error
    return check_steering_settings(document)
