"""Tests of how a large zone's hosts divide themselves and its targets."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import (
    FakeClock,
    SteeringWorld,
    build_difference,
    build_packet,
    build_peers,
    build_report,
    build_target,
)

from godwitway.steering._groups import GROUP_MAX, ZoneGroups
from godwitway.steering._loads import decode_report, encode_report, hash_zone
from godwitway.steering._peers import FULL_REPORT_TICKS, Member, Peers


def address(number: int) -> tuple[str, int]:
    """Return the address of a host."""
    return (f"10.1.{number // 250}.{number % 250 + 1}", 7)


def divide(hosts: int) -> dict[int, ZoneGroups]:
    """Return the groups of a zone as each of its hosts sees them."""
    seen = {}
    for number in range(hosts):
        groups = ZoneGroups(address(number))
        groups.divide([address(other) for other in range(hosts) if other != number], 2, False)
        seen[number] = groups
    return seen


class TestZoneGroups:
    """The division of hosts."""

    @pytest.mark.parametrize("hosts", [1, 2, GROUP_MAX, GROUP_MAX + 1, 100, 250])
    def test_all_hosts_see_the_same_groups(self, hosts):
        """Each group is whole, and no host hears more than a group."""
        seen = divide(hosts)
        groups = {groups.index: groups.members | {groups.own} for groups in seen.values()}
        assert sum(len(group) for group in groups.values()) == hosts
        for own in seen.values():
            assert own.members | {own.own} == groups[own.index]
            assert len(own.members) < GROUP_MAX
            assert len(own.other_leaders) == 2 * (own.count - 1)
            assert not own.members & set(own.other_leaders)

    def test_one_host_more_or_less_moves_few(self):
        """Loads that a moved host had heard are lost for half a second."""
        before, after = divide(100), divide(101)
        moved = sum(before[number].index != after[number].index for number in range(100))
        assert moved <= before[0].count

    def test_small_fleets_stay_whole(self):
        """Their hosts all report to each other."""
        groups = ZoneGroups(address(0))
        groups.divide([address(number) for number in range(1, 60)], 2, True)
        assert (groups.count, len(groups.members), groups.share) == (1, 59, 1.0)


class TestCandidates:
    """The division of targets."""

    @given(hosts=st.sampled_from([10, 30, 60]), targets=st.integers(0, 60))
    def test_every_target_is_near_to_some_host(self, hosts, targets):
        """None is left idle, and none is taken twice by a host."""
        present = [build_target(number + 1) for number in range(targets)]
        present += [build_target(number + 101, zone="b") for number in range(5)]
        for number, target in enumerate(present):
            target.token = number * 7919 % 1009
        near = Counter()
        for groups in divide(hosts).values():
            candidates = groups.candidates(present, "a")
            near.update(target.id for target in candidates.near)
            everyone = [*candidates.near, *candidates.other_groups, *candidates.other_zones]
            assert sorted(target.id for target in everyone) == sorted(t.id for t in present)
            assert {target.zone for target in candidates.near} <= {"a"}
        assert len(near) == targets

    def test_the_known_load_is_scaled_to_all_hosts_that_use_a_block(self):
        """With too few targets for a block each, groups share them."""
        groups = divide(100)[0]
        many = groups.candidates([build_target(number + 1) for number in range(80)], "a")
        few = groups.candidates([build_target(number + 1) for number in range(6)], "a")
        assert len(many.near) == 10
        assert len(few.near) == 6
        assert many.factor == pytest.approx(1.0, abs=0.1)
        assert few.factor == pytest.approx(8.0, abs=0.7)


class Zone:
    """Hosts of one zone that hear each other through a network that a test controls.

    Attributes:
        hosts: The hosts by address.
        silent: Hosts that neither send nor hear.
        sent: How many datagrams each host has sent.
    """

    def __init__(self, hosts: int, targets: int = 40) -> None:
        self.clock = FakeClock()
        self.silent: set[tuple[str, int]] = set()
        self.sent: Counter = Counter()
        self.hosts: dict[tuple[str, int], Peers] = {}
        self.revisions: dict[tuple[str, int], int] = {}
        for number in range(hosts):
            self.add(address(number), number, targets)
        members = [peers.own_member for peers in self.hosts.values()]
        for peers in self.hosts.values():
            for member in members:
                item = member.to_key_value()
                peers.apply_member_change(item.key, item.value, 1)

    def add(self, own: tuple[str, int], number: int, targets: int) -> None:
        """Add a host."""
        world = SteeringWorld(*(build_target(target + 1) for target in range(targets)))
        world.clock = self.clock
        world.steering.now = self.clock.now
        peers = build_peers(
            world.steering,
            Member(f"host-{number}", "a", own),
            lambda: (1, self.revisions.get(own, 1)),
            number,
        )
        world.steering.peer_loads = peers.load_totals
        world.steering.groups = peers.groups
        peers.send = lambda datagram, to: self.deliver(datagram, own, to)
        self.hosts[own] = peers

    def deliver(self, datagram: bytes, source: tuple[str, int], to: tuple[str, int]) -> None:
        """Carry a datagram."""
        self.sent[source] += 1
        if source not in self.silent and to not in self.silent:
            self.hosts[to].handle_datagram(datagram, source)

    def run(self, seconds: float) -> None:
        """Let the hosts report."""
        for _ in range(round(seconds / 0.1)):
            self.clock.time += 0.1
            for own, peers in self.hosts.items():
                if own not in self.silent:
                    peers.send_report()

    def watching(self) -> list[tuple[str, int]]:
        """Return the hosts that watch the store."""
        now = self.clock.now()
        return [
            own
            for own, peers in self.hosts.items()
            if own not in self.silent and peers.is_store_watcher(now)
        ]


class TestLargeZone:
    """What hosts of a zone of many groups tell each other."""

    def test_two_hosts_of_a_zone_watch_the_store(self):
        """Calls of the store grow with zones, not with hosts or groups."""
        zone = Zone(100)
        zone.run(2.0)
        assert len(zone.watching()) == 2

    def test_others_take_over_when_the_watching_hosts_die(self):
        """Also when all the first hosts of a group do."""
        zone = Zone(100)
        zone.run(2.0)
        for _ in range(3):
            zone.silent.update(zone.watching())
            zone.run(3.0)
            assert len(zone.watching()) == 2

    def test_what_a_host_sends_does_not_grow_with_its_zone(self):
        """Only the few that pass changes on send to other groups."""
        rates = {}
        for hosts in (20, 100, 200):
            zone = Zone(hosts)
            zone.run(4.0)
            zone.sent.clear()
            zone.run(5.0)
            rates[hosts] = sorted(zone.sent[own] / 5.0 for own in zone.hosts)
        assert rates[200][100] <= rates[20][10]
        groups = next(iter(zone.hosts.values())).groups
        assert rates[200][-1] <= 2 * (GROUP_MAX + 2 * (groups.count - 1))

    def test_every_host_hears_of_a_new_revision_within_a_second(self):
        """By the reports alone, when the pushed changes were lost."""
        zone = Zone(100)
        zone.run(2.0)
        zone.revisions[zone.watching()[0]] = 50
        for _ in range(10):
            zone.run(0.1)
            for own, peers in zone.hosts.items():
                heard = max(peer.advertised_revision for peer in peers.by_address.values())
                zone.revisions[own] = max(zone.revisions.get(own, 1), heard)
        assert {zone.revisions[own] for own in zone.hosts} == {50}

    def test_pushed_changes_reach_every_host_once(self):
        """Hosts that lead a group send changes of another group on to their own."""
        zone = Zone(100)
        zone.run(2.0)
        taken = Counter()
        for own, peers in zone.hosts.items():
            peers.on_push = lambda difference, own=own: not taken.update([own]) and taken[own] == 1
        (first, _) = zone.watching()
        zone.hosts[first].push_changes(build_difference())
        assert set(taken) == zone.hosts.keys() - {first}

    def test_a_group_s_loads_are_heard_within_the_group_only(self):
        """A host that changes its group takes no old loads along."""
        zone = Zone(60)
        zone.run(1.0)
        one = next(iter(zone.hosts.values()))
        member = zone.hosts[min(one.groups.members)]
        member.steering.handle_packet(build_packet(opening=True))
        (target,) = (target for _, target in member.steering.packet_io.forwarded)
        zone.run(0.3)
        for own, peers in zone.hosts.items():
            expected = own in member.groups.members
            assert (peers.load_totals.get(target.token) == (1, 0)) == expected, own

    def test_a_host_that_left_the_store_is_forgotten(self):
        """Hosts of other groups are never heard, so their silence says nothing."""
        zone = Zone(60)
        zone.run(1.0)
        one = next(iter(zone.hosts.values()))
        strange = next(
            peer
            for peer in one.by_address.values()
            if peer.last_report_at is None and peer.is_registered
        )
        one.remove_silent_peers(zone.clock.now() + 100.0)
        assert strange.address in one.by_address
        key = zone.hosts[strange.address].own_member.to_key_value().key
        one.apply_member_change(key, None, 9)
        assert strange.address not in one.by_address

    def test_a_heard_host_outlives_its_key(self):
        """Its lease may have lapsed while the store was away."""
        zone = Zone(30)
        zone.run(1.0)
        one = next(iter(zone.hosts.values()))
        member = min(one.groups.members)
        one.apply_member_change(zone.hosts[member].own_member.to_key_value().key, None, 9)
        assert member in one.by_address
        zone.silent.add(member)
        zone.run(31.0)
        one.remove_silent_peers(zone.clock.now())
        assert member not in one.by_address


class TestTotals:
    """The sums of peers' loads."""

    @given(
        st.lists(
            st.tuples(st.integers(2, 4), st.integers(0, 3), st.integers(0, 3), st.integers(0, 3)),
            max_size=30,
        )
    )
    def test_totals_are_the_sums_of_the_last_reports(self, reports):
        """Whatever was reported before."""
        zone = Zone(1, targets=2)
        (peers,) = zone.hosts.values()
        target = peers.steering.catalog.targets["i-0001"]
        last = {}
        for number, boot, busy, idle in reports:
            loads = [(target.token, busy, idle, False)]
            (datagram,) = encode_report(build_report(boot_id=boot + 10, loads=loads))
            peers.handle_datagram(datagram, address(number))
            last[number] = (busy, idle)
        expected = tuple(sum(load[part] for load in last.values()) for part in (0, 1))
        assert peers.load_totals.get(target.token, (0, 0)) == expected
        zone.clock.time += 10.0
        peers.clear_silent_loads()
        assert not peers.load_totals

    def test_heads_for_other_groups_have_no_loads(self):
        """They say what changes of the store a group knows."""
        zone = Zone(60)
        sent = []
        leader = next(
            peers for peers in zone.hosts.values() if peers.is_group_leader(zone.clock.now())
        )
        leader.send = lambda datagram, to: sent.append((to, decode_report(datagram)))
        leader.steering.handle_packet(build_packet(opening=True))
        for _ in range(FULL_REPORT_TICKS):
            leader.send_report()
        outside = [report for to, report in sent if to not in leader.groups.members]
        assert len(outside) == len(leader.groups.other_leaders)
        assert all(not report.loads and report.zone_hash == hash_zone("a") for report in outside)
