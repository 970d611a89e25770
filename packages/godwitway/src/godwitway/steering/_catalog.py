"""The targets and routes in force on this host, found by token and by address."""

import xxhash

from godwitway.steering._model import FleetConfig, Route, Target

__all__ = ["Catalog", "route_token"]

DEPARTED_RETENTION_S = 60.0  # The lifetime after which the platform lets a flow be discarded.
ANNOUNCED_FIELDS = (
    "service",
    "address",
    "zone",
    "slots",
    "draining",
    "cold_until",
    "started_ms",
    "envelope",
)


def route_token(target_id: str, attempt: int = 0) -> int:
    """Return the route token of a target: a stable 32-bit hash, never 0.

    Args:
        target_id: The target's id.
        attempt: Which token to take when earlier ones belong to other targets.

    >>> route_token("i-1") == route_token("i-1") != route_token("i-1", 1)
    True
    """
    return xxhash.xxh32_intdigest(target_id.encode(), attempt) or 1


class Catalog:
    """The configuration and the targets that are known.

    Attributes:
        config: The configuration in force, None before the first one.
        routes: Routes by packed address and port.
        targets: Targets by id.
        by_token: Targets by route token, the departed ones included.
        by_service: The present targets of each service.
        departed_at: When each target that is gone left, by id, in seconds.
        ever_allowed: The services that each route has led to while this process ran.
        generation: Rises whenever a target is announced or taken out.
    """

    __slots__ = (
        "by_service",
        "by_token",
        "config",
        "departed_at",
        "ever_allowed",
        "generation",
        "routes",
        "targets",
    )

    def __init__(self) -> None:
        self.config: FleetConfig | None = None
        self.routes: dict[bytes, Route] = {}
        self.targets: dict[str, Target] = {}
        self.by_token: dict[int, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.departed_at: dict[str, float] = {}
        self.ever_allowed: dict[bytes, frozenset[str]] = {}
        self.generation = 0

    def apply_config(self, config: FleetConfig) -> bool:
        """Put a configuration in force; returns False for one that is not newer."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.routes = {route.service_address: route for route in config.routes}
        self.ever_allowed = {
            key: self.ever_allowed.get(key, frozenset()) | route.services
            for key, route in self.routes.items()
        }
        return True

    def put_target(self, announced: Target) -> Target:
        """Add a target, or bring the one with its id up to date; returns the one in use."""
        target = self.targets.get(announced.id)
        if target is None:
            target = self.returning(announced)
            self.targets[target.id] = target
        else:
            self.by_service[target.service].remove(target)
        for field in ANNOUNCED_FIELDS:
            setattr(target, field, getattr(announced, field))
        self.by_service.setdefault(target.service, []).append(target)
        self.generation += 1
        return target

    def returning(self, announced: Target) -> Target:
        """Return the departed target with the same id, or the new one with a token."""
        if self.departed_at.pop(announced.id, None) is not None:
            for target in self.by_token.values():
                if target.id == announced.id:
                    return target
        announced.token = self.free_token(announced)
        self.by_token[announced.token] = announced
        return announced

    def free_token(self, target: Target) -> int:
        """Return the first token that no other target has."""
        attempt = 0
        while True:
            token = route_token(target.id, attempt)
            holder = self.by_token.get(token)
            if holder is None or holder.id == target.id:
                return token
            attempt += 1

    def remove_target(self, target_id: str, now: float) -> Target | None:
        """Take a target out; its token is kept for the packets of its flows."""
        target = self.targets.pop(target_id, None)
        if target is not None:
            self.by_service[target.service].remove(target)
            self.departed_at[target_id] = now
            self.generation += 1
        return target

    def remove_departed(self, now: float) -> None:
        """Free the tokens of targets that left longer ago than a flow lives."""
        expired = [id for id, at in self.departed_at.items() if now - at > DEPARTED_RETENTION_S]
        for target_id in expired:
            del self.departed_at[target_id]
        if expired:
            gone = set(expired)
            self.by_token = {
                token: target for token, target in self.by_token.items() if target.id not in gone
            }

    def allowed(self, route: Route, target: Target) -> bool:
        """Whether a flow of a route may be at a target under any version seen so far."""
        return target.service in self.ever_allowed[route.service_address]
