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

    __slots__ = ("capacity", "current", "period", "previous", "turned")

    def __init__(self, period: float, capacity: int, now: float) -> None:
        self.period = period
        self.capacity = capacity
        self.current: dict[bytes, V] = {}
        self.previous: dict[bytes, V] = {}
        self.turned = now

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)

    def get(self, key: bytes) -> V | None:
        """Return the value of a key, or None when it is not known."""
        value = self.current.get(key)
        return self.previous.get(key) if value is None else value

    def put(self, key: bytes, value: V, now: float) -> None:
        """Remember a value, and drop the older generation when it is time."""
        if now - self.turned >= self.period or len(self.current) >= self.capacity:
            self.turn(now)
        self.current[key] = value

    def forget(self, key: bytes) -> None:
        """Drop a key."""
        self.current.pop(key, None)
        self.previous.pop(key, None)

    def turn(self, now: float) -> None:
        """Start a new generation."""
        idle = now - self.turned >= 2 * self.period
        self.previous = {} if idle else self.current
        self.current = {}
        self.turned = now

    def expire(self, now: float) -> None:
        """Start a new generation when the present one is old enough."""
        if now - self.turned >= self.period:
            self.turn(now)
