"""Keeps routes in force whose new decoding failed, as long as nothing of them was withdrawn."""

from collections.abc import Iterable

from godwitway.steering._model import FleetConfig, RejectedRoute, Route

__all__ = ["find_retained_route", "retain_routes"]


def retain_routes(config: FleetConfig, former: FleetConfig | None) -> list[RejectedRoute]:
    """Add to a configuration the former routes that stand for its rejected ones.

    Args:
        config: The configuration to put in force; its routes are extended.
        former: The configuration in force before, None for the first one.

    Returns:
        The rejected routes without such a former route. Callers of these get a reset.
    """
    missing = []
    for rejected in config.rejected_routes:
        route = find_retained_route(rejected, config, former.routes if former else ())
        if route is None:
            missing.append(rejected)
        else:
            config.routes.append(route)
    return missing


def find_retained_route(
    rejected: RejectedRoute, config: FleetConfig, former_routes: Iterable[Route]
) -> Route | None:
    """Return the former route that a rejected one replaces, or None if it must not stay in force.

    It stays only if the new configuration still has its services, leads no other route to its
    address, and says nothing else of its address or services.

    Args:
        rejected: The route that could not be decoded.
        config: The new configuration.
        former_routes: The routes in force before.
    """
    taken = {route.service_address for route in config.routes}
    for route in former_routes:
        is_same = (
            route.service_address == rejected.service_address
            if rejected.service_address is not None
            else route.name == rejected.name
        )
        if not is_same or route.service_address in taken:
            continue
        if rejected.services not in (None, route.services):
            continue
        if route.services <= config.services.keys():
            return route
    return None
