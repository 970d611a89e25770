"""Records of the flows that pass a host: requests in progress, progress and retransmissions.

An established flow with a record is forwarded to the record's target, any other by the route token
of its packets, so a lost record breaks no flow. Records also provide the load of each target and
the evidence of whether it is reachable.
"""

from godwitway.steering._model import FlowPacket, Route, Target

__all__ = [
    "FlowRecord",
    "FlowTable",
    "TargetLoad",
    "acknowledges_new_data",
    "belongs_to_flow",
    "is_later",
    "opens_flow",
]

SEQUENCE_SPACE = 1 << 32
HALF_SEQUENCE_SPACE = 1 << 31
HANDSHAKE_RETENTION_S = 1.6  # Callers abandon an unanswered handshake after 1.4 s.
# How far a caller's sequence numbers may be from the last one that this host has seen of the flow;
# other hosts may have forwarded the data between. First sequence numbers are random, so packets of
# two flows with the same ports are rarely that close.
MAX_SEQUENCE_DISTANCE = 1 << 24
CLOSED_RETENTION_S = 1.0  # Longer than a round trip between the farthest zones.


def is_later(sequence: int, other: int) -> bool:
    """Whether a 32-bit sequence number is later than another one, with wrap-around.

    >>> is_later(1, 0xFFFFFFFF), is_later(5, 5)
    (True, False)
    """
    return 0 < (sequence - other) % SEQUENCE_SPACE < HALF_SEQUENCE_SPACE


class TargetLoad:
    """The load of one target due to the flows that pass this host.

    Attributes:
        busy: The number of requests that wait for the first byte of their response, including
            flows whose handshake is not complete.
        idle: The number of open flows without a request in progress.
    """

    __slots__ = ("busy", "idle")

    def __init__(self) -> None:
        self.busy = 0
        self.idle = 0


class FlowRecord:
    """The state of one flow, derived from the caller's packets.

    Times are in seconds of the process's clock.

    Attributes:
        target: The target that the flow's packets are forwarded to.
        route: The route that the flow was opened for.
        is_established: Whether the caller has completed the handshake.
        is_closed: Whether the caller has closed its side, or this host has reset the flow.
        waiting_since: When the request in progress was first forwarded, or the flow was opened;
            None while no request is in progress.
        forwarded_end: The sequence number after the last data byte forwarded, or None.
        forwarded_at: When data was last forwarded that was new or a retransmission.
        acknowledged: The highest acknowledgment number of the caller, or None.
        stall_count: The number of retransmissions since the caller last acknowledged new data. The
            first acknowledgment, usually that of the handshake, does not count.
        opening_sequence: The sequence number of the flow's opening packet; None if this host has
            not seen it.
        last_sequence: The sequence number of the flow's last packet.
        request_count: The number of requests forwarded.
        load_at_request: The requests for each slot of the target, including the last request of
            this flow, when that was forwarded; 0.0 before.
        requests_at_start: The requests in progress at the target then.
        last_seen_at: When the flow's last packet arrived.
        reset_at: When this host last reset the flow, or None.
        tried_targets: The ids of the targets that an opening packet was forwarded to.
        is_counted: Whether the flow is included in its target's load.
    """

    __slots__ = (
        "acknowledged",
        "forwarded_at",
        "forwarded_end",
        "is_closed",
        "is_counted",
        "is_established",
        "last_seen_at",
        "last_sequence",
        "load_at_request",
        "opening_sequence",
        "request_count",
        "requests_at_start",
        "reset_at",
        "route",
        "stall_count",
        "target",
        "tried_targets",
        "waiting_since",
    )

    def __init__(self, target: Target, route: Route, now: float, packet: FlowPacket) -> None:
        self.target = target
        self.route = route
        self.opening_sequence = packet.sequence if packet.opening else None
        self.last_sequence = packet.sequence
        self.is_established = False
        self.is_closed = False
        self.waiting_since: float | None = now
        self.forwarded_end: int | None = None
        self.forwarded_at = now
        self.acknowledged: int | None = None
        self.stall_count = 0
        self.request_count = 0
        self.load_at_request = 0.0
        self.requests_at_start = 0.0
        self.last_seen_at = now
        self.reset_at: float | None = None
        self.tried_targets = [target.id]
        self.is_counted = False


