"""How each planned fault is brought about, from outside of the programs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from godwitway_standins.flows import FlowTarget, FlowWorld, HostProcess
from godwitway_standins.soak._plan import Fault

__all__ = ["FaultInjector"]

RESTART_S = 0.3
GRACE_S = 6.0
LAPSE_S = 1.2  # Three beats of a target.
LEAVE_S = 4.5  # A target serves on for the drain bound and a little longer.
FEWEST_TARGETS = 4
MOST_TARGETS = 14
SLOW_S = 0.25
ENTRIES = (b"", b"{", b"[]", b'{"state": "ready"}', b'{"service": 5, "state": "odd"}', b"\xff")


class FaultInjector:
    """Brings faults about in a world.

    Attributes:
        world: The deployment.
        down: Hosts that are down or stopping by plan, by name.
    """

    def __init__(self, world: FlowWorld) -> None:
        self.world = world
        self.judge = world.judge
        self.down: set[str] = set()

    async def inject(self, fault: Fault) -> None:
        """Bring one fault about and end it after its time."""
        store_faults = ("store_busy", "store_reset", "store_silent", "store_slow", "store_lost")
        if fault.kind in store_faults:
            await self.disturb_store(fault)
        elif fault.kind.startswith("host_store_"):
            await self.disturb_proxy(fault, fault.kind.removeprefix("host_store_"))
        else:
            action: Callable[[Fault], Awaitable[None]] = getattr(self, fault.kind)
            await action(fault)

    def host(self, fault: Fault) -> HostProcess | None:
        """Return the host that a fault strikes, if one is up."""
        up = [host for host in self.world.hosts if host.name not in self.down]
        return up[int(fault.pick * len(up))] if len(up) > 1 else None

    def target(self, fault: Fault) -> FlowTarget | None:
        """Return the target that a fault strikes; some are always left."""
        serving = self.world.serving("desk")
        if len(serving) < FEWEST_TARGETS:
            return None
        return serving[int(fault.pick * len(serving))]

    def touch(self, host: HostProcess, lasts: float = 0.0) -> None:
        """Take note that a host is disturbed."""
        self.judge.disturb(host.ip, until=self.judge.now() + lasts)

    async def kill_host(self, fault: Fault) -> None:
        """Kill a host and start it again."""
        if (host := self.host(fault)) is not None:
            self.down.add(host.name)
            host.kill()
            await asyncio.sleep(RESTART_S)
            self.restart(host)

    def restart(self, host: HostProcess) -> None:
        """Start a host that is down."""
        self.touch(host)
        host.start()
        self.down.discard(host.name)

    async def stop_host(self, fault: Fault) -> None:
        """Stop a host by plan and start it again."""
        host = self.host(fault)
        if host is None:
            return
        self.down.add(host.name)
        self.touch(host, GRACE_S)
        host.signal(signal.SIGTERM)
        deadline = self.judge.now() + GRACE_S
        while not host.ended() and self.judge.now() < deadline:
            await asyncio.sleep(0.05)
        if not host.ended() and not host.paused:
            self.judge.breach("GRACE", f"{host.name} did not end within {GRACE_S} s")
        host.kill()
        await asyncio.sleep(RESTART_S)
        self.restart(host)

    async def pause_host(self, fault: Fault) -> None:
        """Let a host stand still."""
        if (host := self.host(fault)) is not None:
            process = host.process
            self.touch(host, fault.lasts)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.lasts)
            if host.process is process:
                host.signal(signal.SIGCONT)

    async def hup_host(self, fault: Fault) -> None:
        """Tell a host that its settings changed."""
        if (host := self.host(fault)) is not None:
            host.signal(signal.SIGHUP)

    async def herd_kill(self, fault: Fault) -> None:
        """Kill all hosts at once and start them again."""
        struck = [host for host in self.world.hosts if host.name not in self.down]
        for host in struck:
            self.down.add(host.name)
            host.kill()
        await asyncio.sleep(RESTART_S)
        for host in struck:
            self.restart(host)

    async def disturb_store(self, fault: Fault) -> None:
        """Let the store be down or slow, or lose answers."""
        faults = self.world.store.faults
        self.judge.disturb("store", until=self.judge.now() + fault.lasts)
        if fault.kind == "store_slow":
            faults.delay_s = SLOW_S
        elif fault.kind == "store_lost":
            faults.lose_writes = True
        else:
            faults.down = fault.kind.removeprefix("store_")
        await asyncio.sleep(fault.lasts)
        faults.delay_s, faults.lose_writes, faults.down = 0.0, False, ""
        self.judge.disturb("store")

    async def disturb_proxy(self, fault: Fault, mode: str) -> None:
        """Disturb the connections of one host to the store."""
        if (host := self.host(fault)) is not None:
            self.touch(host, fault.lasts)
            host.proxy.set_mode(mode)
            await asyncio.sleep(fault.lasts)
            host.proxy.set_mode("pass")
            self.touch(host)

    async def store_compact(self, fault: Fault) -> None:
        """Let the store forget its history."""
        self.judge.disturb("store")
        self.world.store.compact()

    async def crash_target(self, fault: Fault) -> None:
        """Let a target end without a word; its entry lapses later."""
        if (target := self.target(fault)) is not None:
            self.judge.disturb(target.name)
            target.crash()
            await asyncio.sleep(LAPSE_S)
            self.world.store.delete(f"servers/{target.name}")
            await self.world.add_target(target.service, target.zone)

    async def drain_target(self, fault: Fault) -> None:
        """Replace a target: the new one first, then the old one leaves."""
        if (target := self.target(fault)) is not None:
            await self.world.add_target(target.service, target.zone)
            target.draining = True
            self.world.announce(target)
            await asyncio.sleep(LEAVE_S)
            if target.alive:
                self.world.remove(target)

    async def add_target(self, fault: Fault) -> None:
        """Add a target."""
        if len(self.world.serving("desk")) < MOST_TARGETS:
            zones = self.world.layout.zones
            await self.world.add_target("desk", zones[int(fault.pick * len(zones))])

    async def bad_entry(self, fault: Fault) -> None:
        """Let another writer leave an entry that cannot be read."""
        value = ENTRIES[int(fault.pick * len(ENTRIES))]
        self.world.store.put(f"servers/i-{int(fault.pick * 1e6):06x}", value)

    async def config_timeout(self, fault: Fault) -> None:
        """Change a time-out in the configuration."""
        self.world.timeout_ms = 1_200 + int(fault.pick * 600)
        self.world.configure()

    async def config_routes(self, fault: Fault) -> None:
        """Add routes or remove them."""
        self.world.extra_routes = int(fault.pick * 40)
        self.world.configure()

    async def cut_zone(self, fault: Fault) -> None:
        """Cut a zone off from the targets of other zones and from the store."""
        zones = self.world.layout.zones
        zone = zones[int(fault.pick * len(zones))]
        others = {other for other in zones if other != zone}
        until = self.judge.now() + fault.lasts
        self.judge.disturb(*(f"zone {name}" for name in zones), until=until)
        for host in self.world.hosts:
            host.cuts = others if host.zone == zone else {zone}
            if host.zone == zone:
                self.touch(host, fault.lasts)
                host.proxy.set_mode("silent")
        await asyncio.sleep(fault.lasts)
        for host in self.world.hosts:
            host.cuts = set()
            if host.zone == zone:
                host.proxy.set_mode("pass")
                self.touch(host)
        self.judge.disturb(*(f"zone {name}" for name in zones))
