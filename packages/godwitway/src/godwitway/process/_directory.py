"""Which host owns each target, kept up to date one change at a time."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from godwitway.process._member import Member
from godwitway.version import Snapshot, Target, highest, score_of

__all__ = ["Directory", "OwnerChange"]


@dataclass(slots=True, frozen=True)
class OwnerChange:
    """A target whose owner is another host than before.

    Attributes:
        target: The packed address of the target.
        old: The earlier owner's id, or None.
        new: The present owner's id, or None.
    """

    target: bytes
    old: bytes | None
    new: bytes | None


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


class Directory:
    """The owners of all targets of the snapshot in force.

    Attributes:
        hosts: The hosts that may own targets, by id.
        assignments: The assignment of each target.
        targets: The targets of the snapshot.
    """

    __slots__ = ("assignments", "hosts", "owned_by", "seeds", "targets", "zones")

    def __init__(self) -> None:
        self.hosts: dict[bytes, Member] = {}
        self.seeds: dict[bytes, int] = {}
        self.zones: defaultdict[str, set[bytes]] = defaultdict(set)
        self.assignments: dict[bytes, Assignment] = {}
        self.owned_by: defaultdict[bytes | None, set[bytes]] = defaultdict(set)
        self.targets: dict[bytes, Target] = {}

    def owner_of(self, target: bytes) -> bytes | None:
        """Return the id of a target's owner, or None."""
        assignment = self.assignments.get(target)
        return assignment.owner if assignment else None

    def is_fallback(self, target: bytes) -> bool:
        """Whether a target's own zone has no live host."""
        assignment = self.assignments.get(target)
        return assignment is not None and assignment.fallback

    def best(self, target: Target, without: bytes | None = None) -> Assignment:
        """Work out the owner of a target, optionally as if one host were not there."""
        local = self.zones[target.zone] - {without}
        chosen = local or (self.hosts.keys() - {without})
        best = highest(target.id, [(host, self.seeds[host]) for host in chosen])
        if best is None:
            return Assignment(None, -1, True)
        return Assignment(best[0], best[1], not local)

    def assign(self, target: Target, assignment: Assignment) -> list[OwnerChange]:
        """Put an assignment in place and return the change of owner, if any."""
        old = self.assignments.get(target.id)
        old_owner = old.owner if old else None
        self.assignments[target.id] = assignment
        if old_owner == assignment.owner and old is not None:
            return []
        self.owned_by[old_owner].discard(target.id)
        self.owned_by[assignment.owner].add(target.id)
        return [OwnerChange(target.id, old_owner, assignment.owner)]

    def add_host(self, member: Member) -> list[OwnerChange]:
        """Add a host and return the targets that it now owns."""
        if member.id in self.hosts:
            self.hosts[member.id] = member
            return []
        self.hosts[member.id] = member
        self.seeds[member.id] = member.seed
        self.zones[member.zone].add(member.id)
        changes = []
        for target in self.targets.values():
            assignment = self.assignments[target.id]
            if assignment.fallback:
                changes += self.assign(target, self.best(target))
            elif target.zone == member.zone:
                changes += self.challenge(target, assignment, member.id)
        return changes

    def challenge(self, target: Target, assignment: Assignment, host: bytes) -> list[OwnerChange]:
        """Let a new host of a target's zone take the target if it scores higher."""
        score = score_of(target.id, self.seeds[host])
        if (score, host) <= (assignment.score, assignment.owner or b""):
            return []
        return self.assign(target, Assignment(host, score, False))

    def remove_host(self, host: bytes) -> list[OwnerChange]:
        """Remove a host and return the targets that it owned, with their new owners."""
        member = self.hosts.pop(host, None)
        if member is None:
            return []
        self.zones[member.zone].discard(host)
        affected = [self.targets[target] for target in sorted(self.owned_by[host])]
        return self.reassign(affected)

    def apply(self, snapshot: Snapshot) -> list[OwnerChange]:
        """Take over the targets of a snapshot and return the changes of owner."""
        before = self.targets
        self.targets = {id_: target for id_, (_, target) in snapshot.targets.items()}
        changes = []
        for target in sorted(before.keys() - self.targets.keys()):
            assignment = self.assignments.pop(target)
            self.owned_by[assignment.owner].discard(target)
            changes.append(OwnerChange(target, assignment.owner, None))
        moved = [
            target
            for id_, target in self.targets.items()
            if id_ not in before or before[id_].zone != target.zone
        ]
        return changes + self.reassign(moved)

    def reassign(self, targets: Iterable[Target]) -> list[OwnerChange]:
        """Work out the owners of some targets anew and return the changes."""
        return [change for target in targets for change in self.assign(target, self.best(target))]
