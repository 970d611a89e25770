"""Tracking of flow states by the answers of targets, which entry hosts report to owners."""

from godwitway.connection import FlowRecord, FlowState
from godwitway.process._flows import Flows
from godwitway.process._node import Node
from godwitway.process._router import Router
from godwitway.request import RST, SYN, DatagramHeader, tcp_flags
from godwitway.request._redirect import PREVIOUS_OWNER_ASKED
from godwitway.version import UDP

__all__ = ["AnswerTracker"]


class AnswerTracker:
    """Updates the flows of this host's targets according to the targets' answers.

    Attributes:
        node: The state shared by the parts of this host.
        flows: The flows of the targets that this host owns.
        router: Sends requests that a target rejected to other candidates.
    """

    __slots__ = ("flows", "node", "router")

    def __init__(self, node: Node, flows: Flows, router: Router) -> None:
        self.node = node
        self.flows = flows
        self.router = router

    def handle_answer(self, packet: bytes, key: bytes, header: DatagramHeader) -> None:
        """Update a flow after an answer of its target.

        Answers of any target but the one that the flow is on are ignored.

        Args:
            packet: The answer; without a reset, possibly only its headers.
            key: The flow key of the caller's direction.
            header: The header that names the target that answered.
        """
        record = self.flows.table.get(key)
        if record is None:
            self.handle_unknown_flow(packet, key, header)
            return
        if record.owned.usage.target.id != header.target:
            return
        now = self.node.now()
        if record.state == FlowState.WAITING:
            # Another owner forwarded the request, so here it must be neither run nor refused.
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
            self.handle_reset(packet, key, record, now)
        elif flags & SYN:
            if record.state == FlowState.OPENING:
                self.flows.record_first_answer(record, now)
                self.flows.wheel.schedule(key, now + self.flows.timeout_of(record))
        elif record.state in (FlowState.TENTATIVE, FlowState.OPENING):
            # A reported TCP answer without RST and SYN is a FIN, here and in the last branch.
            self.flows.establish_flow(record, now)
            self.flows.end_flow(key, record, now)
        else:
            self.flows.end_flow(key, record, now)

    def handle_unknown_flow(self, packet: bytes, key: bytes, header: DatagramHeader) -> None:
        """Handle an answer whose flow has no record here.

        While the target's previous owner still hands over records, the answer is forwarded to
        it; otherwise it is counted in `resets_of_unknown_flows`, whatever its flags, and dropped.
        """
        owned = self.flows.owned.get(header.target)
        if owned is not None and owned.previous_owner is not None and header.hops_left > 0:
            header.hops_left -= 1
            # Informational: receivers of answer reports do not read it; `hops_left` ends a loop.
            header.flags |= PREVIOUS_OWNER_ASKED
            member = self.node.members.get(owned.previous_owner)
            if member is not None:
                self.node.send_datagram(header, packet, member.address)
                return
        # Only a reset has not been forwarded to the caller yet. It may answer a packet that reached
        # this target by mistake, so it is dropped. If the flow did end, the target resets it again
        # at the caller's next packet.
        self.node.metrics.count("resets_of_unknown_flows")

    def handle_reset(self, packet: bytes, key: bytes, record: FlowRecord, now: float) -> None:
        """Handle a target's reset according to the state of the flow.

        A reset of a flow that is being opened rejects the request, which is then retried
        elsewhere. A reset of an adopted flow says that the target does not know it. Any other
        reset ends the flow and is passed to the caller.
        """
        if record.state == FlowState.OPENING and record.pending_packet is not None:
            self.retry_rejected_request(packet, key, record, now)
        elif record.state == FlowState.TENTATIVE and record.pending_packet is not None:
            self.retry_unrecognized_flow(key, record)
        else:
            self.flows.end_flow(key, record, now)
            self.node.send_to_fabric(packet)

    def retry_rejected_request(
        self, reset: bytes, key: bytes, record: FlowRecord, now: float
    ) -> None:
        """Retry a request that its target rejected at the next candidate.

        If the service's retry budget is spent, the target's reset is passed to the caller.
        """
        service = record.owned.usage.service
        first_packet = record.pending_packet or b""
        record.owned.health.record_reset(now)
        self.flows.remove_record(key, record)
        self.node.metrics.count("requests_shed", record.kind.name)
        if not self.flows.take_retry_token(service):
            self.node.journal.event("refuse", key, reason="shed", kind=record.kind.name)
            self.node.send_to_fabric(reset)
            return
        self.node.metrics.count("requests_retried", record.kind.name)
        self.router.retry_at_next_candidate(first_packet, key, record)

    def retry_unrecognized_flow(self, key: bytes, record: FlowRecord) -> None:
        """Send an adopted flow that its target does not know to the next candidate."""
        packet = record.pending_packet or b""
        self.flows.remove_record(key, record)
        self.node.journal.event("not_mine", key, target=record.owned.usage.target.id.hex())
        self.router.retry_at_next_candidate(packet, key, record)
