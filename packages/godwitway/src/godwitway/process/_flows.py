"""The flows of the targets that this host owns: admission, slots, timers and ends."""

from godwitway.connection import (
    FlowRecord,
    FlowState,
    OwnedTarget,
    RecentFlows,
    TimerWheel,
    WaitingRequest,
)
from godwitway.errors import ErrorKind
from godwitway.process._loads import ServiceLoads
from godwitway.process._node import Node
from godwitway.request import (
    FIN,
    RST,
    SYN,
    Admission,
    build_refusal,
    build_reset,
    connection_bound,
    evaluate_admission,
    reported_load,
    tcp_flags,
)
from godwitway.version import UDP, Kind, Service, Snapshot

__all__ = ["Flows"]

LEAVING_HOST = "leaving"
NOTE_PERIOD_S = 15.0
NOTE_CAPACITY = 100_000
REFUSED_CAPACITY = 100_000
TENTATIVE_S = 3.0
LINGER_S = 10.0
OPENING_TIMEOUT_S = 15.0
HANDSHAKE_TIMEOUT_S = 5.0
SYN_REPEAT_GAP_S = 0.9
RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class Flows:
    """The flow table of one host and what is done with its records.

    Attributes:
        node: The host.
        table: The flow records by flow key.
        owned: The owned targets by packed address.
        departing: Targets whose records are being handed over, by packed address.
        passed_on: When a first packet was passed to another candidate, by flow key and target.
        refused: At-most-once flows that were told that they were not run.
        pinned_targets: Target by flow key, for flows whose target left the first candidates.
        loads: The loads that owners of one service's targets tell each other.
        retry_budget: How many shed requests may be tried elsewhere, by service name.
    """

    __slots__ = (
        "departing",
        "loads",
        "node",
        "owned",
        "passed_on",
        "pinned_targets",
        "refused",
        "retry_budget",
        "table",
        "wheel",
    )

    def __init__(self, node: Node) -> None:
        now = node.now()
        self.node = node
        self.table: dict[bytes, FlowRecord] = {}
        self.owned: dict[bytes, OwnedTarget] = {}
        self.departing: dict[bytes, OwnedTarget] = {}
        self.passed_on: RecentFlows[float] = RecentFlows(NOTE_PERIOD_S, NOTE_CAPACITY, now)
        self.refused: RecentFlows[bool] = RecentFlows(NOTE_PERIOD_S, REFUSED_CAPACITY, now)
        self.pinned_targets: RecentFlows[bytes] = RecentFlows(NOTE_PERIOD_S, NOTE_CAPACITY, now)
        self.loads = ServiceLoads()
        self.retry_budget: dict[str, float] = {}
        self.wheel = TimerWheel(now)

    def set_recent_periods(self, snapshot: Snapshot) -> None:
        """Remember recent flows for at least as long as callers may repeat a packet."""
        repeats = (
            kind.repeat_s for service in snapshot.services.values() for kind in service.kinds
        )
        period = max(NOTE_PERIOD_S, *repeats, 0.0)
        self.passed_on.period_s = self.refused.period_s = period

    def decide_admission(self, owned: OwnedTarget, kind: Kind, final: bool) -> Admission:
        """Decide whether an owned target takes a new flow now."""
        now = self.node.now()
        service = owned.usage.service
        mean = self.loads.mean_connections(service, self.owned, now)
        bound = connection_bound(mean, service.load_bound, owned.cold_start_share(now))
        takes_new = self.is_open(owned, now) and (final or owned.health.is_healthy(now))
        return evaluate_admission(owned.usage, kind, takes_new, bound, final)

    def is_open(self, owned: OwnedTarget, now: float) -> bool:
        """Whether a target may be given a new flow when no better one is left."""
        return not self.is_listed_leaving(owned) and owned.is_eligible(now)

    def is_listed_leaving(self, owned: OwnedTarget) -> bool:
        """Whether the platform's list says that a target's host is leaving."""
        listed = self.node.platform_host_states.get(owned.usage.target.address[0])
        return listed is not None and listed[0] == LEAVING_HOST

    def takes_new(self, owned: OwnedTarget, now: float) -> bool:
        """Whether a target is a good choice for a new flow."""
        return self.is_open(owned, now) and owned.health.is_healthy(now)

    def compute_pressure(self, owned: OwnedTarget, kind: Kind, now: float) -> int:
        """Return how full a target says it is for a kind."""
        good = self.takes_new(owned, now)
        return reported_load(owned.usage, kind, self.is_open(owned, now), good)

    def admit_flow(self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind) -> FlowRecord:
        """Admit a flow and forward its first packet."""
        record = FlowRecord(owned, kind, FlowState.OPENING, self.node.now())
        self.table[key] = record
        self.start_flow(key, packet, record)
        return record

    def start_flow(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Count an admitted flow against its target and forward its first packet."""
        now = self.node.now()
        owned, kind = record.owned, record.kind
        record.state = FlowState.OPENING
        record.started_at = record.last_packet_at = now
        owned.usage.add_flow(record, now)
        if kind.protocol == UDP and not kind.holds_slot:
            record.state = FlowState.ESTABLISHED
        # A shed first packet is sent to another target, so TCP keeps it until it is answered.
        record.pending_packet = None if kind.protocol == UDP else packet
        self.wheel.schedule(key, now + self.timeout_of(record))
        self.node.metrics.count("flows_admitted", kind.name)
        self.node.ingress_port.send(packet, owned.usage.target.address)

    def timeout_of(self, record: FlowRecord) -> float:
        """Return after how many seconds without a packet a record is looked at."""
        match record.state:
            case FlowState.OPENING:
                if record.kind.protocol == UDP:
                    return record.kind.idle_s
                return (
                    OPENING_TIMEOUT_S if record.pending_packet is not None else HANDSHAKE_TIMEOUT_S
                )
            case FlowState.TENTATIVE:
                return TENTATIVE_S
            case FlowState.CLOSING:
                return max(LINGER_S, record.kind.repeat_s if record.kind.is_at_most_once else 0.0)
            case _:
                return record.kind.idle_s

    def adopt_flow(
        self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind, unasked: int
    ) -> None:
        """Take over a flow whose record was lost, until its target says otherwise."""
        now = self.node.now()
        record = FlowRecord(owned, kind, FlowState.TENTATIVE, now)
        record.adopted = True
        record.skipped_bits = unasked
        record.pending_packet = packet
        self.table[key] = record
        owned.usage.add_flow(record, now)
        self.wheel.schedule(key, now + TENTATIVE_S)
        self.node.metrics.count("flows_adopted", kind.name)
        self.node.journal.event("adopt", key, target=owned.usage.target.id.hex())
        self.node.ingress_port.send(packet, owned.usage.target.address)

    def queue_request(
        self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind, certain: bool
    ) -> None:
        """Let a request wait for a slot; it is refused only if it is certain that it never ran."""
        now = self.node.now()
        record = FlowRecord(owned, kind, FlowState.WAITING, now)
        record.pending_packet = packet
        record.adopted = not certain
        self.table[key] = record
        self.node.metrics.count("requests_waited", kind.name)
        turned_away = owned.usage.enqueue(WaitingRequest(key, record, now + kind.wait_s))
        if turned_away is not None:
            self.refuse_waiting(turned_away, ErrorKind.NO_CAPACITY)

    def refuse_waiting(self, waiting: WaitingRequest, reason: ErrorKind) -> None:
        """Refuse a request that waited, unless an earlier owner may have forwarded it."""
        self.table.pop(waiting.key, None)
        packet = waiting.record.pending_packet
        if waiting.record.adopted:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, waiting.key)
        elif packet is not None:
            self.refuse_flow(waiting.key, packet, waiting.record.kind, reason)

    def refuse_flow(self, key: bytes, packet: bytes, kind: Kind, reason: ErrorKind) -> None:
        """Tell a caller that its request was not run."""
        if kind.is_at_most_once:
            self.refused.put(key, True, self.node.now())
        self.node.metrics.count("flows_refused", f"{kind.name}.{reason.value}")
        self.node.journal.event("refuse", key, reason=reason.value, kind=kind.name)
        self.node.send_to_fabric(build_refusal(packet))

    def forward_packet(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Forward a packet of a known flow to its target."""
        if record.state == FlowState.WAITING:
            self.deliver_waiting(key, packet, record)
            return
        now = self.node.now()
        record.last_packet_at = now
        flags = tcp_flags(packet)
        if flags & (FIN | RST):
            self.end_flow(key, record, now)
        elif record.state == FlowState.OPENING and record.kind.protocol != UDP:
            self.deliver_opening(record, flags, now)
        elif record.state == FlowState.TENTATIVE:
            record.pending_packet = packet
        if self.drain_is_over(record, now) and record.kind.protocol != UDP:
            self.end_drained(key, packet, record)
            return
        self.node.ingress_port.send(packet, record.owned.usage.target.address)

    def deliver_waiting(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Join a repeated first packet with its waiting twin, or cancel the request."""
        if tcp_flags(packet) & (FIN | RST):
            record.owned.usage.remove_waiting(key, record.kind)
            del self.table[key]
            self.node.metrics.count("requests_cancelled", record.kind.name)

    def deliver_opening(self, record: FlowRecord, flags: int, now: float) -> None:
        """Learn from a TCP packet whether the handshake is complete."""
        if not flags & SYN:
            self.establish_flow(record, now)
        elif record.pending_packet is not None and now - record.started_at > SYN_REPEAT_GAP_S:
            record.owned.health.record_unanswered(now)

    def record_first_answer(self, record: FlowRecord, now: float) -> None:
        """Note that a flow's target has answered its first packet."""
        if record.pending_packet is None:
            return
        record.pending_packet = None
        record.owned.health.record_answer(now)
        self.node.metrics.observe("target_answer", now - record.started_at)
        self.add_retry_tokens(record.owned.usage.service)

    def establish_flow(self, record: FlowRecord, now: float) -> None:
        """Note that a flow's handshake is complete."""
        self.record_first_answer(record, now)
        record.state = FlowState.ESTABLISHED

    def end_flow(self, key: bytes, record: FlowRecord, now: float) -> None:
        """Note that a flow ends, and give its slot to the next request."""
        if record.state == FlowState.CLOSING:
            return
        if record.is_counted and record.kind.holds_slot:
            self.node.metrics.observe(f"slot_held_{record.kind.name}", now - record.started_at)
        record.state = FlowState.CLOSING
        record.pending_packet = None
        record.last_packet_at = now
        self.wheel.schedule(key, now + self.timeout_of(record))
        self.release(record, now)

    def release(self, record: FlowRecord, now: float) -> None:
        """Give back what a flow holds of its target."""
        record.owned.usage.remove_flow(record, now)
        self.start_waiting_requests(record.owned)

    def remove_flow(self, key: bytes, record: FlowRecord) -> None:
        """Remove a record."""
        del self.table[key]
        self.release(record, self.node.now())

    def remove_adopted_flows(self, owned: OwnedTarget, tentative_only: bool) -> None:
        """Forget adopted flows of a target; its next owner adopts those that are its own."""
        adopted = [
            (key, record)
            for key, record in self.table.items()
            if record.owned is owned
            and record.adopted
            and (record.state == FlowState.TENTATIVE or not tentative_only)
        ]
        for key, record in adopted:
            self.remove_flow(key, record)

    def start_waiting_requests(self, owned: OwnedTarget) -> None:
        """Start waiting requests while slots are free."""
        now = self.node.now()
        while owned.usage.waiting_count and owned.usage.free_slots > 0:
            waiting = owned.usage.dequeue(now)
            if waiting is None:
                return
            if waiting.deadline <= now:
                self.refuse_waiting(waiting, ErrorKind.WAIT_DEADLINE)
                continue
            self.node.metrics.observe("slot_wait", now - waiting.record.started_at)
            self.start_flow(waiting.key, waiting.record.pending_packet or b"", waiting.record)

    def drain_is_over(self, record: FlowRecord, now: float) -> bool:
        """Whether a draining target's terms end this flow now."""
        drain = record.owned.usage.service.drain
        began = record.owned.drain_started_at
        return began is not None and drain.end == "reset" and now - began >= drain.grace_s

    def end_drained(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Reset a flow whose draining target's grace has passed."""
        self.node.journal.event("drain_reset", key)
        self.node.metrics.count("flows_drain_reset", record.kind.name)
        self.node.send_to_fabric(build_reset(packet))
        self.end_flow(key, record, self.node.now())

    def add_retry_tokens(self, service: Service) -> None:
        """Let a success pay for a part of a retry."""
        budget = self.retry_budget.get(service.name, RETRY_BURST)
        self.retry_budget[service.name] = min(RETRY_BURST, budget + RETRY_RATIO)

    def take_retry_token(self, service: Service) -> bool:
        """Take one retry from the budget and return whether there was one."""
        budget = self.retry_budget.get(service.name, RETRY_BURST)
        if budget < 1:
            return False
        self.retry_budget[service.name] = budget - 1
        return True

    def expire_records(self) -> None:
        """Look at all records and requests whose time has come."""
        now = self.node.now()
        for key in self.wheel.pop_due(now):
            record = self.table.get(key)
            if record is not None:
                self.look_at(key, record, now)
        for owned in list(self.owned.values()):
            for waiting in owned.usage.pop_expired(now):
                self.refuse_waiting(waiting, ErrorKind.WAIT_DEADLINE)
        self.passed_on.rotate_if_due(now)
        self.refused.rotate_if_due(now)
        self.pinned_targets.rotate_if_due(now)

    def look_at(self, key: bytes, record: FlowRecord, now: float) -> None:
        """End, confirm or keep one record whose time has come."""
        if record.state == FlowState.WAITING:
            return
        since = record.started_at if record.state == FlowState.TENTATIVE else record.last_packet_at
        left = since + self.timeout_of(record) - now
        if left > 0:
            self.wheel.schedule(key, now + left)
        elif record.state == FlowState.TENTATIVE:
            self.establish_flow(record, now)
            self.wheel.schedule(key, now + record.kind.idle_s)
        elif record.state == FlowState.OPENING and record.kind.is_at_most_once:
            # The slot is free again, but a repeated datagram must still find its target.
            record.owned.health.record_unanswered(now)
            self.end_flow(key, record, now)
        else:
            if record.state == FlowState.OPENING and record.pending_packet is not None:
                record.owned.health.record_unanswered(now)
            self.remove_flow(key, record)
