"""Divides the limit of new flows to a cold target among a few hosts of its zone.

Every host computes the division from the registered hosts, without agreement. One share stays
unused, so that a host whose view of the fleet differs by one host exceeds nothing.
"""

import math
from heapq import nlargest

import xxhash

from godwitway.addresses import Address, format_address

__all__ = ["NEVER_S", "ZoneView", "divide_limit"]

MAX_PLACERS = 4  # More hosts leave less of the limit unused, but each of them rarely has a flow.
NEVER_S = math.inf


def divide_limit(limit: float, hosts: int) -> tuple[int, int]:
    """Return how many hosts place flows on a cold target, and the share of each of them.

    The shares and an unused one of the same size fit into the limit. With enough hosts, the sum of
    the shares is the largest possible; of equal sums the one for more hosts is taken, which need a
    flow less often. A zone with fewer hosts uses all of them, even if fewer had a larger sum: one
    more host then adds at most one placer, so that shares of both divisions together fit into the
    limit. Limits of 15 would otherwise be exceeded while hosts learn of the fourth host of a zone.

    Args:
        limit: The largest number of flows in a second.
        hosts: The number of registered hosts of the target's zone.

    >>> [divide_limit(5.0, hosts) for hosts in (0, 1, 2, 27)]
    [(0, 0), (1, 2), (2, 1), (4, 1)]
    >>> divide_limit(1.5, 27)
    (4, 0)
    """

    def share_of(placers: int) -> int:
        return math.floor(limit / (placers + 1))

    best = max(
        range(1, MAX_PLACERS + 1), key=lambda placers: (placers * share_of(placers), placers)
    )
    placers = min(best, hosts)
    return placers, share_of(placers) if placers else 0


def rendezvous_weight(host: Address, target_id: str) -> tuple[int, Address]:
    """Return the sort key of a host for a target; the hosts with the largest ones place flows."""
    return xxhash.xxh32_intdigest(f"{format_address(host)} {target_id}".encode()), host


class ZoneView:
    """The registered hosts of a zone, as this host knew them for some time.

    Attributes:
        hosts: The addresses of the hosts.
        own_address: The address of this host.
        replaced_at: When this view was replaced by another one, `NEVER_S` before.
        ranks: This host's rank for each target that was asked for, by target id; None if it is not
            among the first `MAX_PLACERS`.
    """

    __slots__ = ("hosts", "own_address", "ranks", "replaced_at")

    def __init__(self, hosts: frozenset[Address], own_address: Address) -> None:
        self.hosts = hosts
        self.own_address = own_address
        self.replaced_at = NEVER_S
        self.ranks: dict[str, int | None] = {}

    def share_of(self, target_id: str, limit: float) -> int:
        """Return this host's share of the flows to a target, 0 if it places none there."""
        if self.own_address not in self.hosts:
            return 0
        placers, share = divide_limit(limit, len(self.hosts))
        rank = self.rank_for(target_id)
        return share if rank is not None and rank < placers else 0

    def rank_for(self, target_id: str) -> int | None:
        """Return this host's rank for a target, from 0; None if it is not among the first."""
        if target_id not in self.ranks:
            first = nlargest(
                MAX_PLACERS, self.hosts, key=lambda host: rendezvous_weight(host, target_id)
            )
            self.ranks[target_id] = (
                first.index(self.own_address) if self.own_address in first else None
            )
        return self.ranks[target_id]
