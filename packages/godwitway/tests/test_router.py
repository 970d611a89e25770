"""Tests of routing, admission and recovery at a single owner, packet by packet."""

import dpkt
import pytest
from builders import (
    BID_PORT,
    BOARD_PORT,
    FABRIC,
    LOTS_PORT,
    ManualClock,
    build_node,
    service_document,
    snapshot_of,
    tcp_packet,
    udp_packet,
)

from godwitway.connection import FlowState
from godwitway.process._answers import AnswerTracker
from godwitway.process._flows import Flows
from godwitway.process._ownership import Ownership
from godwitway.process._router import Router, may_open_flow
from godwitway.request import ACK, FIN, RST, SYN, DatagramHeader, Flag, flow_key


class SingleHost:
    """A host that owns every target, on ports that record what is sent.

    Args:
        lost: Whether flow records of an earlier owner may be lost.
    """

    def __init__(self, lost: bool = False) -> None:
        self.clock = ManualClock()
        self.node = build_node(self.clock)
        self.flows = Flows(self.node)
        self.router = Router(self.node, self.flows)
        self.answers = AnswerTracker(self.node, self.flows, self.router)
        self.ownership = Ownership(self.node, self.flows, self.router)
        self.ownership.apply_snapshot(snapshot_of(service_document()))
        self.ownership.start_owning(records_may_be_lost=lost)
        # Without a previous owner, as here, `start_owning` always assumes that records may be lost.
        for owned in self.flows.owned.values():
            owned.records_may_be_lost = lost

    def receive_from_caller(self, packet: bytes) -> None:
        """Handle a packet as if it came from a caller."""
        key = flow_key(packet)
        if key in self.flows.table:
            self.router.handle_as_owner(packet, key, DatagramHeader(entry=self.node.id))
        else:
            service, kind = self.node.snapshot.find_service_and_kind(key)
            self.router.start_chain(packet, key, service, kind, may_open_flow(packet))

    def answer_from_target(self, packet: bytes, flags: int) -> None:
        """Handle an answer to a packet as if it came from the target of the flow."""
        key = flow_key(packet)
        target = self.flows.table[key].owned.usage.target
        self.answers.handle_answer(
            tcp_packet(flags) if packet[9] == 6 else packet, key, DatagramHeader(target=target.id)
        )

    def record_of(self, packet: bytes):
        """Return the record of a packet's flow, or None."""
        return self.flows.table.get(flow_key(packet))

    def sent_to_targets(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return the packets that were sent to targets, with their addresses."""
        return [(data, to) for data, to in self.node.ingress_port.sent if to != FABRIC]

    def sent_to_callers(self) -> list[bytes]:
        """Return the packets that were sent to callers."""
        return self.node.ingress_port.sent_to(FABRIC)

    def fill_slots(self) -> None:
        """Send requests until all slots of all targets are busy."""
        for number in range(200):
            self.receive_from_caller(udp_packet(caller=("172.16.9.9", 10_000 + number)))
            if all(owned.usage.free_slots == 0 for owned in self.flows.owned.values()):
                return


class TestAdmission:
    """Tests of admission."""

    def test_retransmitted_syn_goes_to_same_target(self):
        """A SYN and its retransmission are forwarded to the same target."""
        host = SingleHost()
        host.receive_from_caller(tcp_packet())
        host.receive_from_caller(tcp_packet())
        targets = {to for _, to in host.sent_to_targets()}
        assert len(host.sent_to_targets()) == 2
        assert len(targets) == 1

    def test_late_syn_ack_does_not_end_flow(self):
        """A SYN-ACK that is reported after the caller's ACK leaves the slot counted."""
        host = SingleHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.receive_from_caller(syn)
        host.receive_from_caller(tcp_packet(ACK, LOTS_PORT))
        host.answer_from_target(syn, SYN | ACK)
        record = host.record_of(syn)
        assert record.state == FlowState.ESTABLISHED
        assert record.owned.usage.busy_slots == 1

    def test_half_open_handshake_times_out(self):
        """A flow whose caller never completes the handshake releases its slot."""
        host = SingleHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.receive_from_caller(syn)
        host.answer_from_target(syn, SYN | ACK)
        owned = host.record_of(syn).owned
        host.clock.time += 5.2
        host.flows.expire_records()
        assert host.record_of(syn) is None
        assert owned.usage.busy_slots == 0

    def test_freed_slot_goes_to_waiting_request(self):
        """When a request ends, a waiting request is forwarded."""
        host = SingleHost()
        host.fill_slots()
        waiting = udp_packet(caller=("172.16.9.8", 9))
        host.receive_from_caller(waiting)
        assert host.record_of(waiting).state == FlowState.WAITING
        owned = host.record_of(waiting).owned
        for _ in range(owned.usage.waiting_count):
            running = next(
                key
                for key, record in host.flows.table.items()
                if record.owned is owned and record.is_counted
            )
            host.answers.handle_answer(
                udp_packet(), running, DatagramHeader(target=owned.usage.target.id)
            )
        assert owned.usage.waiting_count == 0
        assert host.record_of(waiting).state == FlowState.OPENING
        assert host.sent_to_targets()[-1] == (waiting, owned.usage.target.address)

    def test_answered_request_leaves_queue(self):
        """A request that waits here and is answered was forwarded by another owner.

        It must then be neither forwarded nor refused by this one.
        """
        host = SingleHost()
        host.fill_slots()
        bid = udp_packet()
        host.receive_from_caller(bid)
        owned = host.record_of(bid).owned
        waiting = owned.usage.waiting_count
        host.answer_from_target(bid, 0)
        assert owned.usage.waiting_count == waiting - 1
        host.clock.time += 1.2
        host.flows.expire_records()
        for key, record in list(host.flows.table.items()):
            if record.is_counted:
                host.flows.remove_record(key, record)
        assert all(data not in (bid, b"") for data, _ in host.sent_to_targets())
        assert not any(
            dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1]) for data in host.sent_to_callers()
        )

    def test_caller_cancels_waiting_request(self):
        """A reset of the caller removes its waiting request without an answer."""
        host = SingleHost()
        host.fill_slots()
        syn = tcp_packet(port=LOTS_PORT)
        host.receive_from_caller(syn)
        owned = host.record_of(syn).owned
        waiting = owned.usage.waiting_count
        host.receive_from_caller(tcp_packet(RST, LOTS_PORT))
        assert owned.usage.waiting_count == waiting - 1
        assert not host.sent_to_callers()


