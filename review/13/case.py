"""Two targets whose ids have the same route token: a host that restarts swaps their tokens."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))
sys.dont_write_bytecode = True

from standins_3 import World, main  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ADDRESS = ("198.18.0.1", 8080)
FIRST_TARGET, SECOND_TARGET = 0x83C10764, 0x573CBBC7
FLOWS = 40
PAUSE_S = 0.6
FLOWS_S = 60.0
GRACE_S = 6.0
RESTART_DELAY_S = 0.3
GAP_S = 1.3


async def scenario(holder, case_folder, work_folder):
    world = World(case_folder, work_folder, {"a": 3, "b": 2, "c": 2})
    holder.append(world)
    record = world.record
    homes, ends, broken = {}, Counter(), []

    def on_take(target, key, sender):
        homes.setdefault(key, []).append(target)

    def on_end(key, reason, packet):
        ends[reason] += 1
        record.line("flow-end", client="%s:%d" % key[0], reason=reason)
        if reason != "reset":
            return
        serving = [target.id for target in homes.get(key, ()) if key in target.flows]
        by = "host" if packet.is_system_reset else "target"
        record.line("reset", client="%s:%d" % key[0], written_by=by, still_open_at=serving)
        if serving:
            broken.append(key)

    world.on_take = on_take
    await world.store.start()
    for host in world.hosts:
        host.start(first_start=True)
    await asyncio.sleep(1.0)
    await world.configure(1, [("r-1", ADDRESS, "idempotent", "desk")], ["desk"])
    await world.add_target(FIRST_TARGET, "desk", "a")
    for number, zone in enumerate("abc"):
        await world.add_target(0x7F3A9100 + number, "desk", zone)
    if not await world.wait_ready():
        return None
    world.add_clients("a", 8)
    for number in range(FLOWS):
        client = world.clients[number % len(world.clients)]
        world.tasks.append(asyncio.ensure_future(
            client.keep_flow(ADDRESS, PAUSE_S, FLOWS_S, on_end)))
        await asyncio.sleep(0.05)
    await asyncio.sleep(3.0)
    second = await world.add_target(SECOND_TARGET, "desk", "a")
    record.line("target-added", target=second.id)
    await asyncio.sleep(5.0)
    opened = sum(target.id == world.targets[0].id for home in homes.values() for target in home)
    for host in [host for host in world.hosts if host.zone == "a"] if TROUBLE else []:
        host.process.send_signal(signal.SIGTERM)
        record.line("sigterm", host=host.ip)
        deadline = time.monotonic() + GRACE_S
        while host.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        host.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        host.start()
        record.line("started", host=host.ip)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(6.0 if TROUBLE else 20.0)
    record.line("end", ends=dict(ends), broken=len(broken))
    print(f"{opened} flows at the first target; flows reset while their target holds them: "
          f"{len(broken)}; ends so far: {dict(ends)}")
    if opened < 5:
        return None
    return not broken


with tempfile.TemporaryDirectory() as folder:
    main(scenario, CASE, folder)
