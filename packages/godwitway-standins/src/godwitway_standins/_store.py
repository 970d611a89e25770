"""The platform's key-value service in memory, with its limits and its bad days."""

import asyncio
import random
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

from godwitway.process import (
    Clock,
    CompactedError,
    Compare,
    Delete,
    Get,
    KeyValue,
    LeaseNotFoundError,
    Put,
    RangeResult,
    StoreError,
    TxnResult,
    WatchEvent,
)

__all__ = ["MemoryStore", "StoreCopy", "StoreFaults"]

MAX_VALUE_BYTES = 1024 * 1024
WRITES_PER_S = 400
READS_PER_S = 2_000
CALL_S = 0.003
TIMEOUT_S = 2.0
WATCH_QUEUE = 10_000


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store now.

    Attributes:
        down: Whether no call is answered.
        slow_s: By how much each call is late, in seconds.
        lose_answers: How many of the next writes take effect without an answer.
        lose_writes: How many of the next writes have no effect and no answer.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The content of the store at one moment, from which it can be restored."""

    revision: int
    data: dict[str, KeyValue]
    leases: dict[int, float]
    lease_keys: dict[int, set[str]]


class RateLimit:
    """Counts calls in each second."""

    __slots__ = ("count", "limit", "second")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.second = 0
        self.count = 0

    def take(self, now: float) -> bool:
        """Count a call and return whether it is within the limit."""
        if int(now) != self.second:
            self.second, self.count = int(now), 0
        self.count += 1
        return self.count <= self.limit


class MemoryStore:
    """A store with compare-and-swap transactions, leases and watches.

    Attributes:
        clock: The clock.
        revision: The revision of the last change.
        data: The keys with their values.
        history: The changes that watches may still ask for.
        compacted: The revision up to which changes are gone.
        restores: How often the store was restored from a copy.
        faults: What is wrong now.
        calls: How many calls came, by name.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng
        self.revision = 1
        self.data: dict[str, KeyValue] = {}
        self.history: list[WatchEvent] = []
        self.compacted = 0
        self.restores = 0
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.leases: dict[int, float] = {}
        self.lease_keys: dict[int, set[str]] = {}
        self.next_lease = 1
        self.watchers: dict[asyncio.Event, None] = {}
        self.writes = RateLimit(WRITES_PER_S)
        self.reads = RateLimit(READS_PER_S)
        self.refused_calls: deque[str] = deque(maxlen=100)

    async def admit(self, name: str, limit: RateLimit) -> None:
        """Count a call, make it wait, and fail it when the store is down or over its limit."""
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.faults.down:
            await self.clock.sleep(TIMEOUT_S)
            raise StoreError(f"{name}: timeout")
        await self.clock.sleep(CALL_S + self.faults.slow_s)
        if not limit.take(self.clock.now()):
            self.refused_calls.append(name)
            raise StoreError(f"{name}: too many calls")
        self.expire_leases()

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix."""
        await self.admit("range", self.reads)
        items = [self.data[key] for key in sorted(self.data) if key.startswith(prefix)]
        return RangeResult(self.revision, items)

    async def txn(
        self,
        compares: list[Compare],
        then: list[Put | Delete | Get],
        otherwise: list[Put | Delete | Get],
    ) -> TxnResult:
        """Do one list of operations when all compares hold, and the other one when not."""
        is_write = any(not isinstance(operation, Get) for operation in [*then, *otherwise])
        await self.admit("txn", self.writes if is_write else self.reads)
        if is_write and self.faults.lose_writes:
            self.faults.lose_writes -= 1
            raise StoreError("txn: timeout")
        result = self.txn_now(compares, then, otherwise)
        if is_write and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            raise StoreError("txn: timeout")
        return result

    def txn_now(
        self,
        compares: list[Compare],
        then: list[Put | Delete | Get],
        otherwise: list[Put | Delete | Get],
    ) -> TxnResult:
        """Do a transaction at once."""
        holds = all(self.holds(compare) for compare in compares)
        operations = then if holds else otherwise
        for operation in operations:
            self.check(operation)
        wanted = [operation.key for operation in operations if isinstance(operation, Get)]
        found = [self.data[key] for key in wanted if key in self.data]
        changes = [operation for operation in operations if not isinstance(operation, Get)]
        if changes:
            self.change(changes)
        return TxnResult(holds, self.revision, found)

    def holds(self, compare: Compare) -> bool:
        """Whether a compare holds."""
        present = self.data.get(compare.key)
        return (present.mod_revision if present else 0) == compare.mod_revision

    def check(self, operation: Put | Delete | Get) -> None:
        """Refuse what the store would refuse."""
        if not isinstance(operation, Put):
            return
        if len(operation.value) > MAX_VALUE_BYTES:
            raise StoreError("txn: the value is too large")
        if operation.lease and operation.lease not in self.leases:
            raise LeaseNotFoundError("requested lease not found")

    def change(self, changes: list[Put | Delete]) -> None:
        """Apply changes at one new revision."""
        self.revision += 1
        for change in changes:
            if isinstance(change, Put):
                self.data[change.key] = KeyValue(change.key, change.value, self.revision)
                self.history.append(WatchEvent(change.key, change.value, self.revision))
                if change.lease:
                    self.lease_keys[change.lease].add(change.key)
            elif self.data.pop(change.key, None) is not None:
                self.history.append(WatchEvent(change.key, None, self.revision))
        for watcher in self.watchers:
            watcher.set()

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""
        await self.admit("grant", self.writes)
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = self.clock.now() + ttl_s
        self.lease_keys[lease] = set()
        return lease

    def expire_leases(self) -> None:
        """Delete the keys of leases that have lapsed."""
        now = self.clock.now()
        for lease in [lease for lease, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            keys = self.lease_keys.pop(lease)
            present = [Delete(key) for key in sorted(keys) if key in self.data]
            if present:
                self.change(present)

    def compact(self) -> None:
        """Forget the history; watches that ask for it end."""
        self.compacted = self.revision
        self.history.clear()
        for watcher in self.watchers:
            watcher.set()

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        lease_keys = {lease: set(keys) for lease, keys in self.lease_keys.items()}
        return StoreCopy(self.revision, dict(self.data), dict(self.leases), lease_keys)

    def restore(self, copy: StoreCopy) -> None:
        """Lose everything that was written since a copy; this ends all watches."""
        self.revision = copy.revision
        self.data = dict(copy.data)
        self.leases = dict(copy.leases)
        self.lease_keys = {lease: set(keys) for lease, keys in copy.lease_keys.items()}
        self.history.clear()
        self.compacted = copy.revision
        self.restores += 1
        for watcher in self.watchers:
            watcher.set()

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix from a revision on."""
        await self.admit("watch", self.reads)
        if revision <= self.compacted:
            raise CompactedError("watch: compacted")
        arrived = asyncio.Event()
        self.watchers[arrived] = None
        following, restores = revision, self.restores
        try:
            while True:
                if self.faults.down or self.restores != restores:
                    raise StoreError("watch: the connection broke")
                if following <= self.compacted and following <= self.revision:
                    raise CompactedError("watch: compacted")
                events = [event for event in self.history if event.mod_revision >= following]
                following = self.revision + 1
                wanted = [event for event in events if event.key.startswith(prefix)]
                if wanted:
                    yield wanted
                    continue
                arrived.clear()
                await arrived.wait()
        finally:
            self.watchers.pop(arrived, None)

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; an outage breaks all watches."""
        self.faults.down = down
        for watcher in self.watchers:
            watcher.set()

    def put_now(self, key: str, value: bytes) -> int:
        """Write a key without the limits, for set-up; return the revision."""
        self.change([Put(key, value)])
        return self.revision
