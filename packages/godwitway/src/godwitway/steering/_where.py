"""Explains where a new flow of a route would be placed now, without placing it."""

from collections.abc import Iterator
from typing import Any

from godwitway.steering._groups import Candidates
from godwitway.steering._model import Route, Target
from godwitway.steering._placement import (
    COST_NOISE,
    OTHER_GROUP_PENALTY_REQUESTS,
    OTHER_ZONE_PENALTY_REQUESTS,
    placement_cost,
    requests_per_slot,
)
from godwitway.steering._steering import Steering

__all__ = ["explain_placement"]


def explain_placement(steering: Steering, route: Route, now: float) -> dict[str, Any]:
    """Return where a new flow of a route would go, and why, as JSON values.

    Nothing is recorded and nothing is sent. A real placement also adds noise to the costs, so
    targets whose costs differ by less than `COST_NOISE` are equally likely.

    Args:
        steering: The host's steering.
        route: The route.
        now: The time in seconds of the process's clock.
    """
    rows = [
        row
        for service, weight in route.service_weights
        for row in describe_service(steering, route, service, weight, now)
    ]
    usable = [row for row in rows if not row["excluded"]]
    best = min(usable, key=lambda row: row["cost"], default=None)
    return {
        "route": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "zone": steering.zone,
        "allowed_regions": sorted(route.allowed_regions) if route.allowed_regions else None,
        "evacuated_zones": sorted(steering.catalog.evacuated_zones),
        "target": best["target"] if best else None,
        "equally_likely": [
            row["target"] for row in usable if best and row["cost"] - best["cost"] < COST_NOISE
        ],
        "refused": describe_refusal(steering, route, best, now),
        "candidates": sorted(rows, key=lambda row: (bool(row["excluded"]), row["cost"])),
    }


def describe_refusal(
    steering: Steering, route: Route, best: dict[str, Any] | None, now: float
) -> str | None:
    """Return why a new flow would be refused or dropped, or None if it would be placed."""
    if best is None:
        return steering.reason_without_target(route).value
    target = steering.catalog.targets[best["target"]]
    if steering.should_avoid(target, now):
        return None
    load = steering.admission.services.get(target.service)
    requests = requests_per_slot(target, steering.requests_at(target) + 1, now)
    usual_requests = requests * steering.speeds.load_factor(target.id)
    if load is not None and load.is_overloaded(route, usual_requests, now):
        return "overloaded"
    return None


def describe_service(
    steering: Steering, route: Route, service: str, weight: int, now: float
) -> Iterator[dict[str, Any]]:
    """Yield a description of each target of one service of a route."""
    candidates = steering.candidates_for(service, route.allowed_regions)
    for target in steering.catalog.by_service.get(service, ()):
        place, penalty = place_of(candidates, target)
        busy, idle, is_avoided = steering.assess(target, candidates, now)
        factors = steering.speeds.factors.get(target.id)
        cost = placement_cost(target, (busy, idle, is_avoided), penalty, now, factors)
        yield {
            "target": target.id,
            "service": service,
            "weight": weight,
            "zone": target.zone,
            "place": place,
            "cost": round(cost, 2),
            "busy": round(busy, 2),
            "idle": round(idle, 2),
            "slots": target.slots,
            "speed": round(1.0 / steering.speeds.slowness(target.id), 2),
            "room": round(steering.speeds.room(target, steering.requests_at(target)), 1),
            "penalty": penalty,
            "suspected": is_avoided,
            "cold_budget": steering.cold_budgets.remaining(target, now),
            "excluded": describe_exclusion(steering, route, target, now),
        }


def place_of(candidates: Candidates, target: Target) -> tuple[str, float]:
    """Return where a target is as seen from this host, and its penalty in requests."""
    if target in candidates.preferred:
        return "own block", 0.0
    if target in candidates.other_groups:
        return "other group", OTHER_GROUP_PENALTY_REQUESTS
    return "other zone", OTHER_ZONE_PENALTY_REQUESTS


def describe_exclusion(steering: Steering, route: Route, target: Target, now: float) -> str:
    """Return why a target takes no new flow of a route, or an empty string if it may."""
    if target.draining:
        return "draining"
    if target.zone in steering.catalog.evacuated_zones:
        return "evacuated"
    if not steering.is_in_region(target, route.allowed_regions):
        return "region"
    if not steering.cold_budgets.may_place(target, now):
        return "cold"
    return ""
