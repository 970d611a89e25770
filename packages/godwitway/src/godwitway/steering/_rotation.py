"""Whether this host asks the platform's routers for packets.

A host that does not ask for packets still forwards those that come.
"""

from godwitway.steering._catalog import Catalog
from godwitway.steering._loads import PEER_FRESH_S, PeerState
from godwitway.steering._model import Target
from godwitway.steering._peers import Peers
from godwitway.steering._steering import Steering

__all__ = ["Rotation"]

DEMAND_SMOOTHING = 0.05  # For samples four times a second: about five seconds.
USABLE_SHARE = 0.85  # Above this use of the slots, requests wait longer than they run.
SILENCE_S = 1.0  # Twice the pause between health checks of a suspected target.
ISOLATED_TARGETS = 2  # One may have died by itself.


class Rotation:
    """Decides whether this host asks for packets.

    Attributes:
        totals: Requests in progress for each service from the own group's hosts, smoothed.
        weight: How much of the smoothed totals comes from samples; 1 after many of them.
        yield_reason: Why this host gives its packets to others, or an empty string.
    """

    def __init__(self, steering: Steering, peers: Peers) -> None:
        self.steering = steering
        self.peers = peers
        self.totals: dict[str, float] = {}
        self.weight = 0.0
        self.yield_reason = ""

    def update(self) -> None:
        """Decide anew; called several times a second."""
        now = self.steering.now()
        reason = self.reason(now)
        if not reason:
            self.sample_demand(now)
        if reason != self.yield_reason:
            self.yield_reason = reason
            self.steering.journal.event(
                "rotation",
                reason=reason or "serving",
                demand=self.demand(),
            )
        self.peers.zone_cut_off = reason == "zone_short"

    def demand(self) -> dict[str, float]:
        """Return the usual requests in progress for each service from the own group's hosts."""
        if not self.weight:
            return {}
        return {service: round(total / self.weight, 2) for service, total in self.totals.items()}

    def reason(self, now: float) -> str:
        """Return why others should serve this host's callers, or an empty string."""
        targets = self.open_targets(self.steering.catalog)
        if self.isolated(targets, now):
            return "isolated"
        reachable = [target for target in targets if not self.steering.is_suspected(target, now)]
        zone = self.steering.zone
        others = [target for target in targets if target.zone != zone]
        if not reachable or not others or any(target.zone != zone for target in reachable):
            return ""
        if self.short_of_slots(reachable) or self.peers_cut_off(now):
            return "zone_short"
        return ""

    def isolated(self, targets: list[Target], now: float) -> bool:
        """Whether health checks of several targets failed and none answers in any way."""
        if now - self.steering.last_progress_at < SILENCE_S:
            return False
        failed = sum(
            now - evidence.probe_failed_at < SILENCE_S
            for target in targets
            if (evidence := self.steering.evidence.get(target.id)) is not None
        )
        return failed >= ISOLATED_TARGETS

    @staticmethod
    def open_targets(catalog: Catalog) -> list[Target]:
        """Return the targets that take new flows."""
        return [target for target in catalog.targets.values() if not target.draining]

    def short_of_slots(self, reachable: list[Target]) -> bool:
        """Whether some service has less slots than its usual requests need.

        The demand is that of a group, whose part of the zone's callers is its part of the hosts.
        """
        share = self.peers.groups.share
        slots: dict[str, int] = {}
        for target in reachable:
            slots[target.service] = slots.get(target.service, 0) + target.slots
        return any(
            requests > USABLE_SHARE * share * slots.get(service, 0)
            for service, requests in self.demand().items()
        )

    def peers_cut_off(self, now: float) -> bool:
        """Whether at least half of the own group's other hosts found the zone cut off."""
        peers = self.zone_peers(now)
        return bool(peers) and 2 * sum(peer.zone_cut_off for peer in peers) >= len(peers)

    def zone_peers(self, now: float) -> list[PeerState]:
        """Return the live hosts of this zone's group but this one."""
        return [peer for peer in self.peers.group_peers() if peer.is_alive(now, PEER_FRESH_S)]

    def sample_demand(self, now: float) -> None:
        """Take the present requests of the own group's hosts into the smoothed demand."""
        busy: dict[str, float] = dict.fromkeys(self.totals, 0.0)
        peers = self.zone_peers(now)
        for target in self.steering.catalog.targets.values():
            own = self.steering.flow_table.loads.get(target.id)
            requests = own.busy if own else 0
            requests += sum(peer.loads.get(target.token, (0, 0))[0] for peer in peers)
            busy[target.service] = busy.get(target.service, 0.0) + requests
        self.weight += DEMAND_SMOOTHING * (1.0 - self.weight)
        for service, requests in busy.items():
            before = self.totals.get(service, 0.0)
            self.totals[service] = before + DEMAND_SMOOTHING * (requests - before)

    def may_leave(self) -> bool:
        """Whether routers keep to the zone's other hosts when this one leaves.

        Hosts of a group hear each other, and stand for the others of the zone. With fewer than
        half of a zone's hosts in rotation, routers use all of them, also those that have gone.
        """
        others = self.peers.group_peers()
        serving = sum(peer.in_rotation for peer in self.zone_peers(self.steering.now()))
        return not others or 2 * serving >= len(others) + 1
