"""Restores the platform's store from copies, and writes again what it has lost."""

import asyncio
import random
from collections import deque
from collections.abc import Callable

from godwitway_standins.flows._metadata import MetadataServer, StoreCopy

__all__ = ["StoreCopies"]

COPY_INTERVAL_S = 1.0
MAX_COPIES = 12
WRITE_AGAIN_S = 2.0  # Until operator and targets have repeated what the store has lost.
OUTSIDE_PREFIXES = ("op/", "servers/")  # Of the keys that operator and targets write.


class StoreCopies:
    """Copies of the store from the last seconds.

    Attributes:
        store: The store.
        rng: Chooses when lost values are written again.
        copies: The copies, the oldest first.
    """

    def __init__(self, store: MetadataServer, rng: random.Random) -> None:
        self.store = store
        self.rng = rng
        self.copies: deque[StoreCopy] = deque([store.copy()], maxlen=MAX_COPIES)

    async def run(self) -> None:
        """Copy the store every `COPY_INTERVAL_S`; never returns."""
        while True:
            await asyncio.sleep(COPY_INTERVAL_S)
            self.copies.append(self.store.copy())

    def restore(self, age: float) -> dict[str, bytes]:
        """Restore the store from a copy; later copies are dropped.

        Args:
            age: Chooses the copy, from 0 for the latest to 1 (exclusive) for the oldest.

        Returns:
            The writes of operator and targets that are lost: values by key.
        """
        before = self.store.items
        for _ in range(int(age * len(self.copies))):
            self.copies.pop()
        self.store.restore(self.copies[-1])
        return {
            key: item.value
            for key, item in before.items()
            if key.startswith(OUTSIDE_PREFIXES) and self.store.items.get(key) is not item
        }

    async def write_again(
        self, lost: dict[str, bytes], is_valid: Callable[[str, bytes], bool]
    ) -> None:
        """Write lost values again, each once at a random time within `WRITE_AGAIN_S`.

        Args:
            lost: Values by key.
            is_valid: Whether the writer of a key would still write a value.
        """
        restored = dict(self.store.items)
        keys = self.rng.sample(sorted(lost), len(lost))
        started_at = asyncio.get_running_loop().time()
        delays_s = sorted(self.rng.uniform(0.0, WRITE_AGAIN_S) for _ in keys)
        for key, delay_s in zip(keys, delays_s, strict=True):
            await asyncio.sleep(started_at + delay_s - asyncio.get_running_loop().time())
            # A key that was written meanwhile has a newer value.
            if self.store.items.get(key) is restored.get(key) and is_valid(key, lost[key]):
                self.store.put(key, lost[key])
