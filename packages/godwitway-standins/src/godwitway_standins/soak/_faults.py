"""Injects the planned faults from outside the host processes."""

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from godwitway.http import HttpConnection, HttpError

from godwitway_standins.flows import FlowTarget, FlowWorld, HostProcess
from godwitway_standins.flows._host_process import CONTROL_PORT
from godwitway_standins.soak._plan import RESTORE_KIND, UNEVEN_KINDS, WATCHERS_KIND, Fault
from godwitway_standins.soak._uneven_faults import UnevenFaults

__all__ = ["FaultInjector"]

RESTART_DELAY_S = 0.3
STOP_GRACE_S = 6.0  # The hosts' `stop_bound_s` setting (`STOP_BOUND_S` of `flows._host_process`).
# Delay until a crashed target's entry is deleted, as if the entry expired after three missed
# heartbeats; the stand-in's targets send none.
ENTRY_EXPIRY_S = 1.2
# Longer than `Bounds.drain_s` of `flows._judge`: the target serves on past the drain bound.
DRAIN_PERIOD_S = 4.5
MAX_CHANGE_DELAY_S = 1.0  # From a silence of the store to the changes that hosts must learn of.
STATE_TIMEOUT_S = 0.5
MIN_TARGETS = 4  # With fewer serving targets of service "desk", none is crashed or drained.
MAX_TARGETS = 14  # With as many serving targets of service "desk", none is added by `add_target`.
SLOW_STORE_DELAY_S = 0.25
MALFORMED_ENTRIES = (
    b"",
    b"{",
    b"[]",
    b'{"state": "ready"}',
    b'{"service": 5, "state": "odd"}',
    b"\xff",
)


async def watches_store(host: HostProcess) -> bool:
    """Return whether a host watches the store by its own account; False if it does not answer."""
    connection = HttpConnection((host.ip, CONTROL_PORT), STATE_TIMEOUT_S)
    try:
        response = await connection.request("GET", "/state", b"", STATE_TIMEOUT_S)
    except HttpError:
        return False  # It is down, paused or still starting.
    finally:
        connection.close()
    return json.loads(response.body)["watches"]


