"""Tests of which hosts watch the store."""

import itertools

from godwitway.steering._loads import PEER_FRESH_S, PeerState
from godwitway.steering._watchers import is_elected

NOW = 50.0


def build_peer(rank: int, reaches_store: bool = True, age_s: float = 0.1):
    """Return a peer that was heard some time ago."""
    peer = PeerState((f"10.0.0.{rank}", 7))
    peer.rank = (rank, peer.address)
    peer.reaches_store = reaches_store
    peer.last_report_at = NOW - age_s
    return peer


def watching(hosts: list[PeerState]) -> list[int]:
    """Return the ranks of the hosts that find that they watch."""
    return [
        host.rank[0]
        for host in hosts
        if is_elected(
            host.rank, host.reaches_store, [peer for peer in hosts if peer is not host], NOW, 2
        )
    ]


class TestWatches:
    """The choice that each host makes for itself."""

    def test_a_host_alone_watches(self):
        """Nobody else tells it of changes."""
        assert is_elected((5, ("10.0.0.5", 7)), True, [], NOW, 1)

    def test_hosts_with_the_same_picture_choose_the_same(self):
        """Calls of the store grow with zones, not with hosts."""
        assert watching([build_peer(rank) for rank in range(1, 20)]) == [1, 2]

    def test_hosts_that_do_not_reach_the_store_are_replaced(self):
        """The next ones take over."""
        hosts = [build_peer(1, reaches_store=False), *(build_peer(n) for n in (2, 3, 4))]
        assert watching(hosts) == [2, 3]

    def test_silent_hosts_are_replaced(self):
        """A host that died is not heard any more."""
        peers = [build_peer(rank, age_s=2 * PEER_FRESH_S) for rank in (1, 2)]
        assert is_elected((3, ("10.0.0.3", 7)), True, peers, NOW, 2)

    def test_some_host_always_watches_that_can(self):
        """Whatever reaches the store: of every set of hosts, as many as possible watch and can."""
        for size in range(1, 5):
            for reach in itertools.product([True, False], repeat=size):
                hosts = [build_peer(n + 1, reaches) for n, reaches in enumerate(reach)]
                chosen = watching(hosts)
                assert len(chosen) == min(2, size)
                able = sum(hosts[rank - 1].reaches_store for rank in chosen)
                assert able == min(2, sum(reach))
