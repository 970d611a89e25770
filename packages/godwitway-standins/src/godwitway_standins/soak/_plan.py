"""Derives the faults of a soak run and their start times from the seed."""

import random
from dataclasses import dataclass

__all__ = [
    "ALL_KINDS",
    "FAULT_KINDS",
    "RESTORE_KIND",
    "UNEVEN_KINDS",
    "WATCHERS_KIND",
    "Fault",
    "make_plan",
]

FIRST_FAULT_S = 1.0
MEAN_INTERVAL_S = 1.6
SIMULTANEOUS_PROBABILITY = 0.25  # Probability that a fault starts together with the previous one.
MIN_DURATION_S = 0.5
MAX_DURATION_S = 5.0
RESTORE_KIND = "store_restore"  # The store is away, and comes back from a copy.
MEAN_RESTORE_INTERVAL_S = 9.0
MAX_RESTORE_OUTAGE_S = 2.0
WATCHERS_KIND = "watchers_silent"  # The store gives no response to the hosts that watch it.
MEAN_WATCHERS_INTERVAL_S = 10.0
# Longer than the bounds of a change, so that the hosts must have learned of it during the silence.
MIN_WATCHERS_DURATION_S = 4.0
# Methods of `UnevenFaults`, with the mean interval between two faults of the kind, and the shortest
# and the longest duration, in seconds.
UNEVEN_KINDS = {
    # Longer than the bound of an evacuation, so that hosts in breach of it are seen.
    "evacuate_zone": (14.0, 8.0, 12.0),
    "foreign_entries": (12.0, 0.3, 2.0),
    # Longer than the bound of a configuration after a restart of the hosts, by enough requests.
    "odd_routes": (18.0, 8.0, 12.0),
    "restart_target": (10.0, 0.2, 0.5),
    "slow_target": (10.0, 6.0, 6.0),
}

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

ALL_KINDS = frozenset({*FAULT_KINDS, RESTORE_KIND, WATCHERS_KIND, *UNEVEN_KINDS})


@dataclass(slots=True)
class Fault:
    """One planned fault.

    Attributes:
        start_s: Start time, in seconds after the callers start.
        kind: One of `ALL_KINDS`.
        duration_s: Duration in seconds; used by `pause_host`, `cut_zone`, `watchers_silent`,
            `UNEVEN_KINDS`, `host_store_*` and `store_*` other than `store_compact`. The other kinds
            ignore it.
        selector: Number in [0, 1) that selects the affected host, target, zone or value.
    """

    start_s: float
    kind: str
    duration_s: float
    selector: float


def make_plan(seed: int, fault_period_s: float, only: frozenset[str] = ALL_KINDS) -> list[Fault]:
    """Return the faults of a run, ordered by start time.

    The same arguments always give the same plan, so that a failed run can be repeated.

    Args:
        seed: Seed of the random generator.
        fault_period_s: Faults start before this time, in seconds.
        only: The kinds that occur. Few kinds leave the store and most hosts undisturbed for longer,
            so that bounds with a time hold.

    >>> make_plan(7, 30.0) == make_plan(7, 30.0)
    True
    """
    rng = random.Random(seed)
    weights = {kind: weight for kind, weight in FAULT_KINDS.items() if kind in only}
    plan: list[Fault] = []
    start_s = FIRST_FAULT_S
    while weights and start_s < fault_period_s:
        kind = rng.choices(list(weights), list(weights.values()))[0]
        plan.append(Fault(start_s, kind, rng.uniform(MIN_DURATION_S, MAX_DURATION_S), rng.random()))
        if rng.random() > SIMULTANEOUS_PROBABILITY:
            start_s += rng.expovariate(1 / MEAN_INTERVAL_S)
    plan += plan_kind(
        RESTORE_KIND, seed, fault_period_s, MEAN_RESTORE_INTERVAL_S, 0.0, MAX_RESTORE_OUTAGE_S
    )
    plan += plan_kind(
        WATCHERS_KIND,
        seed,
        fault_period_s,
        MEAN_WATCHERS_INTERVAL_S,
        MIN_WATCHERS_DURATION_S,
        MAX_DURATION_S,
    )
    for kind, (interval_s, *durations_s) in UNEVEN_KINDS.items():
        plan += plan_kind(kind, seed, fault_period_s, interval_s, *durations_s)
    return sorted((fault for fault in plan if fault.kind in only), key=lambda fault: fault.start_s)


def plan_kind(
    kind: str,
    seed: int,
    fault_period_s: float,
    mean_interval_s: float,
    min_duration_s: float,
    max_duration_s: float,
) -> list[Fault]:
    """Return the faults of one kind in a run; see `make_plan`.

    They have a random generator of their own, so that the other faults of a seed stay the same.
    """
    rng = random.Random(f"{kind} {seed}")
    faults: list[Fault] = []
    start_s = FIRST_FAULT_S + rng.expovariate(1 / mean_interval_s)
    while start_s < fault_period_s:
        duration_s = rng.uniform(min_duration_s, max_duration_s)
        faults.append(Fault(start_s, kind, duration_s, rng.random()))
        start_s += rng.expovariate(1 / mean_interval_s)
    return faults
