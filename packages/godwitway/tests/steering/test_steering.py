"""Tests of the handling of callers' packets."""

import pytest
from steering_builders import BID, BOARD, CATALOGUE, SteeringHarness, build_config, build_target

from godwitway.steering import RequestKind, Route
from godwitway.steering._catalog import Catalog, route_token

BID_ROUTE = Route("bid", BID, RequestKind.AT_MOST_ONCE, [("desk", 1)], 1, 0.3, 2.0)


class TestOpening:
    """Opening packets of flows."""

    def test_a_new_flow_is_forwarded_with_its_target_s_token(self):
        """With the token, any host can forward the later packets."""
        harness = SteeringHarness(build_target(1))
        harness.receive_packet(flow=b"flow-1", opening=True)
        packet, target = harness.packet_io.forwarded[0]
        assert target.token == route_token("i-0001") != 0
        assert packet.opening

    def test_a_repeated_opening_packet_goes_to_another_target(self):
        """A caller repeats it after 200 ms without an answer from the first target."""
        harness = SteeringHarness(build_target(1), build_target(2))
        harness.receive_packet(flow=b"flow-1", opening=True)
        harness.receive_packet(0.2, flow=b"flow-1", opening=True)
        first, second = (target.id for _, target in harness.packet_io.forwarded)
        assert first != second
        assert [line["tried"] for line in harness.events("place")] == [0, 1]

    def test_a_copy_made_by_the_network_goes_to_the_same_target(self):
        """A duplicate earlier than the callers' 200 ms is not a retransmission."""
        harness = SteeringHarness(build_target(1), build_target(2))
        harness.receive_packet(flow=b"flow-1", opening=True)
        harness.receive_packet(0.01, flow=b"flow-1", opening=True)
        first, second = (target.id for _, target in harness.packet_io.forwarded)
        assert first == second

    def test_draining_targets_get_no_new_flows(self):
        """They keep only their open flows."""
        harness = SteeringHarness(build_target(1, draining=True), build_target(2))
        for number in range(20):
            harness.receive_packet(flow=b"flow-%d" % number, opening=True)
        assert {target.id for _, target in harness.packet_io.forwarded} == {"i-0002"}

    def test_a_flow_without_any_target_is_refused_at_once(self):
        """No request has been sent, so the caller may safely try again."""
        harness = SteeringHarness()
        harness.receive_packet(flow=b"flow-1", opening=True)
        assert len(harness.packet_io.resets) == 1
        assert harness.events("reset")[0]["reason"] == "no_target"

    def test_suspected_targets_come_last(self):
        """They get new flows only if there is no other target."""
        harness = SteeringHarness(build_target(1), build_target(2))
        suspect = harness.steering.catalog.targets["i-0001"]
        harness.steering.evidence_of(suspect).start_suspicion(harness.clock.now())
        for number in range(30):
            harness.receive_packet(flow=b"flow-%d" % number, opening=True)
        assert {target.id for _, target in harness.packet_io.forwarded} == {"i-0002"}

    def test_a_host_that_is_not_ready_stays_silent(self):
        """It does not know the targets yet, so it must not reset flows."""
        harness = SteeringHarness(build_target(1))
        harness.steering.is_ready = False
        harness.receive_packet(flow=b"flow-1", opening=True)
        assert not harness.packet_io.forwarded
        assert not harness.packet_io.resets

    def test_a_host_without_configuration_stays_silent(self):
        """It cannot distinguish a missing route from one that it has not read yet."""
        harness = SteeringHarness(build_target(1))
        harness.steering.catalog.config = None
        harness.receive_packet(flow=b"flow-1", opening=True)
        harness.receive_packet(flow=b"flow-1", token=1, length=10)
        assert not harness.packet_io.forwarded
        assert not harness.packet_io.resets

    def test_load_is_spread_evenly(self):
        """Flows that open at the same time do not all go to one target."""
        harness = SteeringHarness(*(build_target(number) for number in range(1, 5)))
        for number in range(40):
            harness.receive_packet(flow=b"flow-%d" % number, opening=True)
        counts = [harness.steering.flow_table.load_of(build_target(n)).busy for n in range(1, 5)]
        assert max(counts) - min(counts) <= 1


