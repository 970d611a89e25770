"""Tests of the health probes of targets."""

import asyncio

from steering_builders import SteeringWorld, build_target

from godwitway.steering._probes import (
    CONTROL_TIMEOUT_S,
    MAX_ACTIVE_PROBES,
    MAX_DELAY_S,
    NEXT_PROBES,
    PROBE_TIMEOUT_S,
    HealthProber,
)
from godwitway.steering._steering import IMPAIRED_S


class ProbeWorld:
    """A host with a target i-0001 to probe, and i-0002 as the control target.

    Attributes:
        answers: The answers to the next health probes, in order.
        control_reachable: Whether the control target accepts connections.
        duration_s: How long a probe takes.
        probed: The ids of the targets whose health endpoints were probed, once for each connection.
        connected: The ids of the targets that connections to were probed.
        jobs: The coroutines that the prober spawned.
    """

    def __init__(
        self, *answers: bool | None, control_reachable: bool = True, duration_s: float = 0.0
    ) -> None:
        self.duration_s = duration_s
        self.world = SteeringWorld(build_target(1), build_target(2), build_target(101, zone="b"))
        self.answers = list(answers)
        self.control_reachable = control_reachable
        self.probed = []
        self.connected = []
        self.jobs = []
        self.prober = HealthProber(
            self.world.steering, self.probe_health, self.probe_connect, self.jobs.append
        )
        steering = self.world.steering
        steering.evidence_of(steering.catalog.targets["i-0002"]).last_progress_at = 99.0

    async def probe_health(self, target, path, timeout_s) -> bool | None:
        """Return the next answer; every second call lets the time of a probe pass."""
        self.probed.append(target.id)
        if len(self.probed) % 2:
            self.world.clock.time += self.duration_s
        return self.answers.pop(0)

    async def probe_connect(self, target, timeout_s) -> bool:
        """Return whether the control target accepts a connection."""
        assert timeout_s == CONTROL_TIMEOUT_S
        self.connected.append(target.id)
        return self.control_reachable

    def stall(self) -> None:
        """Let a flow stall at the first target, and run the probes that follow."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        world.steering.evidence_of(target).record_stall(b"flow-1", world.clock.now())
        self.prober.handle_stall(target)
        while self.jobs:
            asyncio.run(self.jobs.pop())

    def is_suspected(self) -> bool:
        """Whether the first target is suspected."""
        world = self.world
        target = world.steering.catalog.targets["i-0001"]
        return world.steering.is_suspected(target, world.clock.now())


class TestHandleStall:
    """Probes after a flow stalled."""

    def test_one_lost_handshake_packet_causes_no_suspicion(self):
        """A stalled flow and a lost packet must not reset the flows of a live target."""
        world = ProbeWorld(None, True)
        world.stall()
        assert not world.is_suspected()

    def test_a_target_that_accepts_no_connection_is_suspected(self):
        """The flow and the health endpoint agree."""
        world = ProbeWorld(None, None)
        world.stall()
        assert world.is_suspected()
        assert (world.probed, world.connected) == (["i-0001"] * 2, ["i-0002"])

    def test_a_host_that_reaches_no_target_suspects_none(self):
        """Its own link may be too full for probes."""
        world = ProbeWorld(None, None, control_reachable=False)
        world.stall()
        assert not world.is_suspected()

    def test_a_host_whose_link_was_full_suspects_none(self):
        """The first packet that arrives again may come from the control target."""
        world = ProbeWorld(None, None, None, None, None, None, control_reachable=False)
        world.stall()
        world.control_reachable = True
        world.world.clock.time += 0.6
        world.stall()
        assert not world.is_suspected()
        world.world.clock.time += IMPAIRED_S
        world.stall()
        assert world.is_suspected()

    def test_a_host_that_waits_for_the_cpu_suspects_none(self):
        """The answers arrived in time, but the host read them too late."""
        world = ProbeWorld(None, None, duration_s=PROBE_TIMEOUT_S + MAX_DELAY_S + 0.01)
        world.stall()
        assert not world.is_suspected()

    def test_the_number_of_active_probes_is_limited(self):
        """With more of them, probes would time out because the host lacks CPU time."""
        world = ProbeWorld()
        steering = world.world.steering
        for number in range(110, 160):
            target = steering.catalog.put_target(build_target(number, zone="b"))
            world.prober.handle_stall(target)
        assert len(world.jobs) == MAX_ACTIVE_PROBES
        for job in world.jobs:
            job.close()

    def test_all_targets_of_a_silent_zone_become_suspected(self):
        """Each target that does not answer leads to the next probes."""
        world = ProbeWorld(*[None] * 100)
        steering = world.world.steering
        for number in range(110, 120):
            steering.catalog.put_target(build_target(number, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.record_suspicion(suspect, 100.0)
        assert len(world.jobs) == NEXT_PROBES
        while world.jobs:
            asyncio.run(world.jobs.pop())
        now = world.world.clock.now()
        far = [target for target in steering.catalog.targets.values() if target.zone == "b"]
        assert len(far) == 11
        assert all(steering.is_suspected(target, now) for target in far)

    def test_a_host_without_a_control_target_suspects_none(self):
        """It cannot tell the target's failure from a failure of its own link."""
        world = ProbeWorld(None, None)
        world.world.steering.evidence.pop("i-0002")
        world.stall()
        assert not world.is_suspected()

    def test_a_target_that_just_answered_callers_is_not_probed(self):
        """Health checks have a price."""
        world = ProbeWorld()
        target = world.world.steering.catalog.targets["i-0001"]
        world.world.steering.evidence_of(target).last_progress_at = 99.8
        world.stall()
        assert not world.probed


class TestWhileSuspected:
    """Probes of suspected targets."""

    def test_an_answer_ends_the_suspicion(self):
        """The target takes new flows again."""
        world = ProbeWorld(None, None, True, None)
        world.stall()
        world.world.clock.time += 1.0
        world.prober.probe_suspected_targets()
        asyncio.run(world.jobs.pop())
        assert not world.is_suspected()

    def test_a_suspected_target_is_probed_over_one_connection(self):
        """Its silence adds no evidence."""
        world = ProbeWorld(None, None, None)
        world.stall()
        world.world.clock.time += 1.0
        world.prober.probe_suspected_targets()
        asyncio.run(world.jobs.pop())
        assert (len(world.probed), len(world.connected)) == (3, 1)
        assert world.is_suspected()

    def test_a_suspicion_starts_probes_of_other_targets_of_the_zone(self):
        """A zone that is cut off must be detected as a whole, by a few probes at a time."""
        world = ProbeWorld(None, None)
        steering = world.world.steering
        steering.catalog.put_target(build_target(102, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.record_suspicion(suspect, 100.0)
        asyncio.run(world.jobs.pop())
        assert (world.probed, world.connected) == (["i-0066"] * 2, ["i-0002"])
