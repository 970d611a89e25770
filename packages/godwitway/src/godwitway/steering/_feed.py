"""Keeps the replica complete by watching the store, on the hosts that watch it for the others."""

import asyncio
import random
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._listing import apply_listing
from godwitway.steering._replica import Difference, Replica
from godwitway.store import (
    Changes,
    CompactedError,
    SteeringStore,
    StoreError,
    StorePosition,
    UnusableResponseError,
)

__all__ = ["StoreFeed"]

# A few hosts watch for all others, which hear of no change while the store answers none of these.
# That is noticed at the end of a watch; see "From a change to the last host" in docs/DESIGN.md.
WATCH_WAIT_S = 0.6
# Of the first watch after an election or a request to poll: the host may lack changes already, and
# the store may give it no response either.
FIRST_WATCH_WAIT_S = 0.05
COALESCE_S = 0.25  # Collects the events of one planned change into one call.
FIRST_BACKOFF_S = 0.2  # Fifty times the store's usual response time of 4 ms.
# Leaves 2 s, after the store's return, of the 3 s within which a change must take effect.
MAX_BACKOFF_S = 1.0
START_DELAY_S = 1.0  # By then a started host has the reports from which it computes the election.
ELECTION_INTERVAL_S = 0.2  # Twice `REPORT_INTERVAL_S` in `_peers`.