class FaultInjector:
    """Injects faults into a running deployment.

    The method of a fault returns once the fault is over, and does nothing if no host or target is
    available for it. Faults may overlap. At its end, a fault restores normal operation of the
    store, proxy or process that it affected, which ends overlapping faults there too; the end of a
    zone cut lets the packets of all hosts through again.

    Attributes:
        world: The deployment.
        judge: The deployment's judge, which checks the promises.
        down_hosts: Names of the hosts that a fault killed or is stopping, until they are restarted.
        uneven: Injects the faults of `UNEVEN_KINDS`.
    """

    def __init__(self, world: FlowWorld) -> None:
        self.world = world
        self.judge = world.judge
        self.down_hosts: set[str] = set()
        self.uneven = UnevenFaults(world, self.pick_target, self.herd_kill)

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and wait until it is over."""
        store_kinds = ("store_busy", "store_reset", "store_silent", "store_slow", "store_lost")
        if fault.kind == RESTORE_KIND:
            await self.restore_store(fault)
        elif fault.kind == WATCHERS_KIND:
            await self.silence_watchers(fault)
        elif fault.kind in store_kinds:
            await self.inject_store_fault(fault)
        elif fault.kind.startswith("host_store_"):
            await self.inject_proxy_fault(fault, fault.kind.removeprefix("host_store_"))
        else:
            injector = self.uneven if fault.kind in UNEVEN_KINDS else self
            method: Callable[[Fault], Awaitable[None]] = getattr(injector, fault.kind)
            await method(fault)

    def pick_host(self, fault: Fault) -> HostProcess | None:
        """Return the host that a fault affects, or None if fewer than two hosts are not down."""
        running = [host for host in self.world.hosts if host.name not in self.down_hosts]
        return running[int(fault.selector * len(running))] if len(running) > 1 else None

    def pick_target(self, fault: Fault) -> FlowTarget | None:
        """Return a target of service "desk", or None if fewer than `MIN_TARGETS` of them serve."""
        serving = self.world.serving("desk")
        if len(serving) < MIN_TARGETS:
            return None
        return serving[int(fault.selector * len(serving))]

    def mark_disturbed(
        self, host: HostProcess, duration_s: float = 0.0, planned: bool = False
    ) -> None:
        """Report a disturbance of a host to the judge, which then relaxes its bounds for the host.

        Args:
            host: The disturbed host.
            duration_s: Seconds from now for which the disturbance lasts.
            planned: Whether it is planned work, under which flows must be kept.
        """
        self.judge.disturb(host.ip, until=self.judge.now() + duration_s, planned=planned)

    async def kill_host(self, fault: Fault) -> None:
        """Kill a host and restart it."""
        if (host := self.pick_host(fault)) is not None:
            self.down_hosts.add(host.name)
            host.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            self.restart_host(host)

    def restart_host(self, host: HostProcess, planned: bool = False) -> None:
        """Start a host whose process has ended, and remove it from `down_hosts`.

        Args:
            host: The host.
            planned: Whether a planned stop ended the process.
        """
        self.mark_disturbed(host, planned=planned)
        host.start()
        self.down_hosts.discard(host.name)

    async def stop_host(self, fault: Fault) -> None:
        """Stop a host with SIGTERM and restart it.

        A host that is still running after `STOP_GRACE_S` is killed, and reported as a breach of
        GRACE unless it is paused, because a paused process does not handle SIGTERM.
        """
        host = self.pick_host(fault)
        if host is None:
            return
        self.down_hosts.add(host.name)
        self.mark_disturbed(host, STOP_GRACE_S, planned=True)
        host.signal(signal.SIGTERM)
        deadline = self.judge.now() + STOP_GRACE_S
        while not host.ended() and self.judge.now() < deadline:
            await asyncio.sleep(0.05)
        has_ended = host.ended()
        if not has_ended and not host.paused:
            self.judge.breach("GRACE", f"{host.name} did not end within {STOP_GRACE_S} s")
        host.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        self.restart_host(host, planned=has_ended)

    async def pause_host(self, fault: Fault) -> None:
        """Pause a host with SIGSTOP, and resume it with SIGCONT at the end of the fault."""
        if (host := self.pick_host(fault)) is not None:
            process = host.process
            self.mark_disturbed(host, fault.duration_s)
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            # The host may have been killed or restarted meanwhile.
            if host.process is process:
                host.signal(signal.SIGCONT)

    async def hup_host(self, fault: Fault) -> None:
        """Send a host SIGHUP, which makes it reload its settings; they are unchanged."""
        if (host := self.pick_host(fault)) is not None:
            host.signal(signal.SIGHUP)

    async def herd_kill(self, fault: Fault) -> None:
        """Kill all hosts that are not down, all at the same time, and restart them."""
        killed_hosts = [host for host in self.world.hosts if host.name not in self.down_hosts]
        for host in killed_hosts:
            self.down_hosts.add(host.name)
            host.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        for host in killed_hosts:
            self.restart_host(host)

    async def inject_store_fault(self, fault: Fault) -> None:
        """Make the store unavailable or slow, or make it process writes without an answer."""
        faults = self.world.store.faults
        self.judge.disturb("store", until=self.judge.now() + fault.duration_s)
        if fault.kind == "store_slow":
            faults.delay_s = SLOW_STORE_DELAY_S
        elif fault.kind == "store_lost":
            faults.lose_writes = True
        else:
            faults.down = fault.kind.removeprefix("store_")
        await asyncio.sleep(fault.duration_s)
        faults.delay_s, faults.lose_writes, faults.down = 0.0, False, ""
        self.judge.disturb("store")

    async def restore_store(self, fault: Fault) -> None:
        """Make the store unavailable, then restore it from one of its copies.

        Operator and targets write again what it has lost; see `FlowWorld.restore_store`. Meanwhile
        the operator changes the routes. The entries of targets that have ended expire.
        """
        store = self.world.store
        self.judge.disturb("store", until=self.judge.now() + fault.duration_s)
        store.faults.down = "reset"
        await asyncio.sleep(fault.duration_s)
        store.faults.down = ""
        self.judge.disturb("store")
        async with asyncio.TaskGroup() as writers:
            writers.create_task(self.world.restore_store(fault.selector))
            await asyncio.sleep(fault.selector)
            await self.config_routes(fault)
        await asyncio.sleep(ENTRY_EXPIRY_S)
        for target in self.world.targets:
            if not target.alive:
                store.delete(f"servers/{target.name}")

    async def inject_proxy_fault(self, fault: Fault, mode: str) -> None:
        """Disturb one host's connections to the store.

        Args:
            fault: The planned fault.
            mode: Mode of the host's proxy while the fault lasts, as in `TcpProxy.mode`.
        """
        if (host := self.pick_host(fault)) is not None:
            self.mark_disturbed(host, fault.duration_s)
            host.proxy.set_mode(mode)
            await asyncio.sleep(fault.duration_s)
            host.proxy.set_mode("pass")
            self.mark_disturbed(host)

    async def silence_watchers(self, fault: Fault) -> None:
        """Silence the store for the hosts that watch it, drain a target and change the routes."""
        watching = [host for host in self.world.hosts if await watches_store(host)]
        for host in watching:
            self.mark_disturbed(host, fault.duration_s)
            host.proxy.set_mode("silent")
        await asyncio.sleep(fault.selector * MAX_CHANGE_DELAY_S)
        async with asyncio.TaskGroup() as changes:
            changes.create_task(self.drain_target(fault))
            await self.config_routes(fault)
            await asyncio.sleep(fault.duration_s)
            for host in watching:
                host.proxy.set_mode("pass")
                self.mark_disturbed(host)

    async def store_compact(self, fault: Fault) -> None:
        """Make the store discard its history; watches from older revisions then fail."""
        self.judge.disturb("store")
        self.world.store.compact()

    async def crash_target(self, fault: Fault) -> None:
        """Crash a target, delete its store entry after `ENTRY_EXPIRY_S` and add a new target."""
        if (target := self.pick_target(fault)) is not None:
            self.judge.disturb(target.name)
            target.crash()
            await asyncio.sleep(ENTRY_EXPIRY_S)
            self.world.store.delete(f"servers/{target.name}")
            await self.world.add_target(target.service, target.zone)

    async def drain_target(self, fault: Fault) -> None:
        """Add a new target, drain the old one and remove it after `DRAIN_PERIOD_S`."""
        if (target := self.pick_target(fault)) is not None:
            await self.world.add_target(target.service, target.zone)
            target.draining = True
            self.world.announce(target)
            await asyncio.sleep(DRAIN_PERIOD_S)
            if target.alive:
                self.world.remove(target)

    async def add_target(self, fault: Fault) -> None:
        """Add a target of service "desk" in a zone, unless `MAX_TARGETS` of them serve already."""
        if len(self.world.serving("desk")) < MAX_TARGETS:
            zones = self.world.layout.zones
            await self.world.add_target("desk", zones[int(fault.selector * len(zones))])

    async def bad_entry(self, fault: Fault) -> None:
        """Write an invalid target entry, as a faulty writer would; it is not removed."""
        value = MALFORMED_ENTRIES[int(fault.selector * len(MALFORMED_ENTRIES))]
        self.world.store.put(f"servers/i-{int(fault.selector * 1e6):06x}", value)

    async def config_timeout(self, fault: Fault) -> None:
        """Change the routes' timeout in the configuration to a value from 1,200 to 1,799 ms."""
        self.world.timeout_ms = 1_200 + int(fault.selector * 600)
        self.world.configure()

    async def config_routes(self, fault: Fault) -> None:
        """Change the number of additional routes in the configuration to a value from 0 to 39."""
        self.world.extra_routes = int(fault.selector * 40)
        self.world.configure()

    async def cut_zone(self, fault: Fault) -> None:
        """Cut a zone's hosts off from the store and from the targets of other zones.

        Hosts of other zones are cut off from the zone's targets. Targets drop the packets and abort
        the health checks of hosts that are cut off from them. Traffic between hosts and to and from
        routers and callers is not affected.
        """
        zones = self.world.layout.zones
        zone = zones[int(fault.selector * len(zones))]
        other_zones = {other for other in zones if other != zone}
        until = self.judge.now() + fault.duration_s
        self.judge.disturb(*(f"zone {name}" for name in zones), until=until)
        for host in self.world.hosts:
            host.cuts = other_zones if host.zone == zone else {zone}
            if host.zone == zone:
                self.mark_disturbed(host, fault.duration_s)
                host.proxy.set_mode("silent")
        await asyncio.sleep(fault.duration_s)
        for host in self.world.hosts:
            host.cuts = set()
            if host.zone == zone:
                host.proxy.set_mode("pass")
                self.mark_disturbed(host)
        self.judge.disturb(*(f"zone {name}" for name in zones))
