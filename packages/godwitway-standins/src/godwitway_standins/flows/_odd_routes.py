"""Callers of routes that have an uncommon kind, or stand beside a broken one."""

import asyncio
import itertools

from godwitway_standins.flows._caller import Caller, RequestType
from godwitway_standins.flows._config import KINDS, ODD_KINDS, address_of, odd_address_of
from godwitway_standins.flows._judge import Bounds, Judge

__all__ = ["OddRouteUsers"]

PAUSE_S = 0.3
MIN_REQUESTS = 5  # Of a kind, to judge how many of them were served.
MIN_SERVED_SHARE = 0.5  # A target that crashes or is slow meanwhile fails fewer of them.

Address = tuple[str, int]


class OddRouteUsers:
    """Sends requests on all routes while some are of an uncommon kind and one is broken.

    Attributes:
        judge: Gets the kinds that were not served.
        callers: The callers, one in each zone.
    """

    def __init__(self, judge: Judge, callers: list[Caller]) -> None:
        self.judge = judge
        self.callers = callers

    async def use(self, seconds: float, names: list[str]) -> None:
        """Send requests for some time, then report kinds with too few served requests.

        Only those requests count that were sent later than the bound of a configuration after the
        call, while nothing was disturbed. Requests of different kinds run concurrently, so that
        those without an answer do not delay the others.

        Args:
            seconds: How long to send requests.
            names: The hosts and zones that must be undisturbed, besides the store.
        """
        accepted_at = self.judge.now()
        addresses = {odd_address_of(name): kind for name, kind in ODD_KINDS.items()}
        addresses |= {address_of(name): kind for name, kind in KINDS.items()}
        results: dict[str, list[str]] = {kind.name: [] for kind in addresses.values()}

        def counts() -> bool:
            is_in_force = self.judge.lateness(accepted_at) > Bounds.config_s
            return is_in_force and self.judge.calm(*names, "store")

        async def send_requests(caller: Caller, address: Address, kind: RequestType) -> None:
            while self.judge.now() < accepted_at + seconds:
                await asyncio.sleep(PAUSE_S)
                is_counted = counts()
                outcome = await caller.request(kind, address)
                self.judge.ended(outcome, kind.repeatable)
                if is_counted and counts():
                    results[kind.name].append(outcome.result)

        async with asyncio.TaskGroup() as senders:
            for caller, (address, kind) in itertools.product(self.callers, addresses.items()):
                senders.create_task(send_requests(caller, address, kind))
        for kind, ended in results.items():
            self.check(kind, ended)

    def check(self, kind: str, results: list[str]) -> None:
        """Report a kind of request of which too few were served."""
        served = results.count("served")
        if len(results) >= MIN_REQUESTS and served < MIN_SERVED_SHARE * len(results):
            self.judge.breach(
                "KINDS",
                f"{served} of {len(results)} {kind} requests were served beside uncommon routes",
            )
