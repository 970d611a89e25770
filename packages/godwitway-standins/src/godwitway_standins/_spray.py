"""Which entry host the fabric hands a packet to: any of those it believes to be there."""

import random

from godwitway.addresses import Address

__all__ = ["Spray"]


class Spray:
    """Chooses a random entry for each packet.

    Attributes:
        entries: The doors of the entries that the fabric believes to be there.
        rng: The seeded random numbers.
    """

    __slots__ = ("entries", "rng")

    def __init__(self, entries: list[Address], rng: random.Random) -> None:
        self.entries = entries
        self.rng = rng

    def choose(self) -> Address | None:
        """Return the door for the next packet, or None when no entry is left."""
        return self.rng.choice(self.entries) if self.entries else None

    def add(self, entry: Address) -> None:
        """Begin to hand packets to an entry."""
        if entry not in self.entries:
            self.entries.append(entry)

    def remove(self, entry: Address) -> None:
        """Stop handing packets to an entry."""
        if entry in self.entries:
            self.entries.remove(entry)
