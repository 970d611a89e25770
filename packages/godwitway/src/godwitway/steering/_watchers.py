"""Which hosts of a zone watch the store for the others."""

from collections.abc import Iterable

from godwitway.steering._loads import PeerLoads

__all__ = ["watches"]

PEER_FRESH_S = 0.8  # Hosts are heard at least twice a second.


def watches(
    boot: int,
    reaches_store: bool,
    zone: int,
    peers: Iterable[PeerLoads],
    now: float,
    watchers: int,
) -> bool:
    """Whether a host watches the store for its zone.

    Hosts that reach the store come first, then those with the lowest random number. No agreement
    is needed: two hosts with different pictures cost a call or a little time, never a change,
    since each host compares its revision with what the others report.

    Args:
        boot: The random number of the host's process.
        reaches_store: Whether its last call of the store was answered.
        zone: The code of its zone.
        peers: The other hosts that it knows.
        now: The time in seconds.
        watchers: How many hosts of a zone watch.
    """
    own = (not reaches_store, boot)
    before = sum(
        (not peer.reaches_store, peer.boot) < own
        for peer in peers
        if peer.zone == zone and peer.alive(now, PEER_FRESH_S)
    )
    return before < watchers
