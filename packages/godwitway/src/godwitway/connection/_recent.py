"""Bounded map of recent flows whose entries expire by generation."""

from typing import Generic, TypeVar

__all__ = ["RecentFlows"]

V = TypeVar("V")


class RecentFlows(Generic[V]):
    """Map from key to value that keeps entries for one to two periods, or less if it is full.

    Entries are written to the current generation. A rotation makes it the previous one and
    drops the generation before it, so that expiry costs no work per entry. Entries expire only
    by rotation: in `put`, and in `rotate_if_due`, which is to be called regularly.

    Attributes:
        period_s: Length of a generation in seconds.
        generation_capacity: Largest number of entries of a generation. A full generation is
            rotated early, so the map holds at most twice this number, and entries may expire
            before one period is over.
        current: Entries of the current generation.
        previous: Entries of the previous generation.
        rotated_at: Time of the last rotation in seconds of the process's clock.
    """

    __slots__ = ("current", "generation_capacity", "period_s", "previous", "rotated_at")

    def __init__(self, period_s: float, generation_capacity: int, now: float) -> None:
        self.period_s = period_s
        self.generation_capacity = generation_capacity
        self.current: dict[bytes, V] = {}
        self.previous: dict[bytes, V] = {}
        self.rotated_at = now

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)

    def get(self, key: bytes) -> V | None:
        """Return the value of a key, or None if neither generation has one.

        The time is not checked, so an entry is returned until a rotation drops it.
        """
        value = self.current.get(key)
        return self.previous.get(key) if value is None else value

    def put(self, key: bytes, value: V, now: float) -> None:
        """Store a value, after a rotation if the current generation is due or full."""
        if now - self.rotated_at >= self.period_s or len(self.current) >= self.generation_capacity:
            self.rotate(now)
        self.current[key] = value

    def discard(self, key: bytes) -> None:
        """Remove a key from both generations if it is present."""
        self.current.pop(key, None)
        self.previous.pop(key, None)

    def rotate(self, now: float) -> None:
        """Start a new generation, and drop the previous one.

        After two periods without a rotation the current one is outdated too and is dropped.
        """
        is_outdated = now - self.rotated_at >= 2 * self.period_s
        self.previous = {} if is_outdated else self.current
        self.current = {}
        self.rotated_at = now

    def rotate_if_due(self, now: float) -> None:
        """Rotate if the current generation is at least one period old."""
        if now - self.rotated_at >= self.period_s:
            self.rotate(now)
