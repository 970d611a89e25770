"""How the hosts of a large availability zone divide themselves and its targets.

Hosts tell each other their loads only within a group, and place new flows only on their group's
block of each service's targets, so what a host sends and hears does not grow with its zone. Nothing
is agreed upon: each host works the division out from the hosts that are registered, and a host with
another picture costs a little precision.
"""

from collections.abc import Iterable

import xxhash

from godwitway.addresses import Address, format_address
from godwitway.steering._model import Target

__all__ = ["Candidates", "ZoneGroups", "block", "group_count", "rank_of"]

GROUP_MAX = 24  # Hosts; ten reports a second of 130 bytes to as many take 31 KB/s.
GROUP_MIN = 8  # Two thirds of what a division leaves, so that few hosts do not undo one.
BLOCK_MIN = 4  # Targets; with fewer, one that dies leaves too little to choose from.


def rank_of(address: Address) -> tuple[int, Address]:
    """Return a host's place in the order of its zone, the same at all hosts."""
    return xxhash.xxh32_intdigest(format_address(address).encode()), address


def group_count(hosts: int, present: int) -> int:
    """Return into how many groups some hosts fall, a power of two, given the present number.

    >>> [group_count(hosts, 1) for hosts in (1, 24, 25, 100, 950)]
    [1, 1, 2, 8, 64]
    >>> [group_count(hosts, 8) for hosts in (100, 64, 63, 3)]
    [8, 8, 4, 1]
    """
    while hosts > GROUP_MAX * present:
        present *= 2
    while present > 1 and hosts < GROUP_MIN * present:
        present //= 2
    return present


def block(length: int, index: int, count: int) -> slice:
    """Return a block of a sequence that is divided as evenly as possible.

    >>> [block(10, index, 4) for index in range(4)]
    [slice(0, 2, None), slice(2, 5, None), slice(5, 7, None), slice(7, 10, None)]
    """
    return slice(index * length // count, (index + 1) * length // count)


class Candidates:
    """The targets of a service as a host prefers them.

    Attributes:
        near: The targets of the own zone, or of the own group's block there.
        other_groups: The zone's other targets.
        other_zones: The targets of other zones.
        most_slots: The most slots that one of the others has.
        factor: How many times the load that a host knows of a near target the whole load is.
    """

    __slots__ = ("factor", "most_slots", "near", "other_groups", "other_zones")

    def __init__(self, near: list[Target], other_groups: list[Target], other_zones: list[Target]):
        self.near = near
        self.other_groups = other_groups
        self.other_zones = other_zones
        self.most_slots = max((target.slots for target in [*other_groups, *other_zones]), default=1)
        self.factor = 1.0


class ZoneGroups:
    """The groups of one zone as one of its hosts sees them.

    Attributes:
        own: The address of this host.
        count: How many groups there are.
        index: Which one this host is in.
        members: The other hosts of the own group.
        other_leaders: The first hosts of each other group, which pass changes of the store on.
        share: What part of the zone's hosts is in the own group.
        generation: Rises whenever the division changes.
    """

    __slots__ = ("count", "generation", "index", "members", "other_leaders", "own", "share")

    def __init__(self, own: Address) -> None:
        self.own = own
        self.count = 1
        self.index = 0
        self.members: frozenset[Address] = frozenset()
        self.other_leaders: tuple[Address, ...] = ()
        self.share = 1.0
        self.generation = 0

    def divide(self, others: Iterable[Address], leaders: int, whole: bool) -> None:
        """Divide the zone anew.

        Args:
            others: The other hosts of the zone.
            leaders: How many hosts of a group pass changes on.
            whole: Whether all hosts are to stay in one group.
        """
        hosts = sorted([self.own, *others], key=rank_of)
        self.count = 1 if whole else group_count(len(hosts), self.count)
        groups = [hosts[block(len(hosts), index, self.count)] for index in range(self.count)]
        self.index = next(index for index, group in enumerate(groups) if self.own in group)
        self.members = frozenset(groups[self.index]) - {self.own}
        self.other_leaders = tuple(
            host
            for index, group in enumerate(groups)
            if index != self.index
            for host in group[:leaders]
        )
        self.share = (len(self.members) + 1) / len(hosts)
        self.generation += 1

    def candidates(self, targets: list[Target], zone: str) -> Candidates:
        """Return a service's targets as this host prefers them.

        Groups share a block where there are too few targets for one each.
        """
        zonal = [target for target in targets if target.zone == zone]
        elsewhere = [target for target in targets if target.zone != zone]
        blocks = self.count
        while blocks > 1 and len(zonal) < BLOCK_MIN * blocks:
            blocks //= 2
        if blocks == 1:
            chosen = Candidates(zonal, [], elsewhere)
        else:
            zonal.sort(key=lambda target: target.token)
            own = block(len(zonal), self.index * blocks // self.count, blocks)
            others = zonal[: own.start] + zonal[own.stop :]
            chosen = Candidates(zonal[own], others, elsewhere)
        chosen.factor = 1.0 / (self.share * blocks)
        return chosen
