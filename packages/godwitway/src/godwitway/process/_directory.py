"""Which host owns each target, kept up to date one change at a time."""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

from godwitway.process._member import Member
from godwitway.version import Snapshot, Target, rendezvous_score, top_scoring_node

__all__ = ["Directory", "OwnerChange"]

SLICE_TARGETS = 200


@dataclass(slots=True, frozen=True)
class OwnerChange:
    """A target whose owner is another host than before.

    Attributes:
        target: The packed address of the target.
        old_owner: The earlier owner's id, or None.
        new_owner: The present owner's id, or None.
    """

    target: bytes
    old_owner: bytes | None
    new_owner: bytes | None


@dataclass(slots=True)
class Assignment:
    """The owner of one target, with its score.

    Attributes:
        owner: The owner's id, or None when no host is known.
        score: The owner's rendezvous score.
        fallback: Whether the owner is in another zone than the target.
    """

    owner: bytes | None
    score: int
    fallback: bool


class HostList:
    """The live hosts of a zone with their hash seeds, in order of their ids."""

    __slots__ = ("ids", "seeds")

    def __init__(self) -> None:
        self.ids: list[bytes] = []
        self.seeds: list[int] = []

    def add(self, member: Member) -> None:
        """Add a host."""
        position = bisect_left(self.ids, member.id)
        self.ids.insert(position, member.id)
        self.seeds.insert(position, member.hash_seed)

    def remove(self, host: bytes) -> None:
        """Remove a host."""
        position = self.ids.index(host)
        del self.ids[position], self.seeds[position]

    def best_host(self, key: bytes, excluded: bytes | None) -> tuple[bytes, int] | None:
        """Return the host with the highest score, optionally as if one were not there."""
        if excluded not in self.ids:
            return top_scoring_node(key, self.ids, self.seeds)
        position = self.ids.index(excluded)
        ids = self.ids[:position] + self.ids[position + 1 :]
        seeds = self.seeds[:position] + self.seeds[position + 1 :]
        return top_scoring_node(key, ids, seeds)


class Directory:
    """The owners of the targets of the snapshot in force.

    The owners of targets in the home zone, and in zones without a live host, are always worked
    out, since this host may be one of them; all others when they are asked for.

    Attributes:
        home: This host's availability zone.
        hosts: The hosts that may own targets, by id.
        assignments: The assignments that are worked out, by packed target address.
        targets: The targets of the snapshot, by packed address.
    """

    __slots__ = ("all_hosts", "assignments", "home", "hosts", "owned_by", "targets", "zones")

    def __init__(self, home: str) -> None:
        self.home = home
        self.hosts: dict[bytes, Member] = {}
        self.zones: defaultdict[str, HostList] = defaultdict(HostList)
        self.all_hosts = HostList()
        self.assignments: dict[bytes, Assignment] = {}
        self.owned_by: defaultdict[bytes | None, set[bytes]] = defaultdict(set)
        self.targets: dict[bytes, Target] = {}

    def owner_of(self, target: bytes) -> bytes | None:
        """Return the id of a target's owner, or None."""
        assignment = self.assignments.get(target)
        if assignment is None:
            known = self.targets.get(target)
            if known is None:
                return None
            self.assign(known, self.compute_assignment(known))
            assignment = self.assignments[target]
        return assignment.owner

    def is_fallback(self, target: bytes) -> bool:
        """Whether a target's own zone has no live host."""
        known = self.targets.get(target)
        return known is not None and not self.zones[known.zone].ids

    def is_eager(self, zone: str) -> bool:
        """Whether the owners of a zone's targets are always worked out."""
        return zone == self.home or not self.zones[zone].ids

    def compute_assignment(self, target: Target, excluded: bytes | None = None) -> Assignment:
        """Work out the owner of a target, optionally as if one host were not there."""
        local = self.zones[target.zone].best_host(target.id, excluded)
        found = local or self.all_hosts.best_host(target.id, excluded)
        if found is None:
            return Assignment(None, -1, True)
        return Assignment(found[0], found[1], local is None)

    def assign(self, target: Target, assignment: Assignment) -> list[OwnerChange]:
        """Put an assignment in place and return the change of owner, if any."""
        old = self.assignments.get(target.id)
        previous_owner = old.owner if old else None
        self.assignments[target.id] = assignment
        if previous_owner == assignment.owner and old is not None:
            return []
        self.owned_by[previous_owner].discard(target.id)
        self.owned_by[assignment.owner].add(target.id)
        return [OwnerChange(target.id, previous_owner, assignment.owner)]

    def add_host(self, member: Member) -> list[OwnerChange]:
        """Add a host and return the targets that it now owns."""
        known = member.id in self.hosts
        self.hosts[member.id] = member
        if known:
            return []
        self.zones[member.zone].add(member)
        self.all_hosts.add(member)
        changes = []
        for id_, assignment in list(self.assignments.items()):
            target = self.targets[id_]
            if assignment.fallback:
                changes += self.assign(target, self.compute_assignment(target))
            elif target.zone == member.zone:
                changes += self.challenge(target, assignment, member)
        return changes

    def challenge(
        self, target: Target, assignment: Assignment, member: Member
    ) -> list[OwnerChange]:
        """Let a new host of a target's zone take the target if it scores higher."""
        score = rendezvous_score(target.id, member.hash_seed)
        if score <= assignment.score:
            return []
        return self.assign(target, Assignment(member.id, score, False))

    def remove_host(self, host: bytes) -> list[OwnerChange]:
        """Remove a host and return the targets that it owned, with their new owners."""
        member = self.hosts.pop(host, None)
        if member is None:
            return []
        self.zones[member.zone].remove(host)
        self.all_hosts.remove(host)
        affected = set(self.owned_by[host])
        if not self.zones[member.zone].ids:
            affected |= {id_ for id_, item in self.targets.items() if item.zone == member.zone}
        return self.reassign(self.targets[target] for target in sorted(affected))

    def apply_snapshot(self, snapshot: Snapshot) -> list[OwnerChange]:
        """Take over the targets of a snapshot and return the changes of owner."""
        return list(chain.from_iterable(self.apply_snapshot_in_slices(snapshot)))

    def apply_snapshot_in_slices(self, snapshot: Snapshot) -> Iterator[list[OwnerChange]]:
        """Take over the targets of a snapshot and yield the changes of owner bit by bit."""
        before = self.targets
        self.targets = {id_: target for id_, (_, target) in snapshot.targets_by_id.items()}
        for target in sorted(before.keys() - self.targets.keys()):
            assignment = self.assignments.pop(target, None)
            if assignment is not None:
                self.owned_by[assignment.owner].discard(target)
                yield [OwnerChange(target, assignment.owner, None)]
        wanted = [
            target
            for id_, target in self.targets.items()
            if (id_ not in before or before[id_].zone != target.zone)
            and (self.is_eager(target.zone) or id_ in self.assignments)
        ]
        for start in range(0, len(wanted), SLICE_TARGETS):
            yield self.reassign(wanted[start : start + SLICE_TARGETS])

    def reassign(self, targets: Iterable[Target]) -> list[OwnerChange]:
        """Work out the owners of some targets anew and return the changes."""
        return [
            change
            for target in targets
            for change in self.assign(target, self.compute_assignment(target))
        ]
