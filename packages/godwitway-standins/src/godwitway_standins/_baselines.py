"""The two baselines: plain rendezvous without owners, and round-robin with own tables."""

import asyncio
from typing import Any

import msgspec
from godwitway.addresses import Address, pack_address
from godwitway.process import receive_batches
from godwitway.request import SYN, flow_key, tcp_flags
from godwitway.version import EMPTY_SNAPSHOT, Service, Snapshot, Target, build_snapshot

from godwitway_standins._deployments import entry_address
from godwitway_standins._world import FABRIC, World

__all__ = ["RendezvousEntry", "RoundRobinEntry"]

CONFIG_LAG_MOST_S = 1.0


class BaselineEntry:
    """An entry host that forwards each packet by itself and knows no other entry."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.world = world
        self.name = f"entry-{number + 1}"
        self.zone = zone
        self.door: Address = entry_address(number)
        self.port = world.network.port(self.door, zone)
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.task: asyncio.Task[None] | None = None
        world.config_listeners.append(self.config_changed)
        self.load_config()

    def config_changed(self) -> None:
        """Take over a change a little later than other entries do."""
        lag = self.world.rng.uniform(0, CONFIG_LAG_MOST_S)
        asyncio.get_running_loop().call_later(lag, self.load_config)

    def load_config(self) -> None:
        """Take over the services as last written."""
        changes = [
            (name, msgspec.json.encode(document), 1)
            for name, document in self.world.documents.items()
        ]
        self.snapshot, _ = build_snapshot(EMPTY_SNAPSHOT, 1, changes)

    def start(self) -> None:
        """Start forwarding."""
        self.task = asyncio.ensure_future(self.run())

    async def stop(self) -> None:
        """Stop; there is nothing to hand over."""
        await self.world.clock.sleep(2.0)
        self.kill()

    def kill(self) -> None:
        """Let the host die."""
        if self.task is not None:
            self.task.cancel()
        self.port.close()

    def pause(self, paused: bool) -> None:
        """Freeze or unfreeze the host."""
        self.port.pause(paused)

    async def run(self) -> None:
        """Forward packets for ever."""
        async for batch in receive_batches(self.port):
            for packet, source in batch:
                self.packet(packet, source)

    def packet(self, packet: bytes, source: Address) -> None:
        """Forward one packet."""
        key = flow_key(packet)
        if key is None:
            return
        found = self.snapshot.find_service_and_kind(key)
        if found is None:
            if pack_address(source) in self.snapshot.targets_by_id:
                self.port.send(packet, FABRIC)
            return
        target = self.choose(key, packet, found[0])
        if target is not None:
            self.port.send(packet, target.address)

    def choose(self, key: bytes, packet: bytes, service: Service) -> Target | None:
        """Return the target for a packet."""
        raise NotImplementedError


class RendezvousEntry(BaselineEntry):
    """Sends each packet to the first target of the flow's order that does not drain."""

    def choose(self, key: bytes, packet: bytes, service: Service) -> Target | None:
        """Return the target for a packet."""
        candidates = service.candidates(key)
        active = [target for target in candidates if not target.is_draining]
        return next(iter(active or candidates), None)


class RoundRobinEntry(BaselineEntry):
    """Gives new flows to targets in turn and remembers them in a table of its own."""

    def __init__(self, world: World, number: int, zone: str) -> None:
        self.table: dict[bytes, Any] = {}
        self.turn = number
        super().__init__(world, number, zone)

    def choose(self, key: bytes, packet: bytes, service: Service) -> Target | None:
        """Return the target for a packet."""
        known = self.table.get(key)
        if known is not None and not tcp_flags(packet) & SYN:
            return service.targets_by_id.get(known)
        active = [target for target in service.targets if not target.is_draining]
        if not active:
            return None
        self.turn += 1
        target = active[self.turn % len(active)]
        self.table[key] = target.id
        return target
