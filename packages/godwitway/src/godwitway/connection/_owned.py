"""Target state at its owner: usage, health, and whether flow records may be missing."""

from dataclasses import dataclass, field

from godwitway.connection._health import TargetHealth
from godwitway.connection._usage import TargetUsage
from godwitway.version import TCP, Kind

__all__ = ["OwnedTarget"]

# A caller may repeat the SYN of a lost flow for this long.
SYN_RETRANSMIT_WINDOW_S = 10.0
FULL_SHARE = 1.0
MIN_COLD_START_SHARE = 0.1
# Within this time after a network partition has healed, the hosts behind it are members again.
PARTITION_REJOIN_S = 15.0


@dataclass(slots=True, eq=False)
class OwnedTarget:
    """A target that this host owns. Times are seconds of the process's clock.

    Attributes:
        usage: Connections, slots and waiting requests of the target.
        records_complete_since: Start of the period whose flows have records at this host, or at
            `previous_owner` until it has handed them over: the time at which this host became
            the owner, or the time of the last loss of records.
        previous_owner: Id of the live host that is still handing over its records, or None.
        records_may_be_lost: Whether records from before `records_complete_since` may be lost.
            It stays True; its effects end after a time that depends on the kind of a flow.
        zone_has_no_hosts: Whether the target's own zone has no host that may own targets, as
            far as this host can tell; a leaving host does not count. The zone may also be behind
            a network partition.
        added_at: Time at which the target became part of the service; None if it was part of
            it before this host observed it.
        drain_started_at: Time at which the target began to drain, or None.
        health: Health of the target.
    """

    usage: TargetUsage
    records_complete_since: float
    previous_owner: bytes | None = None
    records_may_be_lost: bool = False
    zone_has_no_hosts: bool = False
    added_at: float | None = None
    drain_started_at: float | None = None
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def is_reachable(self) -> bool:
        """Whether the target counts as reachable from this host.

        A target of a zone without hosts that may own targets may be behind a network partition.
        It counts as reachable only if the last report of its health endpoint, however old, was
        healthy, or if it has no endpoint. A target of any other zone always counts as reachable.
        """
        endpoint = self.usage.target.health
        return not self.zone_has_no_hosts or endpoint is None or bool(self.health.endpoint_ok)

    def first_packet_may_be_of_lost_flow(self, kind: Kind, now: float) -> bool:
        """Return whether a first packet may be a repeat for a flow whose record is lost.

        That is so after a loss of records for as long as callers may repeat a first packet.
        """
        window = SYN_RETRANSMIT_WINDOW_S if kind.protocol == TCP else kind.repeat_s
        return self.records_may_be_lost and now - self.records_complete_since < window

    def later_packet_may_be_of_lost_flow(self, kind: Kind, now: float) -> bool:
        """Return whether a later packet may belong to a flow whose record is lost.

        That is so after a loss of records until a silent flow of the kind would have ended, and
        only while the target is reachable.
        """
        return (
            self.records_may_be_lost
            and self.is_reachable
            and now - self.records_complete_since < kind.idle_s
        )

    def is_zone_confirmed_dead(self, kind: Kind, now: float) -> bool:
        """Return whether the hosts of the target's own zone are dead rather than partitioned.

        The result is meaningful only while `zone_has_no_hosts`. A target behind a network
        partition does not answer health checks either, and after the partition has healed, the
        zone's hosts are soon members again. So a target that has been healthy for long enough
        without any host in its zone proves that the hosts are dead.
        """
        since = self.health.endpoint_ok_since
        return since is not None and now - since >= max(PARTITION_REJOIN_S, kind.repeat_s)

    def cold_start_share(self, now: float) -> float:
        """Return the fraction of its full share of flows that the target may have, up to 1.

        It grows linearly over the target's cold start, from `MIN_COLD_START_SHARE`.
        """
        cold_start_s = self.usage.target.cold_start_s
        if cold_start_s <= 0 or self.added_at is None:
            return FULL_SHARE
        return min(FULL_SHARE, max(MIN_COLD_START_SHARE, (now - self.added_at) / cold_start_s))

    def is_eligible(self, now: float) -> bool:
        """Return whether the target may get a new flow if no preferred target is left.

        Only the target's own state is regarded; `Flows.is_eligible` also regards the platform's
        list of hosts.
        """
        target = self.usage.target
        if (
            target.is_draining
            or self.health.is_endpoint_draining(now)
            or self.health.is_suspect(now)
        ):
            return False
        return self.is_reachable

    def is_preferred(self, now: float) -> bool:
        """Return whether the target is eligible and healthy, so a good choice for a new flow.

        Only the target's own state is regarded, as in `is_eligible`.
        """
        return self.is_eligible(now) and self.health.is_healthy(now)
