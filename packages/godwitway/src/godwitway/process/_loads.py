"""Load reports that owners of the same service's targets exchange, and their mean."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from godwitway.connection import OwnedTarget
from godwitway.version import Service

__all__ = ["LoadReport", "ServiceLoads"]

REPORT_VALID_S = 5.0
# Not longer than the period in which owners report large changes (`LOAD_REPORT_PERIOD_S`).
MAX_EXTRAPOLATION_S = 0.1
MEAN_CACHE_S = 0.01


class LoadReport(msgspec.Struct, array_like=True):
    """The load of one target as its owner reports it to other hosts.

    It is encoded as an array, so the order of the fields is part of the wire format.

    Attributes:
        target: The target's packed address.
        connections: How many connections the target holds.
        endpoint_bad: Whether the target's health endpoint reports it as unhealthy.
    """

    target: bytes
    connections: int
    endpoint_bad: bool


@dataclass(slots=True)
class ReportedLoad:
    """The last report of a target and the trend since the report before it.

    Attributes:
        report: The last report.
        received_at: When the report was received, in seconds of the process's clock.
        connections_per_s: The change in connections per second between the last two reports.
    """

    report: LoadReport
    received_at: float
    connections_per_s: float

    def expected_connections(self, now: float) -> float:
        """Return the number of connections expected at a time, extrapolated from the trend."""
        elapsed = min(MAX_EXTRAPOLATION_S, now - self.received_at)
        return max(0.0, self.report.connections + self.connections_per_s * elapsed)


class ServiceLoads:
    """The last load report of each target that another host owns.

    Attributes:
        reported: The last load of each target, by packed address.
        cached_means: The mean number of connections and when it was computed, by service name.
    """

    __slots__ = ("cached_means", "reported")

    def __init__(self) -> None:
        self.reported: dict[bytes, ReportedLoad] = {}
        self.cached_means: dict[str, tuple[float, float]] = {}

    def record_report(self, report: LoadReport, now: float) -> None:
        """Store a report received at a time and derive the trend from the one before it."""
        previous = self.reported.get(report.target)
        connections_per_s = 0.0
        if previous is not None and now > previous.received_at:
            connections_per_s = (report.connections - previous.report.connections) / (
                now - previous.received_at
            )
        self.reported[report.target] = ReportedLoad(report, now, connections_per_s)

    def valid_load(self, target: bytes, now: float) -> ReportedLoad | None:
        """Return the last reported load of a target, or None if there is none or it is too old."""
        reported = self.reported.get(target)
        return (
            reported
            if reported is not None and now - reported.received_at < REPORT_VALID_S
            else None
        )

    def mean_connections(
        self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float
    ) -> float:
        """Return the mean number of connections of a service's targets that are not draining.

        Targets without a valid load are left out; without any, the mean is 0. The result is
        cached for `MEAN_CACHE_S` per service.

        Args:
            service: The service.
            owned: This host's own targets by packed address; they count with their live load.
            now: The time in seconds of the process's clock.
        """
        mean, at = self.cached_means.get(service.name, (0.0, -MEAN_CACHE_S))
        if not 0 <= now - at < MEAN_CACHE_S:
            mean = self.compute_mean(service, owned, now)
            self.cached_means[service.name] = (mean, now)
        return mean

    def compute_mean(
        self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float
    ) -> float:
        """Compute the mean that `mean_connections` caches."""
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
            reported = self.valid_load(target.id, now)
            if reported is not None:
                total += reported.expected_connections(now)
                count += 1
        return total / count if count else 0.0

    def are_most_endpoints_unhealthy(
        self, service: Service, owned: Mapping[bytes, OwnedTarget], now: float
    ) -> bool:
        """Return whether more than half of a service's targets with a valid load look unhealthy.

        Only what the targets' own health endpoints report counts here.
        """
        unhealthy = 0
        count = 0
        for target in service.targets:
            own = owned.get(target.id)
            reported = self.valid_load(target.id, now)
            if own is None and reported is None:
                continue
            count += 1
            unhealthy += (
                own.health.is_endpoint_unhealthy(now) if own else reported.report.endpoint_bad
            )
        return unhealthy * 2 > count