class TestRoutesNotKnownYet:
    """Packets of a route that other hosts have, and this one does not know yet.

    Hosts used to reset the open flows of such a route, above all those that had just started.
    """

    def build_harness(self, is_current: bool) -> SteeringHarness:
        """Return a host whose configuration lacks the route of `BOARD`."""
        harness = SteeringHarness(build_target(1), config=build_config(routes=[BID_ROUTE]))
        harness.steering.is_current = is_current
        return harness

    @pytest.mark.parametrize("is_current", [False, True])
    def test_packets_of_an_open_flow_are_forwarded_by_their_token(self, is_current):
        """A running host may learn of the route later than the others, too."""
        harness = self.build_harness(is_current)
        harness.receive_packet(flow=b"flow-1", token=route_token("i-0001"), sequence=1, length=10)
        assert [target.id for _, target in harness.packet_io.forwarded] == ["i-0001"]
        assert not harness.packet_io.resets
        assert not harness.steering.flow_table.flows

    def test_a_route_that_was_withdrawn_and_added_again_keeps_its_new_flows(self):
        """This host has seen the withdrawal, and has not learned of the second addition yet."""
        harness = SteeringHarness(build_target(1))
        harness.steering.catalog.apply_config(build_config(2, routes=[BID_ROUTE]))
        harness.receive_packet(flow=b"flow-1", token=route_token("i-0001"), sequence=1, length=10)
        assert [target.id for _, target in harness.packet_io.forwarded] == ["i-0001"]
        assert not harness.packet_io.resets

    @pytest.mark.parametrize("is_current", [False, True])
    def test_packets_with_an_unknown_token_are_dropped(self, is_current):
        """Their target may be as new as the route; the caller repeats them."""
        harness = self.build_harness(is_current)
        harness.receive_packet(flow=b"flow-1", token=route_token("i-0009"), sequence=1, length=10)
        assert not harness.packet_io.forwarded
        assert not harness.packet_io.resets

    def test_flows_of_a_target_that_left_are_reset(self):
        """Their caller can try again, and nothing answers them any more."""
        harness = self.build_harness(is_current=True)
        harness.steering.catalog.remove_target("i-0001", harness.clock.now())
        harness.receive_packet(flow=b"flow-1", token=route_token("i-0001"), sequence=1, length=10)
        assert harness.events("reset")[0]["reason"] == "target_left"

    def test_new_flows_are_dropped_by_a_host_that_is_not_current(self):
        """The caller sends copies of the opening packet, when the route may be known."""
        harness = self.build_harness(is_current=False)
        harness.receive_packet(flow=b"flow-1", opening=True)
        assert not harness.packet_io.resets

    def test_new_flows_without_targets_are_dropped_by_a_host_that_is_not_current(self):
        """The service may be new, with targets that this host does not know yet."""
        harness = SteeringHarness()
        harness.steering.is_current = False
        harness.receive_packet(flow=b"flow-1", opening=True)
        assert not harness.packet_io.resets

    def test_new_flows_are_refused_by_a_host_that_is_current(self):
        """As far as is known there is no such route, so the caller is told at once."""
        harness = self.build_harness(is_current=True)
        harness.receive_packet(flow=b"flow-1", opening=True)
        assert harness.events("reset")[0]["reason"] == "no_route"


