"""Tests of health checks."""

import asyncio

from steering_builders import SteeringWorld, build_target

from godwitway.steering._probes import Probes


class ProbeWorld:
    """A host whose health checks get the given answers, one after the other."""

    def __init__(self, *answers: bool | None) -> None:
        self.world = SteeringWorld(build_target(1), build_target(101, zone="b"))
        self.answers = list(answers)
        self.asked = []
        self.jobs = []
        self.probes = Probes(self.world.steering, self.probe, self.jobs.append)

    async def probe(self, target, path, timeout_s) -> bool | None:
        """Answer a health check."""
        self.asked.append(target.id)
        return self.answers.pop(0)

    def stall(self) -> None:
        """Let one flow make no progress at the first target."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        world.open(b"flow-1")
        world.request(b"flow-1", target)
        world.steering.progress_at = world.clock.now() + 0.4
        world.request(b"flow-1", target, after_s=0.4)
        while self.jobs:
            asyncio.run(self.jobs.pop())

    def suspected(self) -> bool:
        """Whether the first target is suspected."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        return world.steering.suspected(target, world.clock.now())


class TestOnStall:
    """Health checks after a flow made no progress."""

    def test_a_lost_handshake_packet_is_no_evidence(self):
        """One stalled flow and one lost packet must not reset the flows of a living target."""
        world = ProbeWorld(None, True)
        world.stall()
        assert not world.suspected()

    def test_a_target_that_takes_no_connection_is_suspected(self):
        """Its flow and its endpoint agree."""
        world = ProbeWorld(None, None)
        world.stall()
        assert world.suspected()

    def test_a_host_that_hears_no_target_suspects_none(self):
        """Its own link may be too full for health checks."""
        world = ProbeWorld(None, None)
        target = world.world.steering.catalog.targets["i-0001"]
        world.world.open(b"flow-1")
        world.world.request(b"flow-1", target)
        world.world.request(b"flow-1", target, after_s=0.4)
        asyncio.run(world.jobs.pop())
        assert world.asked
        assert not world.suspected()

    def test_a_target_that_just_answered_is_not_asked(self):
        """Health checks are priced."""
        probed = ProbeWorld()
        world = probed.world
        target = world.open(b"flow-1")
        world.request(b"flow-1", target)
        world.clock.time += 0.3
        world.open(b"flow-2")
        world.request(b"flow-1", target, after_s=0.1)
        assert world.steering.metrics.counters["packets_repeated", ""] == 1
        assert not probed.jobs


class TestWhileSuspected:
    """Health checks of suspected targets."""

    def test_an_answer_ends_the_suspicion(self):
        """The target takes new flows again."""
        world = ProbeWorld(None, None, True, None)
        world.stall()
        world.world.clock.time += 1.0
        world.probes.ask_suspected()
        asyncio.run(world.jobs.pop())
        assert not world.suspected()

    def test_the_rest_of_a_silent_zone_is_asked_at_once(self):
        """A zone that is cut off is noticed as a whole."""
        world = ProbeWorld(None, None)
        steering = world.world.steering
        steering.catalog.put_target(build_target(102, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).suspect(100.0)
        steering.note_suspicion(suspect, "stalled_flows", 100.0)
        asyncio.run(world.jobs.pop())
        assert world.asked == ["i-0066", "i-0066"]
