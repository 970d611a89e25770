"""Rendezvous hashing: the order of a flow's candidate targets and the owner of a target."""

from collections.abc import Sequence
from itertools import repeat
from typing import TypeVar

import xxhash

__all__ = ["CANDIDATES", "first_in_order", "highest", "score_of", "seed_of", "targets_in_order"]

CANDIDATES = 3

T = TypeVar("T")

score_of = xxhash.xxh3_64_intdigest


def seed_of(name: bytes) -> int:
    """Return the stable hash seed of a named node.

    >>> seed_of(b"a") == seed_of(b"a")
    True
    """
    return score_of(name)


def targets_in_order(key: bytes, targets: Sequence[T], seeds: Sequence[int]) -> list[T]:
    """Return the targets in descending order of their score for a flow key.

    Args:
        key: The flow key.
        targets: The targets.
        seeds: One hash seed for each target, in the same order.
    """
    scored = sorted(
        ((score_of(key, seed), index) for index, seed in enumerate(seeds)),
        reverse=True,
    )
    return [targets[index] for _, index in scored]


def first_in_order(key: bytes, targets: Sequence[T], seeds: Sequence[int]) -> T | None:
    """Return the first target of `targets_in_order`, without the work of ordering the rest."""
    if not targets:
        return None
    scores = [score_of(key, seed) for seed in seeds]
    best = max(scores)
    return targets[len(scores) - 1 - scores[::-1].index(best)]


def highest(key: bytes, nodes: Sequence[T], seeds: Sequence[int]) -> tuple[T, int] | None:
    """Return the node with the highest score for a key, with that score.

    Args:
        key: What is hashed, such as a packed target address.
        nodes: The nodes.
        seeds: One hash seed for each node, in the same order.

    >>> highest(b"t", [], [])
    """
    if not nodes:
        return None
    # A region has about a thousand hosts in a zone, so the loop is left to C.
    scores = list(map(score_of, repeat(key), seeds))
    best = max(scores)
    return nodes[scores.index(best)], best