class TestLaterPackets:
    """Packets of open flows."""

    def test_any_host_forwards_by_the_token(self):
        """A host without a record of the flow needs only the token."""
        harness = SteeringHarness(build_target(1), build_target(2))
        harness.receive_packet(flow=b"flow-1", token=route_token("i-0002"), sequence=1, length=10)
        assert harness.packet_io.forwarded[0][1].id == "i-0002"

    @pytest.mark.parametrize("token", [0, 1, route_token("i-0009")])
    def test_an_unknown_token_is_dropped_silently(self, token):
        """The target may be one that this host does not know yet."""
        harness = SteeringHarness(build_target(1))
        harness.receive_packet(flow=b"flow-1", token=token, sequence=1, length=10)
        assert not harness.packet_io.forwarded
        assert not harness.packet_io.resets

    def test_the_token_of_another_service_s_target_is_ignored(self):
        """A packet for one service never reaches another service."""
        harness = SteeringHarness(build_target(1), build_target(2, service="store"))
        harness.receive_packet(flow=b"flow-1", to=BOARD, token=route_token("i-0002"), length=10)
        assert not harness.packet_io.forwarded

    def test_a_forged_handshake_answer_is_dropped(self):
        """Only targets send such a packet."""
        harness = SteeringHarness(build_target(1))
        harness.receive_packet(
            flow=b"flow-1", token=route_token("i-0001"), opening=True, forged=True
        )
        assert not harness.packet_io.forwarded

    def test_a_removed_route_resets_its_flows(self):
        """Its callers are informed at once, not by a timeout."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"flow-1")
        harness.steering.catalog.apply_config(build_config(2, routes=[BID_ROUTE]))
        harness.send_request(b"flow-1", target)
        assert harness.packet_io.resets[0].flow_key == b"flow-1"
        assert not harness.steering.flow_table.load_of(target).idle
        harness.send_request(b"flow-1", target)
        assert len(harness.packet_io.resets) == 1
        harness.clock.time += 0.2
        harness.send_request(b"flow-1", target)
        assert len(harness.packet_io.resets) == 2

    def test_flows_of_a_target_that_left_are_reset(self):
        """Whatever uses its address now has no state of them."""
        harness = SteeringHarness(build_target(1), build_target(2))
        target = harness.open_flow(b"flow-1")
        harness.steering.catalog.remove_target(target.id, harness.clock.now())
        harness.send_request(b"flow-1", target)
        assert harness.packet_io.resets[0].flow_key == b"flow-1"
        assert harness.events("reset")[0]["reason"] == "target_left"

    def test_an_open_flow_stays_when_its_route_moves_to_another_service(self):
        """A new configuration does not move open flows."""
        harness = SteeringHarness(build_target(1), build_target(2, service="store"))
        target = harness.open_flow(b"flow-1")
        routes = [Route("board", BOARD, RequestKind.IDEMPOTENT, [("store", 1)], 2, 0.25, 1.5)]
        harness.steering.catalog.apply_config(build_config(2, routes=routes))
        harness.send_request(b"flow-1", target)
        assert harness.packet_io.forwarded[-1][1].id == "i-0001"
        harness.receive_packet(flow=b"flow-2", opening=True)
        assert harness.packet_io.forwarded[-1][1].id == "i-0002"

    def test_a_caller_s_reset_is_not_answered(self):
        """Answering resets with resets could go on endlessly."""
        harness = SteeringHarness(build_target(1))
        harness.receive_packet(flow=b"flow-1", to=b"nowhere", reset=True)
        assert not harness.packet_io.resets


class TestLapsedTargets:
    """Open flows of targets whose entries went and were not written again."""

    def test_a_flow_of_a_target_that_answers_is_not_reset(self):
        """A packet may be lost on the way to it."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"f1")
        harness.steering.catalog.lapse_target(target)
        harness.send_request(b"f1", target, after_s=5.0)
        harness.receive_packet(0.1, flow=b"f1", token=target.token, sequence=101, acknowledged=500)
        harness.send_request(b"f1", target, after_s=0.5, sequence=101, acknowledged=500)
        harness.send_request(b"f1", target, after_s=0.2, sequence=101, acknowledged=500)
        assert not harness.packet_io.resets
        assert harness.packet_io.forwarded[-1][1] is target

    def test_a_flow_of_a_silent_target_is_reset_at_its_first_retransmission(self):
        """Its caller can try another target in time."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"f1")
        harness.steering.catalog.lapse_target(target)
        harness.send_request(b"f1", target, after_s=5.0)
        assert not harness.packet_io.resets
        harness.send_request(b"f1", target, after_s=0.2)
        assert len(harness.packet_io.resets) == 1

    def test_a_flow_whose_request_must_not_be_repeated_is_not_reset(self):
        """The request may be running."""
        harness = SteeringHarness(build_target(1))
        target = harness.open_flow(b"f1", to=BID)
        harness.steering.catalog.lapse_target(target)
        harness.send_request(b"f1", target, to=BID, after_s=5.0)
        harness.send_request(b"f1", target, to=BID, after_s=0.2)
        assert not harness.packet_io.resets


class TestPortReuse:
    """A caller that uses the ports of an earlier flow again, and delayed packets of that flow."""

    FAR = 1 << 30  # The distance of the new flow's first sequence number.

    def build_reused_flow(self, *targets):
        """Return a host that saw a flow at i-0001 and then a new opening packet on its ports."""
        harness = SteeringHarness(build_target(1))
        old = harness.open_flow(b"flow-1")
        harness.send_request(b"flow-1", old)
        for target in targets:
            harness.steering.catalog.put_target(target)
        harness.receive_packet(5.0, flow=b"flow-1", opening=True, sequence=self.FAR)
        return harness, old, harness.packet_io.forwarded[-1][1]

    def test_a_new_flow_on_the_same_ports_is_placed_again(self):
        """The target of the earlier flow may be draining, although the caller never closed it."""
        harness = SteeringHarness(build_target(1), build_target(2))
        old = harness.open_flow(b"flow-1")
        old.draining = True
        harness.receive_packet(5.0, flow=b"flow-1", opening=True, sequence=self.FAR)
        assert harness.packet_io.forwarded[-1][1].id != old.id

    def test_a_late_copy_of_the_opening_packet_does_not_replace_the_flow(self):
        """The network may duplicate and delay it."""
        harness = SteeringHarness(build_target(1), build_target(2))
        target = harness.open_flow(b"flow-1")
        harness.send_request(b"flow-1", target)
        harness.receive_packet(5.0, flow=b"flow-1", opening=True, sequence=0)
        assert harness.packet_io.forwarded[-1][1].id == target.id
        assert harness.steering.flow_table.flows[b"flow-1"].request_count == 1

    def test_a_late_packet_of_the_earlier_flow_does_not_move_the_new_one(self):
        """The earlier target would answer the new flow's packets with resets."""
        harness, old, new = self.build_reused_flow(build_target(2))
        assert new.id != old.id  # The earlier one has a request in progress.
        harness.receive_packet(0.01, flow=b"flow-1", token=old.token, sequence=1, length=100)
        assert harness.packet_io.forwarded[-1][1].id == old.id
        harness.receive_packet(
            0.01, flow=b"flow-1", token=new.token, sequence=self.FAR + 1, acknowledged=1
        )
        harness.send_request(b"flow-1", new, sequence=self.FAR + 1)
        assert [target.id for _, target in harness.packet_io.forwarded[-2:]] == [new.id] * 2

    def test_a_late_packet_of_the_earlier_flow_reaches_its_target_only(self):
        """Also once the new flow is established; it must not count as the new flow's progress."""
        harness, old, new = self.build_reused_flow(build_target(2))
        harness.receive_packet(
            0.01, flow=b"flow-1", token=new.token, sequence=self.FAR + 1, acknowledged=1
        )
        harness.receive_packet(0.01, flow=b"flow-1", token=old.token, sequence=101, closing=True)
        assert harness.packet_io.forwarded[-1][1].id == old.id
        flow = harness.steering.flow_table.flows[b"flow-1"]
        assert (flow.target.id, flow.is_closed) == (new.id, False)

    def test_a_late_reset_of_the_earlier_flow_does_not_end_the_new_one(self):
        """Its record would be lost, and with it the load of its target."""
        harness, old, new = self.build_reused_flow(build_target(2))
        harness.receive_packet(0.01, flow=b"flow-1", token=old.token, sequence=101, reset=True)
        assert harness.steering.flow_table.flows[b"flow-1"].target.id == new.id

    def test_a_host_that_has_just_started_forwards_both_flows_by_their_tokens(self):
        """It has no record of either."""
        harness = SteeringHarness(build_target(1), build_target(2))
        for number, sequence in ((1, 1), (2, self.FAR), (1, 101), (2, self.FAR + 100)):
            token = route_token(f"i-{number:04x}")
            harness.receive_packet(0.01, flow=b"flow-1", token=token, sequence=sequence, length=100)
            assert harness.packet_io.forwarded[-1][1].id == f"i-{number:04x}"


