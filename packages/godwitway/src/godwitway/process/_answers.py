"""What an owner learns from the answers of its targets that entries show to it."""

from godwitway.connection import FlowRecord, FlowState
from godwitway.process._flows import Flows
from godwitway.process._node import Node
from godwitway.process._router import Router
from godwitway.request import RST, SYN, Redirect, tcp_flags
from godwitway.request._redirect import PREVIOUS_OWNER_ASKED
from godwitway.version import UDP

__all__ = ["AnswerTracker"]


class AnswerTracker:
    """Follows the state of flows by what their targets answer.

    Attributes:
        node: The host.
        flows: The flows of the targets that this host owns.
        router: Takes requests that another target has to run.
    """

    __slots__ = ("flows", "node", "router")

    def __init__(self, node: Node, flows: Flows, router: Router) -> None:
        self.node = node
        self.flows = flows
        self.router = router

    def handle_answer(self, packet: bytes, key: bytes, redirect: Redirect) -> None:
        """Learn from an answer of a target that this host owns."""
        record = self.flows.table.get(key)
        if record is None:
            self.unknown(packet, key, redirect)
            return
        if record.owned.usage.target.id != redirect.target:
            return
        now = self.node.now()
        if record.state == FlowState.WAITING:
            # Another owner has forwarded the request, so it must be neither run nor refused.
            record.owned.usage.remove_waiting(key, record.kind)
            self.flows.end_flow(key, record, now)
            return
        flags = tcp_flags(packet)
        if record.kind.protocol == UDP:
            if record.kind.holds_slot:
                record.owned.health.record_answer(now)
                self.flows.add_retry_tokens(record.owned.usage.service)
                self.flows.end_flow(key, record, now)
        elif flags & RST:
            self.reset(packet, key, record, now)
        elif flags & SYN:
            if record.state == FlowState.OPENING:
                self.flows.record_first_answer(record, now)
                self.flows.wheel.schedule(key, now + self.flows.timeout_of(record))
        elif record.state in (FlowState.TENTATIVE, FlowState.OPENING):
            self.flows.establish_flow(record, now)
            self.flows.end_flow(key, record, now)
        else:
            self.flows.end_flow(key, record, now)

    def unknown(self, packet: bytes, key: bytes, redirect: Redirect) -> None:
        """Pass on an answer whose flow this host has no record of."""
        owned = self.flows.owned.get(redirect.target)
        if owned is not None and owned.previous_owner is not None and redirect.hops_left > 0:
            redirect.hops_left -= 1
            redirect.flags |= PREVIOUS_OWNER_ASKED
            member = self.node.members.get(owned.previous_owner)
            if member is not None:
                self.node.send_datagram(redirect, packet, member.address)
                return
        # A reset of an unknown flow may answer a packet that only strayed to this target. If the
        # flow did end, the caller's next packet brings the reset about again.
        self.node.metrics.count("resets_of_unknown_flows")

    def reset(self, packet: bytes, key: bytes, record: FlowRecord, now: float) -> None:
        """Handle a target's reset: shed, not mine, or the end of a flow."""
        if record.state == FlowState.OPENING and record.pending_packet is not None:
            self.shed(packet, key, record, now)
        elif record.state == FlowState.TENTATIVE and record.pending_packet is not None:
            self.not_mine(key, record)
        else:
            self.flows.end_flow(key, record, now)
            self.node.send_to_fabric(packet)

    def shed(self, reset: bytes, key: bytes, record: FlowRecord, now: float) -> None:
        """Try a request that its target turned away at the next candidate."""
        service = record.owned.usage.service
        first_packet = record.pending_packet or b""
        record.owned.health.record_reset(now)
        self.flows.remove_flow(key, record)
        self.node.metrics.count("requests_shed", record.kind.name)
        if not self.flows.take_retry_token(service):
            self.node.journal.event("refuse", key, reason="shed", kind=record.kind.name)
            self.node.send_to_fabric(reset)
            return
        self.node.metrics.count("requests_retried", record.kind.name)
        self.router.retry_at_next_candidate(first_packet, key, record)

    def not_mine(self, key: bytes, record: FlowRecord) -> None:
        """Try the next recovering owner for an adopted flow that its target does not know."""
        packet = record.pending_packet or b""
        self.flows.remove_flow(key, record)
        self.node.journal.event("not_mine", key, target=record.owned.usage.target.id.hex())
        self.router.retry_at_next_candidate(packet, key, record)
