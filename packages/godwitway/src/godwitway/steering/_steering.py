"""Decides for each packet of a caller whether to forward it, reset its flow or drop it."""

import random
from collections.abc import Callable
from typing import Protocol

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._admission import Admission
from godwitway.steering._catalog import Catalog
from godwitway.steering._cold_budget import ColdBudgets
from godwitway.steering._flows import (
    FlowRecord,
    acknowledges_new_data,
    belongs_to_flow,
    is_later,
    opens_flow,
)
from godwitway.steering._model import (
    DropReason,
    FlowPacket,
    ResetReason,
    Route,
    Target,
)
from godwitway.steering._placement import (
    Assessment,
    choose_service,
    choose_target,
    requests_per_slot,
)
from godwitway.steering._target_view import IMPAIRMENT_VALID_S, NO_ADDRESS, TargetView

__all__ = ["IMPAIRMENT_VALID_S", "PacketIO", "Steering"]

# The shortest time after which a repeated packet counts as a retransmission: less than the 200 ms
# after which callers retransmit, and far more than the delay of a reordered packet.
MIN_RETRANSMISSION_S = 0.15
# By then, packets of other callers show whether a target whose entry has lapsed still answers.
LAPSED_SILENCE_S = 1.0
# Callers repeat an opening packet 200 and 600 ms after the first one, so one of the two intervals
# before a repetition is at most this long.
COLD_WAIT_S = 0.4


class PacketIO(Protocol):
    """Forwards packets to targets and answers callers; implemented by the platform's adapter.

    Attributes:
        unreadable: The number of received datagrams that were not valid packets.
        unsent: The number of datagrams that the socket did not accept.
    """

    unreadable: int
    unsent: int

    def forward(self, packet: FlowPacket, target: Target) -> None:
        """Send a packet to a target, with the target's route token inserted."""

    def send_reset(self, packet: FlowPacket) -> None:
        """Send a reset of the packet's flow to the caller."""

    def request_id(self, packet: FlowPacket) -> str:
        """Return the id of the request whose head is in a packet, or an empty string."""