class FlowTable:
    """The flows that pass this host, and the load that they put on each target.

    Attributes:
        flows: Flow records by flow key.
        loads: Loads by target id.
        changed_targets: The ids of the targets whose load or suspicion changed since the last
            report to the other hosts.
    """

    __slots__ = ("changed_targets", "flows", "loads")

    def __init__(self) -> None:
        self.flows: dict[bytes, FlowRecord] = {}
        self.loads: dict[str, TargetLoad] = {}
        self.changed_targets: set[str] = set()

    def load_of(self, target: Target) -> TargetLoad:
        """Return the load of a target; a target without flows gets an empty one."""
        load = self.loads.get(target.id)
        if load is None:
            load = self.loads[target.id] = TargetLoad()
        return load

    def adjust_load(self, flow: FlowRecord, sign: int) -> None:
        """Add a flow to its target's load (`sign` 1) or subtract it (-1)."""
        load = self.load_of(flow.target)
        if flow.waiting_since is not None:
            load.busy += sign
        else:
            load.idle += sign
        flow.is_counted = sign > 0
        self.changed_targets.add(flow.target.id)

    def add(self, key: bytes, flow: FlowRecord) -> None:
        """Add a flow under its key, in place of an earlier flow with that key."""
        self.remove(key)
        self.flows[key] = flow
        self.adjust_load(flow, 1)

    def remove(self, key: bytes) -> None:
        """Remove a flow and its load; an unknown key is ignored."""
        flow = self.flows.pop(key, None)
        if flow is not None and flow.is_counted:
            self.adjust_load(flow, -1)

    def move(self, flow: FlowRecord, target: Target) -> None:
        """Assign a flow, and its load, to another target."""
        if flow.is_counted:
            self.adjust_load(flow, -1)
        flow.target = target
        self.adjust_load(flow, 1)

    def set_waiting(self, flow: FlowRecord, since: float | None) -> None:
        """Set since when a request is in progress, or None once it is answered."""
        if (flow.waiting_since is None) != (since is None) and flow.is_counted:
            self.adjust_load(flow, -1)
            flow.waiting_since = since
            self.adjust_load(flow, 1)
        else:
            flow.waiting_since = since

    def close(self, flow: FlowRecord) -> None:
        """Mark a flow as closed and remove it from its target's load; the record stays."""
        flow.is_closed = True
        if flow.is_counted:
            self.adjust_load(flow, -1)

    def expire_flows(self, now: float, idle_timeout_s: float) -> None:
        """Remove flows without packets for longer than their retention time.

        Loads of targets without flows are removed too, once other hosts have been sent a zero.

        Args:
            now: The time in seconds.
            idle_timeout_s: The idle timeout of the configuration in force.
        """
        expired = [
            key
            for key, flow in self.flows.items()
            if now - flow.last_seen_at > retention_time_s(flow, idle_timeout_s)
        ]
        for key in expired:
            self.remove(key)
        # A load of zero must have been reported to the other hosts before it is dropped.
        for target_id, load in list(self.loads.items()):
            if not load.busy and not load.idle and target_id not in self.changed_targets:
                del self.loads[target_id]


def retention_time_s(flow: FlowRecord, idle_timeout_s: float) -> float:
    """Return how many seconds a flow is kept after its last packet."""
    if flow.is_closed:
        return CLOSED_RETENTION_S
    if not flow.is_established:
        return HANDSHAKE_RETENTION_S
    if flow.waiting_since is not None:
        return min(idle_timeout_s, flow.route.timeout_s + CLOSED_RETENTION_S)
    return idle_timeout_s


def belongs_to_flow(flow: FlowRecord, packet: FlowPacket) -> bool:
    """Whether a packet is one of a recorded flow, not of another flow with the same ports.

    A reset may have any sequence number, so one with the token of the flow's target belongs too.
    """
    if packet.reset and packet.token == flow.target.token:
        return True
    distance = (packet.sequence - flow.last_sequence) % SEQUENCE_SPACE
    return distance < MAX_SEQUENCE_DISTANCE or distance > SEQUENCE_SPACE - MAX_SEQUENCE_DISTANCE


def opens_flow(flow: FlowRecord, packet: FlowPacket) -> bool:
    """Whether an opening packet is that of a recorded flow or a copy, not that of a new flow."""
    if flow.opening_sequence is not None:
        return packet.sequence == flow.opening_sequence
    return belongs_to_flow(flow, packet)


def acknowledges_new_data(flow: FlowRecord, packet: FlowPacket) -> bool:
    """Whether a packet acknowledges bytes that no earlier packet of the flow did."""
    return flow.acknowledged is None or is_later(packet.acknowledged, flow.acknowledged)
