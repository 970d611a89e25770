"""Tests of whether a host is in the routers' rotation."""

from steering_builders import SteeringWorld, build_peers, build_report, build_target

from godwitway.steering._loads import encode_report, hash_zone
from godwitway.steering._rotation import Rotation


class ZoneWorld:
    """A host of zone a with targets in zones a and b."""

    def __init__(self, own_zone: int, other_zones: int) -> None:
        targets = [build_target(n) for n in range(1, own_zone + 1)]
        targets += [build_target(n, zone="b") for n in range(101, 101 + other_zones)]
        self.world = SteeringWorld(*targets)
        self.peers = build_peers(self.world.steering, versions=lambda: (1, 1))
        self.rotation = Rotation(self.world.steering, self.peers)

    def create_demand(self, requests: int) -> None:
        """Keep a number of requests in progress until the smoothed demand equals it."""
        for number in range(requests):
            self.world.receive_packet(flow=b"flow-%d" % number, opening=True)
        for _ in range(200):
            self.rotation.update()

    def suspect_zone(self, zone: str) -> None:
        """Make the host suspect all targets of a zone."""
        for target in self.world.steering.catalog.targets.values():
            if target.zone == zone:
                self.world.steering.evidence_of(target).start_suspicion(self.world.clock.now())

    def receive_report(self, number: int, **overrides) -> None:
        """Let a report of another host arrive."""
        (datagram,) = encode_report(build_report(boot_id=100 + number, **overrides))
        self.peers.handle_datagram(datagram, (f"10.1.0.{number}", 7))


class TestCutZones:
    """Availability zones that are cut off from the others."""

    def test_a_zone_without_enough_slots_leaves_the_rotation(self):
        """One target with three slots cannot process four concurrent requests."""
        zone = ZoneWorld(own_zone=1, other_zones=5)
        zone.create_demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"
        assert zone.peers.zone_cut_off

    def test_a_zone_with_enough_slots_stays_in_rotation(self):
        """Its callers keep their nearest hosts."""
        zone = ZoneWorld(own_zone=2, other_zones=5)
        zone.create_demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert not zone.rotation.yield_reason

    def test_one_reachable_target_elsewhere_means_no_cut(self):
        """Some path to another zone still works."""
        zone = ZoneWorld(own_zone=1, other_zones=2)
        zone.create_demand(4)
        zone.suspect_zone("b")
        target = zone.world.steering.catalog.targets["i-0065"]
        zone.world.steering.evidence_of(target).clear()
        zone.rotation.update()
        assert not zone.rotation.yield_reason

    def test_a_host_follows_the_others_of_its_zone(self):
        """Routers use all hosts of a zone until all of them have left the rotation."""
        zone = ZoneWorld(own_zone=1, other_zones=2)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert not zone.rotation.yield_reason
        zone.receive_report(2, zone_cut_off=True)
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"

    def test_a_host_that_reaches_no_target_leaves(self):
        """Other hosts of its zone may still reach them."""
        zone = ZoneWorld(own_zone=1, other_zones=2)
        steering = zone.world.steering
        zone.world.clock.time += 1.5
        for target in steering.catalog.targets.values():
            steering.evidence_of(target).probe_failed_at = zone.world.clock.now() - 0.2
        zone.rotation.update()
        assert zone.rotation.yield_reason == "isolated"
        steering.last_progress_at = zone.world.clock.now()
        zone.rotation.update()
        assert not zone.rotation.yield_reason

    def test_demand_is_kept_while_the_zone_is_cut_off(self):
        """Else it would drop to zero once the callers use another zone."""
        zone = ZoneWorld(own_zone=1, other_zones=5)
        zone.create_demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        zone.world.clock.time += 2.0
        zone.world.steering.flow_table.expire_flows(zone.world.clock.now(), 15.0)
        for _ in range(200):
            zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"


class TestDemand:
    """The smoothed demand of a zone."""

    def test_demand_is_known_after_few_samples(self):
        """A zone may be cut off seconds after the start of a host."""
        zone = ZoneWorld(own_zone=1, other_zones=5)
        for number in range(4):
            zone.world.receive_packet(flow=b"flow-%d" % number, opening=True)
        zone.rotation.update()
        assert zone.rotation.demand() == {"desk": 4.0}
        zone.suspect_zone("b")
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"


class TestLeaving:
    """Leaving the rotation for a planned stop."""

    def test_the_only_host_of_a_zone_leaves_at_once(self):
        """Routers then use hosts of the nearest zones."""
        assert ZoneWorld(own_zone=1, other_zones=1).rotation.may_leave()

    def test_a_host_waits_while_too_few_others_serve(self):
        """With fewer than half in rotation, routers use all hosts, including stopped ones."""
        zone = ZoneWorld(own_zone=1, other_zones=1)
        zone.receive_report(2, in_rotation=False)
        zone.receive_report(3, in_rotation=True)
        assert not zone.rotation.may_leave()
        zone.receive_report(2, in_rotation=True)
        assert zone.rotation.may_leave()

    def test_silent_hosts_do_not_serve(self):
        """A host whose last report is a second old may have stopped."""
        zone = ZoneWorld(own_zone=1, other_zones=1)
        zone.receive_report(2, in_rotation=True)
        zone.world.clock.time += 1.0
        assert not zone.rotation.may_leave()

    def test_hosts_of_other_zones_do_not_count(self):
        """Routers count the hosts of each zone separately."""
        zone = ZoneWorld(own_zone=1, other_zones=1)
        zone.receive_report(2, in_rotation=False, zone_hash=hash_zone("b"))
        assert zone.rotation.may_leave()