class Steering(TargetView):
    """Handles callers' packets on the basis of this host's own state.

    Times are in seconds of the process's clock.

    Attributes:
        packet_io: Sends packets and resets.
        admission: The limits beyond which new flows are refused.
        cold_budgets: The limits of new flows to cold targets; none unless the core sets others.
        now: Returns the time.
        rng: The process's source of random numbers.
        metrics: The process's counters and histograms.
        journal: The event log.
        is_ready: Whether the configuration and the targets are known; opening packets are dropped
            before.
        is_current: Whether the configuration has been up to date at some time since this process
            started. Until then a route may be missing only because this host has just started.
        on_stall: Called with a target at which a flow makes no progress.
        on_suspicion: Called with a target that this host has begun to suspect after a health probe.
        last_packet_at: When the last packet of a caller arrived.
        last_progress_at: When any target last answered a packet that this host had forwarded;
            initially when this object was created.
    """

    def __init__(
        self,
        packet_io: PacketIO,
        catalog: Catalog,
        zone: str,
        now: Callable[[], float],
        rng: random.Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        super().__init__(catalog, zone, now())
        self.packet_io = packet_io
        self.now = now
        self.rng = rng
        self.metrics = metrics
        self.journal = journal
        self.admission = Admission()
        self.cold_budgets = ColdBudgets(catalog, NO_ADDRESS, None, None, now())
        self.on_stall: Callable[[Target], None] = lambda target: None
        self.on_suspicion: Callable[[Target], None] = lambda target: None
        self.is_ready = False
        self.is_current = False
        self.last_packet_at = now()
        self.last_progress_at = now()

    def handle_packet(self, packet: FlowPacket) -> None:
        """Forward, reset or drop one packet of a caller."""
        now = self.last_packet_at = self.now()
        if packet.forged:
            self.drop_packet(DropReason.FORGED)
            return
        if self.catalog.config is None:
            self.drop_packet(DropReason.NO_CONFIGURATION)
            return
        route = self.catalog.routes.get(packet.service_address)
        if route is None:
            self.handle_unrouted_packet(packet, now)
        elif packet.opening:
            self.open_flow(packet, route, now)
        else:
            self.handle_later_packet(packet, route, now)

    def handle_unrouted_packet(self, packet: FlowPacket, now: float) -> None:
        """Handle a packet to an address for which this host's configuration has no route.

        A change of the configuration reaches hosts at different times, so the flow may be open on a
        route that another host already has. It is reset only if this host forwarded it while the
        route was in force, so that the route was withdrawn from the flow; otherwise its packets
        follow their route token.
        """
        if packet.opening:
            self.refuse_opening(packet, ResetReason.NO_ROUTE)
            return
        flow = self.flow_table.flows.get(packet.flow_key)
        if flow is not None and flow.is_established and belongs_to_flow(flow, packet):
            if flow.reset_at is None:
                self.reset_flow(packet, flow, ResetReason.NO_ROUTE, now)
            else:
                self.resend_reset(packet, flow, now)
            return
        target = self.catalog.by_token.get(packet.token)
        if target is None:
            self.drop_packet(DropReason.UNKNOWN_TOKEN)
        elif target.id in self.catalog.departed_at:
            self.answer_with_reset(packet, ResetReason.TARGET_LEFT, target)
        else:
            self.metrics.count("packets_unrouted")
            self.journal.event("unrouted", packet.flow_key, target=target.id)
            self.packet_io.forward(packet, target)

    def refuse_opening(self, packet: FlowPacket, reason: ResetReason) -> None:
        """Reset a new flow for which this host lacks something.

        The packet is dropped while this host may lack it only because it has just started. The
        caller sends copies of the packet.
        """
        if self.is_current:
            self.answer_with_reset(packet, reason)
        else:
            self.drop_packet(DropReason.NOT_READY)

    def drop_packet(self, reason: DropReason) -> None:
        """Count a packet that is dropped without an answer."""
        self.metrics.count("packets_dropped", reason.value)

    def open_flow(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Handle an opening packet: choose a target, or another one after a retransmission.

        A duplicate of an established flow's opening packet goes to the flow's target. Callers reuse
        ports: a new flow replaces one that was reset or closed, and one that began with another
        sequence number.
        """
        flow = self.flow_table.flows.get(packet.flow_key)
        if flow is not None and (flow.is_closed or not opens_flow(flow, packet)):
            flow = None
        if flow is not None and flow.is_established:
            self.forward_duplicate_opening(packet, flow)
            return
        if not self.is_ready:
            self.drop_packet(DropReason.NOT_READY)
            return
        tried: list[str] = []
        if flow is not None:
            if now - flow.last_seen_at < MIN_RETRANSMISSION_S:
                self.forward_duplicate_opening(packet, flow)
                return
            self.record_retransmission(flow, packet.flow_key, now)
            tried = list(flow.tried_targets)
        target = self.choose_flow_target(route, tried, packet, now)
        if target is None:
            self.refuse_unplaced(packet, route, now)
            return
        if route.allowed_regions is not None and self.is_dead(target, now):
            # Suspected targets are chosen last, so no other one in these regions answers either.
            self.refuse_opening(packet, ResetReason.REGION_UNREACHABLE)
            return
        # A repeated opening packet is not refused: its first target may still answer it.
        if not tried and not self.is_admitted(route, target, now):
            self.answer_with_reset(packet, ResetReason.OVERLOADED, target)
            return
        if tried:
            self.flow_table.move(flow, target)
            flow.tried_targets.append(target.id)
            flow.last_seen_at = now
        else:
            self.flow_table.add(packet.flow_key, FlowRecord(target, route, now, packet))
        self.cold_budgets.record(target, now)
        self.metrics.count("flows_placed", "again" if tried else "first")
        busy, idle = self.load_at(target)
        self.journal.event(
            "place",
            packet.flow_key,
            route=route.name,
            target=target.id,
            busy=busy,
            idle=idle,
            tried=len(tried),
            version=self.catalog.config.version,
        )
        self.packet_io.forward(packet, target)

    def forward_duplicate_opening(self, packet: FlowPacket, flow: FlowRecord) -> None:
        """Forward an opening packet that the network duplicated to the target that has the first.

        After an evacuation it is dropped: the target may not have received the first one, and would
        then take a new flow.
        """
        if flow.target.zone in self.catalog.evacuated_zones:
            self.drop_packet(DropReason.EVACUATED)
        else:
            self.packet_io.forward(packet, flow.target)

    def refuse_unplaced(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Drop or reset a new flow for which no target could be chosen.

        The packet is dropped if a cold target can take the flow soon, since the caller repeats it.
        """
        waits = [
            self.cold_budgets.wait_s(target, now)
            for service in route.services
            for target in self.candidates_for(service, route.allowed_regions).all_targets()
            if not target.draining and not self.cold_budgets.may_place(target, now)
        ]
        if not waits:
            self.refuse_opening(packet, self.reason_without_target(route))
        elif min(waits) <= COLD_WAIT_S:
            self.drop_packet(DropReason.COLD_EXHAUSTED)
        else:
            self.refuse_opening(packet, ResetReason.COLD_EXHAUSTED)

    def choose_flow_target(
        self, route: Route, tried: list[str], packet: FlowPacket, now: float
    ) -> Target | None:
        """Choose a target for a new flow of a route; returns None if there is none.

        A cold target without budget is replaced by the next best one that may take the flow.
        """
        service = choose_service(route.service_weights, self.rng)
        candidates = self.candidates_for(service, route.allowed_regions)

        def assess(target: Target) -> Assessment:
            return self.assess(target, candidates, now)

        factors = self.speeds.factors

        def may_place(target: Target) -> bool:
            return self.cold_budgets.may_place(target, now)

        target = choose_target(candidates, assess, now, self.rng, tried, factors)
        if target is None or may_place(target):
            return target
        other = choose_target(candidates, assess, now, self.rng, tried, factors, may_place)
        self.metrics.count("flows_kept_off_cold")
        self.journal.event(
            "kept_off_cold",
            packet.flow_key,
            route=route.name,
            target=target.id,
            instead=other.id if other else None,
        )
        return other

    def is_admitted(self, route: Route, target: Target, now: float) -> bool:
        """Whether a new flow is admitted to the target that was chosen for it; see `Admission`.

        Targets to avoid say nothing about the service's load, so flows to them are admitted.
        """
        if self.should_avoid(target, now):
            return True
        requests = requests_per_slot(target, self.requests_at(target) + 1, now)
        usual_requests = requests * self.speeds.load_factor(target.id)
        return self.admission.is_admitted(route, target.service, usual_requests, now)

    def handle_later_packet(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Handle a packet of an open flow by the flow's record, otherwise by its route token.

        A delayed packet of another flow with the same ports is forwarded by its token alone, and
        does not affect the record.
        """
        flow = self.flow_table.flows.get(packet.flow_key)
        is_stray = flow is not None and not belongs_to_flow(flow, packet)
        if flow is not None and flow.is_established and not is_stray:
            if flow.reset_at is not None:
                self.resend_reset(packet, flow, now)
                return
            target = flow.target
        else:
            target = self.catalog.by_token.get(packet.token)
            if target is None or not self.catalog.is_allowed(route, target):
                self.drop_packet(DropReason.UNKNOWN_TOKEN)
                return
            if is_stray:
                self.forward_stray(packet, target)
                return
            flow = self.record_handshake(packet, flow, route, target, now)
        flow.last_seen_at = now
        flow.last_sequence = packet.sequence
        if target.id in self.catalog.departed_at:
            self.reset_flow(packet, flow, ResetReason.TARGET_LEFT, now)
            return
        if packet.reset:
            self.flow_table.remove(packet.flow_key)
        elif not self.update_flow(packet, flow, now):
            self.reset_flow(packet, flow, ResetReason.TARGET_UNREACHABLE, now)
            return
        self.packet_io.forward(packet, target)

    def forward_stray(self, packet: FlowPacket, target: Target) -> None:
        """Forward a packet whose flow this host has no record of, because another one replaced it.

        It is dropped if its target has left: a reset would end the caller's present flow.
        """
        if target.id in self.catalog.departed_at:
            self.drop_packet(DropReason.EARLIER_FLOW)
            return
        self.packet_io.forward(packet, target)

    def reset_flow(
        self, packet: FlowPacket, flow: FlowRecord, reason: ResetReason, now: float
    ) -> None:
        """Reset an open flow; its record is kept for packets that are still in flight."""
        self.answer_with_reset(packet, reason, flow.target)
        self.flow_table.close(flow)
        flow.reset_at = now

    def resend_reset(self, packet: FlowPacket, flow: FlowRecord, now: float) -> None:
        """Reset a flow again if its caller still sends after `MIN_RETRANSMISSION_S`.

        The earlier reset was lost then. Packets that arrive sooner were in flight when it was sent,
        and are dropped.
        """
        if packet.reset or now - flow.reset_at < MIN_RETRANSMISSION_S:
            self.drop_packet(DropReason.FLOW_RESET)
            return
        flow.reset_at = flow.last_seen_at = now
        self.packet_io.send_reset(packet)

    def record_handshake(
        self,
        packet: FlowPacket,
        flow: FlowRecord | None,
        route: Route,
        target: Target,
        now: float,
    ) -> FlowRecord:
        """Record that a caller completed the handshake with a target.

        Args:
            packet: The caller's packet.
            flow: The flow's record, None if this host has none, for example because another host
                forwarded the opening packet.
            route: The flow's route.
            target: The target that the packet's route token identifies.
            now: The time.

        Returns:
            The flow's record, marked as established.
        """
        if flow is None:
            flow = FlowRecord(target, route, now, packet)
            flow.waiting_since = None
            flow.is_established = True
            self.flow_table.add(packet.flow_key, flow)
            return flow
        if flow.target.id != target.id:
            self.flow_table.move(flow, target)
        else:
            self.record_progress(target, now, flow.last_seen_at)
            if not flow.stall_count and not self.is_impaired(now):
                self.speeds.usual_times.record_handshake(target.zone, now - flow.last_seen_at)
        flow.is_established = True
        return flow

    def update_flow(self, packet: FlowPacket, flow: FlowRecord, now: float) -> bool:
        """Update a flow's record from a packet.

        Returns:
            False if the flow should be reset so that its caller tries another target.
        """
        if acknowledges_new_data(flow, packet):
            # The first acknowledgment may be that of the handshake, which answers no request and
            # has been handled by `record_handshake`.
            if flow.acknowledged is not None:
                if flow.waiting_since is not None and flow.request_count:
                    self.learn_speed(flow, now)
                flow.stall_count = 0
                if flow.waiting_since is not None:
                    self.record_progress(flow.target, now, flow.waiting_since)
                    self.metrics.observe("first_byte", now - flow.waiting_since)
                    if flow.request_count:
                        self.admission.load_of(flow.target.service, now).record_response(
                            now - flow.waiting_since, flow.load_at_request, now
                        )
                    self.flow_table.set_waiting(flow, None)
            flow.acknowledged = packet.acknowledged
        if packet.length:
            end = (packet.sequence + packet.length) % (1 << 32)
            if flow.forwarded_end is None or is_later(end, flow.forwarded_end):
                flow.forwarded_end = end
                flow.forwarded_at = now
                # Before the first request, `waiting_since` is the time of the handshake.
                if flow.waiting_since is None or not flow.request_count:
                    self.record_request(packet, flow, now)
            elif now - flow.forwarded_at >= MIN_RETRANSMISSION_S:
                flow.forwarded_at = now
                self.record_retransmission(flow, packet.flow_key, now)
            if self.should_reset_flow(flow, now):
                return False
        if packet.closing and not flow.is_closed:
            self.flow_table.close(flow)
        return True

    def learn_speed(self, flow: FlowRecord, now: float) -> None:
        """Learn a target's speed from an answered request, if it says anything about the target.

        It does not after a retransmission, while this host is slow or its link is full, or if the
        target was known to be cold. The time runs from the last new byte of the request: the
        transfer of an upload does not count. The load is the higher one of those known at the start
        and at the end, since reports of other hosts arrive late.
        """
        target = flow.target
        if flow.stall_count or flow.forwarded_at < target.cold_until or self.is_impaired(now):
            return
        requests = max(flow.requests_at_start, self.requests_at(target))
        self.speeds.record_response(target, flow.route, now - flow.forwarded_at, requests, now)

    def record_request(self, packet: FlowPacket, flow: FlowRecord, now: float) -> None:
        """Record and log the start of a request on a flow."""
        flow.request_count += 1
        if flow.waiting_since is None:
            self.flow_table.set_waiting(flow, now)
        flow.requests_at_start = self.requests_at(flow.target)
        flow.load_at_request = requests_per_slot(flow.target, flow.requests_at_start, now)
        self.metrics.count("requests_forwarded", flow.route.kind.value)
        request = self.packet_io.request_id(packet)
        if request:
            self.journal.event(
                "request",
                packet.flow_key,
                request=request,
                target=flow.target.id,
                version=self.catalog.config.version,
            )

    def should_reset_flow(self, flow: FlowRecord, now: float) -> bool:
        """Whether to reset a flow so that its caller sends the request to another target.

        Flows whose requests callers must not repeat are never reset because a target is
        unreachable, nor is any flow while this host is impaired. If the target's entry has lapsed
        as well, a single retransmission is enough.
        """
        if not flow.route.kind.is_repeatable() or flow.is_closed:
            return False
        if self.is_dead(flow.target, now):
            return True
        if not (flow.target.has_lapsed and flow.stall_count):
            return False
        last_progress_at = self.evidence_of(flow.target).last_progress_at
        return now - last_progress_at > LAPSED_SILENCE_S and not self.is_impaired(now)

    def record_retransmission(self, flow: FlowRecord, key: bytes, now: float) -> None:
        """Record that a caller retransmitted a packet that the target did not acknowledge.

        Args:
            flow: The flow's record.
            key: The flow key.
            now: The time.
        """
        flow.stall_count += 1
        self.metrics.count("packets_repeated")
        evidence = self.evidence_of(flow.target)
        self.journal.event(
            "repeated",
            key,
            target=flow.target.id,
            opened=flow.is_established,
            count=flow.stall_count,
            waited_s=round(now - flow.waiting_since, 3) if flow.waiting_since else None,
            progress_age_s=round(now - evidence.last_progress_at, 3),
        )
        evidence.record_stall(key, now)
        self.on_stall(flow.target)

    def announce_suspicion(self, target: Target, now: float) -> None:
        """Log and count a suspicion that has begun, mark it for the next report, and start probes.

        Called after `TargetEvidence.start_suspicion`; the probes are started by `on_suspicion`.
        """
        evidence = self.evidence_of(target)
        self.flow_table.changed_targets.add(target.id)
        self.metrics.count("targets_suspected")
        self.journal.event(
            "target_suspected",
            target=target.id,
            flows=len(evidence.stall_times),
            progress_age_s=round(now - evidence.last_progress_at, 3),
        )
        self.on_suspicion(target)

    def record_progress(self, target: Target, now: float, forwarded_at: float) -> None:
        """Record that a target answered a packet that was forwarded at `forwarded_at`."""
        self.last_progress_at = now
        if self.evidence_of(target).record_progress(now, forwarded_at):
            self.flow_table.changed_targets.add(target.id)
            self.journal.event("target_trusted", target=target.id, reason="progress")

    def answer_with_reset(
        self,
        packet: FlowPacket,
        reason: ResetReason,
        target: Target | None = None,
    ) -> None:
        """Count, log and send a reset of a packet's flow; a reset is not answered with one."""
        self.metrics.count("flows_reset", reason.value)
        if packet.reset:
            return
        self.journal.event(
            "reset",
            packet.flow_key,
            reason=reason.value,
            target=target.id if target else None,
            version=self.catalog.config.version,
            opening=packet.opening,
        )
        self.packet_io.send_reset(packet)
