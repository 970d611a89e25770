"""One target at its owner: usage, health and how far its records can be relied on."""

from dataclasses import dataclass, field

from godwitway.connection._health import TargetHealth
from godwitway.connection._usage import TargetUsage
from godwitway.version import TCP, Kind

__all__ = ["OwnedTarget"]

SYN_RETRANSMIT_WINDOW_S = 10.0
FULL_SHARE = 1.0
MIN_COLD_START_SHARE = 0.1
PARTITION_REJOIN_S = 15.0


@dataclass(slots=True, eq=False)
class OwnedTarget:
    """A target with what its owner knows of it.

    Attributes:
        usage: The target's usage.
        since: When this host became its owner, in seconds of the process's clock.
        previous: The id of the live host that is handing its records over, or None.
        lost: Whether records of an earlier owner may be lost.
        zone_has_no_hosts: Whether the target's own zone has no live host.
        added: When the target became part of the service, or None for long ago.
        health: What is believed about its health.
        drain_started_at: When the target began to drain, or None.
    """

    usage: TargetUsage
    owned_since: float
    previous_owner: bytes | None = None
    records_may_be_lost: bool = False
    zone_has_no_hosts: bool = False
    added_at: float | None = None
    drain_started_at: float | None = None
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def is_reachable(self) -> bool:
        """Whether the target can be reached; one of a cut-off zone has to show it."""
        endpoint = self.usage.target.health
        return not self.zone_has_no_hosts or endpoint is None or bool(self.health.endpoint_ok)

    def first_packet_record_may_be_lost(self, kind: Kind, now: float) -> bool:
        """Whether a first packet may belong to a flow whose record is lost."""
        window = SYN_RETRANSMIT_WINDOW_S if kind.protocol == TCP else kind.repeat_s
        return self.records_may_be_lost and now - self.owned_since < window

    def later_packet_record_may_be_lost(self, kind: Kind, now: float) -> bool:
        """Whether a later packet may belong to a flow whose record is lost."""
        return (
            self.records_may_be_lost and self.is_reachable and now - self.owned_since < kind.idle_s
        )

    def is_zone_confirmed_dead(self, kind: Kind, now: float) -> bool:
        """Whether the target's own zone has no live host, rather than hosts behind a cut.

        Behind a cut the target does not answer either; soon after the cut has healed, its
        hosts are heard again.
        """
        since = self.health.endpoint_ok_since
        return since is not None and now - since >= max(PARTITION_REJOIN_S, kind.repeat_s)

    def cold_start_share(self, now: float) -> float:
        """Return the part of its full share that a target in its cold start takes."""
        cold = self.usage.target.cold_start_s
        if cold <= 0 or self.added_at is None:
            return FULL_SHARE
        return min(FULL_SHARE, max(MIN_COLD_START_SHARE, (now - self.added_at) / cold))

    def is_eligible(self, now: float) -> bool:
        """Whether the target may be given a new flow when no better one is left."""
        target = self.usage.target
        if (
            target.is_draining
            or self.health.is_endpoint_draining(now)
            or self.health.is_suspect(now)
        ):
            return False
        return self.is_reachable

    def is_preferred(self, now: float) -> bool:
        """Whether the target is a good choice for a new flow."""
        return self.is_eligible(now) and self.health.is_healthy(now)
