"""The choice of a target for a new flow."""

import random
from collections.abc import Callable, Iterable

from godwitway.steering._model import Target

__all__ = ["LoadView", "choose_service", "choose_target", "cost_of"]

IDLE_FLOW_WEIGHT = 0.06  # A board or feed sends about one request of 55 ms a second.
OTHER_ZONE_REQUESTS = 2.0  # How much fuller the own zone may be; smaller values crossed more.
COLD_SPEED = 0.6  # Share of the usual speed of a target after its start.
SUSPECTED_COST = 1_000.0


class LoadView:
    """The load of a target as far as this host knows it.

    Attributes:
        busy: Requests in progress.
        idle: Open flows without one.
    """

    __slots__ = ("busy", "idle")

    def __init__(self, busy: float, idle: float) -> None:
        self.busy = busy
        self.idle = idle


def cost_of(target: Target, load: LoadView, zone: str, suspected: bool, now: float) -> float:
    """Return the expected requests for each slot of a target once it has one more.

    >>> target = Target("i-1", "s", ("10.0.0.1", 80), "a", slots=2)
    >>> cost_of(target, LoadView(1, 0), "a", False, 0.0)
    1.0
    """
    requests = load.busy + IDLE_FLOW_WEIGHT * load.idle + 1.0
    if target.zone != zone:
        requests += OTHER_ZONE_REQUESTS
    slots = target.slots * (COLD_SPEED if now < target.cold_until else 1.0)
    return requests / slots + (SUSPECTED_COST if suspected else 0.0)


def choose_target(
    candidates: Iterable[Target],
    load_of: Callable[[Target], LoadView],
    suspected: Callable[[Target], bool],
    zone: str,
    now: float,
    rng: random.Random,
) -> Target | None:
    """Return the target with the lowest cost, at random among equals; None without candidates."""
    best: Target | None = None
    lowest = 0.0
    for target in candidates:
        # A small random part keeps hosts with the same picture from choosing the same target.
        cost = cost_of(target, load_of(target), zone, suspected(target), now) + rng.random() * 0.1
        if best is None or cost < lowest:
            best, lowest = target, cost
    return best


def choose_service(shares: list[tuple[str, int]], rng: random.Random) -> str:
    """Return a service by weight."""
    if len(shares) == 1:
        return shares[0][0]
    names = [name for name, _ in shares]
    return rng.choices(names, [weight for _, weight in shares])[0]
