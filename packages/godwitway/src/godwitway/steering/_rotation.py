"""Decides whether this host is in the rotation of the platform's routers.

A host that is out of rotation still forwards the packets that it receives.
"""

from godwitway.steering._catalog import Catalog
from godwitway.steering._loads import PEER_FRESH_S, PeerState
from godwitway.steering._model import Target
from godwitway.steering._peers import Peers
from godwitway.steering._steering import Steering

__all__ = ["Rotation"]

DEMAND_SMOOTHING = 0.05  # At four samples a second, a time constant of about five seconds.
USABLE_SHARE = 0.85  # Above this utilization of the slots, requests wait longer than they run.
SILENCE_S = 1.0  # Twice the interval between health probes of a suspected target.
MIN_FAILED_TARGETS = 2  # The failure of a single target says nothing about this host.


class Rotation:
    """Decides whether this host should receive callers' packets.

    Attributes:
        smoothed_requests: For each service, the exponentially smoothed number of requests in
            progress from the hosts of this host's group.
        sample_weight: The total weight of the samples in `smoothed_requests`; approaches 1.
        yield_reason: Why other hosts should serve this host's callers, or an empty string.
    """

    def __init__(self, steering: Steering, peers: Peers) -> None:
        self.steering = steering
        self.peers = peers
        self.smoothed_requests: dict[str, float] = {}
        self.sample_weight = 0.0
        self.yield_reason = ""

    def update(self) -> None:
        """Decide again, and sample the demand unless there is a reason to yield.

        Called several times a second.
        """
        now = self.steering.now()
        reason = self.find_yield_reason(now)
        # Without callers the demand would drop to zero, and the host would return at once.
        if not reason:
            self.sample_demand(now)
        if reason != self.yield_reason:
            self.yield_reason = reason
            self.steering.journal.event(
                "rotation",
                reason=reason or "serving",
                demand=self.demand(),
            )
        self.peers.zone_short = reason == "zone_short"

    def demand(self) -> dict[str, float]:
        """Return the usual number of requests in progress from this host's group, by service."""
        if not self.sample_weight:
            return {}
        return {
            service: round(total / self.sample_weight, 2)
            for service, total in self.smoothed_requests.items()
        }

    def find_yield_reason(self, now: float) -> str:
        """Return why other hosts should serve this host's callers.

        Returns:
            ``isolated`` if this host reaches no target. ``evacuated`` if its zone is evacuated and
            it avoids the targets of all others, as when the zone is cut off. ``zone_short`` if this
            host avoids all targets of other zones but not all of its own zone, and either the
            remaining targets lack slots or at least half of its group's other hosts report that.
            Otherwise an empty string.
        """
        targets = self.accepting_targets(self.steering.catalog)
        if self.is_isolated(targets, now):
            return "isolated"
        reachable = [target for target in targets if not self.steering.should_avoid(target, now)]
        zone = self.steering.zone
        if targets and not reachable and zone in self.steering.catalog.evacuated_zones:
            return "evacuated"
        others = [target for target in targets if target.zone != zone]
        if not reachable or not others or any(target.zone != zone for target in reachable):
            return ""
        if self.lacks_slots(reachable) or self.peers_report_zone_short(now):
            return "zone_short"
        return ""

    def is_isolated(self, targets: list[Target], now: float) -> bool:
        """Whether health probes of several targets failed and no target makes progress."""
        if now - self.steering.last_progress_at < SILENCE_S:
            return False
        failed = sum(
            now - evidence.probe_failed_at < SILENCE_S
            for target in targets
            if (evidence := self.steering.evidence.get(target.id)) is not None
        )
        return failed >= MIN_FAILED_TARGETS

    @staticmethod
    def accepting_targets(catalog: Catalog) -> list[Target]:
        """Return the targets that may take new flows."""
        return [target for target in catalog.targets.values() if catalog.accepts_flows(target)]

    def lacks_slots(self, reachable: list[Target]) -> bool:
        """Whether the reachable targets of some service have too few slots for its demand.

        The demand is that of this host's group, which serves a share of the zone's callers equal to
        its share of the hosts.
        """
        share = self.peers.groups.share
        slots: dict[str, int] = {}
        for target in reachable:
            slots[target.service] = slots.get(target.service, 0) + target.slots
        return any(
            requests > USABLE_SHARE * share * slots.get(service, 0)
            for service, requests in self.demand().items()
        )

    def peers_report_zone_short(self, now: float) -> bool:
        """Whether at least half of the `fresh_group_peers` report that the zone lacks slots."""
        peers = self.fresh_group_peers(now)
        return bool(peers) and 2 * sum(peer.zone_short for peer in peers) >= len(peers)

    def fresh_group_peers(self, now: float) -> list[PeerState]:
        """Return the group's other hosts that reported within `PEER_FRESH_S`."""
        return [peer for peer in self.peers.group_peers() if peer.is_alive(now, PEER_FRESH_S)]

    def sample_demand(self, now: float) -> None:
        """Add the current requests in progress of the group's hosts to the smoothed demand."""
        busy: dict[str, float] = dict.fromkeys(self.smoothed_requests, 0.0)
        peers = self.fresh_group_peers(now)
        for target in self.steering.catalog.targets.values():
            own = self.steering.flow_table.loads.get(target.id)
            requests = own.busy if own else 0
            requests += sum(peer.loads.get(target.token, (0, 0))[0] for peer in peers)
            busy[target.service] = busy.get(target.service, 0.0) + requests
        self.sample_weight += DEMAND_SMOOTHING * (1.0 - self.sample_weight)
        for service, requests in busy.items():
            before = self.smoothed_requests.get(service, 0.0)
            self.smoothed_requests[service] = before + DEMAND_SMOOTHING * (requests - before)

    def may_leave(self) -> bool:
        """Whether leaving now is at least as good for callers as waiting for other hosts.

        If some hosts of a zone are in rotation, but fewer than half of them, routers use all of the
        zone's hosts, including those that have left. If none is, routers use the nearest zones, so
        the only host may leave. A host that does not serve is waited for only as long as it has
        reported within `PEER_TIMEOUT_S`: a restart takes less, and a host that is silent for longer
        may have left for good. A host receives the state of its own group only; the rule is applied
        to the group in place of the zone.
        """
        now = self.steering.now()
        others = [peer for peer in self.peers.group_peers() if peer.is_alive(now)]
        serving = sum(peer.in_rotation for peer in self.fresh_group_peers(now))
        return not others or 2 * serving >= len(others) + 1
