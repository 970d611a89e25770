"""Ownership of targets."""

import msgspec
from builders import service_document, snapshot_of, target_document
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from strategies import members

from godwitway.process._directory import Directory
from godwitway.process._member import Member
from godwitway.version import Snapshot


def three_zone_snapshot() -> Snapshot:
    """Return a snapshot with 12 targets in three zones."""
    targets = [target_document(number + 1, "abc"[number % 3]) for number in range(12)]
    return snapshot_of(service_document(0) | {"targets": targets})


def directory_of(hosts: list[Member]) -> Directory:
    """Return a directory of some hosts over three zones."""
    directory = Directory("a")
    directory.apply_snapshot(three_zone_snapshot())
    for host in hosts:
        directory.add_host(host)
    return directory


unique_members = st.lists(members(), min_size=1, max_size=8, unique_by=lambda member: member.id)


class TestDirectory:
    """Tests of `Directory`."""

    @seed(7)
    @settings(max_examples=100, deadline=None, database=None)
    @given(unique_members, st.randoms(use_true_random=False))
    def test_order_of_news_does_not_matter(self, hosts, rng):
        """Hosts that heard the same news in another order agree on every owner."""
        shuffled = list(hosts)
        rng.shuffle(shuffled)
        first, second = directory_of(hosts), directory_of(shuffled)
        owners = {id_: first.owner_of(id_) for id_ in first.targets}
        assert owners == {id_: second.owner_of(id_) for id_ in second.targets}

    @seed(8)
    @settings(max_examples=100, deadline=None, database=None)
    @given(unique_members)
    def test_a_death_moves_only_what_the_dead_owned(self, hosts):
        """Removing a host changes the owner of its own targets only, and they all get one."""
        directory = directory_of(hosts)
        before = {id_: directory.owner_of(id_) for id_ in directory.targets}
        dead = hosts[0].id
        changes = directory.remove_host(dead)
        assert all(change.old_owner == dead for change in changes)
        assert {change.target for change in changes} == {
            id_ for id_, owner in before.items() if owner == dead
        }
        if len(hosts) > 1:
            assert all(directory.owner_of(id_) not in (None, dead) for id_ in directory.targets)

    @seed(9)
    @settings(max_examples=100, deadline=None, database=None)
    @given(unique_members)
    def test_owners_are_in_the_targets_zone(self, hosts):
        """A target's owner is in its own zone while a host of that zone is alive."""
        directory = directory_of(hosts)
        zones = {host.zone for host in hosts}
        by_id = {host.id: host for host in hosts}
        for target in directory.targets.values():
            owner = by_id[directory.owner_of(target.id)]
            assert (owner.zone == target.zone) == (target.zone in zones)
            assert directory.is_fallback(target.id) == (target.zone not in zones)

    def test_coming_back_restores_every_owner(self):
        """A host that leaves and comes back owns what it owned before."""
        hosts = [
            Member(bytes([10, 0, 0, n, 0, 1]), f"h{n}", "abc"[n % 3], ("x", 1), ("x", 2))
            for n in range(6)
        ]
        directory = directory_of(hosts)
        before = {id_: directory.owner_of(id_) for id_ in directory.targets}
        directory.remove_host(hosts[2].id)
        directory.add_host(msgspec.structs.replace(hosts[2], incarnation=1))
        assert {id_: directory.owner_of(id_) for id_ in directory.targets} == before
