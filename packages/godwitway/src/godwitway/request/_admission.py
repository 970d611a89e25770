"""The decision whether a target takes a new flow, and how full it says it is."""

import math
from enum import Enum

from godwitway.connection import TargetUsage
from godwitway.request._redirect import LOAD_UNAVAILABLE
from godwitway.version import Kind

__all__ = ["Admission", "connection_bound", "evaluate_admission", "reported_load"]

UNHEALTHY_LOAD_OFFSET = 0x8000
MAX_REPORTED_LOAD = UNHEALTHY_LOAD_OFFSET - 3
BOUND_SLACK_CONNECTIONS = 8


class Admission(Enum):
    """What an owner does with a new flow."""

    ADMIT = "take"
    QUEUE = "wait"
    PASS_ON = "pass_on"


def connection_bound(mean_connections: float, load_bound: float, share: float) -> int:
    """Return how many connections a target may hold before new flows are passed on.

    Args:
        mean_connections: The mean number of connections of the service's targets.
        load_bound: How far above the mean a target may go, as a fraction.
        share: The part of its full share that a target in its cold start takes, 0 to 1.
    """
    # Among few flows a fraction of the mean is less than the hash's own spread.
    bound = max((1 + load_bound) * mean_connections, mean_connections + BOUND_SLACK_CONNECTIONS)
    return math.floor(bound * share) + 1


def evaluate_admission(
    usage: TargetUsage, kind: Kind, is_eligible: bool, bound: int, is_final: bool
) -> Admission:
    """Decide about a new flow at one target.

    Args:
        usage: The target's usage.
        kind: The flow's kind.
        is_eligible: Whether the target may take new flows; when final, whether it is open at all.
        bound: The bound of `connection_bound`.
        is_final: Whether no other target can be asked any more.
    """
    if not is_eligible:
        return Admission.PASS_ON
    if not kind.holds_slot:
        limit = usage.target.connections if is_final else min(bound, usage.target.connections)
        return Admission.ADMIT if usage.connections < limit else Admission.PASS_ON
    if usage.free_slots > 0 and not usage.waiting_count:
        return Admission.ADMIT
    return Admission.QUEUE if is_final and kind.wait_s > 0 else Admission.PASS_ON


def reported_load(usage: TargetUsage, kind: Kind, is_eligible: bool, is_preferred: bool) -> int:
    """Return how full a target is for a kind: its load or its queue.

    A target that takes nothing says LOAD_UNAVAILABLE; one that looks bad, but might be the only one
    left, comes after all that look good.
    """
    if not is_eligible:
        return LOAD_UNAVAILABLE
    if kind.holds_slot:
        load = usage.busy_slots + usage.waiting_count
        full = not usage.target.slots
    else:
        load = usage.connections
        full = load >= usage.target.connections
    if full:
        return LOAD_UNAVAILABLE
    return min(MAX_REPORTED_LOAD, load) + (0 if is_preferred else UNHEALTHY_LOAD_OFFSET)
