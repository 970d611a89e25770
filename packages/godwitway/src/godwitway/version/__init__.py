"""State of one configuration version: services, snapshots and candidate order."""

from godwitway.version._order import (
    CANDIDATE_COUNT,
    hash_seed,
    rank_targets,
    rendezvous_score,
    top_ranked_target,
    top_scoring_node,
)
from godwitway.version._service import TCP, UDP, Drain, Kind, Service, Target, check_service
from godwitway.version._snapshot import EMPTY_SNAPSHOT, Snapshot, build_snapshot

__all__ = [
    "CANDIDATE_COUNT",
    "EMPTY_SNAPSHOT",
    "TCP",
    "UDP",
    "Drain",
    "Kind",
    "Service",
    "Snapshot",
    "Target",
    "build_snapshot",
    "check_service",
    "hash_seed",
    "rank_targets",
    "rendezvous_score",
    "top_ranked_target",
    "top_scoring_node",
]
