"""The settings of a steering host, read from JSON with comments and checked whole."""

from godwitway.addresses import Address
from godwitway.checks import Checker, Field, address, list_of, number, object_of, parse_jsonc, text
from godwitway.errors import ErrorKind, Problem

__all__ = [
    "SettingsError",
    "SteeringSettings",
    "check_steering_settings",
    "read_steering_settings",
]

DEFAULT_STOP_BOUND_S = 6.0  # The grace period of the platform's pages.


class SettingsError(Exception):
    """Raised for a settings document with errors.

    The `result` library would say so by its own type, but takes a quarter of the time until a host
    serves to import.
    """

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


class SteeringSettings:
    """The settings of one host on the platform.

    Attributes:
        name: The host's name.
        zone: Its availability zone.
        packets: Where callers' packets arrive.
        ready: Where the platform asks whether the host is ready.
        control: Where state, metrics and changes are served.
        metrics: Where metrics are served besides, or None.
        peer: Where reports of other hosts arrive.
        store: The platform's store.
        seeds: Control addresses of some other hosts.
        stop_bound_s: The longest time in seconds that a planned stop takes.
    """

    __slots__ = (
        "control",
        "metrics",
        "name",
        "packets",
        "peer",
        "ready",
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
    ],
)


def check_steering_settings(document: str) -> SteeringSettings:
    """Check a settings document.

    Raises:
        SettingsError: It has errors; all of them are reported at once.
    """
    checker = Checker()
    parsed = parse_jsonc(document, checker)
    settings = None if checker.problems else CHECK_SETTINGS(parsed, "", checker)
    if checker.problems:
        raise SettingsError(checker.problems)
    return settings


def read_steering_settings(path: str) -> SteeringSettings:
    """Read and check a settings file; raises `SettingsError`."""
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - pathlib costs start-up time.
            document = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([Problem(ErrorKind.BAD_JSON, f"cannot read it: {error}")]) from error
    return check_steering_settings(document)