def host_with_refused_bid() -> tuple[SingleHost, bytes]:
    """Return a host without free slots and a bid whose wait deadline has passed there."""
    host = SingleHost()
    host.fill_slots()
    bid = udp_packet()
    host.receive_from_caller(bid)
    host.clock.time += 1.1
    host.flows.expire_records()
    return host, bid


class TestRefusal:
    """Tests of refusals."""

    def test_request_is_refused_after_wait_deadline(self):
        """A request that was never forwarded gets an ICMP error after its wait deadline."""
        host, bid = host_with_refused_bid()
        refused = [
            data
            for data in host.sent_to_callers()
            if dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1])
        ]
        assert len(refused) == 1
        assert dpkt.ip.IP(refused[0]).data.code == 13
        assert all(data != bid for data, _ in host.sent_to_targets())

    def test_refused_bid_stays_refused(self):
        """A late copy of a refused at-most-once request is refused again, not forwarded."""
        host, bid = host_with_refused_bid()
        for key, record in list(host.flows.table.items()):
            host.flows.remove_record(key, record)
        host.receive_from_caller(bid)
        assert all(data != bid for data, _ in host.sent_to_targets())

    def test_syn_is_reset_without_available_target(self):
        """A SYN for a service whose targets all drain is reset."""
        host = SingleHost()
        for owned in host.flows.owned.values():
            owned.usage.target.state = "draining"
        host.receive_from_caller(tcp_packet())
        reset = dpkt.ip.IP(host.sent_to_callers()[0]).data
        assert reset.flags == RST | ACK
        assert reset.ack == 101

    def test_request_that_may_have_run_is_not_refused(self):
        """A bid that waits at the only owner that may have lost its record is never refused."""
        host = SingleHost()
        host.fill_slots()
        bid = udp_packet()
        target = host.node.snapshot.services["auction"].candidates(flow_key(bid))[0]
        host.flows.owned[target.id].records_may_be_lost = True
        host.clock.time += 0.5
        for owned in host.flows.owned.values():
            owned.records_complete_since = host.clock.time - 2.0
        host.receive_from_caller(bid)
        assert host.record_of(bid).state == FlowState.WAITING
        host.clock.time += 1.1
        host.flows.expire_records()
        assert host.record_of(bid) is None
        assert not any(
            dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1]) for data in host.sent_to_callers()
        )

    def test_no_refusal_while_records_may_be_lost(self):
        """A flow that an earlier owner may have forwarded is dropped, not refused."""
        host = SingleHost(lost=True)
        for owned in host.flows.owned.values():
            owned.usage.target.state = "draining"
        host.receive_from_caller(tcp_packet())
        assert not host.sent_to_callers()
        assert host.node.metrics.counters["packets_dropped", "fate_unknown"] == 1


