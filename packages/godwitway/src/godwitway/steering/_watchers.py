"""The election of the hosts that watch the store, and of those that relay changes to a group."""

import random
from collections.abc import Iterable

from godwitway.addresses import Address
from godwitway.steering._loads import PEER_FRESH_S, PeerState

__all__ = ["StoreRetry", "is_elected"]

MIN_RETRY_INTERVAL_S = 2.0  # Half of the time that the platform allows hosts after an outage.
MAX_RETRIES_PER_S = 4.0  # Of all hosts that report to each other.


def is_elected(
    own_rank: tuple[int, Address],
    reaches_store: bool,
    peers: Iterable[PeerState],
    now: float,
    count: int,
) -> bool:
    """Whether this host is one of the `count` hosts that are elected from itself and its peers.

    Hosts that reach the store precede those that do not, and among these the lower rank wins.
    Each host evaluates this by itself. Hosts with different views of their peers may elect too
    many or too few; that costs a store call or a short delay but loses no change, because every
    host compares its revision with the revisions that the others report.

    Args:
        own_rank: This host's rank.
        reaches_store: Whether this host's last store call was answered.
        peers: The other hosts of the zone or the group. Those without a report within
            `PEER_FRESH_S` are left out.
        now: The current time in seconds.
        count: The number of hosts to elect.
    """
    own_order = (not reaches_store, own_rank)
    preceding = sum(
        (not peer.reaches_store, peer.rank) < own_order
        for peer in peers
        if peer.is_alive(now, PEER_FRESH_S)
    )
    return preceding < count


class StoreRetry:
    """When a host that did not reach the store tries it again although others precede it.

    If no host is known to reach the store, those with the lowest ranks are elected. They may be cut
    off from a store that answers others, and these would never find out.

    Attributes:
        rng: The process's source of random numbers.
        due_at: When to try again, in seconds of the process's clock.
    """

    __slots__ = ("due_at", "rng")

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.due_at = 0.0

    def schedule(self, peers: Iterable[PeerState], now: float) -> None:
        """Set the time of the next try after a call that was not answered."""
        hosts = 1 + sum(peer.is_alive(now) for peer in peers)
        interval_s = max(MIN_RETRY_INTERVAL_S, hosts / MAX_RETRIES_PER_S)
        self.due_at = now + interval_s * self.rng.uniform(0.5, 1.5)

    def is_due(self, peers: Iterable[PeerState], now: float) -> bool:
        """Whether to try again: it is time, and no other host reports that it reaches the store."""
        return now >= self.due_at and not any(
            peer.reaches_store and peer.is_alive(now, PEER_FRESH_S) for peer in peers
        )
