"""Derives the faults of a soak run and their start times from the seed."""

import random
from dataclasses import dataclass

__all__ = ["FAULT_KINDS", "RESTORE_KIND", "Fault", "make_plan"]

FIRST_FAULT_S = 1.0
MEAN_INTERVAL_S = 1.6
SIMULTANEOUS_PROBABILITY = 0.25  # Probability that a fault starts together with the previous one.
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
RESTORE_KIND = "store_restore"  # The store is away, and comes back from a copy.
MEAN_RESTORE_INTERVAL_S = 9.0
MAX_RESTORE_OUTAGE_S = 2.0

# Relative frequency of each kind. `store_*` kinds other than `store_compact` are injected by
# `FaultInjector.inject_store_fault`, `host_store_*` kinds by `inject_proxy_fault`; any other kind
# is the name of the `FaultInjector` method that injects it.
FAULT_KINDS = {
    "kill_host": 4,
    "stop_host": 5,
    "pause_host": 3,
    "hup_host": 2,
    "herd_kill": 1,  # Kills all running hosts at once.
    "store_busy": 2,  # The store answers with status 503.
    "store_reset": 2,
    "store_silent": 2,
    "store_slow": 2,
    "store_lost": 2,  # The store processes writes but does not answer them.
    "store_compact": 3,
    # These disturb the proxy between one host and the store.
    "host_store_delay": 2,
    "host_store_reset": 2,
    "host_store_silent": 2,
    "host_store_one_way": 2,  # Requests arrive at the store, its answers are lost.
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
        start_s: Start time, in seconds after the callers start.
        kind: One of `FAULT_KINDS`, or `RESTORE_KIND`.
        duration_s: Duration in seconds; used by `pause_host`, `cut_zone`, `host_store_*` and
            `store_*` other than `store_compact`. The other kinds ignore it.
        selector: Number in [0, 1) that selects the affected host, target, zone or value.
    """

    start_s: float
    kind: str
    duration_s: float
    selector: float


def make_plan(seed: int, fault_period_s: float) -> list[Fault]:
    """Return the faults of a run, ordered by start time.

    The same arguments always give the same plan, so that a failed run can be repeated.

    Args:
        seed: Seed of the random generator.
        fault_period_s: Faults start before this time, in seconds.

    >>> make_plan(7, 30.0) == make_plan(7, 30.0)
    True
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    start_s = FIRST_FAULT_S
    while start_s < fault_period_s:
        kind = rng.choices(list(FAULT_KINDS), list(FAULT_KINDS.values()))[0]
        plan.append(Fault(start_s, kind, rng.uniform(MIN_DURATION_S, MAX_DURATION_S), rng.random()))
        if rng.random() > SIMULTANEOUS_PROBABILITY:
            start_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    return sorted(plan + plan_restores(seed, fault_period_s), key=lambda fault: fault.start_s)


def plan_restores(seed: int, fault_period_s: float) -> list[Fault]:
    """Return the restores of the store in a run; see `make_plan`.

    They have a random generator of their own, so that the other faults of a seed stay the same.
    """
    rng = random.Random(f"{RESTORE_KIND} {seed}")
    restores: list[Fault] = []
    start_s = FIRST_FAULT_S + rng.expovariate(1 / MEAN_RESTORE_INTERVAL_S)
    while start_s < fault_period_s:
        outage_s = rng.uniform(0.0, MAX_RESTORE_OUTAGE_S)
        restores.append(Fault(start_s, RESTORE_KIND, outage_s, rng.random()))
        start_s += rng.expovariate(1 / MEAN_RESTORE_INTERVAL_S)
    return restores
