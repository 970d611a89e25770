"""One target at its owner: ledger, health and how far its records can be relied on."""

from dataclasses import dataclass, field

from godwitway.connection._health import TargetHealth
from godwitway.connection._ledger import Ledger
from godwitway.version import TCP, Kind

__all__ = ["OwnedTarget"]

SYN_REPEAT_S = 10.0
FULL_GROWTH = 1.0
LEAST_GROWTH = 0.1
HEAL_S = 15.0


@dataclass(slots=True, eq=False)
class OwnedTarget:
    """A target with what its owner knows of it.

    Attributes:
        ledger: The target's ledger.
        since: When this host became its owner, in seconds of the process's clock.
        previous: The id of the live host that is handing its records over, or None.
        lost: Whether records of an earlier owner may be lost.
        adopted_zone: Whether the target's own zone has no live host.
        added: When the target became part of the service, or None for long ago.
        health: What is believed about its health.
        drain_began: When the target began to drain, or None.
    """

    ledger: Ledger
    since: float
    previous: bytes | None = None
    lost: bool = False
    adopted_zone: bool = False
    added: float | None = None
    drain_began: float | None = None
    health: TargetHealth = field(default_factory=TargetHealth)

    @property
    def is_reachable(self) -> bool:
        """Whether the target can be reached; one of a cut-off zone has to show it."""
        endpoint = self.ledger.target.health
        return not self.adopted_zone or endpoint is None or bool(self.health.endpoint_ok)

    def may_have_lost_first(self, kind: Kind, now: float) -> bool:
        """Whether a first packet may belong to a flow whose record is lost."""
        window = SYN_REPEAT_S if kind.protocol == TCP else kind.repeat_s
        return self.lost and now - self.since < window

    def may_have_lost_later(self, kind: Kind, now: float) -> bool:
        """Whether a later packet may belong to a flow whose record is lost."""
        return self.lost and self.is_reachable and now - self.since < kind.idle_s

    def surely_dead_zone(self, kind: Kind, now: float) -> bool:
        """Whether the target's own zone has no live host, rather than hosts behind a cut.

        Behind a cut the target does not answer either; soon after the cut has healed, its
        hosts are heard again.
        """
        since = self.health.ok_since
        return since is not None and now - since >= max(HEAL_S, kind.repeat_s)

    def growth(self, now: float) -> float:
        """Return the part of its full share that a target in its cold start takes."""
        cold = self.ledger.target.cold_start_s
        if cold <= 0 or self.added is None:
            return FULL_GROWTH
        return min(FULL_GROWTH, max(LEAST_GROWTH, (now - self.added) / cold))

    def is_open(self, now: float) -> bool:
        """Whether the target may be given a new flow when no better one is left."""
        target = self.ledger.target
        if target.draining or self.health.says_leaving(now) or self.health.observed_bad(now):
            return False
        return self.is_reachable

    def takes_new(self, now: float) -> bool:
        """Whether the target is a good choice for a new flow."""
        return self.is_open(now) and self.health.looks_good(now)
