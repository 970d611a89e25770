"""One run of the soak test: starts the deployment, injects the plan and checks recovery."""

import asyncio
from pathlib import Path

from godwitway_standins.flows import FlowWorld
from godwitway_standins.flows._world import Layout
from godwitway_standins.soak._faults import FaultInjector
from godwitway_standins.soak._plan import make_plan
from godwitway_standins.soak._report import SoakReport

__all__ = ["run_soak"]

READY_TIMEOUT_S = 30.0
RECOVERY_WAIT_S = 12.0
RECOVERY_CHECK_S = 4.0
MIN_SERVED_SHARE = 0.25
EXIT_POLL_PERIOD_S = 0.2


async def run_soak(
    seed: int, fault_period_s: float, layout: Layout, folder: Path, without_faults: bool = False
) -> SoakReport:
    """Run the soak test once and return its report.

    All processes are ended before it returns, also when it is cancelled.

    Args:
        seed: Seed of the faults and of the callers' requests.
        fault_period_s: Period in seconds, from the start of the callers, in which faults start.
        layout: Size and addresses of the deployment.
        folder: Existing folder for the hosts' settings and logs.
        without_faults: Whether to inject no faults.
    """
    loop = asyncio.get_running_loop()
    world = FlowWorld(layout, folder, seed)
    plan = [] if without_faults else make_plan(seed, fault_period_s)
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
    processes = len(world.hosts) + 1
    return SoakReport(
        seed,
        duration_s,
        processes,
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

    Faults may overlap.

    Args:
        plan: The faults, ordered by start time.
        injector: Injects the faults.
        callers_started_at: Event loop time in seconds that start times are relative to.
        fault_period_s: Minimum time to wait after `callers_started_at`, in seconds.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as fault_tasks:
        for fault in plan:
            await asyncio.sleep(max(0.0, callers_started_at + fault.start_s - loop.time()))
            fault_tasks.create_task(injector.inject(fault))
        await asyncio.sleep(max(0.0, callers_started_at + fault_period_s - loop.time()))


async def check_recovery(world: FlowWorld, without_faults: bool) -> None:
    """Check that requests are served again `RECOVERY_WAIT_S` after the last fault.

    A run without faults is checked at once.
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
    """Report and restart hosts that end unexpectedly; runs until it is cancelled."""
    while True:
        await asyncio.sleep(EXIT_POLL_PERIOD_S)
        for host in world.hosts:
            if host.name in injector.down_hosts or not host.ended():
                continue
            exit_code = host.process.returncode if host.process else None
            world.judge.breach("EXIT", f"{host.name} exited unexpectedly with code {exit_code}")
            injector.restart_host(host)
