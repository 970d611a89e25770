"""Decisions of an owner, one packet after another."""

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
from godwitway.request import ACK, FIN, RST, SYN, Flag, Redirect, flow_key


class OneHost:
    """A host that owns every target, and what its packets bring about."""

    def __init__(self, lost: bool = False) -> None:
        self.clock = ManualClock()
        self.node = build_node(self.clock)
        self.flows = Flows(self.node)
        self.router = Router(self.node, self.flows)
        self.answers = AnswerTracker(self.node, self.flows, self.router)
        self.ownership = Ownership(self.node, self.flows, self.router)
        self.ownership.apply_snapshot(snapshot_of(service_document()))
        self.ownership.start_owning(records_may_be_lost=lost)
        for owned in self.flows.owned.values():
            owned.records_may_be_lost = lost

    def caller(self, packet: bytes) -> None:
        """Let a caller's packet come in."""
        key = flow_key(packet)
        if key in self.flows.table:
            self.router.handle_as_owner(packet, key, Redirect(entry=self.node.id))
        else:
            service, kind = self.node.snapshot.find_kind(key)
            self.router.start_chain(packet, key, service, kind, may_open_flow(packet))

    def answer(self, packet: bytes, flags: int) -> None:
        """Let the target of a flow answer its caller."""
        key = flow_key(packet)
        target = self.flows.table[key].owned.usage.target
        self.answers.handle_answer(
            tcp_packet(flags) if packet[9] == 6 else packet, key, Redirect(target=target.id)
        )

    def record(self, packet: bytes):
        """Return the record of a packet's flow."""
        return self.flows.table.get(flow_key(packet))

    def forwarded(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return what was sent to targets."""
        return [(data, to) for data, to in self.node.ingress_port.sent if to != FABRIC]

    def refusals(self) -> list[bytes]:
        """Return what callers were sent."""
        return self.node.ingress_port.sent_to(FABRIC)

    def fill_slots(self) -> None:
        """Take all slots of all targets."""
        for number in range(200):
            self.caller(udp_packet(caller=("172.16.9.9", 10_000 + number)))
            if all(owned.usage.free_slots == 0 for owned in self.flows.owned.values()):
                return


class TestAdmission:
    """Tests of admission."""

    def test_a_repeated_syn_goes_to_the_same_target(self):
        """Two copies of a SYN reach one target."""
        host = OneHost()
        host.caller(tcp_packet())
        host.caller(tcp_packet())
        targets = {to for _, to in host.forwarded()}
        assert len(host.forwarded()) == 2
        assert len(targets) == 1

    def test_a_late_syn_ack_does_not_end_a_flow(self):
        """A SYN-ACK that is shown after the caller's ACK leaves the slot counted."""
        host = OneHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.caller(syn)
        host.caller(tcp_packet(ACK, LOTS_PORT))
        host.answer(syn, SYN | ACK)
        record = host.record(syn)
        assert record.state == FlowState.ESTABLISHED
        assert record.owned.usage.busy_slots == 1

    def test_a_half_open_handshake_ends(self):
        """A flow whose caller never completes the handshake gives its slot back."""
        host = OneHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.caller(syn)
        host.answer(syn, SYN | ACK)
        owned = host.record(syn).owned
        host.clock.time += 5.2
        host.flows.expire_records()
        assert host.record(syn) is None
        assert owned.usage.busy_slots == 0

    def test_the_end_of_a_flow_frees_its_slot_for_a_waiting_one(self):
        """When a request ends, a waiting one is forwarded."""
        host = OneHost()
        host.fill_slots()
        waiting = udp_packet(caller=("172.16.9.8", 9))
        host.caller(waiting)
        assert host.record(waiting).state == FlowState.WAITING
        owned = host.record(waiting).owned
        for _ in range(owned.usage.waiting_count):
            running = next(
                key
                for key, record in host.flows.table.items()
                if record.owned is owned and record.is_counted
            )
            host.answers.handle_answer(
                udp_packet(), running, Redirect(target=owned.usage.target.id)
            )
        assert owned.usage.waiting_count == 0
        assert host.record(waiting).state == FlowState.OPENING
        assert host.forwarded()[-1] == (waiting, owned.usage.target.address)

    def test_an_answered_request_waits_no_more(self):
        """When the target answers a request that waits here, another owner had forwarded it."""
        host = OneHost()
        host.fill_slots()
        bid = udp_packet()
        host.caller(bid)
        owned = host.record(bid).owned
        waiting = owned.usage.waiting_count
        host.answer(bid, 0)
        assert owned.usage.waiting_count == waiting - 1
        host.clock.time += 1.2
        host.flows.expire_records()
        for key, record in list(host.flows.table.items()):
            if record.is_counted:
                host.flows.remove_flow(key, record)
        assert all(data not in (bid, b"") for data, _ in host.forwarded())
        assert not any(dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1]) for data in host.refusals())

    def test_a_waiting_request_is_cancelled_by_its_caller(self):
        """A reset of the caller frees the waiting place without an answer."""
        host = OneHost()
        host.fill_slots()
        syn = tcp_packet(port=LOTS_PORT)
        host.caller(syn)
        owned = host.record(syn).owned
        waiting = owned.usage.waiting_count
        host.caller(tcp_packet(RST, LOTS_PORT))
        assert owned.usage.waiting_count == waiting - 1
        assert not host.refusals()


