"""Tests of when a host asks for packets."""

from steering_builders import SteeringWorld, build_peers, build_report, build_target

from godwitway.steering._loads import encode_report, hash_zone
from godwitway.steering._rotation import Rotation


class ZoneWorld:
    """A host of zone a with targets in zones a and b."""

    def __init__(self, near: int, far: int) -> None:
        targets = [build_target(n) for n in range(1, near + 1)]
        targets += [build_target(n, zone="b") for n in range(101, 101 + far)]
        self.world = SteeringWorld(*targets)
        self.peers = build_peers(self.world.steering, versions=lambda: (1, 1))
        self.rotation = Rotation(self.world.steering, self.peers)

    def demand(self, requests: int) -> None:
        """Let requests be in progress for a long time."""
        for number in range(requests):
            self.world.receive_packet(flow=b"flow-%d" % number, opening=True)
        for _ in range(200):
            self.rotation.update()

    def suspect_zone(self, zone: str) -> None:
        """Suspect all targets of a zone."""
        for target in self.world.steering.catalog.targets.values():
            if target.zone == zone:
                self.world.steering.evidence_of(target).start_suspicion(self.world.clock.now())

    def hear(self, number: int, **more) -> None:
        """Hear a report of another host."""
        (datagram,) = encode_report(build_report(boot_id=100 + number, **more))
        self.peers.handle_datagram(datagram, (f"10.1.0.{number}", 7))


class TestCutZones:
    """Zones that are cut off from the others."""

    def test_a_zone_without_enough_slots_gives_its_callers_away(self):
        """One target with three slots does not carry four requests."""
        zone = ZoneWorld(near=1, far=5)
        zone.demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"
        assert zone.peers.zone_cut_off

    def test_a_zone_with_enough_slots_goes_on(self):
        """Callers stay near."""
        zone = ZoneWorld(near=2, far=5)
        zone.demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert not zone.rotation.yield_reason

    def test_one_reachable_target_elsewhere_means_no_cut(self):
        """The zone is not cut off."""
        zone = ZoneWorld(near=1, far=2)
        zone.demand(4)
        zone.suspect_zone("b")
        target = zone.world.steering.catalog.targets["i-0065"]
        zone.world.steering.evidence_of(target).clear()
        zone.rotation.update()
        assert not zone.rotation.yield_reason

    def test_a_host_follows_the_others_of_its_zone(self):
        """Routers use all hosts of a zone unless all of them yield."""
        zone = ZoneWorld(near=1, far=2)
        zone.suspect_zone("b")
        zone.rotation.update()
        assert not zone.rotation.yield_reason
        zone.hear(2, zone_cut_off=True)
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"

    def test_a_host_that_reaches_no_target_leaves(self):
        """Other hosts of its zone may reach them."""
        zone = ZoneWorld(near=1, far=2)
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
        """It would fall to nothing once the callers have gone."""
        zone = ZoneWorld(near=1, far=5)
        zone.demand(4)
        zone.suspect_zone("b")
        zone.rotation.update()
        zone.world.clock.time += 2.0
        zone.world.steering.flow_table.expire_flows(zone.world.clock.now(), 15.0)
        for _ in range(200):
            zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"


class TestDemand:
    """The usual requests of a zone."""

    def test_a_host_that_has_just_started_knows_it_from_few_samples(self):
        """Its zone may be cut off seconds after its start."""
        zone = ZoneWorld(near=1, far=5)
        for number in range(4):
            zone.world.receive_packet(flow=b"flow-%d" % number, opening=True)
        zone.rotation.update()
        assert zone.rotation.demand() == {"desk": 4.0}
        zone.suspect_zone("b")
        zone.rotation.update()
        assert zone.rotation.yield_reason == "zone_short"


class TestLeaving:
    """Planned stops."""

    def test_the_only_host_of_a_zone_leaves_at_once(self):
        """Routers then use the nearest zones."""
        assert ZoneWorld(near=1, far=1).rotation.may_leave()

    def test_a_host_waits_while_too_few_others_serve(self):
        """Routers would use all hosts, also the one that has gone."""
        zone = ZoneWorld(near=1, far=1)
        zone.hear(2, in_rotation=False)
        zone.hear(3, in_rotation=True)
        assert not zone.rotation.may_leave()
        zone.hear(2, in_rotation=True)
        assert zone.rotation.may_leave()

    def test_silent_hosts_do_not_serve(self):
        """A host that was heard a second ago may have gone."""
        zone = ZoneWorld(near=1, far=1)
        zone.hear(2, in_rotation=True)
        zone.world.clock.time += 1.0
        assert not zone.rotation.may_leave()

    def test_hosts_of_other_zones_do_not_count(self):
        """Routers look at one zone."""
        zone = ZoneWorld(near=1, far=1)
        zone.hear(2, in_rotation=False, zone_hash=hash_zone("b"))
        assert zone.rotation.may_leave()
