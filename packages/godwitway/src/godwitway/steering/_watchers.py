"""The election of the hosts that watch the store, and of those that relay changes to a group."""

from collections.abc import Iterable

from godwitway.addresses import Address
from godwitway.steering._loads import PEER_FRESH_S, PeerState

__all__ = ["is_elected"]


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
