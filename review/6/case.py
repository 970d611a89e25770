"""One entry of another writer whose zone cannot be read: is any request served?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_2 import (  # noqa: E402
    BID,
    BROKEN,
    FEED,
    HELD,
    NOT_RUN,
    STABLE_S,
    TROUBLE,
    ask_often,
    run_case,
    start_deployment,
)

TRAFFIC_S = 15.0
# UTF-8 has no such bytes: they are those of half of a surrogate pair.
UNREADABLE = b"\xed\xa0\xbd"


def foreign_entry(world) -> bytes:
    """Return an entry that names a service of the configuration but has an unreadable zone."""
    address = f"{world.ip(3, 200)}:{world.target_port}".encode()
    return (
        b'{"service":"desk","address":"'
        + address
        + b'","zone":"'
        + UNREADABLE
        + b'","version":"v1",'
        b'"concurrency":16,"state":"ready","cold-left-ms":0,"sequence":1,"born":1700000000000}'
    )


async def case(world) -> int:
    if not await start_deployment(world):
        return NOT_RUN
    if TROUBLE:
        revision = world.store.put("servers/srv-00aa00bb", foreign_entry(world))
        world.note("foreign entry", key="servers/srv-00aa00bb", revision=revision)
    await asyncio.sleep(STABLE_S)
    clients = [await world.add_client(zone) for zone in world.zones * 2]
    results: Counter[str] = Counter()
    until = world.now() + TRAFFIC_S
    await asyncio.gather(
        *(ask_often(client, (FEED, BID)[n % 2], until, results) for n, client in enumerate(clients))
    )
    failed = sum(len(host.events("packet_failed")) for host in world.hosts)
    world.note("result", requests=dict(results), packet_failed=failed)
    print(f"requests by result: {dict(results)}; errors of packets in the hosts' logs: {failed}")
    return HELD if results["served"] else BROKEN


run_case(FOLDER, case)
