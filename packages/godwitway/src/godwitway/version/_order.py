"""Rendezvous hashing: candidate targets of a flow, and the host that owns a target."""

from collections.abc import Sequence
from itertools import repeat
from typing import TypeVar

import xxhash

__all__ = [
    "CANDIDATE_COUNT",
    "hash_seed",
    "rank_targets",
    "rendezvous_score",
    "top_ranked_target",
    "top_scoring_node",
]

# The datagram header has one load and two flag bits for each candidate.
CANDIDATE_COUNT = 3

T = TypeVar("T")

rendezvous_score = xxhash.xxh3_64_intdigest


def hash_seed(data: bytes) -> int:
    """Return the hash seed of a node, which is the same on every host.

    Args:
        data: Bytes that identify the node, such as its packed address.

    >>> hash_seed(b"a") == hash_seed(b"a"), hash_seed(b"a") == hash_seed(b"b")
    (True, False)
    """
    return rendezvous_score(data)


def rank_targets(key: bytes, targets: Sequence[T], seeds: Sequence[int]) -> list[T]:
    """Return the targets in descending order of their score for a flow key.

    Adding or removing a target does not change the relative order of the others.

    Args:
        key: Flow key.
        targets: Targets to rank.
        seeds: Hash seed of each target, in the same order.
    """
    scored = sorted(
        ((rendezvous_score(key, seed), index) for index, seed in enumerate(seeds)),
        reverse=True,
    )
    return [targets[index] for _, index in scored]


def top_ranked_target(key: bytes, targets: Sequence[T], seeds: Sequence[int]) -> T | None:
    """Return the first target of `rank_targets` without sorting, or None without targets."""
    if not targets:
        return None
    scores = [rendezvous_score(key, seed) for seed in seeds]
    best = max(scores)
    # Of equal scores the last one, as in `rank_targets`.
    return targets[len(scores) - 1 - scores[::-1].index(best)]


def top_scoring_node(key: bytes, nodes: Sequence[T], seeds: Sequence[int]) -> tuple[T, int] | None:
    """Return the node with the highest score for a key and that score, or None without nodes.

    Of equal scores the first one wins.

    Args:
        key: Bytes to hash, such as a packed target address.
        nodes: Nodes to choose from.
        seeds: Hash seed of each node, in the same order.

    >>> top_scoring_node(b"t", [], [])
    """
    if not nodes:
        return None
    # A zone can have about a thousand hosts, so the loop runs in C.
    scores = list(map(rendezvous_score, repeat(key), seeds))
    best = max(scores)
    return nodes[scores.index(best)], best
