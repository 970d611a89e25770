"""Admission of a new flow at its target, and the load that an owner reports for a target."""

import math
from enum import Enum

from godwitway.connection import TargetUsage
from godwitway.request._redirect import LOAD_UNAVAILABLE
from godwitway.version import Kind

__all__ = ["Admission", "connection_bound", "evaluate_admission", "reported_load"]

# Added to the load of an unhealthy target, which ranks it behind all healthy ones.
UNHEALTHY_LOAD_OFFSET = 0x8000
# With the offset it stays below LOAD_UNKNOWN and LOAD_UNAVAILABLE.
MAX_REPORTED_LOAD = UNHEALTHY_LOAD_OFFSET - 3
BOUND_SLACK_CONNECTIONS = 8


class Admission(Enum):
    """Decision of an owner about a new flow.

    Attributes:
        ADMIT: Forward the flow to the target.
        QUEUE: Let the request wait for a slot.
        PASS_ON: Ask the next candidate's owner, or refuse the flow if there is none.
    """

    ADMIT = "take"
    QUEUE = "wait"
    PASS_ON = "pass_on"


def connection_bound(mean_connections: float, load_bound: float, cold_start_share: float) -> int:
    """Return how many connections a target may hold before new flows are passed on.

    Args:
        mean_connections: Mean number of connections of the service's targets.
        load_bound: Fraction of the mean by which a target may exceed it.
        cold_start_share: Fraction of its full share of flows that the target may have, from 0
            to 1; it is below 1 during a cold start.
    """
    # With few connections, a fraction of the mean is less than the random spread of the hash.
    bound = max((1 + load_bound) * mean_connections, mean_connections + BOUND_SLACK_CONNECTIONS)
    # At least 1, so that a target in its cold start gets a first flow of an idle service too.
    return math.floor(bound * cold_start_share) + 1


def evaluate_admission(
    usage: TargetUsage, kind: Kind, may_get_flow: bool, bound: int, is_final: bool
) -> Admission:
    """Decide whether a target admits a new flow.

    Args:
        usage: Usage of the target.
        kind: Kind of the flow.
        may_get_flow: Whether the target is eligible and, unless the decision is final, healthy.
            For a final decision an unhealthy target may do, because no other one is left.
        bound: Result of `connection_bound`; it does not limit a final decision.
        is_final: Whether no other candidate can be asked. Only then a request may wait.
    """
    if not may_get_flow:
        return Admission.PASS_ON
    if not kind.holds_slot:
        limit = usage.target.connections if is_final else min(bound, usage.target.connections)
        return Admission.ADMIT if usage.connections < limit else Admission.PASS_ON
    if usage.free_slots > 0 and not usage.waiting_count:
        return Admission.ADMIT
    return Admission.QUEUE if is_final and kind.wait_s > 0 else Admission.PASS_ON


def reported_load(usage: TargetUsage, kind: Kind, is_eligible: bool, is_preferred: bool) -> int:
    """Return the load of a target for a kind, as it is sent in a redirect's header.

    The load is the number of connections, or of busy slots and waiting requests. A target that
    cannot admit flows of the kind has LOAD_UNAVAILABLE. An eligible target that is not preferred
    ranks behind all preferred ones, since it may be the only one left.
    """
    if not is_eligible:
        return LOAD_UNAVAILABLE
    if kind.holds_slot:
        load = usage.busy_slots + usage.waiting_count
        is_full = not usage.target.slots
    else:
        load = usage.connections
        is_full = load >= usage.target.connections
    if is_full:
        return LOAD_UNAVAILABLE
    return min(MAX_REPORTED_LOAD, load) + (0 if is_preferred else UNHEALTHY_LOAD_OFFSET)
