"""Three unreadable entries of the largest size at once: do hosts still follow the store?"""

import os
import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from case_2 import (  # noqa: E402
    BID,
    BROKEN,
    CONFIG_S,
    DRAIN_S,
    HELD,
    NOT_RUN,
    STABLE_S,
    TROUBLE,
    ask_often,
    run_case,
    start_deployment,
)

VALUE_BYTES = 1_048_576  # value-bytes of the settings
ENTRIES = 3
NEW = ("127.18.0.3", 443)
TRAFFIC_S = 25.0


async def case(world) -> int:
    if not await start_deployment(world):
        return NOT_RUN
    clients = [await world.add_client(zone) for zone in world.zones * 2]
    results: Counter[str] = Counter()
    await asyncio.gather(
        *(ask_often(client, BID, world.now() + STABLE_S + 1.0, results) for client in clients)
    )
    if set(results) != {"served"}:
        world.note("result", before=dict(results))
        return NOT_RUN
    if TROUBLE:
        for number in range(ENTRIES):
            key = f"servers/srv-{0xAA000000 + number:08x}"
            revision = world.store.put(key, os.urandom(VALUE_BYTES))
            world.note("foreign entry", key=key, bytes=VALUE_BYTES, revision=revision)
    await asyncio.sleep(1.0)
    drained = world.targets[0]
    drained.state = "draining"
    world.announce(drained)
    world.routes[NEW] = ("non_idempotent", "desk")
    world.configure()
    acknowledged = world.now()
    await asyncio.sleep(CONFIG_S)
    until = acknowledged + TRAFFIC_S
    new, old = Counter(), Counter()
    await asyncio.gather(
        *(ask_often(c, (NEW, BID)[n % 2], until, (new, old)[n % 2]) for n, c in enumerate(clients))
    )
    late = [
        note["at"]
        for note in world.notes
        if note["what"] == "took"
        and note["target"] == drained.id
        and note["at"] > acknowledged + DRAIN_S
    ]
    refused = [
        note["at"]
        for note in world.notes
        if note["what"] == "reset" and note["flow"][2:] == list(NEW) and note["by"] == "host"
    ]
    lost = sum(len(host.events("store_lost")) for host in world.hosts)
    world.note(
        "result",
        new_route=dict(new),
        old_route=dict(old),
        refused_until_s=round(max(refused, default=acknowledged) - acknowledged, 2),
        flows_at_drained_target=len(late),
        last_of_them_s=round(max(late, default=acknowledged) - acknowledged, 2),
        store_lost=lost,
    )
    print(
        f"requests of the new route later than {CONFIG_S} s after its acknowledgement: {dict(new)}"
    )
    print(f"flows at the draining target later than {DRAIN_S} s: {len(late)}; store lost: {lost}")
    return BROKEN if new["reset by host"] or late else HELD


run_case(FOLDER, case)
