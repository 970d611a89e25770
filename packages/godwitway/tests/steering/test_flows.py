"""Tests of what a host measures of flows."""

from steering_builders import SteeringWorld, build_target

from godwitway.steering._flows import FlowRecord, FlowTable


class TestRepeatedPackets:
    """Telling repeated packets from overtaken ones."""

    def test_an_overtaken_packet_is_no_repetition(self):
        """Two packets of one request that change places must not cast doubt on the target."""
        world = SteeringWorld(build_target(1))
        for number in range(4):
            flow = b"flow-%d" % number
            target = world.open_flow(flow)
            world.send_request(flow, target, sequence=101, length=100)
            world.send_request(flow, target, after_s=0.003, sequence=1, length=100)
        assert world.steering.metrics.counters["packets_repeated", ""] == 0
        assert not world.steering.is_suspected(target, world.clock.now())

    def test_a_packet_that_comes_again_after_a_while_is_a_repetition(self):
        """Callers repeat data after 200 ms without an acknowledgement."""
        world = SteeringWorld(build_target(1))
        target = world.open_flow(b"flow-1")
        world.send_request(b"flow-1", target)
        world.send_request(b"flow-1", target, after_s=0.2)
        assert world.steering.metrics.counters["packets_repeated", ""] == 1


class TestLoads:
    """The load that flows are for a target."""

    def test_a_request_counts_until_its_answer_is_acknowledged(self):
        """An idle flow is no request in progress."""
        world = SteeringWorld(build_target(1))
        target = world.open_flow(b"flow-1")
        load = world.steering.flow_table.load_of(target)
        world.send_request(b"flow-1", target)
        assert (load.busy, load.idle) == (1, 0)
        world.receive_packet(
            0.05, flow=b"flow-1", token=target.token, sequence=101, acknowledged=2401
        )
        assert (load.busy, load.idle) == (0, 1)

    def test_loads_survive_a_target_that_leaves_and_returns(self):
        """Counts must not become negative when a target's entry was away for a while."""
        world = SteeringWorld(build_target(1))
        target = world.open_flow(b"flow-1")
        world.steering.catalog.remove_target(target.id, world.clock.now())
        world.steering.flow_table.changed_targets.clear()
        world.steering.flow_table.expire_flows(world.clock.now(), 15.0)
        world.steering.catalog.put_target(build_target(1))
        world.receive_packet(0.1, flow=b"flow-1", token=target.token, reset=True)
        load = world.steering.flow_table.load_of(target)
        assert (load.busy, load.idle) == (0, 0)

    def test_flows_that_never_opened_expire(self):
        """A caller gives an unanswered handshake up after 1.4 s."""
        world = SteeringWorld(build_target(1))
        world.receive_packet(flow=b"flow-1", opening=True)
        table = world.steering.flow_table
        table.expire_flows(world.clock.now() + 1.5, 15.0)
        assert table.flows
        table.expire_flows(world.clock.now() + 1.7, 15.0)
        assert not table.flows
        assert table.load_of(build_target(1)).busy == 0

    def test_a_closed_flow_is_no_load(self):
        """A caller's FIN ends the request that the flow was for."""
        world = SteeringWorld(build_target(1))
        target = world.open_flow(b"flow-1")
        world.send_request(b"flow-1", target)
        world.receive_packet(0.1, flow=b"flow-1", token=target.token, sequence=101, closing=True)
        load = world.steering.flow_table.load_of(target)
        assert (load.busy, load.idle) == (0, 0)

    def test_moving_a_flow_moves_its_load(self):
        """The second choice of an opening flow carries its load."""
        table = FlowTable()
        first, second = build_target(1), build_target(2)
        flow = FlowRecord(first, None, 0.0)
        table.add(b"flow-1", flow)
        table.move(flow, second)
        assert table.load_of(first).busy == 0
        assert table.load_of(second).busy == 1
