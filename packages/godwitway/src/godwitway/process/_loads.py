"""What the owners of one service's targets tell each other about their load."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from godwitway.connection import OwnedTarget
from godwitway.version import Service

__all__ = ["LoadReport", "ServiceLoads"]

VALID_S = 5.0
EXTRAPOLATE_S = 0.1
MEAN_VALID_S = 0.01


class LoadReport(msgspec.Struct, array_like=True):
    """The load of one target.

    Attributes:
        target: The target's packed address.
        connections: How many connections it holds.
        endpoint_bad: Whether its own endpoint calls it bad.
    """

    target: bytes
    connections: int
    endpoint_bad: bool


@dataclass(slots=True)
class KnownLoad:
    """The last report of a target, with its rate of change in connections a second."""

    report: LoadReport
    at: float
    rate: float

    def connections_at(self, now: float) -> float:
        """Return the connections to expect at a time."""
        elapsed = min(EXTRAPOLATE_S, now - self.at)
        return max(0.0, self.report.connections + self.rate * elapsed)


class ServiceLoads:
    """The last load report of each target that another host owns."""

    __slots__ = ("known", "means")

    def __init__(self) -> None:
        self.known: dict[bytes, KnownLoad] = {}
        self.means: dict[str, tuple[float, float]] = {}

    def record_report(self, report: LoadReport, now: float) -> None:
        """Take over a report."""
        before = self.known.get(report.target)
        rate = 0.0
        if before is not None and now > before.at:
            rate = (report.connections - before.report.connections) / (now - before.at)
        self.known[report.target] = KnownLoad(report, now, rate)

    def fresh(self, target: bytes, now: float) -> KnownLoad | None:
        """Return what is known of a target, unless it is too old."""
        known = self.known.get(target)
        return known if known is not None and now - known.at < VALID_S else None

    def mean_connections(
        self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float
    ) -> float:
        """Return the mean number of connections of a service's active, known targets."""
        mean, at = self.means.get(service.name, (0.0, -MEAN_VALID_S))
        if not 0 <= now - at < MEAN_VALID_S:
            mean = self.count_mean(service, owned, now)
            self.means[service.name] = (mean, now)
        return mean

    def count_mean(self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float) -> float:
        """Work out the mean number of connections."""
        total = 0.0
        count = 0
        for target in service.targets:
            if target.is_draining:
                continue
            own = owned.get(target.id)
            if own is not None:
                total += own.usage.connections
                count += 1
                continue
            known = self.fresh(target.id, now)
            if known is not None:
                total += known.connections_at(now)
                count += 1
        return total / count if count else 0.0

    def are_most_endpoints_bad(
        self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float
    ) -> bool:
        """Whether the endpoints call more than half of a service's known targets bad."""
        bad = 0
        count = 0
        for target in service.targets:
            own = owned.get(target.id)
            known = self.fresh(target.id, now)
            if own is None and known is None:
                continue
            count += 1
            bad += own.health.is_endpoint_unhealthy(now) if own else known.report.endpoint_bad
        return bad * 2 > count