class TestRequestLog:
    """The log event of a request."""

    def test_each_request_is_logged_with_its_id_and_target(self):
        """An operator can look up the target of a request by the request's id."""
        harness = SteeringHarness(build_target(1, service="store"))
        target = harness.open_flow(b"flow-1", CATALOGUE)
        harness.send_request(b"flow-1", target, to=CATALOGUE)
        line = harness.events("request")[0]
        assert line["request"] == "request-1"
        assert line["target"] == "i-0001"
        assert line["version"] == 1


class TestCatalog:
    """Route tokens and configuration versions."""

    def test_versions_only_rise(self):
        """A lower or equal version is ignored."""
        catalog = Catalog()
        assert catalog.apply_config(build_config(5))
        assert not catalog.apply_config(build_config(5))
        assert not catalog.apply_config(build_config(4))
        assert catalog.config.version == 5

    def test_colliding_tokens_are_made_distinct(self, monkeypatch):
        """Two targets never share a token."""
        monkeypatch.setattr(
            "godwitway.steering._catalog.route_token", lambda id, attempt=0: 7 + attempt
        )
        catalog = Catalog()
        first, second = (catalog.put_target(build_target(n)) for n in (1, 2))
        assert (first.token, second.token) == (7, 8)

    def test_a_returning_target_keeps_its_token(self):
        """Its flows from before its entry lapsed still reach it."""
        catalog = Catalog()
        token = catalog.put_target(build_target(1)).token
        catalog.remove_target("i-0001", 1.0)
        assert catalog.by_token[token].id == "i-0001"
        assert catalog.put_target(build_target(1)).token == token
        assert not catalog.departed_at

    def test_tokens_of_departed_targets_are_freed(self):
        """After the lifetime of a flow no packet carries them."""
        catalog = Catalog()
        token = catalog.put_target(build_target(1)).token
        catalog.remove_target("i-0001", 1.0)
        catalog.remove_departed(62.0)
        assert token not in catalog.by_token