class TestRecovery:
    """Tests of recovery from lost records."""

    def test_reset_moves_adopted_flow_to_next_candidate(self):
        """A packet without any record is adopted at the first candidate, then at the next one."""
        host = SingleHost(lost=True)
        packet = tcp_packet(ACK)
        host.receive_from_caller(packet)
        first = host.record_of(packet)
        assert first.state == FlowState.TENTATIVE
        host.answer_from_target(packet, RST)
        second = host.record_of(packet)
        assert second.owned is not first.owned
        assert not host.sent_to_callers()

    def test_caller_gets_reset_if_no_target_knows_flow(self):
        """The caller gets a reset once every candidate has reset the flow as unknown."""
        host = SingleHost(lost=True)
        packet = tcp_packet(ACK)
        host.receive_from_caller(packet)
        for _ in range(3):
            host.answer_from_target(packet, RST)
        assert host.record_of(packet) is None
        assert dpkt.ip.IP(host.sent_to_callers()[0]).data.flags == RST

    def test_at_most_once_request_is_dropped_if_several_targets_may_run_it(self):
        """If several candidates may have lost records, a bid is neither forwarded nor answered."""
        host = SingleHost(lost=True)
        host.receive_from_caller(udp_packet())
        assert not host.sent_to_targets()
        assert not host.sent_to_callers()

    def test_at_most_once_request_goes_to_only_target_that_may_run_it(self):
        """If one candidate may have lost records, a bid goes only to that target."""
        host = SingleHost()
        bid = udp_packet()
        key = flow_key(bid)
        recovering_target = host.node.snapshot.services["auction"].candidates(key)[0]
        host.flows.owned[recovering_target.id].records_may_be_lost = True
        host.clock.time += 2.0
        host.receive_from_caller(bid)
        assert host.sent_to_targets() == [(bid, recovering_target.address)]

    def test_owner_outside_zone_forwards_only_new_at_most_once_request(self):
        """An owner for a partitioned zone does not forward a repeated bid, only a new one.

        The zone's own hosts may be alive and may have forwarded the repeated bid before.
        """
        host = SingleHost()
        bid = udp_packet()
        target = host.node.snapshot.services["auction"].candidates(flow_key(bid))[2]
        owned = host.flows.owned[target.id]
        owned.zone_has_no_hosts = True
        repeated = DatagramHeader(
            candidate_index=2,
            target=target.id,
            flags=int(Flag.FINAL | Flag.PASSED_ON_BEFORE | Flag.RECOVERING_2),
        )
        host.router.handle_as_owner(bid, flow_key(bid), repeated)
        assert not host.sent_to_targets()
        assert not host.sent_to_callers()
        new = DatagramHeader(candidate_index=2, target=target.id, flags=int(Flag.FINAL))
        host.router.handle_as_owner(bid, flow_key(bid), new)
        assert len(host.sent_to_targets()) == 1

    def test_recovery_window_ends(self):
        """After the time in which callers repeat a bid, a bid counts as new again."""
        host = SingleHost(lost=True)
        host.clock.time += 10.1
        host.receive_from_caller(udp_packet())
        assert len(host.sent_to_targets()) == 1


