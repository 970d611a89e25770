"""The decision whether a target takes a new flow, and how full it says it is."""

import math
from enum import Enum

from godwitway.connection import Ledger
from godwitway.request._redirect import CANNOT_TAKE
from godwitway.version import Kind

__all__ = ["Verdict", "admit", "connection_bound", "pressure_of"]

MAX_PRESSURE = CANNOT_TAKE - 2
BOUND_SLACK = 1


class Verdict(Enum):
    """What an owner does with a new flow."""

    TAKE = "take"
    WAIT = "wait"
    PASS_ON = "pass_on"


def connection_bound(mean: float, load_bound: float, growth: float) -> int:
    """Return how many connections a target may hold before new flows are passed on.

    Args:
        mean: The mean number of connections of the service's targets.
        load_bound: How far above the mean a target may go, as a fraction.
        growth: The part of its full share that a target in its cold start takes, 0 to 1.
    """
    return math.floor((1 + load_bound) * mean * growth) + BOUND_SLACK


def admit(ledger: Ledger, kind: Kind, takes_new: bool, bound: int, final: bool) -> Verdict:
    """Decide about a new flow at one target.

    Args:
        ledger: The target's ledger.
        kind: The flow's kind.
        takes_new: Whether the target is healthy and neither draining nor unreachable.
        bound: The bound of `connection_bound`.
        final: Whether no other target can be asked any more.
    """
    if not takes_new:
        return Verdict.PASS_ON
    if not kind.holds_slot:
        limit = ledger.target.connections if final else min(bound, ledger.target.connections)
        return Verdict.TAKE if ledger.connections < limit else Verdict.PASS_ON
    if ledger.free_slots > 0 and not ledger.waiting:
        return Verdict.TAKE
    return Verdict.WAIT if final and kind.wait_s > 0 else Verdict.PASS_ON


def pressure_of(ledger: Ledger, kind: Kind, takes_new: bool) -> int:
    """Return how full a target is for a kind: its load or its queue, CANNOT_TAKE when closed."""
    if not takes_new:
        return CANNOT_TAKE
    if not kind.holds_slot:
        if ledger.connections >= ledger.target.connections:
            return CANNOT_TAKE
        return min(MAX_PRESSURE, ledger.connections)
    if not ledger.target.slots:
        return CANNOT_TAKE
    return min(MAX_PRESSURE, ledger.busy + ledger.waiting)
