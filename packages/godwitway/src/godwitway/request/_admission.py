"""The decision whether a target takes a new flow, and how full it says it is."""

import math
from enum import Enum

from godwitway.connection import Ledger
from godwitway.request._redirect import CANNOT_TAKE
from godwitway.version import Kind

__all__ = ["Verdict", "admit", "connection_bound", "pressure_of"]

LOOKS_BAD = 0x8000
MAX_PRESSURE = LOOKS_BAD - 3
BOUND_SLACK_CONNECTIONS = 8


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
    # Among few flows a fraction of the mean is less than the hash's own spread.
    bound = max((1 + load_bound) * mean, mean + BOUND_SLACK_CONNECTIONS)
    return math.floor(bound * growth) + 1


def admit(ledger: Ledger, kind: Kind, takes_new: bool, bound: int, final: bool) -> Verdict:
    """Decide about a new flow at one target.

    Args:
        ledger: The target's ledger.
        kind: The flow's kind.
        takes_new: Whether the target may take new flows; when final, whether it is open at all.
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


def pressure_of(ledger: Ledger, kind: Kind, is_open: bool, good: bool) -> int:
    """Return how full a target is for a kind: its load or its queue.

    A target that takes nothing says CANNOT_TAKE; one that looks bad, but might be the only one
    left, comes after all that look good.
    """
    if not is_open:
        return CANNOT_TAKE
    if kind.holds_slot:
        load = ledger.busy + ledger.waiting
        full = not ledger.target.slots
    else:
        load = ledger.connections
        full = load >= ledger.target.connections
    if full:
        return CANNOT_TAKE
    return min(MAX_PRESSURE, load) + (0 if good else LOOKS_BAD)
