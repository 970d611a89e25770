"""Tests of the evidence about targets."""

from steering_builders import BID, BOARD, SteeringHarness, build_target

from godwitway.steering._evidence import PEER_SUSPICION_VALID_S, TargetEvidence
from godwitway.steering._steering import IMPAIRMENT_VALID_S


def send_and_retransmit(
    harness: SteeringHarness, target, flows: list[bytes], to: bytes = BOARD
) -> None:
    """Send a request on each flow, and retransmit it 200 ms later."""
    for flow in flows:
        harness.send_request(flow, target, to=to)
    for number, flow in enumerate(flows):
        harness.send_request(flow, target, to=to, after_s=0.0 if number else 0.2)


class TestSuspicion:
    """The conditions under which new flows avoid a target and open flows are reset."""

    def test_one_stalled_flow_is_not_enough(self):
        """A single flow may stall because of packet loss."""
        evidence = TargetEvidence()
        evidence.record_stall(b"flow-1", 1.0)
        evidence.record_stall(b"flow-1", 1.6)
        assert not evidence.should_avoid(1.6)

    def test_several_stalled_flows_make_a_target_the_last_choice(self):
        """They are not enough to reset its open flows."""
        evidence = TargetEvidence()
        evidence.record_stall(b"flow-1", 1.0)
        evidence.record_stall(b"flow-2", 1.1)
        assert evidence.should_avoid(1.2)
        assert not evidence.is_unreachable(1.2)

    def test_old_stalls_do_not_count(self):
        """Stalls that are far apart are caused by packet loss."""
        evidence = TargetEvidence()
        evidence.record_stall(b"flow-1", 1.0)
        evidence.record_stall(b"flow-2", 3.0)
        assert not evidence.should_avoid(3.0)

    def test_progress_clears_stalls(self):
        """A target whose bytes callers acknowledge is reachable."""
        evidence = TargetEvidence()
        evidence.record_stall(b"flow-1", 1.0)
        evidence.record_progress(1.1, 1.05)
        evidence.record_stall(b"flow-2", 1.2)
        assert not evidence.should_avoid(1.2)

    def test_an_answer_to_earlier_data_does_not_end_a_suspicion(self):
        """Bytes that a target sent before a network cut may arrive after it."""
        evidence = TargetEvidence()
        evidence.start_suspicion(2.0)
        assert not evidence.record_progress(2.1, 1.9)
        assert evidence.should_avoid(2.2)
        assert evidence.record_progress(2.3, 2.1)
        assert not evidence.should_avoid(2.4)

    def test_one_other_host_s_suspicion_resets_no_flow(self):
        """Its own link may be at fault; a second host or a stalled flow must confirm it."""
        evidence = TargetEvidence()
        evidence.suspected_by[7] = 1.0
        assert evidence.should_avoid(1.1)
        assert not evidence.is_unreachable(1.1)
        evidence.suspected_by[8] = 1.0
        assert evidence.is_unreachable(1.1)
        del evidence.suspected_by[8]
        evidence.record_stall(b"flow-1", 1.1)
        assert evidence.is_unreachable(1.2)

    def test_a_peer_s_suspicion_expires(self):
        """Peers repeat a suspicion as long as they have it."""
        evidence = TargetEvidence()
        evidence.suspected_by[7] = 1.0
        assert evidence.should_avoid(1.0 + PEER_SUSPICION_VALID_S / 2)
        assert not evidence.should_avoid(1.0 + PEER_SUSPICION_VALID_S)


class TestResetsOfUnreachableTargets:
    """Resets of open flows at suspected targets."""

    def test_idempotent_flows_are_reset_at_their_next_packet(self):
        """Callers can then use another target within their latency objective."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.open_flow(b"flow-2")
        harness.open_flow(b"flow-3")
        send_and_retransmit(harness, target, [b"flow-1", b"flow-2"])
        assert not harness.packet_io.resets
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        for flow in (b"flow-1", b"flow-3"):
            harness.send_request(flow, target, after_s=0.4)
        assert [packet.flow_key for packet in harness.packet_io.resets] == [b"flow-1", b"flow-3"]

    def test_requests_that_may_not_be_repeated_are_not_reset_at_an_unreachable_target(self):
        """The request may be in progress, and its caller would not send it again."""
        harness = SteeringHarness(build_target(1))
        flows = [b"flow-1", b"flow-2", b"flow-3"]
        for flow in flows:
            target = harness.open_flow(flow, BID)
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        send_and_retransmit(harness, target, flows, BID)
        assert not harness.packet_io.resets

    def test_the_first_packet_of_a_flow_from_another_host_is_no_progress(self):
        """A host that did not forward the opening packet has no time to compare with."""
        harness = SteeringHarness(build_target(1))
        target = harness.steering.catalog.targets["i-0001"]
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        harness.receive_packet(0.1, flow=b"flow-9", token=target.token, sequence=1, acknowledged=1)
        assert harness.steering.should_avoid(target, harness.clock.now())

    def test_a_request_of_several_packets_is_reset_once(self):
        """Its other packets were already in flight when the reset was sent."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        harness.send_request(b"flow-1", target, after_s=0.1)
        forwarded = len(harness.packet_io.forwarded)
        harness.send_request(b"flow-1", target, after_s=0.001, sequence=101)
        assert len(harness.packet_io.resets) == 1
        assert len(harness.events("reset")) == 1
        assert len(harness.packet_io.forwarded) == forwarded

    def test_a_lost_reset_is_sent_again(self):
        """The caller retransmits its packets until a reset arrives."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        harness.send_request(b"flow-1", target, after_s=0.1)
        harness.send_request(b"flow-1", target, after_s=0.2)
        assert len(harness.packet_io.resets) == 2
        assert len(harness.events("request")) == 1

    def test_ports_of_a_reset_flow_may_be_used_again(self):
        """The caller's next attempt may come from the same port."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        harness.send_request(b"flow-1", target, after_s=0.1)
        harness.steering.evidence_of(target).clear_suspicions()
        assert harness.open_flow(b"flow-1") is target
        harness.send_request(b"flow-1", target)
        assert len(harness.packet_io.resets) == 1

    def test_a_host_whose_own_link_was_full_resets_nothing(self):
        """Its stalled flows and a peer's suspicion may both be caused by the same full link."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.steering.evidence_of(target).suspected_by[7] = harness.clock.now() + 0.2
        harness.steering.impaired_at = harness.clock.now()
        send_and_retransmit(harness, target, [b"flow-1"])
        assert not harness.packet_io.resets
        harness.steering.evidence_of(target).suspected_by[7] = (
            harness.clock.now() + IMPAIRMENT_VALID_S
        )
        harness.send_request(b"flow-1", target, after_s=IMPAIRMENT_VALID_S)
        assert len(harness.packet_io.resets) == 1
