"""Tests of whether a host is in the routers' rotation."""

from steering_builders import SteeringHarness, build_peers, build_report, build_target

from godwitway.steering._loads import encode_report, hash_zone
from godwitway.steering._rotation import Rotation


class RotationHarness:
    """A host of zone a with targets in zones a and b.

    The first target of zone b is i-0065.

    Args:
        own_targets: The number of targets in zone a.
        other_targets: The number of targets in zone b.
    """

    def __init__(self, own_targets: int, other_targets: int) -> None:
        targets = [build_target(n) for n in range(1, own_targets + 1)]
        targets += [build_target(n, zone="b") for n in range(101, 101 + other_targets)]
        self.host = SteeringHarness(*targets)
        self.peers = build_peers(self.host.steering, versions=lambda: (1, 1))
        self.rotation = Rotation(self.host.steering, self.peers)

    def create_demand(self, requests: int) -> None:
        """Keep a number of requests in progress until the smoothed demand equals it."""
        for number in range(requests):
            self.host.receive_packet(flow=b"flow-%d" % number, opening=True)
        for _ in range(200):
            self.rotation.update()

    def suspect_zone(self, zone: str) -> None:
        """Make the host suspect all targets of a zone."""
        for target in self.host.steering.catalog.targets.values():
            if target.zone == zone:
                self.host.steering.evidence_of(target).start_suspicion(self.host.clock.now())

    def receive_report(self, number: int, **overrides) -> None:
        """Let a report of another host arrive."""
        (datagram,) = encode_report(build_report(boot_id=100 + number, **overrides))
        self.peers.handle_datagram(datagram, (f"10.1.0.{number}", 7))


class TestCutZones:
    """Availability zones that are cut off from the others."""

    def test_a_zone_without_enough_slots_leaves_the_rotation(self):
        """One target with three slots cannot process four concurrent requests."""
        harness = RotationHarness(own_targets=1, other_targets=5)
        harness.create_demand(4)
        harness.suspect_zone("b")
        harness.rotation.update()
        assert harness.rotation.yield_reason == "zone_short"
        assert harness.peers.zone_short

    def test_a_zone_with_enough_slots_stays_in_rotation(self):
        """Its callers keep their nearest hosts."""
        harness = RotationHarness(own_targets=2, other_targets=5)
        harness.create_demand(4)
        harness.suspect_zone("b")
        harness.rotation.update()
        assert not harness.rotation.yield_reason

    def test_one_reachable_target_elsewhere_means_no_cut(self):
        """Some path to another zone still works."""
        harness = RotationHarness(own_targets=1, other_targets=2)
        harness.create_demand(4)
        harness.suspect_zone("b")
        target = harness.host.steering.catalog.targets["i-0065"]
        harness.host.steering.evidence_of(target).clear_suspicions()
        harness.rotation.update()
        assert not harness.rotation.yield_reason

    def test_a_host_follows_the_others_of_its_zone(self):
        """While some, but fewer than half, of a zone's hosts are in rotation, routers use all."""
        harness = RotationHarness(own_targets=1, other_targets=2)
        harness.suspect_zone("b")
        harness.rotation.update()
        assert not harness.rotation.yield_reason
        harness.receive_report(2, zone_short=True)
        harness.rotation.update()
        assert harness.rotation.yield_reason == "zone_short"

    def test_a_host_that_reaches_no_target_leaves(self):
        """Other hosts of its zone may still reach them."""
        harness = RotationHarness(own_targets=1, other_targets=2)
        steering = harness.host.steering
        harness.host.clock.time += 1.5
        for target in steering.catalog.targets.values():
            steering.evidence_of(target).probe_failed_at = harness.host.clock.now() - 0.2
        harness.rotation.update()
        assert harness.rotation.yield_reason == "isolated"
        steering.last_progress_at = harness.host.clock.now()
        harness.rotation.update()
        assert not harness.rotation.yield_reason

    def test_demand_is_kept_while_the_zone_is_cut_off(self):
        """Otherwise it would drop to zero once the callers use another zone."""
        harness = RotationHarness(own_targets=1, other_targets=5)
        harness.create_demand(4)
        harness.suspect_zone("b")
        harness.rotation.update()
        harness.host.clock.time += 2.0
        harness.host.steering.flow_table.expire_flows(harness.host.clock.now(), 15.0)
        for _ in range(200):
            harness.rotation.update()
        assert harness.rotation.yield_reason == "zone_short"


class TestDemand:
    """The smoothed demand of a host's group."""

    def test_demand_is_known_after_few_samples(self):
        """A zone may be cut off seconds after the start of a host."""
        harness = RotationHarness(own_targets=1, other_targets=5)
        for number in range(4):
            harness.host.receive_packet(flow=b"flow-%d" % number, opening=True)
        harness.rotation.update()
        assert harness.rotation.demand() == {"desk": 4.0}
        harness.suspect_zone("b")
        harness.rotation.update()
        assert harness.rotation.yield_reason == "zone_short"


class TestLeaving:
    """Leaving the rotation for a planned stop."""

    def test_the_only_host_of_a_zone_leaves_at_once(self):
        """Routers then use hosts of the nearest zones."""
        assert RotationHarness(own_targets=1, other_targets=1).rotation.may_leave()

    def test_a_host_waits_while_too_few_others_serve(self):
        """With fewer than half in rotation, routers use all hosts, including stopped ones."""
        harness = RotationHarness(own_targets=1, other_targets=1)
        harness.receive_report(2, in_rotation=False)
        harness.receive_report(3, in_rotation=True)
        assert not harness.rotation.may_leave()
        harness.receive_report(2, in_rotation=True)
        assert harness.rotation.may_leave()

    def test_silent_hosts_do_not_serve(self):
        """A host whose last report is a second old may have stopped."""
        harness = RotationHarness(own_targets=1, other_targets=1)
        harness.receive_report(2, in_rotation=True)
        harness.host.clock.time += 1.0
        assert not harness.rotation.may_leave()

    def test_a_host_that_is_silent_for_longer_than_a_restart_is_not_waited_for(self):
        """Hosts that left for good kept the others of their zone in rotation for 3.8 s."""
        harness = RotationHarness(own_targets=1, other_targets=1)
        harness.receive_report(2, in_rotation=False)
        harness.host.clock.time += 2.0
        assert not harness.rotation.may_leave()
        harness.host.clock.time += 1.0
        assert harness.rotation.may_leave()

    def test_hosts_of_other_zones_do_not_count(self):
        """Routers count the hosts of each zone separately."""
        harness = RotationHarness(own_targets=1, other_targets=1)
        harness.receive_report(2, in_rotation=False, zone_hash=hash_zone("b"))
        assert harness.rotation.may_leave()
