"""Chooses the service and the target of a new flow."""

import random
from collections.abc import Callable, Container, Iterable, Mapping

from godwitway.steering._groups import Candidates
from godwitway.steering._model import Target
from godwitway.steering._target_speed import SpeedFactors

__all__ = [
    "UNKNOWN_ZONE_PENALTY_REQUESTS",
    "Assessment",
    "choose_service",
    "choose_target",
    "placement_cost",
    "requests_per_slot",
]

# An idle flow of a polling client sends about one request of 55 ms a second, thus has on average
# 0.055 requests in progress.
IDLE_FLOW_WEIGHT = 0.06
# Ranks targets of other groups between those of the host's group, whose load is known, and those of
# other zones.
OTHER_GROUP_PENALTY_REQUESTS = 1.5
# How many more requests a target of the host's zone may have than one of another zone; smaller
# values send more flows across zones.
OTHER_ZONE_PENALTY_REQUESTS = 2.0
# The part of it that stands for the load of the other zone where that is not known. Without it,
# flows cross zones once every near target has all of its slots in use.
UNKNOWN_ZONE_PENALTY_REQUESTS = 1.0
COLD_SPEED_SHARE = 0.6  # The speed of a target just after its start, relative to its usual speed.
AVOIDED_COST = 1_000.0  # Ranks targets to avoid after all others, however loaded.
NO_TARGET_COST = 1e9  # Exceeds the cost of any target.
# Added to the requests for each slot before they are multiplied by the slowness, because a request
# takes time at an idle target too. Without it, slow targets get requests before fast ones are full.
IDLE_COST = 0.5
COST_NOISE = 0.1  # Requests per slot; keeps hosts with equal state from all choosing one target.

# The hosts of a zone see the same loads, up to 0.1 s old, and would all choose the same fast target
# in the meantime.
SAMPLED_TARGETS = 4
NO_FACTORS: Mapping[str, SpeedFactors] = {}  # All targets are as usual.

# Requests in progress, open flows without one, and whether to avoid the target.
Assessment = tuple[float, float, bool]


def requests_per_slot(target: Target, requests: float, now: float) -> float:
    """Return the requests for each slot of a target; a cold target has fewer slots.

    Args:
        target: The target.
        requests: The number of requests in progress.
        now: The time in seconds.
    """
    return requests / (target.slots * (COLD_SPEED_SHARE if now < target.cold_until else 1.0))


def placement_cost(
    target: Target,
    assessment: Assessment,
    penalty_requests: float,
    now: float,
    factors: SpeedFactors | None = None,
) -> float:
    """Return the cost of placing one more request at a target.

    The cost is the expected number of requests per slot, where idle flows count in part and a cold
    target has fewer slots, plus penalties. At a target that is not as usual it is the number at a
    usual target where a request would take as long. The penalties do not depend on the speed.

    Args:
        target: The target.
        assessment: The load of the target and whether to avoid it.
        penalty_requests: A penalty in requests for a target outside the host's own block.
        now: The time in seconds.
        factors: The learned slowness and usable share of the slots; None if they are as usual.

    >>> target = Target("i-1", "s", ("10.0.0.1", 80), "a", slots=2)
    >>> placement_cost(target, (1, 0, False), 0.0, 0.0)
    1.0
    >>> placement_cost(target, (1, 0, False), 0.0, 0.0, (2.0, 1.0))
    2.5
    """
    busy, idle, is_avoided = assessment
    requests = busy + IDLE_FLOW_WEIGHT * idle + 1.0
    if factors is None:
        cost = requests_per_slot(target, requests + penalty_requests, now)
    else:
        slowness, usable_share = factors
        cost = (
            slowness * (requests_per_slot(target, requests, now) / usable_share + IDLE_COST)
            - IDLE_COST
            + requests_per_slot(target, penalty_requests, now)
        )
    return cost + (AVOIDED_COST if is_avoided else 0.0)


def choose_target(
    candidates: Candidates,
    assess: Callable[[Target], Assessment],
    now: float,
    rng: random.Random,
    tried: Container[str] = (),
    speed_factors: Mapping[str, SpeedFactors] = NO_FACTORS,
    may_place: Callable[[Target], bool] = lambda target: True,
) -> Target | None:
    """Return the target with the lowest cost after random noise of up to `COST_NOISE`.

    Draining targets are never chosen; returns None if there is no other target. When speeds differ,
    the preferred target is the best of `SAMPLED_TARGETS`; whether to leave the host's own block is
    still decided by the best of all.

    Args:
        candidates: The service's targets.
        assess: Returns the assessment of a target.
        now: The time in seconds.
        rng: The source of random numbers.
        tried: The ids of targets that are chosen only if there is no other.
        speed_factors: The speeds of targets that are not as usual, by target id.
        may_place: Whether a target may be chosen at all; see `ColdBudgets.may_place`.
    """

    def cheapest(targets: Iterable[Target], penalty_requests: float) -> tuple[float, Target | None]:
        best, lowest = None, NO_TARGET_COST
        for target in targets:
            if target.draining or target.id in tried or not may_place(target):
                continue
            cost = (
                placement_cost(
                    target, assess(target), penalty_requests, now, speed_factors.get(target.id)
                )
                + rng.random() * COST_NOISE
            )
            if cost < lowest:
                best, lowest = target, cost
        return lowest, best

    # The other targets are skipped when even an idle one would cost more.
    sufficient = (1.0 + OTHER_GROUP_PENALTY_REQUESTS) / candidates.max_other_slots
    preferred = candidates.preferred
    sampled = None
    if speed_factors and len(preferred) > SAMPLED_TARGETS:
        cost, sampled = cheapest(rng.sample(preferred, SAMPLED_TARGETS), 0.0)
        is_usable = cost < AVOIDED_COST / 2  # The cost of an idle fast target may be negative.
        if cost <= sufficient or (is_usable and candidates.are_all_preferred()):
            return sampled
        if not is_usable:
            sampled = None
    choices = [cheapest(preferred, 0.0)]
    if choices[0][0] > sufficient:
        choices.append(cheapest(candidates.other_groups, OTHER_GROUP_PENALTY_REQUESTS))
        choices.append(cheapest(candidates.other_zones, OTHER_ZONE_PENALTY_REQUESTS))
    best = min(choices, key=lambda choice: choice[0])[1]
    if best is None and tried:
        return choose_target(candidates, assess, now, rng, (), speed_factors, may_place)
    return sampled if sampled is not None and best is choices[0][1] else best


def choose_service(service_weights: list[tuple[str, int]], rng: random.Random) -> str:
    """Return a service name, at random in proportion to the weights.

    Args:
        service_weights: Pairs of service name and weight.
        rng: The source of random numbers.
    """
    if len(service_weights) == 1:
        return service_weights[0][0]
    names = [name for name, _ in service_weights]
    return rng.choices(names, [weight for _, weight in service_weights])[0]
