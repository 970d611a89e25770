"""Routes are added while the hosts are stopped and started in turn; open flows must stay."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True  # Folders under review/ are cases.
sys.path.insert(0, str(HERE.parent))

from platform_standins import run  # noqa: E402

FLOWS_PER_CALLER = 8
USE_S = 1.5  # How long a flow on a new route is used.
TRIES = 3  # The first attempt and two retries, from new ports.
RETRY_S = 0.03
PAUSE_S = 0.1  # Between two requests on a flow.


async def use_route(world, caller, to):
    """Open a flow on a route that the store has acknowledged, and send requests on it."""
    for _ in range(TRIES):
        flow = await caller.open(to)
        if flow.end is not None:
            break
        await asyncio.sleep(RETRY_S)
    else:
        world.record.note(f"{flow.key()} did not open: {flow.ended} by {flow.reset_by}")
        return
    until = time.monotonic() + USE_S
    while time.monotonic() < until and not flow.ended:
        result, _ = await caller.request(flow)
        world.results[result] = world.results.get(result, 0) + 1
        await asyncio.sleep(PAUSE_S)
    caller.drop(flow)


async def scenario(world, trouble):
    world.results = {}
    await world.start()
    callers = [world.add_caller(zone) for zone in world.hosts_by_zone for _ in range(2)]

    def on_reset(flow):
        holder = world.holder_of(flow)
        if flow.end is not None and flow.reset_by == "system" and holder is not None:
            world.record.breach(
                "FLOW",
                f"{flow.key()}, open at {holder.id} which lives and holds it, "
                f"was reset by {world.name_of(flow.reset_from)}",
            )

    world.on_reset = on_reset
    listed = asyncio.Event()
    await asyncio.sleep(5.0)
    users = []
    for turn, host in enumerate(world.hosts * 5):
        if world.record.now() > 60:
            break
        if trouble:
            listed.clear()
            world.store.on_call = lambda name, call, host=host: (
                listed.set() if (name, call) == (host.name, "/kv-range") else None
            )
            await host.roll(pause_s=random.uniform(0.3, 0.8))
            await asyncio.wait_for(listed.wait(), 10)
            await asyncio.sleep(0.02)
        else:
            await asyncio.sleep(1.8)
        new = world.service_address(215 + turn)
        world.routes[new] = ("non_idempotent", "desk")
        world.configure()
        users += [
            asyncio.ensure_future(use_route(world, caller, new))
            for caller in callers
            for _ in range(FLOWS_PER_CALLER)
        ]
        await asyncio.sleep(0.6)
    await asyncio.gather(*users)
    world.record.note(f"requests: {world.results}")


run(HERE, scenario)
