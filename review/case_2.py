"""What the scripts of this review have in common: settings, start, traffic and the exit code."""

import asyncio
import os
import signal
import sys
from collections import Counter

from platform_2 import Flow, Host, World

FEED, BID = ("127.18.0.1", 443), ("127.18.0.2", 443)
STABLE_S = 4.0  # stable-ms
DRAIN_S = 3.0  # drain-ms
CONFIG_S = 3.0  # config-apply-ms
GRACE_S = 6.0  # grace-s
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def start_deployment(world: World, targets_per_zone: int = 3) -> bool:
    """Start hosts, write the first configuration and start the targets of one service."""
    await world.start()
    world.services = ["desk"]
    world.routes = {FEED: ("idempotent", "desk"), BID: ("non_idempotent", "desk")}
    for host in world.hosts:
        host.start(first_start=True)
        await asyncio.sleep(0.02)
    world.configure()
    for zone in world.zones:
        for _ in range(targets_per_zone):
            await world.add_target("desk", zone)
    return await world.wait_ready()


async def ask_often(
    client, address, until_s: float, results: Counter, pause_s: float = 0.3
) -> None:
    """Send one request after another, each on a flow of its own, and count how they ended."""
    while client.world.now() < until_s:
        results[await client.fresh(address, b"x" * 900)] += 1
        await asyncio.sleep(pause_s)


async def hold_flow(
    client, until_s: float, results: Counter, pause_s: float, work_s: float = 0.02
) -> None:
    """Keep one flow open and send one request after another on it."""
    flow = Flow(client, BID)
    if not await flow.open():
        results["not opened"] += 1
        return
    while client.world.now() < until_s and not flow.ended:
        results[await client.ask(flow, b"x" * 900, work_s=work_s, deadline_s=3.0)] += 1
        await asyncio.sleep(pause_s)
    flow.close()


async def restart(world: World, host: Host) -> None:
    """Stop a host as the platform does, start it again and wait until it is in rotation."""
    host.process.send_signal(signal.SIGTERM)
    stopped = world.now()
    while host.process.poll() is None and world.now() < stopped + GRACE_S:
        await asyncio.sleep(0.05)
    if host.process.poll() is None:
        host.process.kill()
    world.note("restart", host=host.name, code=host.process.wait())
    await asyncio.sleep(0.3)
    host.start()
    await world.wait_ready()


def resets_of_others(world: World) -> list[dict]:
    """Return the resets of open flows that another one than the flow's living target sent."""
    opened = {
        tuple(note["flow"]): note["target"] for note in world.notes if note["what"] == "opened"
    }
    alive = {target.id for target in world.targets if target.alive}
    found = []
    for note in world.notes:
        flow = tuple(note["flow"]) if note["what"] == "reset" else ()
        if not flow or not note["open"] or opened.get(flow) not in alive:
            continue
        senders = {
            other["target"]
            for other in world.notes
            if other["what"] == "target-reset" and tuple(other["flow"]) == flow
        }
        if note["by"] == "host" or opened[flow] not in senders:
            found.append(note | {"flow_is_at": opened[flow], "reset_by": sorted(senders) or "host"})
    for note in found:
        world.note(
            "reset by another", **{name: note[name] for name in ("flow", "flow_is_at", "reset_by")}
        )
    return found


def run_case(folder, case, zones: str = "abc", hosts_per_zone: int = 2) -> None:
    """Run a case and end with its exit code."""

    async def play() -> int:
        world = World(folder, zones, hosts_per_zone)
        world.note("case", trouble=TROUBLE)
        try:
            code = await asyncio.wait_for(case(world), 110)
        except TimeoutError:
            world.note("timeout")
            code = NOT_RUN
        finally:
            for host in world.hosts:
                ended = host.process is not None and host.process.poll()
                world.note("host", host=host.name, ended_by_itself=ended)
            world.note("end")
            await world.close()
        return code

    try:
        code = asyncio.run(play())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        code = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    sys.exit(code)
