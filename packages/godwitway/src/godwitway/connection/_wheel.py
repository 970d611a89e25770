"""Timer wheel that schedules checks of flow records."""

from collections import defaultdict
from collections.abc import Iterator

__all__ = ["TimerWheel"]

BUCKET_WIDTH_S = 0.1


class TimerWheel:
    """Flow keys in buckets of `BUCKET_WIDTH_S` by the time of their next check.

    A key may be scheduled several times; entries cannot be cancelled. The caller checks
    whether the flow still exists and has really expired.

    Attributes:
        buckets: Flow keys by bucket number, which is the time divided by the bucket width.
        next_bucket: Number of the first bucket that `pop_due` has not emptied.
    """

    __slots__ = ("buckets", "next_bucket")

    def __init__(self, now: float) -> None:
        self.buckets: defaultdict[int, list[bytes]] = defaultdict(list)
        self.next_bucket = int(now / BUCKET_WIDTH_S)

    def schedule(self, key: bytes, when: float) -> None:
        """Schedule a key for a time in seconds of the process's clock.

        The key becomes due at that time or up to one bucket width later, never earlier.
        """
        bucket = max(int(when / BUCKET_WIDTH_S) + 1, self.next_bucket)
        self.buckets[bucket].append(key)

    def pop_due(self, now: float) -> Iterator[bytes]:
        """Yield and remove the keys that are due.

        Keys that the caller schedules while it iterates go to later buckets, also if their time
        has passed.
        """
        last = int(now / BUCKET_WIDTH_S)
        # After a long gap there are more bucket numbers than buckets, so only the buckets that
        # exist are visited.
        if last - self.next_bucket > len(self.buckets):
            numbers = sorted(number for number in self.buckets if number <= last)
        else:
            numbers = list(range(self.next_bucket, last + 1))
        self.next_bucket = last + 1
        for number in numbers:
            yield from self.buckets.pop(number, ())
