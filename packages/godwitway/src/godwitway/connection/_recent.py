"""A bounded memory of recent flows that forgets in generations."""

from typing import Generic, TypeVar

__all__ = ["RecentFlows"]

V = TypeVar("V")


class RecentFlows(Generic[V]):
    """A map from flow key to a value that keeps entries for one to two periods.

    Attributes:
        period: The length of a generation in seconds.
        capacity: How many entries a generation holds at most.
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
        """Return the value of a key, or None when it is not known."""
        value = self.current.get(key)
        return self.previous.get(key) if value is None else value

    def put(self, key: bytes, value: V, now: float) -> None:
        """Remember a value, and drop the older generation when it is time."""
        if now - self.rotated_at >= self.period_s or len(self.current) >= self.generation_capacity:
            self.rotate(now)
        self.current[key] = value

    def discard(self, key: bytes) -> None:
        """Drop a key."""
        self.current.pop(key, None)
        self.previous.pop(key, None)

    def rotate(self, now: float) -> None:
        """Start a new generation."""
        idle = now - self.rotated_at >= 2 * self.period_s
        self.previous = {} if idle else self.current
        self.current = {}
        self.rotated_at = now

    def rotate_if_due(self, now: float) -> None:
        """Start a new generation when the present one is old enough."""
        if now - self.rotated_at >= self.period_s:
            self.rotate(now)
