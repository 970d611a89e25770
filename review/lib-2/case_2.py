"""What the scripts of this review have in common: settings, start, traffic and the exit code."""

import asyncio
import os
import sys
from collections import Counter

from platform_2 import World

FEED, BID = ("198.18.0.1", 443), ("198.18.0.2", 443)
STABLE_S = 4.0  # stable-ms
DRAIN_S = 3.0  # drain-ms
CONFIG_S = 3.0  # config-apply-ms
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
