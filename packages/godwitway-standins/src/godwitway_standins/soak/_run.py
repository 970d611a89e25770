"""One run of the soak test: starts the deployment, injects the plan and checks recovery."""

import asyncio
from pathlib import Path

from godwitway_standins.flows import FlowWorld
from godwitway_standins.flows._world import Layout
from godwitway_standins.soak._faults import FaultInjector
from godwitway_standins.soak._plan import ALL_KINDS, make_plan
from godwitway_standins.soak._report import SoakReport

__all__ = ["run_soak"]

READY_TIMEOUT_S = 30.0
RECOVERY_WAIT_S = 12.0
RECOVERY_CHECK_S = 4.0
MIN_SERVED_SHARE = 0.25  # Fraction of the requests that the recovery check looks at.
EXIT_POLL_PERIOD_S = 0.2


async def run_soak(
    seed: int,
    fault_period_s: float,
    layout: Layout,
    folder: Path,
    without_faults: bool = False,
    only: frozenset[str] = ALL_KINDS,
) -> SoakReport:
    """Run the soak test once and return its report.

    A run lasts for the fault period, or until the last fault is over, and for the recovery check.
    All host processes are ended before it returns, also when it is cancelled.

    Args:
        seed: Seed of the faults and of the callers' requests.
        fault_period_s: Period in seconds, from the start of the callers, in which faults start.
        layout: Size and addresses of the deployment.
        folder: Existing folder for the hosts' settings and logs.
        without_faults: Whether to inject no faults.
        only: The kinds of faults to inject.
    """
    loop = asyncio.get_running_loop()
    world = FlowWorld(layout, folder, seed)
    plan = [] if without_faults else make_plan(seed, fault_period_s, only)
    injector = FaultInjector(world)
    callers_started_at = loop.time()
    try:
        await world.start()
        if not await world.all_ready(READY_TIMEOUT_S):
            world.judge.breach("START", f"not all hosts were ready within {READY_TIMEOUT_S:g} s")
        callers_started_at = loop.time()
        world.start_asking()
        async with asyncio.TaskGroup() as group:
            watcher = group.create_task(watch_host_exits(world, injector))
            await inject_plan(plan, injector, callers_started_at, fault_period_s)
            await check_recovery(world, without_faults)
            watcher.cancel()
        duration_s = loop.time() - callers_started_at
    finally:
        await world.close()
    judge = world.judge
    process_count = len(world.hosts) + 1
    return SoakReport(
        seed,
        duration_s,
        process_count,
        plan,
        judge.outcomes,
        judge.broken,
        callers_started_at,
        str(folder),
    )


async def inject_plan(
    plan: list, injector: FaultInjector, callers_started_at: float, fault_period_s: float
) -> None:
    """Inject the faults at their start times, and wait until all of them are over.

    Faults may overlap; `FaultInjector` describes the effect.

    Args:
        plan: The `Fault` objects, ordered by start time.
        injector: Injects the faults.
        callers_started_at: Event loop time in seconds that start times are relative to.
        fault_period_s: Length of the fault period in seconds from `callers_started_at`; this
            function returns no earlier than the end of the period.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as fault_tasks:
        for fault in plan:
            await asyncio.sleep(max(0.0, callers_started_at + fault.start_s - loop.time()))
            fault_tasks.create_task(injector.inject(fault))
        await asyncio.sleep(max(0.0, callers_started_at + fault_period_s - loop.time()))


async def check_recovery(world: FlowWorld, without_faults: bool) -> None:
    """Check that requests are served again after the faults.

    Waits `RECOVERY_WAIT_S`, which is skipped in a run without faults, and then `RECOVERY_CHECK_S`.
    Reports a breach of RECOVER if less than `MIN_SERVED_SHARE` of the requests sent in the latter
    period, except its last second, were served.
    """
    loop = asyncio.get_running_loop()
    if not without_faults:
        await asyncio.sleep(RECOVERY_WAIT_S)
    start = loop.time()
    await asyncio.sleep(RECOVERY_CHECK_S)
    # Requests of the last second may still be in progress.
    served_share = world.judge.served_between(start, loop.time() - 1.0)
    if served_share < MIN_SERVED_SHARE:
        world.judge.breach("RECOVER", f"{served_share:.2f} of the requests served after the faults")


async def watch_host_exits(world: FlowWorld, injector: FaultInjector) -> None:
    """Report hosts that end unexpectedly as breaches of EXIT, and restart them.

    Hosts that a fault killed or is stopping are ignored. Runs until it is cancelled.
    """
    while True:
        await asyncio.sleep(EXIT_POLL_PERIOD_S)
        for host in world.hosts:
            if host.name in injector.down_hosts or not host.ended():
                continue
            exit_code = host.process.returncode if host.process else None
            world.judge.breach("EXIT", f"{host.name} exited unexpectedly with code {exit_code}")
            injector.restart_host(host)