def refused_bid() -> tuple[OneHost, bytes]:
    """Return a host without free slots and the bid that waited there beyond its deadline."""
    host = OneHost()
    host.fill_slots()
    bid = udp_packet()
    host.caller(bid)
    host.clock.time += 1.1
    host.flows.expire_records()
    return host, bid


class TestRefusal:
    """Tests of refusals."""

    def test_waiting_too_long_is_refused_truthfully(self):
        """After its deadline a request that was never forwarded gets an ICMP error."""
        host, bid = refused_bid()
        refused = [
            data for data in host.refusals() if dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1])
        ]
        assert len(refused) == 1
        assert dpkt.ip.IP(refused[0]).data.code == 13
        assert all(data != bid for data, _ in host.forwarded())

    def test_a_refused_bid_stays_refused(self):
        """A late copy of a refused at-most-once request is refused again, not run."""
        host, bid = refused_bid()
        for key, record in list(host.flows.table.items()):
            host.flows.remove_flow(key, record)
        host.caller(bid)
        assert all(data != bid for data, _ in host.forwarded())

    def test_without_any_target_a_caller_is_told(self):
        """A SYN for a service whose targets all drain is reset."""
        host = OneHost()
        for owned in host.flows.owned.values():
            owned.usage.target.state = "draining"
        host.caller(tcp_packet())
        reset = dpkt.ip.IP(host.refusals()[0]).data
        assert reset.flags == RST | ACK
        assert reset.ack == 101

    def test_a_request_that_may_have_run_waits_without_a_refusal(self):
        """A bid that waits at the only owner that may have lost it is never refused."""
        host = OneHost()
        host.fill_slots()
        bid = udp_packet()
        target = host.node.snapshot.services["auction"].candidates(flow_key(bid))[0]
        host.flows.owned[target.id].records_may_be_lost = True
        host.clock.time += 0.5
        for owned in host.flows.owned.values():
            owned.owned_since = host.clock.time - 2.0
        host.caller(bid)
        assert host.record(bid).state == FlowState.WAITING
        host.clock.time += 1.1
        host.flows.expire_records()
        assert host.record(bid) is None
        assert not any(dpkt.ip.IP(data).dst == bytes([172, 16, 0, 1]) for data in host.refusals())

    def test_no_refusal_while_records_may_be_lost(self):
        """When an earlier owner may have forwarded the flow, nothing is refused."""
        host = OneHost(lost=True)
        for owned in host.flows.owned.values():
            owned.usage.target.state = "draining"
        host.caller(tcp_packet())
        assert not host.refusals()
        assert host.node.metrics.counters["packets_dropped", "fate_unknown"] == 1


class TestRecovery:
    """Tests of recovery from lost records."""

    def test_adopts_and_moves_on_after_a_reset(self):
        """A later packet nobody knows goes to the first candidate, then to the next."""
        host = OneHost(lost=True)
        packet = tcp_packet(ACK)
        host.caller(packet)
        first = host.record(packet)
        assert first.state == FlowState.TENTATIVE
        host.answer(packet, RST)
        second = host.record(packet)
        assert second.owned is not first.owned
        assert not host.refusals()

    def test_the_caller_sees_a_reset_when_no_target_knows_the_flow(self):
        """After every candidate's target has said that it has no such flow, it is reset."""
        host = OneHost(lost=True)
        packet = tcp_packet(ACK)
        host.caller(packet)
        for _ in range(3):
            host.answer(packet, RST)
        assert host.record(packet) is None
        assert dpkt.ip.IP(host.refusals()[0]).data.flags == RST

    def test_an_at_most_once_request_is_not_placed_while_several_may_run_it(self):
        """With several lost tables a bid gets no answer and reaches no target."""
        host = OneHost(lost=True)
        host.caller(udp_packet())
        assert not host.forwarded()
        assert not host.refusals()

    def test_it_goes_to_the_only_target_that_may_run_it(self):
        """With one lost table among the candidates a bid goes to that target only."""
        host = OneHost()
        bid = udp_packet()
        key = flow_key(bid)
        second = host.node.snapshot.services["auction"].candidates(key)[0]
        host.flows.owned[second.id].records_may_be_lost = True
        host.clock.time += 2.0
        host.caller(bid)
        assert host.forwarded() == [(bid, second.address)]

    def test_not_by_a_host_that_took_a_zone_over(self):
        """A host that owns the only such target for a zone behind a cut does not place it."""
        host = OneHost()
        bid = udp_packet()
        target = host.node.snapshot.services["auction"].candidates(flow_key(bid))[2]
        owned = host.flows.owned[target.id]
        owned.zone_has_no_hosts = True
        repeated = Redirect(
            candidate_index=2,
            target=target.id,
            flags=int(Flag.FINAL | Flag.PASSED_ON_BEFORE | Flag.RECOVERING_2),
        )
        host.router.handle_as_owner(bid, flow_key(bid), repeated)
        assert not host.forwarded()
        assert not host.refusals()
        new = Redirect(candidate_index=2, target=target.id, flags=int(Flag.FINAL))
        host.router.handle_as_owner(bid, flow_key(bid), new)
        assert len(host.forwarded()) == 1

    def test_the_window_ends(self):
        """After the time in which callers repeat a bid, a new one is placed."""
        host = OneHost(lost=True)
        host.clock.time += 10.1
        host.caller(udp_packet())
        assert len(host.forwarded()) == 1


