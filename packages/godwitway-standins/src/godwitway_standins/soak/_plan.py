"""The plan of a soak: which faults come when, from the seed alone."""

import random
from dataclasses import dataclass

__all__ = ["KINDS", "Fault", "make_plan"]

FIRST_S = 1.0
MEAN_GAP_S = 1.6
SERIES = 0.25  # Part of the faults that come at once after the one before.
SHORTEST_S = 0.5
LONGEST_S = 5.0

# Each kind with its weight.
KINDS = {
    "kill_host": 4,
    "stop_host": 5,
    "pause_host": 3,
    "hup_host": 2,
    "herd_kill": 1,
    "store_busy": 2,
    "store_reset": 2,
    "store_silent": 2,
    "store_slow": 2,
    "store_lost": 2,
    "store_compact": 3,
    "host_store_delay": 2,
    "host_store_reset": 2,
    "host_store_silent": 2,
    "host_store_one_way": 2,
    "crash_target": 3,
    "drain_target": 5,
    "add_target": 2,
    "bad_entry": 2,
    "config_timeout": 3,
    "config_routes": 3,
    "cut_zone": 2,
}


@dataclass(slots=True)
class Fault:
    """One planned fault.

    Attributes:
        at: When it begins, in seconds.
        kind: One of `KINDS`.
        lasts: How long it lasts, in seconds.
        pick: Which of the things that fit it strikes, from 0 to 1.
    """

    at: float
    kind: str
    lasts: float
    pick: float


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run.

    >>> make_plan(7, 30.0) == make_plan(7, 30.0)
    True
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    at = FIRST_S
    while at < seconds:
        kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
        plan.append(Fault(at, kind, rng.uniform(SHORTEST_S, LONGEST_S), rng.random()))
        if rng.random() > SERIES:
            at += rng.expovariate(1 / MEAN_GAP_S)
    return plan
