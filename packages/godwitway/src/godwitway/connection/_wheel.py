"""A timer wheel that finds flows whose time may have come, one bucket at a time."""

from collections import defaultdict
from collections.abc import Iterator

__all__ = ["TimerWheel"]

BUCKET_WIDTH_S = 0.1


class TimerWheel:
    """Flow keys in buckets by the time at which they are to be looked at again."""

    __slots__ = ("buckets", "next_bucket")

    def __init__(self, now: float) -> None:
        self.buckets: defaultdict[int, list[bytes]] = defaultdict(list)
        self.next_bucket = int(now / BUCKET_WIDTH_S)

    def schedule(self, key: bytes, when: float) -> None:
        """Look at a key again at a time in seconds of the process's clock."""
        bucket = max(int(when / BUCKET_WIDTH_S) + 1, self.next_bucket)
        self.buckets[bucket].append(key)

    def pop_due(self, now: float) -> Iterator[bytes]:
        """Yield and remove the keys whose time has come."""
        last = int(now / BUCKET_WIDTH_S)
        if last - self.next_bucket > len(self.buckets):
            numbers = sorted(number for number in self.buckets if number <= last)
        else:
            numbers = list(range(self.next_bucket, last + 1))
        self.next_bucket = last + 1
        for number in numbers:
            yield from self.buckets.pop(number, ())
