"""A fair limit on the packets that one entry takes from the fabric."""

from collections import Counter

__all__ = ["IngressBudget"]

WINDOW_S = 0.1


class IngressBudget:
    """Gives each service a fair part of the packets that the door can take.

    Packets of known flows count but always pass; when the window's budget is used up, only
    services below their fair part may open new flows.

    Attributes:
        packets_per_window: The budget of one window.
        used: The packets of each service in this window.
        before: The packets of each service in the last window.
    """

    __slots__ = ("before", "packets_per_window", "total", "used", "window_start")

    def __init__(self, packets_per_s: int, now: float) -> None:
        self.packets_per_window = packets_per_s * WINDOW_S
        self.window_start = now
        self.used: Counter[str] = Counter()
        self.before: Counter[str] = Counter()
        self.total = 0

    def start_batch(self, now: float) -> None:
        """Start a new window when the present one is over."""
        if now - self.window_start < WINDOW_S:
            return
        stale = now - self.window_start >= 2 * WINDOW_S
        self.before = Counter() if stale else self.used
        self.used = Counter()
        self.total = 0
        self.window_start = now

    def admit_packet(self, service: str, first: bool) -> bool:
        """Count a packet and return whether it may pass.

        >>> budget = IngressBudget(20, 0.0)
        >>> [budget.admit_packet("a", True) for _ in range(3)], budget.admit_packet("b", True)
        ([True, True, False], True)
        """
        if first and self.total >= self.packets_per_window and not self.within_part(service):
            return False
        self.used[service] += 1
        self.total += 1
        return True

    def within_part(self, service: str) -> bool:
        """Whether a service has had less than its fair part of this window."""
        active = len(self.used.keys() | self.before.keys() | {service})
        return self.used[service] < self.packets_per_window / active
