"""Probes of which configuration each host has in force, by routes that come and go."""

import asyncio
import random

from godwitway_standins.flows._caller import Caller
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._router import Router

__all__ = ["RouteProber"]

PROBES_PER_S = 20.0  # At all hosts together.
PROBE_TIMEOUT_S = 0.4
LATEST_PROBABILITY = 0.5  # That a probe uses the route that changed last.

Address = tuple[str, int]


class RouteProber:
    """Opens flows directly at single hosts, on routes that were added or dropped.

    Attributes:
        judge: Knows the routes; gets what the hosts answer.
        router: Knows the hosts.
        lasting: The address of a route that is never dropped.
        rng: Chooses hosts and routes.
        callers: The callers that open the flows, by the name of the host.
        tasks: The running probes.
    """

    def __init__(self, judge: Judge, router: Router, lasting: Address, rng: random.Random) -> None:
        self.judge = judge
        self.router = router
        self.lasting = lasting
        self.rng = rng
        self.callers: dict[str, Caller] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def add_host(self, name: str, caller_address: Address) -> None:
        """Probe a host from now on, with a caller at an address."""
        self.callers[name] = Caller(
            *caller_address, name, self.send, random.Random(self.rng.random()), f"p-{name}"
        )

    def send(self, name: str, flow: bytes, raw: bytes) -> None:
        """Send a packet to a host, whether or not it is in rotation."""
        self.router.send_to(self.router.hosts[name], raw)

    def choose_route(self) -> Address | None:
        """Return the address of a route that was added or dropped, None without any."""
        changed_at = self.judge.routed_at | self.judge.dropped
        routes = [address for address in changed_at if address != self.lasting]
        if not routes:
            return None
        if self.rng.random() < LATEST_PROBABILITY:
            return max(routes, key=changed_at.__getitem__)
        return self.rng.choice(routes)

    async def run(self) -> None:
        """Probe random hosts on random routes; never returns."""
        while True:
            await asyncio.sleep(1 / PROBES_PER_S)
            address = self.choose_route()
            if address is None or not self.callers:
                continue
            name = self.rng.choice(list(self.callers))
            task = asyncio.ensure_future(self.probe(name, address))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def probe(self, name: str, address: Address) -> None:
        """Open a flow on a route, and report a reset to the judge.

        A host may also refuse new flows for want of targets; it then refuses those on the lasting
        route as well.
        """
        sent_at = self.judge.now()
        if await self.open(name, address) == "reset" and not await self.open(name, self.lasting):
            self.judge.refused_route(self.router.hosts[name].packets[0], address, sent_at)

    async def open(self, name: str, address: Address) -> str:
        """Open a flow and end it; returns how it ended by itself, empty if it opened."""
        caller = self.callers[name]
        deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
        attempt = await caller.open(address, deadline)
        ended = "" if attempt.opened else attempt.ended or "deadline"
        caller.forget(attempt)
        return ended

    def close(self) -> None:
        """End all probes."""
        for task in self.tasks:
            task.cancel()
        for caller in self.callers.values():
            caller.close()
