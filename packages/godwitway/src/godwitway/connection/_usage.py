"""Usage of one target: its connections, its slots, and the queue of requests for a slot."""

import math
from collections import deque
from dataclasses import dataclass, field

from godwitway.connection._record import FlowRecord
from godwitway.version import Kind, Service, Target

__all__ = ["TargetUsage", "WaitingRequest"]

# Time constant of the mean that is compared with a kind's guaranteed share.
USAGE_DECAY_S = 2.0
QUEUE_LIMIT_PER_SLOT = 32


@dataclass(slots=True)
class WaitingRequest:
    """A request in the queue for a slot of its target.

    Attributes:
        key: The flow key.
        record: The flow record; its `pending_packet` is the request.
        deadline: When the request is refused, in seconds of the process's clock.
    """

    key: bytes
    record: FlowRecord
    deadline: float


@dataclass(slots=True)
class KindUsage:
    """Usage of one target by one kind of work.

    Attributes:
        busy_slots: Slots in use.
        mean_busy_slots: Exponentially decayed mean of the slots in use, as of
            `TargetUsage.updated_at`.
        queue: Requests that wait for a slot, oldest first.
    """

    busy_slots: int = 0
    mean_busy_slots: float = 0.0
    queue: deque[WaitingRequest] = field(default_factory=deque)


class TargetUsage:
    """Connections, slots and waiting requests of one target, counted by its owner.

    Attributes:
        service: The service of the target in the version in force of the configuration.
        target: The target in the version in force.
        connections: Flows of connection kinds that the target holds.
        busy_slots: Slots in use.
        waiting_count: Requests that wait for a slot, of all kinds.
        usage_by_kind: Usage by kind name.
        slot_seconds: Total time for which slots were in use, summed over all slots.
        updated_at: Time up to which the means and `slot_seconds` are computed, in seconds of
            the process's clock.
    """

    __slots__ = (
        "busy_slots",
        "connections",
        "service",
        "slot_seconds",
        "target",
        "updated_at",
        "usage_by_kind",
        "waiting_count",
    )

    def __init__(self, service: Service, target: Target, now: float) -> None:
        self.service = service
        self.target = target
        self.connections = 0
        self.busy_slots = 0
        self.waiting_count = 0
        self.usage_by_kind: dict[str, KindUsage] = {}
        self.slot_seconds = 0.0
        self.updated_at = now

    def usage_of(self, kind: Kind) -> KindUsage:
        """Return the usage by a kind, which starts at zero."""
        kind_usage = self.usage_by_kind.get(kind.name)
        if kind_usage is None:
            kind_usage = self.usage_by_kind[kind.name] = KindUsage()
        return kind_usage

    @property
    def free_slots(self) -> int:
        """Number of free slots; negative after the number of slots was reduced."""
        return self.target.slots - self.busy_slots

    @property
    def queue_limit(self) -> int:
        """Largest number of requests that may wait, of all kinds together."""
        return self.target.slots * QUEUE_LIMIT_PER_SLOT

    def update_means(self, now: float) -> None:
        """Compute the means and `slot_seconds` up to a time; call it before slots change."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / USAGE_DECAY_S)
        for kind_usage in self.usage_by_kind.values():
            kind_usage.mean_busy_slots = (
                kind_usage.mean_busy_slots * decay + kind_usage.busy_slots * (1 - decay)
            )
        self.slot_seconds += self.busy_slots * elapsed
        self.updated_at = now

    def add_flow(self, record: FlowRecord, now: float) -> None:
        """Count a flow that is not counted yet against its target."""
        record.is_counted = True
        if not record.kind.holds_slot:
            self.connections += 1
            return
        self.update_means(now)
        self.busy_slots += 1
        self.usage_of(record.kind).busy_slots += 1

    def remove_flow(self, record: FlowRecord, now: float) -> None:
        """Stop counting a flow; without effect if it is not counted."""
        if not record.is_counted:
            return
        record.is_counted = False
        if not record.kind.holds_slot:
            self.connections -= 1
            return
        self.update_means(now)
        self.busy_slots -= 1
        self.usage_of(record.kind).busy_slots -= 1

    def enqueue(self, waiting: WaitingRequest) -> WaitingRequest | None:
        """Add a request to the queue.

        Returns:
            None, or the request that a full queue evicts, which may be the added one. It is
            the newest request of the least urgent kind; kinds within their guaranteed share of
            the queue are spared as long as another kind exceeds its share.
        """
        self.usage_of(waiting.record.kind).queue.append(waiting)
        self.waiting_count += 1
        if self.waiting_count <= self.queue_limit:
            return None
        return self.evict_waiting()

    def evict_waiting(self) -> WaitingRequest:
        """Remove and return the request that a full queue evicts, see `enqueue`."""
        kinds = [kind for kind in self.service.kinds if self.queue_of(kind)]
        over_share = [kind for kind in kinds if self.is_queue_over_share(kind)] or kinds
        least = min(over_share, key=lambda kind: (kind.urgency, -len(self.queue_of(kind))))
        self.waiting_count -= 1
        return self.queue_of(least).pop()

    def queue_of(self, kind: Kind) -> deque[WaitingRequest]:
        """Return the waiting requests of a kind."""
        return self.usage_of(kind).queue

    def is_queue_over_share(self, kind: Kind) -> bool:
        """Whether a kind has more of the queue than its guaranteed share."""
        return len(self.queue_of(kind)) > kind.share * self.queue_limit

    def share_deficit(self, kind: Kind) -> float:
        """Return how far a kind is below its guaranteed share, as a fraction of it, 0 to 1."""
        if not kind.share or not self.target.slots:
            return 0.0
        used = self.usage_of(kind).mean_busy_slots / self.target.slots
        return max(0.0, (kind.share - used) / kind.share)

    def dequeue(self, now: float) -> WaitingRequest | None:
        """Remove and return the request that gets the next free slot.

        A kind furthest below its guaranteed share goes first, then the most urgent one. Within
        a kind, the oldest request goes first. None if no request waits.
        """
        if not self.waiting_count:
            return None
        self.update_means(now)
        kinds = [kind for kind in self.service.kinds if self.queue_of(kind)]
        chosen = max(kinds, key=lambda kind: (self.share_deficit(kind), kind.urgency))
        self.waiting_count -= 1
        return self.queue_of(chosen).popleft()

    def remove_waiting(self, key: bytes, kind: Kind) -> None:
        """Remove a request that no longer waits: cancelled, or run by another owner."""
        queue = self.queue_of(kind)
        kept = [waiting for waiting in queue if waiting.key != key]
        self.waiting_count -= len(queue) - len(kept)
        queue.clear()
        queue.extend(kept)

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        # Each queue is in order of deadline: all requests of a kind wait for the same time.
        removed = []
        for kind_usage in self.usage_by_kind.values():
            while kind_usage.queue and kind_usage.queue[0].deadline <= now:
                removed.append(kind_usage.queue.popleft())
        self.waiting_count -= len(removed)
        return removed

    def pop_all_waiting(self) -> list[WaitingRequest]:
        """Remove and return all waiting requests."""
        removed = [
            waiting for kind_usage in self.usage_by_kind.values() for waiting in kind_usage.queue
        ]
        for kind_usage in self.usage_by_kind.values():
            kind_usage.queue.clear()
        self.waiting_count = 0
        return removed