class TestRejection:
    """Tests of targets that reject requests with a reset."""

    def test_rejected_request_is_retried_elsewhere(self):
        """A reset in answer to a SYN moves the request to another target; the caller sees none."""
        host = SingleHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.receive_from_caller(syn)
        host.answer_from_target(syn, RST | ACK)
        targets = [to for _, to in host.sent_to_targets()]
        assert len(set(targets)) == 2
        assert not host.sent_to_callers()

    def test_retries_stay_within_budget(self):
        """When every target rejects everything, forwarded SYNs stay within the retry budget."""
        host = SingleHost()
        flows = 300
        for number in range(flows):
            syn = tcp_packet(port=LOTS_PORT, caller=("172.16.3.3", 1000 + number))
            host.receive_from_caller(syn)
            while host.record_of(syn) is not None:
                host.answer_from_target(syn, RST | ACK)
        assert len(host.sent_to_targets()) <= flows * 1.1
        assert len(host.sent_to_callers()) == flows


class TestServiceChange:
    """Tests that a packet reaches only targets of its own service."""

    def test_target_gets_no_packets_of_former_service(self):
        """When a target moves to another service, flows of its former service are dropped."""
        host = SingleHost()
        syn = tcp_packet()
        host.receive_from_caller(syn)
        host.receive_from_caller(tcp_packet(ACK))
        address = host.record_of(syn).owned.usage.target.address
        document = service_document()
        kept = [
            raw for raw in document["targets"] if raw["address"] != f"{address[0]}:{address[1]}"
        ]
        moved_targets = [
            raw for raw in document["targets"] if raw["address"] == f"{address[0]}:{address[1]}"
        ]
        document["targets"] = kept
        other = service_document() | {
            "name": "other",
            "address": "10.10.0.2",
            "targets": moved_targets,
        }
        later = snapshot_of(document, other)
        later.revision = 2
        before = len(host.sent_to_targets())
        host.ownership.apply_snapshot(later)
        host.receive_from_caller(tcp_packet(ACK, payload=b"data"))
        assert all(to != address for _, to in host.sent_to_targets()[before:])


class TestFlowEnd:
    """Tests of how flows end and what follows."""

    @pytest.mark.parametrize("flags", [FIN | ACK, RST])
    def test_caller_ends_flow(self, flags):
        """A caller's FIN or RST is forwarded and releases the connection."""
        host = SingleHost()
        host.receive_from_caller(tcp_packet())
        host.receive_from_caller(tcp_packet(ACK))
        owned = host.record_of(tcp_packet()).owned
        assert owned.usage.connections == 1
        host.receive_from_caller(tcp_packet(flags))
        assert owned.usage.connections == 0
        assert host.sent_to_targets()[-1][0] == tcp_packet(flags)

    def test_flow_with_direct_answers(self):
        """When servers answer callers directly, the caller's packets alone determine the state."""
        host = SingleHost()
        host.node.snapshot.services["auction"].answers = "direct"
        host.receive_from_caller(tcp_packet(port=LOTS_PORT))
        owned = host.record_of(tcp_packet(port=LOTS_PORT)).owned
        host.receive_from_caller(tcp_packet(ACK, LOTS_PORT))
        assert owned.usage.busy_slots == 1
        assert owned.health.last_answer_at == host.clock.time
        host.receive_from_caller(tcp_packet(FIN | ACK, LOTS_PORT))
        assert owned.usage.busy_slots == 0

    def test_reused_ports_open_new_flow(self):
        """A SYN that reuses the ports of an ended flow opens a new flow after some time."""
        host = SingleHost()
        host.receive_from_caller(tcp_packet())
        host.receive_from_caller(tcp_packet(RST))
        host.clock.time += 2.0
        host.receive_from_caller(tcp_packet(seq=999))
        assert host.record_of(tcp_packet()).state == FlowState.OPENING

    def test_repeated_answered_bid_goes_to_same_target(self):
        """A bid that is repeated after its answer goes to the same target, which knows it."""
        host = SingleHost()
        bid = udp_packet(port=BID_PORT)
        host.receive_from_caller(bid)
        host.answer_from_target(bid, 0)
        host.receive_from_caller(bid)
        targets = {to for _, to in host.sent_to_targets()}
        assert len(host.sent_to_targets()) == 2
        assert len(targets) == 1

    def test_idle_flow_is_removed(self):
        """A flow without packets for its kind's idle time is removed."""
        host = SingleHost()
        host.receive_from_caller(tcp_packet(port=BOARD_PORT))
        host.receive_from_caller(tcp_packet(ACK))
        host.clock.time += 7201
        host.flows.expire_records()
        assert host.record_of(tcp_packet()) is None
