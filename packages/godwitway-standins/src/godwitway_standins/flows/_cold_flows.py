"""Counts the new flows that cold targets take, against the limit of the users' platform."""

from collections import defaultdict, deque

__all__ = ["COLD_LIMIT", "COLD_OVER", "COLD_PER_S", "COLD_SLACK", "COLD_START_S", "ColdFlows"]

COLD_START_S = 2.0
COLD_PER_S = 0.0
COLD_OVER = 1.5
COLD_SLACK = 5.0
COLD_LIMIT = COLD_PER_S * COLD_OVER + COLD_SLACK  # New flows within `WINDOW_S`.
WINDOW_S = 1.0


class ColdFlows:
    """The new flows of cold targets within the last second.

    Attributes:
        opened_at: When the caller sent the first opening packet of a flow, by flow.
        recent: When flows were opened and arrived, by target, in the order of their arrival.
    """

    def __init__(self) -> None:
        self.opened_at: dict[tuple[str, int, str, int], float] = {}
        self.recent: dict[str, deque[tuple[float, float]]] = defaultdict(deque)

    def record(self, target: str, key: tuple[str, int, str, int], now: float) -> int:
        """Record that a cold target took a flow.

        Packets that a host held back, for example while it was paused, arrive together; flows that
        were opened before the window do not count. A window that ends at an arrival contains all
        flows of any other window with the same last arrival, so it suffices to check these.

        Returns:
            The number of flows that were opened and arrived within the second that ends now.
        """
        recent = self.recent[target]
        recent.append((self.opened_at.get(key, now), now))
        while recent[0][1] <= now - WINDOW_S:
            recent.popleft()
        return sum(opened_at > now - WINDOW_S for opened_at, _ in recent)
