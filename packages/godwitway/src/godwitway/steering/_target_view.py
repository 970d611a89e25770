"""What a host knows of targets: their load, reachability and speed, and where flows may go."""

from collections.abc import Iterator

from godwitway.steering._catalog import Catalog
from godwitway.steering._evidence import NEVER_S, TargetEvidence
from godwitway.steering._flows import FlowTable
from godwitway.steering._groups import Candidates, ZoneGroups
from godwitway.steering._loads import hash_zone
from godwitway.steering._model import ResetReason, Route, Target
from godwitway.steering._placement import UNKNOWN_ZONE_PENALTY_REQUESTS, Assessment
from godwitway.steering._target_speed import SpeedTable
from godwitway.steering._zone_room import RoomEntry, ZoneRooms, hash_service, measure_room

__all__ = ["IMPAIRMENT_VALID_S", "NO_ADDRESS", "TargetView"]

# The platform reports a host as slow once packets wait 0.5 s for its link; this is twice as long.
IMPAIRMENT_VALID_S = 1.0
NO_ADDRESS = ("", 0)  # Stands for the host's own address until its peers are set up.


class TargetView:
    """What a host knows of targets. Times are in seconds of the process's clock.

    Attributes:
        catalog: The configuration and the targets.
        flow_table: The flows that pass this host.
        evidence: The evidence about targets' reachability, by target id.
        speeds: The learned speeds of targets.
        peer_load_totals: The sums of the requests in progress and idle flows that other hosts
            report, by route token; shared with `Peers`.
        groups: The division of the zone's hosts and targets into groups.
        zone_rooms: How much more other zones' targets can take.
        remote_loads: Cached requests in progress for each slot of other zones' targets, by zone and
            service, None where they are not known; see `remote_requests`.
        zone: This host's availability zone.
        regions: The region of each availability zone, by the zone's name.
        impaired_at: When this host was last too slow, or its link too full, to judge targets.
        candidates_by_service: Cached candidates, by the service's name and the regions that the
            route is limited to.
        candidates_generation: The generations of the catalog and of the groups that the cached
            candidates belong to.
    """

    def __init__(self, catalog: Catalog, zone: str, now: float) -> None:
        self.catalog = catalog
        self.zone = zone
        self.flow_table = FlowTable()
        self.evidence: dict[str, TargetEvidence] = {}
        self.speeds = SpeedTable(now)
        self.peer_load_totals: dict[int, tuple[int, int]] = {}
        self.groups = ZoneGroups(NO_ADDRESS)
        self.regions: dict[str, str] = {}
        self.zone_rooms = ZoneRooms()
        self.remote_loads: dict[tuple[str, str], float | None] = {}
        self.candidates_by_service: dict[tuple[str, frozenset[str] | None], Candidates] = {}
        self.candidates_generation = (0, 0)
        self.impaired_at = NEVER_S

    def evidence_of(self, target: Target) -> TargetEvidence:
        """Return the evidence about a target; a new target gets an empty record."""
        evidence = self.evidence.get(target.id)
        if evidence is None:
            evidence = self.evidence[target.id] = TargetEvidence()
        return evidence

    def should_avoid(self, target: Target, now: float) -> bool:
        """Whether new flows should go to other targets; see `TargetEvidence.should_avoid`."""
        evidence = self.evidence.get(target.id)
        return evidence is not None and evidence.should_avoid(now)

    def is_dead(self, target: Target, now: float) -> bool:
        """Whether a target does not answer, by evidence that is enough to reset its flows."""
        evidence = self.evidence.get(target.id)
        return evidence is not None and evidence.is_unreachable(now) and not self.is_impaired(now)

    def is_impaired(self, now: float) -> bool:
        """Whether this host was unable to judge targets within the last `IMPAIRMENT_VALID_S`."""
        return now - self.impaired_at < IMPAIRMENT_VALID_S

    def load_at(self, target: Target) -> tuple[int, int]:
        """Return the requests in progress and the idle flows at a target.

        They are the sums of this host's own flows and of those that other hosts report to it.
        """
        own = self.flow_table.loads.get(target.id)
        busy, idle = self.peer_load_totals.get(target.token, (0, 0))
        return (busy + own.busy, idle + own.idle) if own else (busy, idle)

    def requests_at(self, target: Target) -> float:
        """Return the estimated requests in progress at a target."""
        busy, _ = self.load_at(target)
        return busy * self.candidates_for(target.service).load_scale

    def assess(self, target: Target, candidates: Candidates, now: float) -> Assessment:
        """Return the estimated load of a target and whether to avoid it.

        Args:
            target: The target.
            candidates: The candidates of its service.
            now: The time.
        """
        busy, idle = self.load_at(target)
        if target.zone == self.zone:
            busy, idle = busy * candidates.load_scale, idle * candidates.load_scale
        else:
            busy += self.remote_requests(target, now)
        return busy, idle, self.should_avoid(target, now)

    def remote_requests(self, target: Target, now: float) -> float:
        """Return the mean requests in progress at a target of another zone from that zone's hosts.

        The flows of this host's zone there are known; see `load_at`. Where the other zone's room is
        known, the part of the penalty that stands for the unknown load is subtracted.
        """
        key = target.zone, target.service
        load = self.remote_loads.get(key)
        if key not in self.remote_loads:
            targets = [
                other
                for other in self.catalog.by_service.get(target.service, ())
                if other.zone == target.zone and self.catalog.accepts_flows(other)
            ]
            load = self.remote_loads[key] = self.zone_rooms.requests_per_slot(
                hash_zone(target.zone), hash_service(target.service), targets, now
            )
        return 0.0 if load is None else load * target.slots - UNKNOWN_ZONE_PENALTY_REQUESTS

    def measure_rooms(self, now: float) -> Iterator[RoomEntry]:
        """Yield the room of this host's zone by service, estimated from its group's block."""
        for service, targets in self.catalog.by_service.items():
            candidates = self.candidates_for(service)
            block = [target for target in candidates.preferred if not target.draining]
            slots = sum(target.slots for target in block)
            if not slots:
                continue
            zone_slots = sum(
                target.slots
                for target in targets
                if target.zone == self.zone and self.catalog.accepts_flows(target)
            )
            usable = sum(target.slots / self.speeds.load_factor(target.id) for target in block)
            requests = sum(self.requests_at(target) for target in block)
            room = measure_room(usable * zone_slots / slots, requests * zone_slots / slots)
            yield hash_zone(self.zone), hash_service(service), room, 0

    def candidates_for(
        self, service: str, allowed_regions: frozenset[str] | None = None
    ) -> Candidates:
        """Return a service's candidates; they are cached until targets or groups change.

        Args:
            service: The service's name.
            allowed_regions: The regions that the candidates are limited to, or None.
        """
        current = (self.catalog.generation, self.groups.generation)
        if current != self.candidates_generation:
            self.candidates_by_service.clear()
            self.candidates_generation = current
        key = service, allowed_regions
        candidates = self.candidates_by_service.get(key)
        if candidates is None:
            targets = [
                target
                for target in self.catalog.by_service.get(service, [])
                if target.zone not in self.catalog.evacuated_zones
                and self.is_in_region(target, allowed_regions)
            ]
            candidates = self.groups.select_candidates(targets, self.zone)
            self.candidates_by_service[key] = candidates
        return candidates

    def is_in_region(self, target: Target, allowed_regions: frozenset[str] | None) -> bool:
        """Whether a target is in one of the regions that a route is limited to, if any."""
        return allowed_regions is None or self.regions.get(target.zone) in allowed_regions

    def reason_without_target(self, route: Route) -> ResetReason:
        """Return why a route has no target for a new flow."""
        evacuated = any(
            target.zone in self.catalog.evacuated_zones
            and self.is_in_region(target, route.allowed_regions)
            for service in route.services
            for target in self.catalog.by_service.get(service, ())
            if not target.draining
        )
        return ResetReason.EVACUATED if evacuated else ResetReason.NO_TARGET
