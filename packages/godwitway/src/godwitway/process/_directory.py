"""The owner of each target by rendezvous hashing, updated incrementally as hosts come and go."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from godwitway.process._member import Member
from godwitway.version import Snapshot, Target, rendezvous_score, top_scoring_node

__all__ = ["Directory", "OwnerChange"]

TARGETS_PER_SLICE = 200


@dataclass(slots=True, frozen=True)
class OwnerChange:
    """A change of the host that owns a target.

    Attributes:
        target: The packed address of the target.
        old_owner: The id of the owner before the change, or None if there was none.
        new_owner: The id of the owner after the change, or None if there is none.
    """

    target: bytes
    old_owner: bytes | None
    new_owner: bytes | None


@dataclass(slots=True)
class Assignment:
    """The computed owner of one target.

    Attributes:
        owner: The owner's id, or None if no host is available.
        score: The owner's rendezvous score for the target; -1 without an owner.
        is_fallback: Whether the target's own zone had no host, so that all zones count.
    """

    owner: bytes | None
    score: int
    is_fallback: bool


class HostList:
    """Hosts with their hash seeds as two parallel lists, sorted by host id.

    Attributes:
        ids: The ids of the hosts.
        seeds: The hash seeds of the hosts, in the order of `ids`.
    """

    __slots__ = ("ids", "seeds")

    def __init__(self) -> None:
        self.ids: list[bytes] = []
        self.seeds: list[int] = []

    def add(self, member: Member) -> None:
        """Insert a host that is not in the list."""
        position = bisect_left(self.ids, member.id)
        self.ids.insert(position, member.id)
        self.seeds.insert(position, member.rendezvous_seed)

    def remove(self, host: bytes) -> None:
        """Remove a host by its id.

        Raises:
            ValueError: If the host is not in the list.
        """
        position = self.ids.index(host)
        del self.ids[position], self.seeds[position]

    def best_host(self, key: bytes, excluded: bytes | None) -> tuple[bytes, int] | None:
        """Return the id and the score of the host with the highest score for a key, or None.

        Args:
            key: The packed address of the target.
            excluded: The id of a host to leave out, or None.
        """
        if excluded not in self.ids:
            return top_scoring_node(key, self.ids, self.seeds)
        position = self.ids.index(excluded)
        ids = self.ids[:position] + self.ids[position + 1 :]
        seeds = self.seeds[:position] + self.seeds[position + 1 :]
        return top_scoring_node(key, ids, seeds)


class Directory:
    """The owners of the targets of the snapshot in force.

    A target is owned by the host of its zone with the highest rendezvous score, or by the host
    with the highest score in any zone if its own zone has no host. Owners of targets in the home
    zone, and in zones without a host, are always kept computed, since this host may be one of
    them. All other owners are computed when they are first looked up.

    Attributes:
        home_zone: This host's availability zone.
        hosts: The hosts that may own targets, by id.
        hosts_by_zone: The same hosts by availability zone.
        all_hosts: The same hosts in one list, for targets whose zone has no host.
        assignments: The computed assignments, by packed target address.
        targets_by_owner: Packed addresses of assigned targets by owner id; None if unowned.
        targets: The targets of the snapshot, by packed address.
    """

    __slots__ = (
        "all_hosts",
        "assignments",
        "home_zone",
        "hosts",
        "hosts_by_zone",
        "targets",
        "targets_by_owner",
    )

    def __init__(self, home_zone: str) -> None:
        self.home_zone = home_zone
        self.hosts: dict[bytes, Member] = {}
        self.hosts_by_zone: defaultdict[str, HostList] = defaultdict(HostList)
        self.all_hosts = HostList()
        self.assignments: dict[bytes, Assignment] = {}
        self.targets_by_owner: defaultdict[bytes | None, set[bytes]] = defaultdict(set)
        self.targets: dict[bytes, Target] = {}

    def owner_of(self, target: bytes) -> bytes | None:
        """Return the id of a target's owner, or None for an unknown target or without any host.

        Computes and stores the assignment if it is not there yet.
        """
        assignment = self.assignments.get(target)
        if assignment is None:
            known = self.targets.get(target)
            if known is None:
                return None
            self.set_assignment(known, self.compute_assignment(known))
            assignment = self.assignments[target]
        return assignment.owner

    def zone_has_no_hosts(self, target: bytes) -> bool:
        """Return whether a target's own zone has no host; False for an unknown target."""
        known = self.targets.get(target)
        return known is not None and not self.hosts_by_zone[known.zone].ids

    def is_always_assigned(self, zone: str) -> bool:
        """Return whether the owners of a zone's targets are always kept computed."""
        return zone == self.home_zone or not self.hosts_by_zone[zone].ids

    def compute_assignment(self, target: Target, excluded: bytes | None = None) -> Assignment:
        """Return the assignment of a target without storing it.

        Args:
            target: The target.
            excluded: The id of a host to leave out, or None.
        """
        local = self.hosts_by_zone[target.zone].best_host(target.id, excluded)
        found = local or self.all_hosts.best_host(target.id, excluded)
        if found is None:
            return Assignment(None, -1, True)
        return Assignment(found[0], found[1], local is None)

    def set_assignment(self, target: Target, assignment: Assignment) -> list[OwnerChange]:
        """Store an assignment and return the change of owner, or an empty list.

        A target's first assignment counts as a change, also if it has no owner.
        """
        old = self.assignments.get(target.id)
        previous_owner = old.owner if old else None
        self.assignments[target.id] = assignment
        if previous_owner == assignment.owner and old is not None:
            return []
        self.targets_by_owner[previous_owner].discard(target.id)
        self.targets_by_owner[assignment.owner].add(target.id)
        return [OwnerChange(target.id, previous_owner, assignment.owner)]

    def add_host(self, member: Member) -> list[OwnerChange]:
        """Add a host and return the changes of owner that follow.

        For a host that is already there, only its record is replaced and the list is empty.
        """
        known = member.id in self.hosts
        self.hosts[member.id] = member
        if known:
            return []
        self.hosts_by_zone[member.zone].add(member)
        self.all_hosts.add(member)
        changes = []
        for id_, assignment in list(self.assignments.items()):
            target = self.targets[id_]
            if assignment.is_fallback:
                changes += self.set_assignment(target, self.compute_assignment(target))
            elif target.zone == member.zone:
                changes += self.assign_if_higher_score(target, assignment, member)
        return changes

    def assign_if_higher_score(
        self, target: Target, assignment: Assignment, member: Member
    ) -> list[OwnerChange]:
        """Assign a target to a new host of its zone if that host has the higher score."""
        score = rendezvous_score(target.id, member.rendezvous_seed)
        if score <= assignment.score:
            return []
        return self.set_assignment(target, Assignment(member.id, score, False))

    def remove_host(self, host: bytes) -> list[OwnerChange]:
        """Remove a host and return the changes of owner that follow; empty for an unknown host."""
        member = self.hosts.pop(host, None)
        if member is None:
            return []
        self.hosts_by_zone[member.zone].remove(host)
        self.all_hosts.remove(host)
        affected = set(self.targets_by_owner[host])
        if not self.hosts_by_zone[member.zone].ids:
            affected |= {id_ for id_, item in self.targets.items() if item.zone == member.zone}
        return self.recompute_owners(self.targets[target] for target in sorted(affected))

    def apply_snapshot(self, snapshot: Snapshot) -> list[OwnerChange]:
        """Replace the targets by those of a snapshot and return the changes of owner."""
        return list(chain.from_iterable(self.apply_snapshot_in_slices(snapshot)))

    def apply_snapshot_in_slices(self, snapshot: Snapshot) -> Iterator[list[OwnerChange]]:
        """Replace the targets by those of a snapshot, yielding changes of owner in small lists.

        At most `TARGETS_PER_SLICE` owners are computed between two yields, so that a caller on the
        event loop can let other tasks run. The new targets apply from the first step on; all
        owners are up to date only after the last one.
        """
        before = self.targets
        self.targets = {id_: target for id_, (_, target) in snapshot.targets_by_id.items()}
        for target in sorted(before.keys() - self.targets.keys()):
            assignment = self.assignments.pop(target, None)
            if assignment is not None:
                self.targets_by_owner[assignment.owner].discard(target)
                yield [OwnerChange(target, assignment.owner, None)]
        to_assign = [
            target
            for id_, target in self.targets.items()
            if (id_ not in before or before[id_].zone != target.zone)
            and (self.is_always_assigned(target.zone) or id_ in self.assignments)
        ]
        for start in range(0, len(to_assign), TARGETS_PER_SLICE):
            yield self.recompute_owners(to_assign[start : start + TARGETS_PER_SLICE])

    def recompute_owners(self, targets: Iterable[Target]) -> list[OwnerChange]:
        """Recompute and store the owners of some targets and return the changes."""
        return [
            change
            for target in targets
            for change in self.set_assignment(target, self.compute_assignment(target))
        ]
