"""Holds the targets and routes in force on this host, indexed by route token and address."""

import xxhash

from godwitway.steering._model import FleetConfig, Route, Target

__all__ = ["MAX_FLOW_LIFETIME_S", "Catalog", "route_token"]

MAX_FLOW_LIFETIME_S = 60.0  # The platform's limit.
DEPARTED_RETENTION_S = MAX_FLOW_LIFETIME_S  # Later no packet carries the target's token.
# The attributes of a target that each announcement replaces; `id` and `token` stay.
ANNOUNCED_FIELDS = (
    "service",
    "address",
    "zone",
    "slots",
    "draining",
    "has_lapsed",
    "cold_until",
    "started_ms",
    "envelope",
    "update_number",
)


def route_token(target_id: str, attempt: int = 0) -> int:
    """Return the route token of a target: a stable 32-bit hash, never 0.

    Args:
        target_id: The target's id.
        attempt: How many of the target's tokens to skip because other targets have them.

    >>> route_token("i-1") == route_token("i-1") != route_token("i-1", 1)
    True
    """
    return xxhash.xxh32_intdigest(target_id.encode(), attempt) or 1


class Catalog:
    """The configuration in force and the known targets.

    Attributes:
        config: The configuration in force, None before the first one.
        routes: Routes by packed address and port.
        targets: The current targets by id.
        by_token: Targets by route token, including those that left recently.
        by_service: The current targets of each service, by service name, without those whose
            entries have lapsed.
        evacuated_zones: The availability zones whose targets take no new flows at present.
        departed_at: When each recently removed target left, by id, in seconds.
        allowed_services: The services that each current route has led to since this process added
            the route, by packed address and port. Open flows stay at the targets of an earlier
            service when a route moves.
        generation: A number that increases whenever a target is added, updated or removed, or a
            zone is evacuated or taken back.
        limits_cold_flows: Whether the settings limit the new flows to cold targets.
    """

    __slots__ = (
        "allowed_services",
        "by_service",
        "by_token",
        "config",
        "departed_at",
        "evacuated_zones",
        "generation",
        "limits_cold_flows",
        "routes",
        "targets",
    )

    def __init__(self) -> None:
        self.config: FleetConfig | None = None
        self.routes: dict[bytes, Route] = {}
        self.targets: dict[str, Target] = {}
        self.by_token: dict[int, Target] = {}
        self.by_service: dict[str, list[Target]] = {}
        self.evacuated_zones: set[str] = set()
        self.departed_at: dict[str, float] = {}
        self.allowed_services: dict[bytes, frozenset[str]] = {}
        self.generation = 0
        self.limits_cold_flows = False

    def is_newer(self, config: FleetConfig) -> bool:
        """Whether a configuration has a higher version than the one in force."""
        return self.config is None or config.version > self.config.version

    def apply_config(self, config: FleetConfig) -> bool:
        """Put a configuration in force; returns False if its version is not newer."""
        if not self.is_newer(config):
            return False
        self.config = config
        self.routes = {route.service_address: route for route in config.routes}
        self.allowed_services = {
            key: self.allowed_services.get(key, frozenset()) | route.services
            for key, route in self.routes.items()
        }
        return True

    def set_evacuated(self, zone: str, is_evacuated: bool) -> bool:
        """Evacuate an availability zone or take it back; returns False if it already was so."""
        if is_evacuated == (zone in self.evacuated_zones):
            return False
        if is_evacuated:
            self.evacuated_zones.add(zone)
        else:
            self.evacuated_zones.remove(zone)
        self.generation += 1
        return True

    def accepts_flows(self, target: Target) -> bool:
        """Whether a target may take new flows, as far as the store's entries say."""
        return not target.draining and target.zone not in self.evacuated_zones

    def put_target(self, announced: Target) -> Target:
        """Add a target, or update the known one with the same id.

        Returns:
            The target object that the catalog uses. An object stays the same across updates, and
            when a target returns before its token is freed.
        """
        target = self.targets.get(announced.id)
        if target is None:
            target = self.restore_or_register(announced)
            self.targets[target.id] = target
        elif not target.has_lapsed:
            self.by_service[target.service].remove(target)
        if target.started_ms != announced.started_ms:
            target.min_cold_until = 0.0
        for field in ANNOUNCED_FIELDS:
            setattr(target, field, getattr(announced, field))
        target.cold_until = max(target.cold_until, target.min_cold_until)
        self.by_service.setdefault(target.service, []).append(target)
        self.generation += 1
        return target

    def mark_zone_cold(self, zone: str, now: float) -> int:
        """Treat a zone's targets as cold, because an evacuation of the zone has ended.

        A target may be cold again after it had no flows, before its entry says so. Its time is not
        shortened by later announcements of the same incarnation. Has no effect if the settings do
        not limit the flows to cold targets.

        Args:
            zone: The availability zone.
            now: The time in seconds.

        Returns:
            The number of targets that are cold for longer than before.
        """
        if not self.limits_cold_flows:
            return 0
        services = self.config.services if self.config else {}
        raised = 0
        for target in self.targets.values():
            service = services.get(target.service)
            if target.zone != zone or service is None:
                continue
            cold_until = now + service.cold_start_s
            if cold_until > target.cold_until:
                target.cold_until = target.min_cold_until = cold_until
                raised += 1
        return raised

    def restore_or_register(self, announced: Target) -> Target:
        """Return the removed target with the same id, or the new one with a token assigned."""
        if self.departed_at.pop(announced.id, None) is not None:
            for target in self.by_token.values():
                if target.id == announced.id:
                    return target
        announced.token = self.choose_free_token(announced)
        self.by_token[announced.token] = announced
        return announced

    def choose_free_token(self, target: Target) -> int:
        """Return the first of a target's tokens that no other target has."""
        attempt = 0
        while True:
            token = route_token(target.id, attempt)
            holder = self.by_token.get(token)
            if holder is None or holder.id == target.id:
                return token
            attempt += 1

    def lapse_target(self, target: Target) -> None:
        """Choose a target for no new flows, and keep it for its open ones."""
        target.draining = target.has_lapsed = True
        self.by_service[target.service].remove(target)
        self.generation += 1

    def remove_target(self, target_id: str, now: float) -> Target | None:
        """Remove a target, and keep its token for `DEPARTED_RETENTION_S`.

        Meanwhile packets of its flows are answered with a reset, not dropped, and the target gets
        the same token if it returns.

        Returns:
            The removed target, or None if the id is unknown.
        """
        target = self.targets.pop(target_id, None)
        if target is not None:
            if not target.has_lapsed:
                self.by_service[target.service].remove(target)
            self.departed_at[target_id] = now
            self.generation += 1
        return target

    def departed_targets(self) -> list[Target]:
        """Return the targets that left at most `DEPARTED_RETENTION_S` ago."""
        return [target for target in self.by_token.values() if target.id in self.departed_at]

    def remove_departed(self, now: float) -> None:
        """Free the tokens of targets that left more than `DEPARTED_RETENTION_S` ago."""
        expired = [id for id, at in self.departed_at.items() if now - at > DEPARTED_RETENTION_S]
        for target_id in expired:
            del self.departed_at[target_id]
        if expired:
            gone = set(expired)
            self.by_token = {
                token: target for token, target in self.by_token.items() if target.id not in gone
            }

    def is_allowed(self, route: Route, target: Target) -> bool:
        """Whether flows of a route may be at a target.

        They may if this or an earlier configuration, since the route's address was added, routed
        it to the target's service.
        """
        return target.service in self.allowed_services[route.service_address]
