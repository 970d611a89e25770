"""The decision about each packet of a caller: forward it, reset its flow, or stay silent."""

import random
from collections.abc import Callable
from typing import Protocol

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._catalog import Catalog
from godwitway.steering._evidence import NEVER_S, TargetEvidence
from godwitway.steering._flows import FlowRecord, FlowTable, advances, is_after
from godwitway.steering._groups import Candidates, ZoneGroups
from godwitway.steering._model import (
    DropReason,
    FlowPacket,
    RequestKind,
    ResetReason,
    Route,
    Target,
)
from godwitway.steering._placement import Assessment, choose_service, choose_target

__all__ = ["IMPAIRED_S", "PacketIO", "Steering"]

# Less than the 200 ms after which callers repeat a packet, and far more than a packet that was
# overtaken on its way is late.
STALL_S = 0.15
IMPAIRED_S = 1.0  # Twice the wait at a link from which on the platform calls a host slow.
NO_ADDRESS = ("", 0)  # Of a host without peers.


class PacketIO(Protocol):
    """Sends packets on and answers callers.

    Attributes:
        unreadable: How many datagrams were no packets.
        unsent: How many datagrams the socket did not take.
    """

    unreadable: int
    unsent: int

    def forward(self, packet: FlowPacket, target: Target) -> None:
        """Send a packet to a target, with the target's route token."""

    def send_reset(self, packet: FlowPacket) -> None:
        """Send the caller a reset."""

    def request_id(self, packet: FlowPacket) -> str:
        """Return the id of the request that a packet begins, or an empty string."""


