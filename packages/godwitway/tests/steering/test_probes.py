"""Tests of health checks."""

import asyncio

from steering_builders import SteeringWorld, build_target

from godwitway.steering._probes import (
    ASKED_NEXT,
    AT_ONCE,
    CONTROL_S,
    LATE_S,
    PROBE_TIMEOUT_S,
    HealthProber,
)
from godwitway.steering._steering import IMPAIRED_S


class ProbeWorld:
    """A host whose first target gets the given answers, one after the other.

    Attributes:
        control: Whether a target that answered callers lately takes a connection.
        took_s: How long health checks take.
    """

    def __init__(self, *answers: bool | None, control: bool = True, took_s: float = 0.0) -> None:
        self.took_s = took_s
        self.world = SteeringWorld(build_target(1), build_target(2), build_target(101, zone="b"))
        self.answers = list(answers)
        self.control = control
        self.asked = []
        self.reached = []
        self.jobs = []
        self.probes = HealthProber(self.world.steering, self.probe, self.reach, self.jobs.append)
        steering = self.world.steering
        steering.evidence_of(steering.catalog.targets["i-0002"]).last_progress_at = 99.0

    async def probe(self, target, path, timeout_s) -> bool | None:
        """Answer a health check."""
        self.asked.append(target.id)
        if len(self.asked) % 2:
            self.world.clock.time += self.took_s
        return self.answers.pop(0)

    async def reach(self, target, timeout_s) -> bool:
        """Open a connection."""
        assert timeout_s == CONTROL_S
        self.reached.append(target.id)
        return self.control

    def stall(self) -> None:
        """Let one flow make no progress at the first target."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        world.steering.evidence_of(target).record_stall(b"flow-1", world.clock.now())
        self.probes.on_stall(target)
        while self.jobs:
            asyncio.run(self.jobs.pop())

    def suspected(self) -> bool:
        """Whether the first target is suspected."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        return world.steering.is_suspected(target, world.clock.now())


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
        assert (world.asked, world.reached) == (["i-0001"] * 2, ["i-0002"])

    def test_a_host_that_reaches_no_target_suspects_none(self):
        """Its own link may be too full for health checks."""
        world = ProbeWorld(None, None, control=False)
        world.stall()
        assert not world.suspected()

    def test_a_host_whose_link_was_full_suspects_none(self):
        """The first packet that comes through again may be one of the other target."""
        world = ProbeWorld(None, None, None, None, None, None, control=False)
        world.stall()
        world.control = True
        world.world.clock.time += 0.6
        world.stall()
        assert not world.suspected()
        world.world.clock.time += IMPAIRED_S
        world.stall()
        assert world.suspected()

    def test_a_host_that_waits_for_its_processor_suspects_none(self):
        """Answers were there in time and it read them too late."""
        world = ProbeWorld(None, None, took_s=PROBE_TIMEOUT_S + LATE_S + 0.01)
        world.stall()
        assert not world.suspected()

    def test_health_checks_are_few_at_a_time(self):
        """More of them would time out for want of processor time."""
        world = ProbeWorld()
        steering = world.world.steering
        for number in range(110, 160):
            target = steering.catalog.put_target(build_target(number, zone="b"))
            world.probes.on_stall(target)
        assert len(world.jobs) == AT_ONCE
        for job in world.jobs:
            job.close()

    def test_a_silent_zone_is_found_out_step_by_step(self):
        """Each target without an answer leads to the next ones."""
        world = ProbeWorld(*[None] * 100)
        steering = world.world.steering
        for number in range(110, 120):
            steering.catalog.put_target(build_target(number, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.record_suspicion(suspect, 100.0)
        assert len(world.jobs) == ASKED_NEXT
        while world.jobs:
            asyncio.run(world.jobs.pop())
        now = world.world.clock.now()
        far = [target for target in steering.catalog.targets.values() if target.zone == "b"]
        assert len(far) == 11
        assert all(steering.is_suspected(target, now) for target in far)

    def test_a_host_that_knows_no_other_target_suspects_none(self):
        """It has nothing to compare with."""
        world = ProbeWorld(None, None)
        world.world.steering.evidence.pop("i-0002")
        world.stall()
        assert not world.suspected()

    def test_a_target_that_just_answered_is_not_asked(self):
        """Health checks are priced."""
        world = ProbeWorld()
        target = world.world.steering.catalog.targets["i-0001"]
        world.world.steering.evidence_of(target).last_progress_at = 99.8
        world.stall()
        assert not world.asked


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

    def test_a_suspected_target_is_asked_by_one_connection(self):
        """That it does not answer is no news."""
        world = ProbeWorld(None, None, None)
        world.stall()
        world.world.clock.time += 1.0
        world.probes.ask_suspected()
        asyncio.run(world.jobs.pop())
        assert (len(world.asked), len(world.reached)) == (3, 1)
        assert world.suspected()

    def test_the_rest_of_a_silent_zone_is_asked_at_once(self):
        """A zone that is cut off is noticed as a whole, by a few health checks at a time."""
        world = ProbeWorld(None, None)
        steering = world.world.steering
        steering.catalog.put_target(build_target(102, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.record_suspicion(suspect, 100.0)
        asyncio.run(world.jobs.pop())
        assert (world.asked, world.reached) == (["i-0066"] * 2, ["i-0002"])
