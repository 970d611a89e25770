"""The choice of a target for a new flow."""

import random
from collections.abc import Callable, Container, Iterable

from godwitway.steering._groups import Candidates
from godwitway.steering._model import Target

__all__ = ["Assessment", "choose_service", "choose_target", "cost_of"]

IDLE_FLOW_WEIGHT = 0.06  # A board or feed sends about one request of 55 ms a second.
OTHER_GROUP_REQUESTS = 1.5  # Between the own targets, whose load is known, and another zone's.
OTHER_ZONE_REQUESTS = 2.0  # How much fuller the own zone may be; smaller values crossed more.
COLD_SPEED = 0.6  # Share of the usual speed of a target after its start.
SUSPECTED_COST = 1_000.0
NO_TARGET_COST = 1e9  # More than any target's cost.
NOISE = 0.1  # Requests for a slot; keeps hosts with the same picture from the same choice.

# Requests in progress, open flows without one, and whether the target is thought unreachable.
Assessment = tuple[float, float, bool]


def cost_of(target: Target, assessment: Assessment, distance: float, now: float) -> float:
    """Return the expected requests for each slot of a target once it has one more.

    >>> target = Target("i-1", "s", ("10.0.0.1", 80), "a", slots=2)
    >>> cost_of(target, (1, 0, False), 0.0, 0.0)
    1.0
    """
    busy, idle, suspected = assessment
    requests = busy + IDLE_FLOW_WEIGHT * idle + 1.0 + distance
    slots = target.slots * (COLD_SPEED if now < target.cold_until else 1.0)
    return requests / slots + (SUSPECTED_COST if suspected else 0.0)


def choose_target(
    candidates: Candidates,
    assess: Callable[[Target], Assessment],
    now: float,
    rng: random.Random,
    tried: Container[str] = (),
) -> Target | None:
    """Return the target with the lowest cost, at random among equals; None without candidates.

    Args:
        candidates: The service's targets.
        assess: Returns what is known of a target.
        now: The time in seconds.
        rng: Random numbers.
        tried: Targets that come into question only when there is no other.
    """

    def cheapest(targets: Iterable[Target], distance: float) -> tuple[float, Target | None]:
        best, lowest = None, NO_TARGET_COST
        for target in targets:
            if target.draining or target.id in tried:
                continue
            cost = cost_of(target, assess(target), distance, now) + rng.random() * NOISE
            if cost < lowest:
                best, lowest = target, cost
        return lowest, best

    choices = [cheapest(candidates.near, 0.0)]
    # The others are not looked at where even an idle one would cost more.
    if choices[0][0] > (1.0 + OTHER_GROUP_REQUESTS) / candidates.most_slots:
        choices.append(cheapest(candidates.other_groups, OTHER_GROUP_REQUESTS))
        choices.append(cheapest(candidates.other_zones, OTHER_ZONE_REQUESTS))
    best = min(choices, key=lambda choice: choice[0])[1]
    if best is None and tried:
        return choose_target(candidates, assess, now, rng)
    return best


def choose_service(shares: list[tuple[str, int]], rng: random.Random) -> str:
    """Return a service by weight."""
    if len(shares) == 1:
        return shares[0][0]
    names = [name for name, _ in shares]
    return rng.choices(names, [weight for _, weight in shares])[0]
