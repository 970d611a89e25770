"""Tests of target ownership by rendezvous hashing."""

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
    """Return a directory with the targets of three zones and some hosts."""
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
    def test_order_of_updates_does_not_matter(self, hosts, rng):
        """Directories that added the same hosts in different orders agree on every owner."""
        shuffled = list(hosts)
        rng.shuffle(shuffled)
        first, second = directory_of(hosts), directory_of(shuffled)
        owners = {id_: first.owner_of(id_) for id_ in first.targets}
        assert owners == {id_: second.owner_of(id_) for id_ in second.targets}

    @seed(8)
    @settings(max_examples=100, deadline=None, database=None)
    @given(unique_members)
    def test_removed_host_affects_only_its_own_targets(self, hosts):
        """Removing a host moves only the targets that it owned, and each gets a new owner."""
        directory = directory_of(hosts)
        before = {id_: directory.owner_of(id_) for id_ in directory.targets}
        removed = hosts[0].id
        changes = directory.remove_host(removed)
        assert all(change.old_owner == removed for change in changes)
        assert {change.target for change in changes} == {
            id_ for id_, owner in before.items() if owner == removed
        }
        if len(hosts) > 1:
            assert all(directory.owner_of(id_) not in (None, removed) for id_ in directory.targets)

    @seed(9)
    @settings(max_examples=100, deadline=None, database=None)
    @given(unique_members)
    def test_owner_is_in_the_zone_of_its_target(self, hosts):
        """A target's owner is in the target's zone as long as that zone has a host."""
        directory = directory_of(hosts)
        zones = {host.zone for host in hosts}
        by_id = {host.id: host for host in hosts}
        for target in directory.targets.values():
            owner = by_id[directory.owner_of(target.id)]
            assert (owner.zone == target.zone) == (target.zone in zones)
            assert directory.zone_has_no_hosts(target.id) == (target.zone not in zones)

    def test_returning_host_restores_every_owner(self):
        """A host that is removed and added again owns the same targets as before."""
        hosts = [
            Member(bytes([10, 0, 0, n, 0, 1]), f"h{n}", "abc"[n % 3], ("x", 1), ("x", 2))
            for n in range(6)
        ]
        directory = directory_of(hosts)
        before = {id_: directory.owner_of(id_) for id_ in directory.targets}
        directory.remove_host(hosts[2].id)
        directory.add_host(msgspec.structs.replace(hosts[2], incarnation=1))
        assert {id_: directory.owner_of(id_) for id_ in directory.targets} == before
