"""Keeps revisions rising when the store is restored from a copy and gives them out again."""

from collections.abc import AsyncIterator, Callable

from godwitway.journal import Journal
from godwitway.process._store import Compare, Get, Operation, Put, Store, TxnResult
from godwitway.store import CompactedError, KeyValue, RangeResult, StoreError, WatchEvent

__all__ = ["CONFIG_PREFIX", "OFFSET_KEY", "REVISION_MARKER_KEY", "RenumberedStore"]

CONFIG_PREFIX = "/godwitway/config/"
REVISION_MARKER_KEY = CONFIG_PREFIX + "marker"
OFFSET_KEY = CONFIG_PREFIX + "revision-offset"
MAX_TXN_ATTEMPTS = 3  # Each attempt fails only if another host changed the offset meanwhile.
NEVER_REVISION = -1  # Unlike 0, which stands for an absent key.


class RenumberedStore:
    """Adds an offset to all revisions of a store.

    The offset is 0 until the store is restored. A call that is answered with a lower revision than
    one that was known when the call began shows a restore. The first host to see it raises the
    offset, so that the next change follows every revision that was known before; the offset is kept
    in the store for the other hosts.

    A restore is not noticed if the store has given out all known revisions again before the next
    call.

    Attributes:
        store: The store.
        learned_revision: Returns the highest revision that this host has learned of by other means.
        journal: The event log.
        offset: What is added to the store's revisions.
        offset_version: The store's own revision of the offset's key, 0 without the key.
        newest_revision: The highest revision in the store's answers, with the offset added.
    """

    __slots__ = (
        "journal",
        "learned_revision",
        "newest_revision",
        "offset",
        "offset_version",
        "store",
    )

    def __init__(self, store: Store, learned_revision: Callable[[], int], journal: Journal) -> None:
        self.store = store
        self.learned_revision = learned_revision
        self.journal = journal
        self.offset = 0
        self.offset_version = 0
        self.newest_revision = 0

    def known_revision(self) -> int:
        """Return the highest revision that this host knows of."""
        return max(self.newest_revision, self.learned_revision())

    def note_revision(self, revision: int) -> None:
        """Record a revision in an answer of the store."""
        self.newest_revision = max(self.newest_revision, revision)

    def adopt_offset(self, items: list[KeyValue]) -> None:
        """Use the offset among items of the store; 0 if it is not among them.

        Raises:
            StoreError: The offset's value is not a whole number.
        """
        item = next((item for item in items if item.key == OFFSET_KEY), None)
        if item is not None and not item.value.isdigit():
            raise StoreError(f"{OFFSET_KEY} is not a whole number: {item.value!r:.40}")
        self.offset = int(item.value) if item else 0
        self.offset_version = item.mod_revision if item else 0

    def renumber_item(self, item: KeyValue) -> KeyValue:
        """Return an item with the offset added to its revision."""
        return KeyValue(item.key, item.value, item.mod_revision + self.offset)

    def renumber_compare(self, compare: Compare) -> Compare:
        """Return a condition on the store's own revision."""
        if not compare.mod_revision:
            return compare
        revision = compare.mod_revision - self.offset
        return Compare(compare.key, revision if revision > 0 else NEVER_REVISION)

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix at one revision.

        Raises:
            StoreError: A call got no usable answer, or the store was restored again meanwhile.
        """
        known = self.known_revision()
        result = await self.store.range(prefix)
        if OFFSET_KEY.startswith(prefix):
            self.adopt_offset(result.items)
        if result.revision + self.offset < known:
            await self.raise_offset(known)
            result = await self.store.range(prefix)
            if result.revision + self.offset < known:
                raise StoreError(f"the store went back to revision {result.revision}")
        revision = result.revision + self.offset
        self.note_revision(revision)
        return RangeResult(revision, [self.renumber_item(item) for item in result.items])

    async def txn(
        self, compares: list[Compare], then: list[Operation], otherwise: list[Operation]
    ) -> TxnResult:
        """Execute `then` atomically when all compares hold, else `otherwise`; see `Store.txn`.

        `otherwise` may be executed several times.

        Raises:
            StoreError: A call got no usable answer, or other hosts changed the offset again and
                again.
        """
        for _ in range(MAX_TXN_ATTEMPTS):
            known = self.known_revision()
            conditions = [self.renumber_compare(compare) for compare in compares]
            if conditions:
                conditions.append(Compare(OFFSET_KEY, self.offset_version))
            result = await self.store.txn(
                conditions, [*then, Get(OFFSET_KEY)], [*otherwise, Get(OFFSET_KEY)]
            )
            used_version = self.offset_version
            self.adopt_offset(result.found)
            if result.revision + self.offset < known:
                await self.raise_offset(known)
            if result.succeeded or self.offset_version == used_version:
                return self.renumber_result(result)
        raise StoreError("the revisions of the store were renumbered several times")

    def renumber_result(self, result: TxnResult) -> TxnResult:
        """Return the outcome of a transaction with the offset added to its revisions.

        If the offset was raised after the transaction, the outcome has that later revision: what
        the transaction wrote comes into force with it.
        """
        revision = max(result.revision, self.offset_version) + self.offset
        self.note_revision(revision)
        found = [self.renumber_item(item) for item in result.found if item.key != OFFSET_KEY]
        return TxnResult(result.succeeded, revision, found)

    async def raise_offset(self, known: int) -> None:
        """Raise the offset until the store's next revision follows a known one.

        The marker of the configuration is written as well, so that hosts put the restored
        configuration in force as a newer one.
        """
        read = await self.store.txn([], [Get(OFFSET_KEY)], [])
        self.adopt_offset(read.found)
        if read.revision + self.offset >= known:
            return
        offset = known - read.revision
        result = await self.store.txn(
            [Compare(OFFSET_KEY, self.offset_version)],
            [Put(OFFSET_KEY, str(offset).encode()), Put(REVISION_MARKER_KEY, b"restored")],
            [Get(OFFSET_KEY)],
        )
        if not result.succeeded:
            self.adopt_offset(result.found)
            return
        self.journal.event("store_went_back", store=read.revision, known=known, offset=offset)
        self.offset, self.offset_version = offset, result.revision

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease with a time to live in seconds and return its id."""
        return await self.store.grant_lease(ttl_s)

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix, the first revision included; see `Store.watch`.

        Raises:
            CompactedError: The offset has changed, so that the caller's revisions are outdated.
        """
        offset = self.offset
        async for events in self.store.watch(prefix, max(1, revision - offset)):
            if any(event.key == OFFSET_KEY for event in events) or self.offset != offset:
                raise CompactedError("the revisions of the store were renumbered")
            renumbered = [
                WatchEvent(event.key, event.value, event.mod_revision + offset) for event in events
            ]
            self.note_revision(max(event.mod_revision for event in renumbered))
            yield renumbered
