"""Keeps a replica complete: one task for each prefix of the store."""

import asyncio
import random

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._replica import Replica
from godwitway.store import CompactedError, FleetStore, StoreError

__all__ = ["Feed"]

WAIT_S = 25.0  # A watch is one call; the store allows 30 s.
PACE_S = 0.25  # Collects the events of one planned change into one call.
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 1.0  # Leaves two seconds of the 3 s bound after the store's return.


class Feed:
    """Follows one prefix of the store.

    Attributes:
        store: The store.
        replica: What is kept complete.
        connected: Whether the last call succeeded.
        connected_at: When a call last succeeded.
    """

    def __init__(
        self,
        store: FleetStore,
        replica: Replica,
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.store = store
        self.replica = replica
        self.rng = rng
        self.metrics = metrics
        self.journal = journal
        self.connected = True
        self.relist = False
        self.woken = asyncio.Event()

    def wake(self) -> None:
        """Ask the store anew at once, because there are changes that this host lacks."""
        self.woken.set()

    async def run(self) -> None:
        """Follow the prefix for as long as the process lives."""
        backoff = BACKOFF_FIRST_S
        while True:
            try:
                changed = await self.step()
            except CompactedError:
                self.metrics.count("store_compactions")
                self.journal.event("history_lost", prefix=self.replica.prefix)
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

    async def step(self) -> bool:
        """Make one call; returns whether it brought changes."""
        if self.relist or not self.replica.listed:
            listing = await self.store.range(self.replica.prefix)
            self.replica.apply_listing(listing.items, listing.revision)
            self.relist = False
            return True
        self.woken.clear()
        call = asyncio.ensure_future(
            self.store.changes(self.replica.prefix, self.replica.revision, WAIT_S)
        )
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
        self.replica.apply_events(changes.events, changes.revision)
        return bool(changes.events)

    def lost(self, reason: str) -> None:
        """Log the loss of the store once."""
        self.metrics.count("store_errors", self.replica.prefix)
        if self.connected:
            self.connected = False
            self.journal.event("store_lost", prefix=self.replica.prefix, reason=reason)

    def regained(self) -> None:
        """Log the return of the store once."""
        if not self.connected:
            self.connected = True
            self.journal.event(
                "store_regained", prefix=self.replica.prefix, revision=self.replica.revision
            )
