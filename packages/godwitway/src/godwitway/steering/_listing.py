"""Applies listings of the store to a replica and logs the result."""

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._replica import Replica
from godwitway.store import RangeResult

__all__ = ["apply_listing"]


def apply_listing(
    replica: Replica, listing: RangeResult, metrics: Metrics, journal: Journal
) -> bool:
    """Apply a listing to a replica, and count and log whether it was applied.

    Returns:
        False if the listing is older than the replica and was ignored.
    """
    replica_position = replica.position
    was_applied = replica.apply_listing(listing.items, listing.position)
    metrics.count("listings", "applied" if was_applied else "ignored")
    journal.event(
        "listed",
        applied=was_applied,
        era=listing.era,
        revision=listing.revision,
        replica_era=replica_position.era,
        replica_revision=replica_position.revision,
    )
    return was_applied