class Steering:
    """Decides about packets with what this host knows.

    Attributes:
        packet_io: Sends packets.
        catalog: The configuration and targets.
        flow_table: The flows that this host sees.
        evidence: What is known of targets' reachability, by id.
        peer_loads: Requests in progress and idle flows that peers see, by route token.
        groups: How the zone's hosts divide its targets.
        zone: This host's availability zone.
        now: The process's clock in seconds.
        metrics: Counters.
        journal: The log of decisions.
        is_ready: Whether configuration and targets are known.
        impaired_at: When this host was last too slow, or its link too full, to judge targets.
        on_stall: Called with a target that a flow makes no progress at.
        on_suspicion: Called with a target that this host begins to suspect.
        last_packet_at: When the last packet of a caller came.
        last_progress_at: When any target last answered what this host had sent on.
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
        self.packet_io = packet_io
        self.catalog = catalog
        self.zone = zone
        self.now = now
        self.rng = rng
        self.metrics = metrics
        self.journal = journal
        self.flow_table = FlowTable()
        self.evidence: dict[str, TargetEvidence] = {}
        self.peer_loads: dict[int, tuple[int, int]] = {}
        self.groups = ZoneGroups(NO_ADDRESS)
        self.candidates: dict[str, Candidates] = {}
        self.candidates_of = (0, 0)
        self.on_stall: Callable[[Target], None] = lambda target: None
        self.on_suspicion: Callable[[Target], None] = lambda target: None
        self.is_ready = False
        self.impaired_at = NEVER_S
        self.last_packet_at = now()
        self.last_progress_at = now()

    def handle_packet(self, packet: FlowPacket) -> None:
        """Decide about one packet."""
        now = self.last_packet_at = self.now()
        if packet.forged:
            self.drop(DropReason.FORGED)
            return
        if self.catalog.config is None:
            self.drop(DropReason.NO_CONFIGURATION)
            return
        route = self.catalog.routes.get(packet.service_address)
        if route is None:
            self.refuse(packet, ResetReason.NO_ROUTE)
        elif packet.opening:
            self.open(packet, route, now)
        else:
            self.go_on(packet, route, now)

    def drop(self, reason: DropReason) -> None:
        """Give a packet no answer."""
        self.metrics.count("packets_dropped", reason.value)

    def open(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Place a new flow, or place it elsewhere when its first packet comes again."""
        flow = self.flow_table.flows.get(packet.flow_key)
        if flow is not None and flow.opened and not flow.closed:
            self.packet_io.forward(packet, flow.target)
            return
        if not self.is_ready:
            self.drop(DropReason.NOT_READY)
            return
        tried: list[str] = []
        if flow is not None and not flow.opened and not flow.closed:
            if now - flow.touched < STALL_S:
                self.packet_io.forward(packet, flow.target)  # A copy that the network made.
                return
            self.stall(flow, packet.flow_key, now)
            tried = list(flow.tried)
        target = self.place(route, tried, now)
        if target is None:
            self.refuse(packet, ResetReason.NO_TARGET)
            return
        if tried:
            self.flow_table.move(flow, target)
            flow.tried.append(target.id)
            flow.touched = now
        else:
            self.flow_table.add(packet.flow_key, FlowRecord(target, route, now))
        self.metrics.count("flows_placed", "again" if tried else "first")
        busy, idle = self.view(target)
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

    def place(self, route: Route, tried: list[str], now: float) -> Target | None:
        """Choose a target for a new flow of a route."""
        candidates = self.candidates_for(choose_service(route.service_weights, self.rng))
        factor = candidates.factor

        def assess(target: Target) -> Assessment:
            busy, idle = self.view(target)
            return busy * factor, idle * factor, self.is_suspected(target, now)

        return choose_target(candidates, assess, now, self.rng, tried)

    def candidates_for(self, service: str) -> Candidates:
        """Return a service's targets, divided anew when targets or groups have changed."""
        present = (self.catalog.generation, self.groups.generation)
        if present != self.candidates_of:
            self.candidates.clear()
            self.candidates_of = present
        candidates = self.candidates.get(service)
        if candidates is None:
            targets = self.catalog.by_service.get(service, [])
            candidates = self.candidates[service] = self.groups.candidates(targets, self.zone)
        return candidates

    def view(self, target: Target) -> tuple[int, int]:
        """Return requests in progress and idle flows at a target, as hosts here report them."""
        own = self.flow_table.loads.get(target.id)
        busy, idle = self.peer_loads.get(target.token, (0, 0))
        return (busy + own.busy, idle + own.idle) if own else (busy, idle)

    def is_suspected(self, target: Target, now: float) -> bool:
        """Whether a target is thought to be unreachable."""
        evidence = self.evidence.get(target.id)
        return evidence is not None and evidence.is_suspected(now)

    def evidence_of(self, target: Target) -> TargetEvidence:
        """Return the evidence about a target."""
        evidence = self.evidence.get(target.id)
        if evidence is None:
            evidence = self.evidence[target.id] = TargetEvidence()
        return evidence

    def go_on(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Handle a later packet of a flow by its record, else by its route token."""
        flow = self.flow_table.flows.get(packet.flow_key)
        if flow is not None and flow.opened:
            if flow.reset_at is not None:
                self.reset_again(packet, flow, now)
                return
            target = flow.target
        else:
            target = self.catalog.by_token.get(packet.token)
            if target is None or not self.catalog.allowed(route, target):
                self.drop(DropReason.NO_TOKEN)
                return
            flow = self.opened(packet, flow, route, target, now)
        flow.touched = now
        if target.id in self.catalog.departed_at:
            self.reset(packet, flow, ResetReason.TARGET_LEFT, now)
            return
        if packet.reset:
            self.flow_table.remove(packet.flow_key)
        elif not self.measure(packet, flow, now):
            self.reset(packet, flow, ResetReason.TARGET_UNREACHABLE, now)
            return
        self.packet_io.forward(packet, target)

    def reset(self, packet: FlowPacket, flow: FlowRecord, reason: ResetReason, now: float) -> None:
        """Reset an open flow; its record is kept for the packets that are on their way."""
        self.refuse(packet, reason, flow.target)
        self.flow_table.close(flow)
        flow.reset_at = now

    def reset_again(self, packet: FlowPacket, flow: FlowRecord, now: float) -> None:
        """Reset a flow again whose caller goes on, because the first reset was lost."""
        if packet.reset or now - flow.reset_at < STALL_S:
            self.drop(DropReason.FLOW_RESET)
            return
        flow.reset_at = flow.touched = now
        self.packet_io.send_reset(packet)

    def opened(
        self,
        packet: FlowPacket,
        flow: FlowRecord | None,
        route: Route,
        target: Target,
        now: float,
    ) -> FlowRecord:
        """Take note that a caller answered a target's handshake."""
        if flow is None:
            flow = FlowRecord(target, route, now)
            flow.waiting_since = None
            flow.opened = True
            self.flow_table.add(packet.flow_key, flow)
            return flow
        if flow.target.id != target.id:
            self.flow_table.move(flow, target)
        else:
            self.record_progress(target, now, flow.touched)
        flow.opened = True
        return flow

    def measure(self, packet: FlowPacket, flow: FlowRecord, now: float) -> bool:
        """Learn from a packet; returns False when the flow should be tried elsewhere."""
        if advances(flow, packet):
            if flow.acknowledged is not None:
                flow.stalled = 0
                if flow.waiting_since is not None:
                    self.record_progress(flow.target, now, flow.waiting_since)
                    self.metrics.observe("first_byte", now - flow.waiting_since)
                    self.flow_table.set_waiting(flow, None)
            flow.acknowledged = packet.acknowledged
        if packet.length:
            end = (packet.sequence + packet.length) % (1 << 32)
            if flow.sent_end is None or is_after(end, flow.sent_end):
                flow.sent_end = end
                flow.sent_at = now
                if flow.waiting_since is None or not flow.requests:
                    self.begin_request(packet, flow, now)
            elif now - flow.sent_at >= STALL_S:
                flow.sent_at = now
                self.stall(flow, packet.flow_key, now)
            if self.give_up(flow, now):
                return False
        if packet.closing and not flow.closed:
            self.flow_table.close(flow)
        return True

    def begin_request(self, packet: FlowPacket, flow: FlowRecord, now: float) -> None:
        """Take note of a new request on a flow."""
        flow.requests += 1
        if flow.waiting_since is None:
            self.flow_table.set_waiting(flow, now)
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

    def give_up(self, flow: FlowRecord, now: float) -> bool:
        """Whether a flow's request is better sent to another target by its caller."""
        if flow.route.kind is RequestKind.AT_MOST_ONCE or flow.closed:
            return False
        evidence = self.evidence.get(flow.target.id)
        if evidence is None or not evidence.is_unreachable(now):
            return False
        return not self.is_impaired(now)

    def is_impaired(self, now: float) -> bool:
        """Whether this host could not judge targets a moment ago."""
        return now - self.impaired_at < IMPAIRED_S

    def stall(self, flow: FlowRecord, key: bytes, now: float) -> None:
        """Take note that a caller repeated a packet that its target did not acknowledge."""
        flow.stalled += 1
        self.metrics.count("packets_repeated")
        evidence = self.evidence_of(flow.target)
        self.journal.event(
            "repeated",
            key,
            target=flow.target.id,
            opened=flow.opened,
            count=flow.stalled,
            waited_s=round(now - flow.waiting_since, 3) if flow.waiting_since else None,
            progress_age_s=round(now - evidence.last_progress_at, 3),
        )
        evidence.record_stall(key, now)
        self.on_stall(flow.target)

    def record_suspicion(self, target: Target, now: float) -> None:
        """Log that this host begins to suspect a target."""
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

    def record_progress(self, target: Target, now: float, sent_at: float) -> None:
        """Take note that a target answered what was sent to it at a time."""
        self.last_progress_at = now
        if self.evidence_of(target).record_progress(now, sent_at):
            self.flow_table.changed_targets.add(target.id)
            self.journal.event("target_trusted", target=target.id, reason="progress")

    def refuse(
        self,
        packet: FlowPacket,
        reason: ResetReason,
        target: Target | None = None,
    ) -> None:
        """Answer a caller's packet with a reset, unless it is one."""
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
