"""Divides the hosts of a large availability zone, and the zone's targets, into groups.

Hosts report their loads only within their group, and prefer their group's block of each service's
targets for new flows, so the traffic between hosts does not grow with the zone. The division needs
no agreement: each host computes it from the registered hosts. A host that computes it from another
set of hosts only places its flows a little less precisely.
"""

from collections.abc import Iterable, Iterator
from itertools import chain

import xxhash

from godwitway.addresses import Address, format_address
from godwitway.steering._model import Target

__all__ = ["Candidates", "ZoneGroups", "block_slice", "group_count", "rank_of"]

GROUP_MAX_HOSTS = 24  # Ten reports a second of 130 bytes to 24 hosts take 31 KB/s.
# Two thirds of a group's size after a division, so that losing a few hosts does not undo it.
GROUP_MIN_HOSTS = 8
BLOCK_MIN_TARGETS = 4  # With fewer, the loss of one target leaves too few to choose from.


def rank_of(address: Address) -> tuple[int, Address]:
    """Return the sort key of a host within its zone; it is the same on all hosts."""
    return xxhash.xxh32_intdigest(format_address(address).encode()), address


def group_count(hosts: int, current: int) -> int:
    """Return the number of groups for a number of hosts.

    The number is doubled or halved, starting from the current one, until the size of the groups is
    within its limits; a current power of two stays one. Starting from the current number avoids
    changes back and forth when a few hosts join or leave.

    Args:
        hosts: The number of hosts in the zone.
        current: The current number of groups.

    >>> [group_count(hosts, 1) for hosts in (1, 24, 25, 100, 950)]
    [1, 1, 2, 8, 64]
    >>> [group_count(hosts, 8) for hosts in (100, 64, 63, 3)]
    [8, 8, 4, 1]
    """
    while hosts > GROUP_MAX_HOSTS * current:
        current *= 2
    while current > 1 and hosts < GROUP_MIN_HOSTS * current:
        current //= 2
    return current


def block_slice(length: int, index: int, count: int) -> slice:
    """Return the slice of one block of a sequence that is divided as evenly as possible.

    Args:
        length: The length of the sequence.
        index: The index of the block, from 0.
        count: The number of blocks.

    >>> [block_slice(10, index, 4) for index in range(4)]
    [slice(0, 2, None), slice(2, 5, None), slice(5, 7, None), slice(7, 10, None)]
    """
    return slice(index * length // count, (index + 1) * length // count)


class Candidates:
    """The targets of a service, split by a host's preference for them.

    Attributes:
        preferred: The targets of the host's zone, or of its group's block in it.
        other_groups: The other targets of the host's zone.
        other_zones: The targets of other zones.
        max_other_slots: The largest number of slots of a target that is not preferred, or 1.
        load_scale: The factor by which the known load of a target is multiplied to estimate its
            total load; derived for the preferred targets.
    """

    __slots__ = ("load_scale", "max_other_slots", "other_groups", "other_zones", "preferred")

    def __init__(
        self, preferred: list[Target], other_groups: list[Target], other_zones: list[Target]
    ):
        self.preferred = preferred
        self.other_groups = other_groups
        self.other_zones = other_zones
        self.max_other_slots = max(
            (target.slots for target in [*other_groups, *other_zones]), default=1
        )
        self.load_scale = 1.0

    def all_targets(self) -> Iterator[Target]:
        """Return all targets of the service, in the order of preference."""
        return chain(self.preferred, self.other_groups, self.other_zones)

    def are_all_preferred(self) -> bool:
        """Whether there are no targets of other groups or zones."""
        return not self.other_groups and not self.other_zones


class ZoneGroups:
    """The division of one zone into groups, as computed by one of its hosts.

    Attributes:
        own_address: The address of this host.
        count: The number of groups.
        index: The index of this host's group, from 0.
        members: The addresses of the other hosts of this host's group.
        other_leaders: The addresses of the leaders of the other groups, which pass on changes of
            the store.
        share: The share of the zone's hosts that are in this host's group, from 0 to 1.
        generation: A number that increases with each call of `divide`.
    """

    __slots__ = ("count", "generation", "index", "members", "other_leaders", "own_address", "share")

    def __init__(self, own_address: Address) -> None:
        self.own_address = own_address
        self.count = 1
        self.index = 0
        self.members: frozenset[Address] = frozenset()
        self.other_leaders: tuple[Address, ...] = ()
        self.share = 1.0
        self.generation = 0

    def divide(self, others: Iterable[Address], leaders_per_group: int, undivided: bool) -> None:
        """Compute the groups from the current hosts of the zone.

        Args:
            others: The addresses of the zone's other hosts.
            leaders_per_group: How many hosts of each group pass on changes of the store.
            undivided: Whether to keep all hosts in one group.
        """
        hosts = sorted([self.own_address, *others], key=rank_of)
        self.count = 1 if undivided else group_count(len(hosts), self.count)
        groups = [hosts[block_slice(len(hosts), index, self.count)] for index in range(self.count)]
        self.index = next(index for index, group in enumerate(groups) if self.own_address in group)
        self.members = frozenset(groups[self.index]) - {self.own_address}
        self.other_leaders = tuple(
            host
            for index, group in enumerate(groups)
            if index != self.index
            for host in group[:leaders_per_group]
        )
        self.share = (len(self.members) + 1) / len(hosts)
        self.generation += 1

    def select_candidates(self, targets: list[Target], zone: str) -> Candidates:
        """Split a service's targets by this host's preference.

        Several groups share a block if there are too few targets for one block each.

        Args:
            targets: The service's targets.
            zone: This host's availability zone.
        """
        in_own_zone = [target for target in targets if target.zone == zone]
        elsewhere = [target for target in targets if target.zone != zone]
        blocks = self.count
        while blocks > 1 and len(in_own_zone) < BLOCK_MIN_TARGETS * blocks:
            blocks //= 2
        if blocks == 1:
            chosen = Candidates(in_own_zone, [], elsewhere)
        else:
            in_own_zone.sort(key=lambda target: target.token)
            own = block_slice(len(in_own_zone), self.index * blocks // self.count, blocks)
            others = in_own_zone[: own.start] + in_own_zone[own.stop :]
            chosen = Candidates(in_own_zone[own], others, elsewhere)
        chosen.load_scale = 1.0 / (self.share * blocks)
        return chosen
