"""Which hosts of a zone watch the store for the others, and which pass its changes on."""

from collections.abc import Iterable

from godwitway.addresses import Address
from godwitway.steering._loads import PEER_FRESH_S, PeerState

__all__ = ["is_elected"]


def is_elected(
    rank: tuple[int, Address],
    reaches_store: bool,
    peers: Iterable[PeerState],
    now: float,
    wanted: int,
) -> bool:
    """Whether a host is one of the first of some hosts.

    Hosts that reach the store come first, then those with the lowest rank. No agreement is
    needed: two hosts with different pictures cost a call or a little time, never a change, since
    each host compares its revision with what the others report.

    Args:
        rank: The host's place in the order of its zone.
        reaches_store: Whether its last call of the store was answered.
        peers: The other hosts of the zone, or of a group, that it knows.
        now: The time in seconds.
        wanted: How many hosts are to be chosen.
    """
    own = (not reaches_store, rank)
    before = sum(
        (not peer.reaches_store, peer.rank) < own
        for peer in peers
        if peer.is_alive(now, PEER_FRESH_S)
    )
    return before < wanted