class StoreFeed:
    """Lists and watches the store while this host is elected to do so.

    Attributes:
        store: The store.
        replica: The replica to keep complete.
        should_watch: Returns whether this host is elected to watch the store.
        on_store_call: Called with False after a failed call, and with True after a listing or a
            watch was applied; not called after an abandoned watch or one that a listing replaces.
        on_changes: Called with the changes that a watch returned while this host is elected.
        is_connected: The value that `on_store_call` was last called with; initially True.
        is_watching: Whether this host was elected when that was last checked.
        needs_listing: Whether the next call must be a listing of all keys.
        listing_delay_s: How long in seconds to wait before a listing replaces the next watch whose
            answer cannot be used; 0.0 after one that could be used.
        poll_requested: Whether to poll the store once although this host is not elected.
        wake_event: Set to abandon the current watch and start another.
    """

    def __init__(
        self,
        store: SteeringStore,
        replica: Replica,
        should_watch: Callable[[], bool],
        on_store_call: Callable[[bool], None],
        on_changes: Callable[[Difference], None],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.store = store
        self.replica = replica
        self.should_watch = should_watch
        self.on_store_call = on_store_call
        self.on_changes = on_changes
        self.rng = rng
        self.metrics = metrics
        self.journal = journal
        self.is_connected = True
        self.is_watching = False
        self.needs_listing = False
        self.listing_delay_s = 0.0
        self.poll_requested = False
        self.wake_event = asyncio.Event()

    def request_poll(self) -> None:
        """Poll the store once although this host may not be elected.

        Called when the other host that was chosen did not send the changes.
        """
        self.poll_requested = True
        self.metrics.count("store_asked")

    def restart_watch(self) -> None:
        """Start another watch at once, because the current one may have lost its connection."""
        self.wake_event.set()

    async def run(self) -> None:
        """Follow the store while this host is elected or a poll is requested; never returns."""
        backoff_s = FIRST_BACKOFF_S
        await asyncio.sleep(START_DELAY_S * self.rng.uniform(0.7, 1.3))
        while True:
            was_watching = self.is_watching
            if not self.update_election() and not self.poll_requested:
                await asyncio.sleep(ELECTION_INTERVAL_S)
                continue
            is_requested, self.poll_requested = self.poll_requested, False
            is_first = is_requested or not was_watching
            try:
                has_changes = await self.poll_store(
                    FIRST_WATCH_WAIT_S if is_first else WATCH_WAIT_S
                )
            except CompactedError:
                self.metrics.count("store_compactions")
                self.journal.event("history_lost", revision=self.replica.position.revision)
                self.needs_listing, self.poll_requested = True, is_requested
                continue
            except StoreError as error:
                if isinstance(error, UnusableResponseError) and not self.is_listing_due():
                    await self.replace_watch(str(error))
                    self.poll_requested = is_requested
                    continue
                self.record_failure(str(error))
                await asyncio.sleep(backoff_s * self.rng.uniform(0.7, 1.3))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            backoff_s = FIRST_BACKOFF_S
            if has_changes:
                await asyncio.sleep(COALESCE_S)

    async def replace_watch(self, reason: str) -> None:
        """Make the next call a listing, because the watch would get the same answer again.

        Its pages are limited in size, and the changes of a watch are not. Waits before that if the
        last watch was answered in vain too.
        """
        self.metrics.count("store_errors", "changes")
        self.journal.event(
            "changes_unusable", reason=reason, revision=self.replica.position.revision
        )
        self.needs_listing = True
        await asyncio.sleep(self.listing_delay_s)
        self.listing_delay_s = min(MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2 * self.listing_delay_s))

    def is_listing_due(self) -> bool:
        """Whether the next call must be a listing of all keys, and not a watch."""
        return self.needs_listing or not self.replica.has_listing

    def update_election(self) -> bool:
        """Check whether this host is elected to watch the store, and log a change.

        A newly elected host advertises the deletions that its own listing may not have shown.
        """
        is_watching = self.should_watch()
        if is_watching != self.is_watching:
            self.is_watching = is_watching
            self.journal.event("watch_begun" if is_watching else "watch_ended")
            if is_watching:
                self.replica.advertise_deletions()
        return is_watching

    async def poll_store(self, wait_s: float = WATCH_WAIT_S) -> bool:
        """List all keys, or watch for changes, and apply the answer.

        Args:
            wait_s: How long in seconds the store holds a watch open while there are no changes.

        Returns:
            True after a listing, or if the watch returned changes; False after a timeout or
            `restart_watch`.

        Raises:
            CompactedError: The store no longer has the changes after the replica's revision, or
                was restored since.
            StoreError: The store gave no usable answer.
        """
        if self.is_listing_due():
            listing = await self.store.range("")
            apply_listing(self.replica, listing, self.metrics, self.journal)
            self.replica.advertise_deletions()
            self.needs_listing = False
            self.record_answer()
            return True
        self.wake_event.clear()
        base = self.replica.position
        call = asyncio.ensure_future(self.store.changes("", base.revision, wait_s))
        waking = asyncio.ensure_future(self.wake_event.wait())
        try:
            await asyncio.wait([call, waking], return_when=asyncio.FIRST_COMPLETED)
        finally:
            waking.cancel()
            if not call.done():
                call.cancel()
        if not call.done():
            return False
        has_changes = self.apply_changes(base, call.result())
        self.listing_delay_s = 0.0
        self.record_answer()
        return has_changes

    def apply_changes(self, base: StorePosition, changes: Changes) -> bool:
        """Apply the answer to a watch, and pass the changes on if this host is elected.

        Args:
            base: The replica's position when the watch began.
            changes: The answer.

        Returns:
            Whether there were changes.

        Raises:
            CompactedError: The store was restored since the watch began.
            StoreError: The answer is from before a restore that this host knows of.
        """
        era, position_before = changes.position.era, self.replica.position
        if era > position_before.era:
            raise CompactedError(f"the store has begun era {era}")
        # Changes after a revision of another era are not those that the replica lacks.
        if era != base.era or not self.replica.apply_events(changes.events, changes.position):
            raise StoreError(f"a watch from era {base.era} was answered in era {era}")
        if changes.events and self.is_watching:
            self.on_changes(self.replica.difference_since(position_before))
        return bool(changes.events)

    def record_failure(self, reason: str) -> None:
        """Count a failed call, and log the first one after a call that did not fail."""
        self.metrics.count("store_errors", "watch")
        self.on_store_call(False)
        if self.is_connected:
            self.is_connected = False
            self.journal.event("store_lost", call="watch", reason=reason)

    def record_answer(self) -> None:
        """Record an answer that was applied, and log the first one after failures."""
        self.on_store_call(True)
        if not self.is_connected:
            self.is_connected = True
            self.journal.event("store_regained", revision=self.replica.position.revision)
