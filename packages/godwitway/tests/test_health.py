"""Tests of the health of targets, and of the loads that other owners report."""

from builders import build_owned

from godwitway.connection import TargetHealth
from godwitway.process._loads import LoadReport, ServiceLoads


class TestTargetHealth:
    """Tests of `TargetHealth`."""

    def test_unanswered_packets_override_healthy_endpoint(self):
        """A target that answers no first packet is unhealthy, whatever its endpoint reports."""
        health = TargetHealth()
        health.record_endpoint_report(True, False, 0.0)
        for _ in range(3):
            health.record_unanswered(1.0)
        assert not health.is_healthy(1.5)

    def test_suspect_target_is_retried(self):
        """A suspect target is eligible again after 2 s, and an answer lowers its score."""
        health = TargetHealth()
        for _ in range(3):
            health.record_unanswered(1.0)
        assert health.is_healthy(3.5)
        health.record_answer(3.6)
        assert health.is_healthy(3.6)

    def test_endpoint_reports_expire(self):
        """An endpoint report older than 10 s has no effect."""
        health = TargetHealth()
        health.record_endpoint_report(False, False, 0.0)
        assert not health.is_healthy(5.0)
        assert health.is_healthy(11.0)


class TestServiceLoads:
    """Tests of `ServiceLoads`."""

    def test_most_endpoints_are_unhealthy_above_half(self):
        """Endpoints are distrusted if more than half of a service's targets report unhealthy."""
        owned = build_owned()
        service = owned.usage.service
        loads = ServiceLoads()
        for target in service.targets[1:3]:
            loads.record_report(LoadReport(target.id, 0, True), 0.0)
        loads.record_report(LoadReport(service.targets[3].id, 0, False), 0.0)
        table = {service.targets[0].id: owned}
        assert not loads.are_most_endpoints_unhealthy(service, table, 1.0)
        owned.health.record_endpoint_report(False, False, 1.0)
        assert loads.are_most_endpoints_unhealthy(service, table, 1.0)

    def test_old_reports_do_not_count(self):
        """A report that is too old is left out of the mean."""
        owned = build_owned()
        service = owned.usage.service
        loads = ServiceLoads()
        loads.record_report(LoadReport(service.targets[1].id, 100, False), 0.0)
        table = {service.targets[0].id: owned}
        assert loads.mean_connections(service, table, 1.0) == 50.0
        assert loads.mean_connections(service, table, 60.0) == 0.0
