"""What a host sees of flows that pass it: requests in progress, progress and retransmissions.

The table only measures. A flow whose record is lost goes on by its route token.
"""

from godwitway.steering._model import FlowPacket, Route, Target

__all__ = ["FlowRecord", "FlowTable", "TargetLoad", "advances", "is_after"]

SEQUENCE_SPACE = 1 << 32
HALF_SPACE = 1 << 31
OPENING_S = 1.6  # Callers give an unanswered handshake up after 1.4 s.
CLOSED_S = 1.0  # Longer than a round trip between the farthest zones.


def is_after(sequence: int, other: int) -> bool:
    """Whether a 32-bit sequence number comes after another one.

    >>> is_after(1, 0xFFFFFFFF), is_after(5, 5)
    (True, False)
    """
    return 0 < (sequence - other) % SEQUENCE_SPACE < HALF_SPACE


class TargetLoad:
    """The flows of one target that this host sees.

    Attributes:
        busy: Requests that wait for the first byte of their answer, opening flows included.
        idle: Open flows without a request in progress.
    """

    __slots__ = ("busy", "idle")

    def __init__(self) -> None:
        self.busy = 0
        self.idle = 0


class FlowRecord:
    """One flow as its packets show it.

    Attributes:
        target: Where it is.
        route: What it was opened for.
        opened: Whether the caller has answered the handshake.
        closed: Whether the caller has nothing more to send.
        waiting_since: When the request in progress was first sent on, or None.
        sent_end: The end of the caller's data that was sent on.
        sent_at: When data was last sent on that was new, or repeated after a while.
        acknowledged: The last byte that the caller acknowledged.
        stalled: How many packets came again without progress.
        requests: How many requests were sent on.
        touched: When its last packet came.
        reset_at: When this host last reset it, or None.
        tried: Targets that an opening packet was sent to.
        counted: Whether it counts in its target's load.
    """

    __slots__ = (
        "acknowledged",
        "closed",
        "counted",
        "opened",
        "requests",
        "reset_at",
        "route",
        "sent_at",
        "sent_end",
        "stalled",
        "target",
        "touched",
        "tried",
        "waiting_since",
    )

    def __init__(self, target: Target, route: Route, now: float) -> None:
        self.target = target
        self.route = route
        self.opened = False
        self.closed = False
        self.waiting_since: float | None = now
        self.sent_end: int | None = None
        self.sent_at = now
        self.acknowledged: int | None = None
        self.stalled = 0
        self.requests = 0
        self.touched = now
        self.reset_at: float | None = None
        self.tried = [target.id]
        self.counted = False


class FlowTable:
    """The flows that this host sees and the load that they are for each target.

    Attributes:
        flows: Flows by their packed addresses and ports.
        loads: Loads by target id.
        changed_targets: Targets whose load changed since the last report.
    """

    __slots__ = ("changed_targets", "flows", "loads")

    def __init__(self) -> None:
        self.flows: dict[bytes, FlowRecord] = {}
        self.loads: dict[str, TargetLoad] = {}
        self.changed_targets: set[str] = set()

    def load_of(self, target: Target) -> TargetLoad:
        """Return the load of a target."""
        load = self.loads.get(target.id)
        if load is None:
            load = self.loads[target.id] = TargetLoad()
        return load

    def count(self, flow: FlowRecord, sign: int) -> None:
        """Add a flow to its target's load, or take it out."""
        load = self.load_of(flow.target)
        if flow.waiting_since is not None:
            load.busy += sign
        else:
            load.idle += sign
        flow.counted = sign > 0
        self.changed_targets.add(flow.target.id)

    def add(self, key: bytes, flow: FlowRecord) -> None:
        """Add a flow."""
        self.remove(key)
        self.flows[key] = flow
        self.count(flow, 1)

    def remove(self, key: bytes) -> None:
        """Forget a flow."""
        flow = self.flows.pop(key, None)
        if flow is not None and flow.counted:
            self.count(flow, -1)

    def move(self, flow: FlowRecord, target: Target) -> None:
        """Count a flow at another target."""
        if flow.counted:
            self.count(flow, -1)
        flow.target = target
        self.count(flow, 1)

    def set_waiting(self, flow: FlowRecord, since: float | None) -> None:
        """Mark a request as in progress since a time, or as answered."""
        if (flow.waiting_since is None) != (since is None) and flow.counted:
            self.count(flow, -1)
            flow.waiting_since = since
            self.count(flow, 1)
        else:
            flow.waiting_since = since

    def close(self, flow: FlowRecord) -> None:
        """Take a flow that the caller closed out of the load."""
        flow.closed = True
        if flow.counted:
            self.count(flow, -1)

    def expire_flows(self, now: float, idle_timeout_s: float) -> None:
        """Forget flows that never opened, were closed, or idle for longer than the timeout."""
        expired = [
            key
            for key, flow in self.flows.items()
            if now - flow.touched > lifetime(flow, idle_timeout_s)
        ]
        for key in expired:
            self.remove(key)
        # A load without flows is dropped only once its emptiness was reported.
        for target_id, load in list(self.loads.items()):
            if not load.busy and not load.idle and target_id not in self.changed_targets:
                del self.loads[target_id]


def lifetime(flow: FlowRecord, idle_timeout_s: float) -> float:
    """Return for how long in seconds a flow without packets is kept."""
    if flow.closed:
        return CLOSED_S
    if not flow.opened:
        return OPENING_S
    if flow.waiting_since is not None:
        return min(idle_timeout_s, flow.route.timeout_s + CLOSED_S)
    return idle_timeout_s


def advances(flow: FlowRecord, packet: FlowPacket) -> bool:
    """Whether a packet acknowledges bytes that none before it did."""
    return flow.acknowledged is None or is_after(packet.acknowledged, flow.acknowledged)
