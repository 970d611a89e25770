"""Keeps the copy of the store complete, from the store or for a host that watches it."""

import asyncio
import random
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._replica import Difference, Replica
from godwitway.store import CompactedError, SteeringStore, StoreError

__all__ = ["Feed"]

# A watch that went silent ends by itself before bounds hold again: the platform lets four seconds
# pass after a disturbance, and then gives three for a change.
WAIT_S = 5.0
PACE_S = 0.4  # Collects the events of one planned change into one call.
BACKOFF_FIRST_S = 0.2  # Fifty ordinary answers of the store.
BACKOFF_MAX_S = 1.0  # Leaves two seconds of the 3 s bound after the store's return.
LISTEN_S = 1.0  # A host that has started hears in this time which others watch.
ELECTION_S = 0.2  # Two reports of a peer.


class Feed:
    """Follows the store while this host watches it.

    Attributes:
        store: The store.
        replica: What is kept complete.
        watches: Whether this host watches for its zone.
        on_reach: Called with whether a call was answered.
        on_changes: Called with what a call has brought.
        relist: Whether the next call is for all keys.
        asking_once: Whether the next call is made also without being chosen to watch.
        woken: Set when the store is to be asked anew.
    """

    def __init__(
        self,
        store: SteeringStore,
        replica: Replica,
        watches: Callable[[], bool],
        on_reach: Callable[[bool], None],
        on_changes: Callable[[Difference], None],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.store = store
        self.replica = replica
        self.watches = watches
        self.on_reach = on_reach
        self.on_changes = on_changes
        self.rng = rng
        self.metrics = metrics
        self.journal = journal
        self.connected = True
        self.watching = False
        self.relist = False
        self.asking_once = False
        self.woken = asyncio.Event()

    def ask_once(self) -> None:
        """Ask the store although others watch it, because none of them could tell the changes."""
        self.asking_once = True
        self.metrics.count("store_asked")

    def wake(self) -> None:
        """Ask the store anew at once, because a watch may be dead."""
        self.woken.set()

    async def run(self) -> None:
        """Follow the store for as long as the process lives."""
        backoff = BACKOFF_FIRST_S
        await asyncio.sleep(LISTEN_S * self.rng.uniform(0.7, 1.3))
        while True:
            if not self.elected() and not self.asking_once:
                await asyncio.sleep(ELECTION_S)
                continue
            self.asking_once = False
            try:
                changed = await self.step()
            except CompactedError:
                self.metrics.count("store_compactions")
                self.journal.event("history_lost", revision=self.replica.revision)
                self.relist = True
                continue
            except StoreError as error:
                self.lost(str(error))
                await asyncio.sleep(backoff * self.rng.uniform(0.7, 1.3))
                backoff = min(BACKOFF_MAX_S, backoff * 2)
                continue
            backoff = BACKOFF_FIRST_S
            self.regained()
            if changed:
                await asyncio.sleep(PACE_S)

    def elected(self) -> bool:
        """Whether this host watches; a change is logged."""
        watching = self.watches()
        if watching != self.watching:
            self.watching = watching
            self.journal.event("watch_begun" if watching else "watch_ended")
            if watching:
                self.replica.advertise_deletions()
        return watching

    async def step(self) -> bool:
        """Make one call; returns whether it brought changes."""
        if self.relist or not self.replica.has_listing:
            listing = await self.store.range("")
            self.replica.apply_listing(listing.items, listing.revision)
            self.replica.advertise_deletions()
            self.relist = False
            return True
        self.woken.clear()
        call = asyncio.ensure_future(self.store.changes("", self.replica.revision, WAIT_S))
        waking = asyncio.ensure_future(self.woken.wait())
        try:
            await asyncio.wait([call, waking], return_when=asyncio.FIRST_COMPLETED)
        finally:
            waking.cancel()
            if not call.done():
                call.cancel()
        if not call.done():
            return False
        changes = call.result()
        before = self.replica.revision
        self.replica.apply_events(changes.events, changes.revision)
        if changes.events and self.watching:
            self.on_changes(self.replica.difference_since(before))
        return bool(changes.events)

    def lost(self, reason: str) -> None:
        """Log the loss of the store once."""
        self.metrics.count("store_errors", "watch")
        self.on_reach(False)
        if self.connected:
            self.connected = False
            self.journal.event("store_lost", call="watch", reason=reason)

    def regained(self) -> None:
        """Log the return of the store once."""
        self.on_reach(True)
        if not self.connected:
            self.connected = True
            self.journal.event("store_regained", revision=self.replica.revision)
