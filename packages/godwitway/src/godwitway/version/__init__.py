"""What lives for one configuration version: services, snapshots and candidate order."""

from godwitway.version._order import (
    CANDIDATES,
    first_in_order,
    highest,
    score_of,
    seed_of,
    targets_in_order,
)
from godwitway.version._service import TCP, UDP, Drain, Kind, Service, Target, check_service
from godwitway.version._snapshot import EMPTY, Snapshot, build_snapshot

__all__ = [
    "CANDIDATES",
    "EMPTY",
    "TCP",
    "UDP",
    "Drain",
    "Kind",
    "Service",
    "Snapshot",
    "Target",
    "build_snapshot",
    "check_service",
    "first_in_order",
    "highest",
    "score_of",
    "seed_of",
    "targets_in_order",
]
