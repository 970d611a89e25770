"""The ledger of one target: its slots, connections, waiting requests and shares."""

import math
from collections import deque
from dataclasses import dataclass, field

from godwitway.connection._record import FlowRecord
from godwitway.version import Kind, Service, Target

__all__ = ["Ledger", "Waiting"]

USAGE_TIME_S = 2.0
WAITING_PER_SLOT = 32


@dataclass(slots=True)
class Waiting:
    """One request that waits for a slot.

    Attributes:
        key: The flow key.
        record: The flow record, which keeps the packet.
        deadline: When the request is refused, in seconds of the process's clock.
    """

    key: bytes
    record: FlowRecord
    deadline: float


@dataclass(slots=True)
class KindUse:
    """How much of a target one kind of work uses.

    Attributes:
        busy: The slots in use now.
        usage: The decayed mean of the slots in use.
        waiting: The requests that wait for a slot, oldest first.
    """

    busy: int = 0
    usage: float = 0.0
    waiting: deque[Waiting] = field(default_factory=deque)


class Ledger:
    """What an owner knows of one target.

    Attributes:
        service: The service of the target in the version in force.
        target: The target in the version in force.
        connections: How many flows hold a connection.
        busy: How many slots are in use.
        waiting: How many requests wait.
        uses: The use by kind name.
        slot_seconds: The total slot time so far, in seconds.
    """

    __slots__ = (
        "busy",
        "connections",
        "integrated",
        "service",
        "slot_seconds",
        "target",
        "uses",
        "waiting",
    )

    def __init__(self, service: Service, target: Target, now: float) -> None:
        self.service = service
        self.target = target
        self.connections = 0
        self.busy = 0
        self.waiting = 0
        self.uses: dict[str, KindUse] = {}
        self.slot_seconds = 0.0
        self.integrated = now

    def use_of(self, kind: Kind) -> KindUse:
        """Return the use of a kind."""
        use = self.uses.get(kind.name)
        if use is None:
            use = self.uses[kind.name] = KindUse()
        return use

    @property
    def free_slots(self) -> int:
        """How many slots are free."""
        return self.target.slots - self.busy

    @property
    def waiting_limit(self) -> int:
        """How many requests may wait at once."""
        return self.target.slots * WAITING_PER_SLOT

    def integrate(self, now: float) -> None:
        """Bring the decayed use of each kind up to a time."""
        elapsed = now - self.integrated
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / USAGE_TIME_S)
        for use in self.uses.values():
            use.usage = use.usage * decay + use.busy * (1 - decay)
        self.slot_seconds += self.busy * elapsed
        self.integrated = now

    def take(self, record: FlowRecord, now: float) -> None:
        """Count a flow against its target."""
        record.counted = True
        if not record.kind.holds_slot:
            self.connections += 1
            return
        self.integrate(now)
        self.busy += 1
        self.use_of(record.kind).busy += 1

    def release(self, record: FlowRecord, now: float) -> None:
        """Stop counting a flow against its target."""
        if not record.counted:
            return
        record.counted = False
        if not record.kind.holds_slot:
            self.connections -= 1
            return
        self.integrate(now)
        self.busy -= 1
        self.use_of(record.kind).busy -= 1

    def enqueue(self, waiting: Waiting) -> Waiting | None:
        """Let a request wait, and return the one that is turned away for it, if any.

        When the queue is full, the newest request of the least urgent kind is turned away;
        a kind within its guaranteed share goes last.
        """
        self.use_of(waiting.record.kind).waiting.append(waiting)
        self.waiting += 1
        if self.waiting <= self.waiting_limit:
            return None
        return self.turn_away()

    def turn_away(self) -> Waiting:
        """Remove the request that a full queue refuses first."""
        kinds = [kind for kind in self.service.kinds if self.queue_of(kind)]
        over_share = [kind for kind in kinds if self.waiting_over_share(kind)] or kinds
        least = min(over_share, key=lambda kind: (kind.urgency, -len(self.queue_of(kind))))
        self.waiting -= 1
        return self.queue_of(least).pop()

    def queue_of(self, kind: Kind) -> deque[Waiting]:
        """Return the waiting requests of a kind."""
        return self.use_of(kind).waiting

    def waiting_over_share(self, kind: Kind) -> bool:
        """Whether a kind has more of the queue than its guaranteed share."""
        return len(self.queue_of(kind)) > kind.share * self.waiting_limit

    def deficit(self, kind: Kind) -> float:
        """Return how far a kind is below its guaranteed share, as a part of that share."""
        if not kind.share or not self.target.slots:
            return 0.0
        used = self.use_of(kind).usage / self.target.slots
        return max(0.0, (kind.share - used) / kind.share)

    def next_waiting(self, now: float) -> Waiting | None:
        """Remove and return the request that gets the next free slot.

        A kind furthest below its guaranteed share goes first, then the most urgent one.
        """
        if not self.waiting:
            return None
        self.integrate(now)
        kinds = [kind for kind in self.service.kinds if self.queue_of(kind)]
        chosen = max(kinds, key=lambda kind: (self.deficit(kind), kind.urgency))
        self.waiting -= 1
        return self.queue_of(chosen).popleft()

    def remove_waiting(self, key: bytes, kind: Kind) -> None:
        """Remove a cancelled request from the queue."""
        queue = self.queue_of(kind)
        kept = [waiting for waiting in queue if waiting.key != key]
        self.waiting -= len(queue) - len(kept)
        queue.clear()
        queue.extend(kept)

    def expired(self, now: float) -> list[Waiting]:
        """Remove and return the requests whose deadline has passed."""
        gone = []
        for use in self.uses.values():
            while use.waiting and use.waiting[0].deadline <= now:
                gone.append(use.waiting.popleft())
        self.waiting -= len(gone)
        return gone

    def drop_all_waiting(self) -> list[Waiting]:
        """Remove and return all waiting requests."""
        gone = [waiting for use in self.uses.values() for waiting in use.waiting]
        for use in self.uses.values():
            use.waiting.clear()
        self.waiting = 0
        return gone
