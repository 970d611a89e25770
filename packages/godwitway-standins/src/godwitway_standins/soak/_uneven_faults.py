"""Faults that make load or targets uneven, and routes and entries that hosts cannot understand."""

import asyncio
import json
from collections.abc import Awaitable, Callable

from godwitway_standins.flows import Caller, FlowTarget, FlowWorld
from godwitway_standins.flows._config import BROKEN_FIELDS, KINDS, address_of
from godwitway_standins.soak._plan import Fault

__all__ = ["UnevenFaults"]

RUSH_S = 3.0  # Longer than targets are cold.
RUSH_PAUSE_S = 0.05
SLOWDOWN = 5.0
MIN_HERD_SELECTOR = 0.5  # From this selector on, `odd_routes` restarts all hosts.
LARGE_ENTRIES = 4  # More than fit into one response that hosts accept.
LARGE_VALUE = bytes(1_048_576)  # The platform's limit.
UNREADABLE_VALUE = b"\xff\xfe"
UNREADABLE_ZONE = b"\xed\xa0\xbd"  # Half of a surrogate pair.
MAX_UPDATE_DELAY_S = 1.2  # A target writes an entry that it finds changed with its next heartbeat.


class UnevenFaults:
    """Injects faults of targets and of the operator into a running deployment.

    The method of a fault returns once the fault is over, and does nothing if no zone or target is
    available for it.

    Attributes:
        world: The deployment.
        pick_target: Returns the target that a fault affects.
        herd_kill: Kills all hosts at once and restarts them.
    """

    def __init__(
        self,
        world: FlowWorld,
        pick_target: Callable[[Fault], FlowTarget | None],
        herd_kill: Callable[[Fault], Awaitable[None]],
    ) -> None:
        self.world = world
        self.pick_target = pick_target
        self.herd_kill = herd_kill

    def may_evacuate(self, zone: str) -> bool:
        """Whether no zone is evacuated, and all services have targets in other zones."""
        return not self.world.judge.evacuated_at and all(
            any(target.zone != zone for target in self.world.serving(service))
            for service in ("desk", "store")
        )

    async def evacuate_zone(self, fault: Fault) -> None:
        """Evacuate a zone, return it to service and let its callers rush to it."""
        zones = self.world.layout.zones
        zone = zones[int(fault.selector * len(zones))]
        if self.may_evacuate(zone):
            self.world.operator.evacuate(zone)
            await asyncio.sleep(fault.duration_s)
            self.world.operator.end_evacuation(zone)
            await self.rush(zone)

    async def restart_target(self, fault: Fault) -> None:
        """Restart a target with the same id, and let the callers of its zone rush to it."""
        if (target := self.pick_target(fault)) is not None:
            self.world.judge.disturb(target.name)
            target.crash()
            await asyncio.sleep(fault.duration_s)
            await self.world.start_target(target)
            await self.rush(target.zone)

    async def slow_target(self, fault: Fault) -> None:
        """Make a target several times slower for a while."""
        if (target := self.pick_target(fault)) is not None:
            target.slowdown = SLOWDOWN
            await asyncio.sleep(fault.duration_s)
            target.slowdown = 1.0

    async def odd_routes(self, fault: Fault) -> None:
        """Add routes of uncommon kinds and a broken one to the configuration for a while.

        In half of the cases all hosts restart, and thus have no earlier configuration.
        """
        world = self.world
        if world.broken_fields is not None:
            return
        world.broken_fields = BROKEN_FIELDS[
            int(fault.selector * 2 * len(BROKEN_FIELDS)) % len(BROKEN_FIELDS)
        ]
        world.configure()
        if fault.selector >= MIN_HERD_SELECTOR:
            await self.herd_kill(fault)
        names = [host.ip for host in world.hosts]
        names += [f"zone {zone}" for zone in world.layout.zones]
        await world.odd_users.use(fault.duration_s, names)
        world.broken_fields = None
        world.configure()

    async def foreign_entries(self, fault: Fault) -> None:
        """Let another program write large and unreadable entries, and one over that of a target.

        At the end it removes them, and the target writes its own entry again.
        """
        store, start = self.world.store, f"servers/i-f{int(fault.selector * 1e6):06x}"
        entry = json.loads(self.world.targets[0].entry()) | {"zone": "unreadable"}
        foreign = {f"{start}{number}": LARGE_VALUE for number in range(LARGE_ENTRIES)}
        foreign[f"{start}f"] = json.dumps(entry).encode().replace(b"unreadable", UNREADABLE_ZONE)
        target = self.pick_target(fault)
        if target is not None:
            foreign[f"servers/{target.name}"] = UNREADABLE_VALUE
        for key, value in foreign.items():
            store.put(key, value)
        await asyncio.sleep(fault.duration_s)
        for key, value in foreign.items():
            if key in store.items and store.items[key].value == value:
                store.delete(key)
        if target is not None:
            await asyncio.sleep(fault.selector * MAX_UPDATE_DELAY_S)
            if target.alive:
                self.world.announce(target)

    async def rush(self, zone: str) -> None:
        """Let the callers of a zone open many flows, each for one request."""
        until = self.world.judge.now() + RUSH_S
        callers = [caller for caller in self.world.callers if caller.zone == zone]
        await asyncio.gather(*(self.open_flows(caller, until) for caller in callers))

    async def open_flows(self, caller: Caller, until: float) -> None:
        """Let a caller send one request after another, each on a flow of its own."""
        kind = KINDS["bid"]
        while self.world.judge.now() < until:
            await asyncio.sleep(caller.rng.expovariate(1 / RUSH_PAUSE_S))
            outcome = await caller.request(kind, address_of(kind.name))
            self.world.judge.ended(outcome, kind.repeatable)
