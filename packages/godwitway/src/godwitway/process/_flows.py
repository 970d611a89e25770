"""The flows of the targets that this host owns: admission, slots, timeouts and removal."""

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

# State of a host in the platform's list of hosts.
LISTED_LEAVING_STATE = "leaving"
RECENT_PERIOD_S = 15.0
RECENT_CAPACITY_FLOWS = 100_000
REFUSED_CAPACITY_FLOWS = 100_000
TENTATIVE_TIMEOUT_S = 3.0
CLOSING_TIMEOUT_S = 10.0
# Time since the caller's last packet after which an opening TCP flow may be removed: before its
# target's answer, and after it. The flow is first checked that long after it began and after the
# answer, so a late answer still leaves the caller some time for its ACK.
OPENING_TIMEOUT_S = 15.0
HANDSHAKE_TIMEOUT_S = 5.0
# Only a SYN that comes later than this after the first one shows that the target did not answer.
SYN_RETRANSMIT_GAP_S = 0.9
RETRY_TOKENS_PER_ANSWER = 0.1
MAX_RETRY_TOKENS = 10.0


class Flows:
    """The flow table of one host and the operations on its records.

    All times are in seconds of the process's clock.

    Attributes:
        node: The state shared by the parts of this host.
        table: The flow records by flow key.
        owned: The owned targets by packed address.
        departing: Targets whose records are being handed over, by packed address.
        passed_on: When a flow's first packet was passed to another candidate, by flow key
            followed by the packed address of the target that passed it on.
        refused: Flow keys of at-most-once requests that were refused, so must never be forwarded.
        pinned_targets: The packed target address by flow key, for flows that stay on a target
            which is none of their candidates any more. The targets' owners announce them to this
            host because it owns the flows' first candidates.
        loads: The last load reports of other owners' targets.
        retry_tokens: How many rejected requests may be retried elsewhere, by service name.
        wheel: The times at which records are checked, by flow key.
    """

    __slots__ = (
        "departing",
        "loads",
        "node",
        "owned",
        "passed_on",
        "pinned_targets",
        "refused",
        "retry_tokens",
        "table",
        "wheel",
    )

    def __init__(self, node: Node) -> None:
        now = node.now()
        self.node = node
        self.table: dict[bytes, FlowRecord] = {}
        self.owned: dict[bytes, OwnedTarget] = {}
        self.departing: dict[bytes, OwnedTarget] = {}
        self.passed_on: RecentFlows[float] = RecentFlows(
            RECENT_PERIOD_S, RECENT_CAPACITY_FLOWS, now
        )
        self.refused: RecentFlows[bool] = RecentFlows(RECENT_PERIOD_S, REFUSED_CAPACITY_FLOWS, now)
        self.pinned_targets: RecentFlows[bytes] = RecentFlows(
            RECENT_PERIOD_S, RECENT_CAPACITY_FLOWS, now
        )
        self.loads = ServiceLoads()
        self.retry_tokens: dict[str, float] = {}
        self.wheel = TimerWheel(now)

    def set_recent_periods(self, snapshot: Snapshot) -> None:
        """Keep recent flows for at least as long as callers of any service may repeat a packet."""
        repeat_periods_s = (
            kind.repeat_s for service in snapshot.services.values() for kind in service.kinds
        )
        period_s = max(RECENT_PERIOD_S, *repeat_periods_s, 0.0)
        self.passed_on.period_s = self.refused.period_s = period_s

    def decide_admission(self, owned: OwnedTarget, kind: Kind, is_final: bool) -> Admission:
        """Decide whether an owned target takes a new flow now.

        Args:
            owned: The target.
            kind: The kind of the flow.
            is_final: Whether no other candidate can be asked; then a target that looks
                unhealthy but is eligible takes the flow, and only its own limits apply.
        """
        now = self.node.now()
        service = owned.usage.service
        mean = self.loads.mean_connections(service, self.owned, now)
        bound = connection_bound(mean, service.load_bound, owned.cold_start_share(now))
        eligible = self.is_eligible(owned, now) and (is_final or owned.health.is_healthy(now))
        return evaluate_admission(owned.usage, kind, eligible, bound, is_final)

    def is_eligible(self, owned: OwnedTarget, now: float) -> bool:
        """Return whether a target may get a new flow if no better target is available.

        Unlike `OwnedTarget.is_eligible`, this also considers the platform's list of hosts.
        """
        return not self.is_host_listed_leaving(owned) and owned.is_eligible(now)

    def is_host_listed_leaving(self, owned: OwnedTarget) -> bool:
        """Return whether the platform's list of hosts marks a target's host as leaving."""
        listed = self.node.platform_host_states.get(owned.usage.target.address[0])
        return listed is not None and listed[0] == LISTED_LEAVING_STATE

    def is_preferred(self, owned: OwnedTarget, now: float) -> bool:
        """Return whether a target is eligible for a new flow and looks healthy.

        Unlike `OwnedTarget.is_preferred`, this also considers the platform's list of hosts.
        """
        return self.is_eligible(owned, now) and owned.health.is_healthy(now)

    def compute_load(self, owned: OwnedTarget, kind: Kind, now: float) -> int:
        """Return the load of a target for a kind, as `reported_load` encodes it."""
        preferred = self.is_preferred(owned, now)
        return reported_load(owned.usage, kind, self.is_eligible(owned, now), preferred)

    def admit_flow(self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind) -> FlowRecord:
        """Create the record of a new flow, forward its first packet and return the record."""
        record = FlowRecord(owned, kind, FlowState.OPENING, self.node.now())
        self.table[key] = record
        self.start_flow(key, packet, record)
        return record

    def start_flow(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Count an admitted flow against its target and forward its first packet.

        Also used for a request that has waited for a slot.
        """
        now = self.node.now()
        owned, kind = record.owned, record.kind
        record.state = FlowState.OPENING
        record.started_at = record.last_packet_at = now
        owned.usage.add_flow(record, now)
        if kind.protocol == UDP and not kind.holds_slot:
            # Such a flow has no handshake, and no single answer ends it.
            record.state = FlowState.ESTABLISHED
        # A TCP target may reject the request, so its first packet is kept for a retry elsewhere.
        record.pending_packet = None if kind.protocol == UDP else packet
        self.wheel.schedule(key, now + self.timeout_of(record))
        self.node.metrics.count("flows_admitted", kind.name)
        self.node.ingress_port.send(packet, owned.usage.target.address)

    def timeout_of(self, record: FlowRecord) -> float:
        """Return after how many seconds without a packet a record in its current state expires.

        The time of a tentative record counts from its creation instead.
        """
        match record.state:
            case FlowState.OPENING:
                if record.kind.protocol == UDP:
                    return record.kind.idle_s
                return (
                    OPENING_TIMEOUT_S if record.pending_packet is not None else HANDSHAKE_TIMEOUT_S
                )
            case FlowState.TENTATIVE:
                return TENTATIVE_TIMEOUT_S
            case FlowState.CLOSING:
                # The record must outlive repeated datagrams of an at-most-once request, which
                # could otherwise run the request again on another target.
                return max(
                    CLOSING_TIMEOUT_S, record.kind.repeat_s if record.kind.is_at_most_once else 0.0
                )
            case _:
                return record.kind.idle_s

    def adopt_flow(
        self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind, skipped: int
    ) -> None:
        """Create a tentative record for a flow whose record was lost, and forward its packet.

        A reset from the target means that it does not know the flow; the next candidate is then
        asked.

        Args:
            key: The flow key.
            packet: A packet of the flow that does not open it.
            owned: The target that is assumed to have the flow.
            kind: The kind of the flow.
            skipped: Flag bits of the candidates whose owner could not be asked or whose target is
                unreachable.
        """
        now = self.node.now()
        record = FlowRecord(owned, kind, FlowState.TENTATIVE, now)
        record.may_have_been_forwarded = True
        record.skipped_bits = skipped
        record.pending_packet = packet
        self.table[key] = record
        owned.usage.add_flow(record, now)
        self.wheel.schedule(key, now + TENTATIVE_TIMEOUT_S)
        self.node.metrics.count("flows_adopted", kind.name)
        self.node.journal.event("adopt", key, target=owned.usage.target.id.hex())
        self.node.ingress_port.send(packet, owned.usage.target.address)

    def queue_request(
        self, key: bytes, packet: bytes, owned: OwnedTarget, kind: Kind, never_forwarded: bool
    ) -> None:
        """Queue a request for a slot of a target.

        A full queue evicts a request, possibly this one (see `TargetUsage.enqueue`), which
        `refuse_waiting_request` then handles.

        Args:
            key: The flow key.
            packet: The first packet of the request.
            owned: The target.
            kind: The kind of the request.
            never_forwarded: Whether the request is known not to have been forwarded before.
                Only such a request may be refused; any other is dropped without an answer.
        """
        now = self.node.now()
        record = FlowRecord(owned, kind, FlowState.WAITING, now)
        record.pending_packet = packet
        record.may_have_been_forwarded = not never_forwarded
        self.table[key] = record
        self.node.metrics.count("requests_waited", kind.name)
        rejected = owned.usage.enqueue(WaitingRequest(key, record, now + kind.wait_s))
        if rejected is not None:
            self.refuse_waiting_request(rejected, ErrorKind.NO_CAPACITY)

    def refuse_waiting_request(self, waiting: WaitingRequest, reason: ErrorKind) -> None:
        """Remove the record of a request that has left the queue, and refuse the request.

        If an earlier owner may have forwarded the request, it is dropped without an answer.
        """
        self.table.pop(waiting.key, None)
        packet = waiting.record.pending_packet
        if waiting.record.may_have_been_forwarded:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, waiting.key)
        elif packet is not None:
            self.refuse_flow(waiting.key, packet, waiting.record.kind, reason)

    def refuse_flow(self, key: bytes, packet: bytes, kind: Kind, reason: ErrorKind) -> None:
        """Send a caller a refusal, which says that its request was not run."""
        if kind.is_at_most_once:
            self.refused.put(key, True, self.node.now())
        self.node.metrics.count("flows_refused", f"{kind.name}.{reason.value}")
        self.node.journal.event("refuse", key, reason=reason.value, kind=kind.name)
        self.node.send_to_fabric(build_refusal(packet))

    def forward_packet(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Update the state of a flow with a record for a caller's packet, and forward the packet.

        A packet of a waiting request is not forwarded. A TCP flow of a draining target is reset
        instead if its drain grace period is over and its service then resets flows.
        """
        if record.state == FlowState.WAITING:
            self.handle_waiting_packet(key, packet, record)
            return
        now = self.node.now()
        record.last_packet_at = now
        flags = tcp_flags(packet)
        if flags & (FIN | RST):
            self.end_flow(key, record, now)
        elif record.state == FlowState.OPENING and record.kind.protocol != UDP:
            self.track_handshake(record, flags, now)
        elif record.state == FlowState.TENTATIVE:
            record.pending_packet = packet
        if self.must_reset_for_drain(record, now) and record.kind.protocol != UDP:
            self.reset_drained_flow(key, packet, record)
            return
        self.node.ingress_port.send(packet, record.owned.usage.target.address)

    def handle_waiting_packet(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Cancel a waiting request if its caller ends it; ignore a repeated first packet."""
        if tcp_flags(packet) & (FIN | RST):
            record.owned.usage.remove_waiting(key, record.kind)
            del self.table[key]
            self.node.metrics.count("requests_cancelled", record.kind.name)

    def track_handshake(self, record: FlowRecord, flags: int, now: float) -> None:
        """Update the handshake state of a flow after a TCP packet of its caller.

        A packet without SYN completes it. A SYN more than `SYN_RETRANSMIT_GAP_S` after the first
        one means that the target did not answer.
        """
        if not flags & SYN:
            self.establish_flow(record, now)
        elif record.pending_packet is not None and now - record.started_at > SYN_RETRANSMIT_GAP_S:
            record.owned.health.record_unanswered(now)

    def record_first_answer(self, record: FlowRecord, now: float) -> None:
        """Record that a flow's target answered its first packet; has no effect the second time."""
        if record.pending_packet is None:
            return
        record.pending_packet = None
        record.owned.health.record_answer(now)
        self.node.metrics.observe("target_answer", now - record.started_at)
        self.add_retry_tokens(record.owned.usage.service)

    def establish_flow(self, record: FlowRecord, now: float) -> None:
        """Mark a flow as established and record its target's answer.

        A tentative flow that was not reset in time is treated as answered.
        """
        self.record_first_answer(record, now)
        record.state = FlowState.ESTABLISHED

    def end_flow(self, key: bytes, record: FlowRecord, now: float) -> None:
        """Mark a flow as closing and release its slot; the record stays for late packets."""
        if record.state == FlowState.CLOSING:
            return
        if record.is_counted and record.kind.holds_slot:
            self.node.metrics.observe(f"slot_held_{record.kind.name}", now - record.started_at)
        record.state = FlowState.CLOSING
        record.pending_packet = None
        record.last_packet_at = now
        self.wheel.schedule(key, now + self.timeout_of(record))
        self.release_resources(record, now)

    def release_resources(self, record: FlowRecord, now: float) -> None:
        """Release the slot or connection of a flow and start waiting requests in its place."""
        record.owned.usage.remove_flow(record, now)
        self.start_waiting_requests(record.owned)

    def remove_record(self, key: bytes, record: FlowRecord) -> None:
        """Remove a record and release what the flow holds of its target.

        Raises:
            KeyError: If the table has no record of the flow.
        """
        del self.table[key]
        self.release_resources(record, self.node.now())

    def remove_flows_of_lost_records(self, owned: OwnedTarget, tentative_only: bool) -> None:
        """Remove flows of a target that an earlier owner may have forwarded, such as adopted ones.

        The target's next owner has their records, or adopts the flows that the target has.

        Args:
            owned: The target.
            tentative_only: Whether to remove only tentative flows.
        """
        removed = [
            (key, record)
            for key, record in self.table.items()
            if record.owned is owned
            and record.may_have_been_forwarded
            and (record.state == FlowState.TENTATIVE or not tentative_only)
        ]
        for key, record in removed:
            self.remove_record(key, record)

    def start_waiting_requests(self, owned: OwnedTarget) -> None:
        """Start waiting requests while slots are free; refuse those past their deadline."""
        now = self.node.now()
        while owned.usage.waiting_count and owned.usage.free_slots > 0:
            waiting = owned.usage.dequeue(now)
            if waiting is None:
                return
            if waiting.deadline <= now:
                self.refuse_waiting_request(waiting, ErrorKind.WAIT_DEADLINE)
                continue
            self.node.metrics.observe("slot_wait", now - waiting.record.started_at)
            self.start_flow(waiting.key, waiting.record.pending_packet or b"", waiting.record)

    def must_reset_for_drain(self, record: FlowRecord, now: float) -> bool:
        """Return whether a flow must be reset since its target's drain grace period is over.

        Never so for a service whose drains keep their remaining flows.
        """
        drain = record.owned.usage.service.drain
        began = record.owned.drain_started_at
        return began is not None and drain.end == "reset" and now - began >= drain.grace_s

    def reset_drained_flow(self, key: bytes, packet: bytes, record: FlowRecord) -> None:
        """Reset a flow towards its caller after its target's drain grace period."""
        self.node.journal.event("drain_reset", key)
        self.node.metrics.count("flows_drain_reset", record.kind.name)
        self.node.send_to_fabric(build_reset(packet))
        self.end_flow(key, record, self.node.now())

    def add_retry_tokens(self, service: Service) -> None:
        """Add a fraction of a retry token after an answered request of a service."""
        tokens = self.retry_tokens.get(service.name, MAX_RETRY_TOKENS)
        self.retry_tokens[service.name] = min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_ANSWER)

    def take_retry_token(self, service: Service) -> bool:
        """Take one retry token of a service and return whether there was one."""
        tokens = self.retry_tokens.get(service.name, MAX_RETRY_TOKENS)
        if tokens < 1:
            return False
        self.retry_tokens[service.name] = tokens - 1
        return True

    def expire_records(self) -> None:
        """Handle all records and waiting requests whose timeout or deadline has passed."""
        now = self.node.now()
        for key in self.wheel.pop_due(now):
            record = self.table.get(key)
            if record is not None:
                self.check_record(key, record, now)
        for owned in list(self.owned.values()):
            for waiting in owned.usage.pop_expired(now):
                self.refuse_waiting_request(waiting, ErrorKind.WAIT_DEADLINE)
        self.passed_on.rotate_if_due(now)
        self.refused.rotate_if_due(now)
        self.pinned_targets.rotate_if_due(now)

    def check_record(self, key: bytes, record: FlowRecord, now: float) -> None:
        """End, establish, remove or reschedule a record that is due for a check.

        A tentative flow that its target did not reset in time counts as established.
        """
        if record.state == FlowState.WAITING:
            return
        counts_from = (
            record.started_at if record.state == FlowState.TENTATIVE else record.last_packet_at
        )
        remaining_s = counts_from + self.timeout_of(record) - now
        if remaining_s > 0:
            self.wheel.schedule(key, now + remaining_s)
        elif record.state == FlowState.TENTATIVE:
            self.establish_flow(record, now)
            self.wheel.schedule(key, now + record.kind.idle_s)
        elif record.state == FlowState.OPENING and record.kind.is_at_most_once:
            # The slot is released, but a repeated datagram must still reach the same target.
            record.owned.health.record_unanswered(now)
            self.end_flow(key, record, now)
        else:
            if record.state == FlowState.OPENING and record.pending_packet is not None:
                record.owned.health.record_unanswered(now)
            self.remove_record(key, record)
