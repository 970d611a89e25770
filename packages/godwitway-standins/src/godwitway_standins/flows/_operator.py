"""The operator of the platform, who evacuates zones."""

from collections.abc import Callable

from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._metadata import MetadataServer

__all__ = ["EVACUATE_PREFIX", "Operator"]

EVACUATE_PREFIX = "op/evacuate/"


class Operator:
    """Writes and removes the keys of evacuations.

    Attributes:
        store: The store.
        judge: Checks that evacuated zones get no new flows.
        on_return: Called with a zone when its evacuation ends.
    """

    def __init__(self, store: MetadataServer, judge: Judge) -> None:
        self.store = store
        self.judge = judge
        self.on_return: Callable[[str], None] = lambda zone: None

    def is_current(self, key: str) -> bool:
        """Whether a key is that of an evacuation that has not ended."""
        return key.removeprefix(EVACUATE_PREFIX) in self.judge.evacuated_at

    def evacuate(self, zone: str) -> None:
        """Begin the evacuation of a zone."""
        self.store.put(EVACUATE_PREFIX + zone, b"{}")
        self.judge.evacuated_at[zone] = self.judge.now()

    def end_evacuation(self, zone: str) -> None:
        """End the evacuation of a zone."""
        self.judge.evacuated_at.pop(zone, None)
        self.store.delete(EVACUATE_PREFIX + zone)
        self.on_return(zone)

    def remove_ended(self) -> None:
        """Remove the keys of ended evacuations, which a restored store may have again."""
        for key in [key for key in self.store.items if key.startswith(EVACUATE_PREFIX)]:
            if not self.is_current(key):
                self.store.delete(key)