class TestShed:
    """Tests of targets that turn requests away."""

    def test_a_shed_request_is_tried_elsewhere(self):
        """A reset to a SYN moves the request to another target, unseen by the caller."""
        host = OneHost()
        syn = tcp_packet(port=LOTS_PORT)
        host.caller(syn)
        host.answer(syn, RST | ACK)
        targets = [to for _, to in host.forwarded()]
        assert len(set(targets)) == 2
        assert not host.refusals()

    def test_retries_cannot_multiply_the_load(self):
        """When every target sheds everything, forwarded SYNs stay within the retry budget."""
        host = OneHost()
        flows = 300
        for number in range(flows):
            syn = tcp_packet(port=LOTS_PORT, caller=("172.16.3.3", 1000 + number))
            host.caller(syn)
            while host.record(syn) is not None:
                host.answer(syn, RST | ACK)
        assert len(host.forwarded()) <= flows * 1.1
        assert len(host.refusals()) == flows


class TestLastHop:
    """Tests of the check that a packet meets only its own service's targets."""

    def test_a_target_that_changes_service_gets_nothing_of_the_old_one(self):
        """When a target moves to another service, flows of the first are dropped."""
        host = OneHost()
        syn = tcp_packet()
        host.caller(syn)
        host.caller(tcp_packet(ACK))
        taken = host.record(syn).owned.usage.target.address
        moved = service_document()
        keep = [raw for raw in moved["targets"] if raw["address"] != f"{taken[0]}:{taken[1]}"]
        gone = [raw for raw in moved["targets"] if raw["address"] == f"{taken[0]}:{taken[1]}"]
        moved["targets"] = keep
        other = service_document() | {
            "name": "other",
            "address": "10.10.0.2",
            "targets": gone,
        }
        later = snapshot_of(moved, other)
        later.revision = 2
        before = len(host.forwarded())
        host.ownership.apply_snapshot(later)
        host.caller(tcp_packet(ACK, payload=b"data"))
        assert all(to != taken for _, to in host.forwarded()[before:])


class TestLifeOfAFlow:
    """Tests of the ends of flows."""

    @pytest.mark.parametrize("flags", [FIN | ACK, RST])
    def test_callers_end(self, flags):
        """A caller's FIN or RST passes on and frees the connection."""
        host = OneHost()
        host.caller(tcp_packet())
        host.caller(tcp_packet(ACK))
        owned = host.record(tcp_packet()).owned
        assert owned.usage.connections == 1
        host.caller(tcp_packet(flags))
        assert owned.usage.connections == 0
        assert host.forwarded()[-1][0] == tcp_packet(flags)

    def test_direct_answers_need_no_sight_of_them(self):
        """When servers answer callers directly, a flow lives by the caller's packets alone."""
        host = OneHost()
        host.node.snapshot.services["auction"].answers = "direct"
        host.caller(tcp_packet(port=LOTS_PORT))
        owned = host.record(tcp_packet(port=LOTS_PORT)).owned
        host.caller(tcp_packet(ACK, LOTS_PORT))
        assert owned.usage.busy_slots == 1
        assert owned.health.last_answer_at == host.clock.time
        host.caller(tcp_packet(FIN | ACK, LOTS_PORT))
        assert owned.usage.busy_slots == 0

    def test_ports_are_reused(self):
        """A SYN some time after the end of a flow opens a new one."""
        host = OneHost()
        host.caller(tcp_packet())
        host.caller(tcp_packet(RST))
        host.clock.time += 2.0
        host.caller(tcp_packet(seq=999))
        assert host.record(tcp_packet()).state == FlowState.OPENING

    def test_a_repeated_answered_bid_meets_its_own_target(self):
        """After its answer a repeated bid is passed to the same target, which knows it."""
        host = OneHost()
        bid = udp_packet(port=BID_PORT)
        host.caller(bid)
        host.answer(bid, 0)
        host.caller(bid)
        targets = {to for _, to in host.forwarded()}
        assert len(host.forwarded()) == 2
        assert len(targets) == 1

    def test_an_idle_flow_is_forgotten(self):
        """A flow that is silent for its kind's idle time ends."""
        host = OneHost()
        host.caller(tcp_packet(port=BOARD_PORT))
        host.caller(tcp_packet(ACK))
        host.clock.time += 7201
        host.flows.expire_records()
        assert host.record(tcp_packet()) is None
