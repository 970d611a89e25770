"""The rate limit on packets that one host accepts, shared fairly between services."""

from collections import Counter

__all__ = ["IngressBudget"]

WINDOW_S = 0.1


class IngressBudget:
    """Limits the packets of each time window and divides the limit equally between services.

    Every packet that `admit_packet` lets pass is counted; a packet that cannot open a flow always
    passes. Once a window's budget is spent, packets that may open a flow pass only for services
    below their fair share. `Ingress` forwards most packets of established flows on this host's own
    targets without asking the budget, so they are neither limited nor counted.

    Attributes:
        packets_per_window: The budget of one window, in packets.
        window_start: When the current window began, in seconds of the process's clock.
        previous_counts: Packets by service name in the previous window.
        counts: Packets by service name in the current window.
        total: Packets of all services in the current window.
    """

    __slots__ = ("counts", "packets_per_window", "previous_counts", "total", "window_start")

    def __init__(self, packets_per_s: int, now: float) -> None:
        self.packets_per_window = packets_per_s * WINDOW_S
        self.window_start = now
        self.counts: Counter[str] = Counter()
        self.previous_counts: Counter[str] = Counter()
        self.total = 0

    def update_window(self, now: float) -> None:
        """Begin a new window if the current one is over; call it before each batch."""
        if now - self.window_start < WINDOW_S:
            return
        is_outdated = now - self.window_start >= 2 * WINDOW_S
        self.previous_counts = Counter() if is_outdated else self.counts
        self.counts = Counter()
        self.total = 0
        self.window_start = now

    def admit_packet(self, service: str, opens_flow: bool) -> bool:
        """Count a packet and return whether it may pass; a rejected one is not counted.

        Args:
            service: The name of the service that the packet is addressed to.
            opens_flow: Whether the packet may open a flow, which is True for every UDP datagram,
                also for one of an existing flow.

        >>> budget = IngressBudget(20, 0.0)
        >>> [budget.admit_packet("a", True) for _ in range(3)], budget.admit_packet("b", True)
        ([True, True, False], True)
        """
        if (
            opens_flow
            and self.total >= self.packets_per_window
            and not self.is_below_fair_share(service)
        ):
            return False
        self.counts[service] += 1
        self.total += 1
        return True

    def is_below_fair_share(self, service: str) -> bool:
        """Return whether a service is below its fair share of the current window.

        Services with packets in this or the previous window share the budget equally.
        """
        active_services = len(self.counts.keys() | self.previous_counts.keys() | {service})
        return self.counts[service] < self.packets_per_window / active_services
