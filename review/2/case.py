"""The store answers a third of the hosts no more while targets are replaced; new flows must follow."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.dont_write_bytecode = True  # Folders under review/ are cases.
sys.path.insert(0, str(HERE.parent))

from platform_standins import run  # noqa: E402

DRAIN_S = 3.0  # drain-ms of the small sites.
SILENT_S = 4.0  # At most 9 s in the small sites' list of disruptions.
ROUNDS = 7
BETWEEN_S = 9.0  # All hosts are in touch again by then.


async def keep_calling(world, caller, to):
    """Open one flow after another, with one request each."""
    while True:
        flow = await caller.open(to)
        if flow.end is not None:
            result, _ = await caller.request(flow)
            world.results[result] = world.results.get(result, 0) + 1
        caller.drop(flow)
        await asyncio.sleep(random.uniform(0.0, 0.1))


async def scenario(world, trouble):
    world.results = {}
    acknowledged = {}
    await world.start()
    store = world.store

    def on_opening(target, packet, source):
        if target not in acknowledged:
            return
        host = next((host for host in world.hosts if host.ip == source), None)
        late = time.monotonic() - acknowledged[target]
        if late > DRAIN_S and host is not None and host.in_touch():
            world.record.breach(
                "DRAIN",
                f"{target.id} takes a new flow from {host.name} {late:.3f} s after the store "
                "acknowledged that it drains",
            )

    world.on_opening = on_opening
    callers = [world.add_caller(zone) for zone in world.hosts_by_zone for _ in range(8)]
    tasks = [
        asyncio.ensure_future(keep_calling(world, caller, world.service_address(number % 2)))
        for number, caller in enumerate(callers)
    ]
    await asyncio.sleep(5.0)

    async def drain(target):
        target.draining = True
        revision = target.announce()
        acknowledged[target] = time.monotonic()
        world.record.note(f"{target.id} drains, acknowledged at revision {revision}")
        await asyncio.sleep(DRAIN_S + 2.0)
        world.record.note(f"{target.id} has left")
        target.stop()
        store.delete(f"servers/{target.id}")

    for _ in range(ROUNDS):
        leaving = [t for t in world.targets if t.alive and not t.draining and t.service == "desk"]
        random.shuffle(leaving)
        # A release: each new target starts first, the old one drains, one after the other.
        await world.add_target("desk", leaving[0].zone)
        watchers = [name for name, path in store.listeners.items() if path.watching]
        world.record.note(f"{', '.join(watchers)} watch the store")
        await asyncio.sleep(0.2)
        refused = watchers[:2] if trouble else []
        for name in refused:
            store.refuse(name, True)
        since = time.monotonic()
        await asyncio.sleep(0.1)
        tasks.append(asyncio.ensure_future(drain(leaving[0])))
        await asyncio.sleep(SILENT_S - (time.monotonic() - since))
        for name in refused:
            store.refuse(name, False)
            next(h for h in world.hosts if h.name == name).disturbed = time.monotonic()
        await asyncio.sleep(BETWEEN_S)
    for task in tasks:
        task.cancel()
    world.record.note(f"requests: {world.results}")


run(HERE, scenario)
