"""Probes of which configuration each host has in force, by routes that come and go."""

import asyncio
import random
from collections.abc import Callable

from godwitway_standins.flows._caller import Attempt, Caller, RequestType
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._router import Router

__all__ = ["RouteProber"]

PROBES_PER_S = 20.0  # At all hosts together.
PROBE_TIMEOUT_S = 0.4
LATEST_PROBABILITY = 0.5  # That a probe uses the route that changed last.
# A host counts a flow that moved away as a request in progress for some time; too many of them
# would make the hosts refuse callers.
MOVE_PROBABILITY = 0.2
MOVED_REQUEST = RequestType("moved", True, True, 0, 100, 1.0)

Address = tuple[str, int]


def flow_of(attempt: Attempt) -> bytes:
    """Return the flow as `Caller.transmit` names it to the routers."""
    return repr(attempt.key).encode()


class RouteProber:
    """Opens flows directly at single hosts, on routes that were added or dropped.

    Some flows that open on routes that come and go are moved to another host, as routers do, and
    used there.

    Attributes:
        judge: Knows the routes; gets what the hosts answer.
        router: Knows the hosts.
        lasting: The address of a route that is never dropped.
        rng: Chooses hosts and routes.
        callers: The callers that open the flows, by the name of the host.
        tasks: The running probes.
        moved: The name of the host that gets the packets of a moved flow, by flow.
        count: How many requests were sent on moved flows.
        may_move: Returns whether flows on a route, by its address, may be moved.
    """

    def __init__(self, judge: Judge, router: Router, lasting: Address, rng: random.Random) -> None:
        self.judge = judge
        self.router = router
        self.lasting = lasting
        self.rng = rng
        self.callers: dict[str, Caller] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.moved: dict[bytes, str] = {}
        self.count = 0
        self.may_move: Callable[[Address], bool] = lambda address: False

    def add_host(self, name: str, caller_address: Address) -> None:
        """Probe a host from now on, with a caller at an address."""
        caller = Caller(
            *caller_address, name, self.send, random.Random(self.rng.random()), f"p-{name}"
        )
        caller.sent = self.judge.sent
        caller.on_open = self.judge.opened
        caller.on_reset = self.check_reset
        self.callers[name] = caller

    def send(self, name: str, flow: bytes, raw: bytes) -> None:
        """Send a packet to a host, or to that of a moved flow, whether or not it is in rotation."""
        self.router.send_to(self.router.hosts[self.moved.get(flow, name)], raw)

    def check_reset(self, attempt: Attempt, by_target: bool) -> None:
        """Report the reset of a moved flow to the judge, unless its host is harmed."""
        name = self.moved.get(flow_of(attempt))
        if name is not None and self.judge.unharmed(self.router.hosts[name].packets[0]):
            self.judge.reset(attempt, by_target)

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
        """Open a flow, use it at another host if it is moved, and end it.

        Returns:
            How the flow ended by itself before it was open, empty if it opened.
        """
        caller = self.callers[name]
        deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
        attempt = await caller.open(address, deadline)
        ended = "" if attempt.opened else attempt.ended or "deadline"
        is_moved = self.may_move(address) and self.rng.random() < MOVE_PROBABILITY
        if is_moved and attempt.opened and len(self.callers) > 1:
            await self.use_moved(name, attempt)
        caller.forget(attempt)
        self.moved.pop(flow_of(attempt), None)
        return ended

    async def use_moved(self, name: str, attempt: Attempt) -> None:
        """Send a request on an open flow through another host than the one that opened it."""
        others = [other for other in self.callers if other != name]
        self.moved[flow_of(attempt)] = self.rng.choice(others)
        self.count += 1
        caller = self.callers[name]
        caller.send_request(attempt, MOVED_REQUEST, f"moved-{self.count}")
        deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
        await caller.wait_for_answer(attempt, deadline)

    def close(self) -> None:
        """End all probes."""
        for task in self.tasks:
            task.cancel()
        for caller in self.callers.values():
            caller.close()
