"""Tests of the health probes of targets."""

import asyncio

from steering_builders import SteeringHarness, build_target

from godwitway.steering._probes import (
    FOLLOW_UP_PROBES,
    MAX_ACTIVE_PROBES,
    MAX_PROBE_DELAY_S,
    PROBE_TIMEOUT_S,
    REFERENCE_TIMEOUT_S,
    HealthProber,
)
from godwitway.steering._steering import IMPAIRMENT_VALID_S


class ProbeHarness:
    """A host of zone a with a target i-0001 to probe, and i-0002 as the reference target.

    The target i-0065 is in zone b.

    Attributes:
        answers: The answers to the next health probes, in order.
        reference_reachable: Whether the reference target accepts connections.
        duration_s: How long a probe takes.
        probed: The ids of the targets whose health endpoints were probed, once for each connection.
        connected: The ids of the targets to which a connection was attempted.
        jobs: The coroutines that the prober spawned.
    """

    def __init__(
        self, *answers: bool | None, reference_reachable: bool = True, duration_s: float = 0.0
    ) -> None:
        self.duration_s = duration_s
        self.host = SteeringHarness(build_target(1), build_target(2), build_target(101, zone="b"))
        self.answers = list(answers)
        self.reference_reachable = reference_reachable
        self.probed = []
        self.connected = []
        self.jobs = []
        self.prober = HealthProber(
            self.host.steering, self.probe_health, self.probe_connect, self.jobs.append
        )
        steering = self.host.steering
        steering.evidence_of(steering.catalog.targets["i-0002"]).last_progress_at = 99.0

    async def probe_health(self, target, path, timeout_s) -> bool | None:
        """Return the next answer; the first of each pair of calls advances the clock."""
        self.probed.append(target.id)
        if len(self.probed) % 2:
            self.host.clock.time += self.duration_s
        return self.answers.pop(0)

    async def probe_connect(self, target, timeout_s) -> bool:
        """Return whether the reference target accepts a connection."""
        assert timeout_s == REFERENCE_TIMEOUT_S
        self.connected.append(target.id)
        return self.reference_reachable

    def stall(self) -> None:
        """Let a flow stall at the first target, and run the probes that follow."""
        host = self.host
        target = host.steering.catalog.targets["i-0001"]
        host.steering.evidence_of(target).record_stall(b"flow-1", host.clock.now())
        self.prober.handle_stall(target)
        while self.jobs:
            asyncio.run(self.jobs.pop())

    def should_avoid(self) -> bool:
        """Whether the host avoids the first target for new flows."""
        host = self.host
        target = host.steering.catalog.targets["i-0001"]
        return host.steering.should_avoid(target, host.clock.now())


class TestHandleStall:
    """Probes after a flow stalled."""

    def test_one_lost_handshake_packet_causes_no_suspicion(self):
        """A stalled flow and a lost packet must not reset the flows of a live target."""
        harness = ProbeHarness(None, True)
        harness.stall()
        assert not harness.should_avoid()

    def test_a_target_that_accepts_no_connection_is_suspected(self):
        """The flow and the health endpoint agree."""
        harness = ProbeHarness(None, None)
        harness.stall()
        assert harness.should_avoid()
        assert (harness.probed, harness.connected) == (["i-0001"] * 2, ["i-0002"])

    def test_a_host_that_reaches_no_target_suspects_none(self):
        """Its own link may be too full for probes."""
        harness = ProbeHarness(None, None, reference_reachable=False)
        harness.stall()
        assert not harness.should_avoid()

    def test_a_host_whose_link_was_full_suspects_none(self):
        """The first packet that arrives again may come from the reference target."""
        harness = ProbeHarness(None, None, None, None, None, None, reference_reachable=False)
        harness.stall()
        harness.reference_reachable = True
        harness.host.clock.time += 0.6
        harness.stall()
        assert not harness.should_avoid()
        harness.host.clock.time += IMPAIRMENT_VALID_S
        harness.stall()
        assert harness.should_avoid()

    def test_a_host_that_waits_for_the_cpu_suspects_none(self):
        """The answers arrived in time, but the host read them too late."""
        harness = ProbeHarness(None, None, duration_s=PROBE_TIMEOUT_S + MAX_PROBE_DELAY_S + 0.01)
        harness.stall()
        assert not harness.should_avoid()

    def test_the_number_of_active_probes_is_limited(self):
        """With more of them, probes would time out because the host lacks CPU time."""
        harness = ProbeHarness()
        steering = harness.host.steering
        for number in range(110, 160):
            target = steering.catalog.put_target(build_target(number, zone="b"))
            harness.prober.handle_stall(target)
        assert len(harness.jobs) == MAX_ACTIVE_PROBES
        for job in harness.jobs:
            job.close()

    def test_all_targets_of_a_silent_zone_become_suspected(self):
        """Each target that does not answer leads to the next probes."""
        harness = ProbeHarness(*[None] * 100)
        steering = harness.host.steering
        for number in range(110, 120):
            steering.catalog.put_target(build_target(number, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.announce_suspicion(suspect, 100.0)
        assert len(harness.jobs) == FOLLOW_UP_PROBES
        while harness.jobs:
            asyncio.run(harness.jobs.pop())
        now = harness.host.clock.now()
        far = [target for target in steering.catalog.targets.values() if target.zone == "b"]
        assert len(far) == 11
        assert all(steering.should_avoid(target, now) for target in far)

    def test_a_host_without_a_reference_target_suspects_none(self):
        """It cannot distinguish the target's failure from a failure of its own link."""
        harness = ProbeHarness(None, None)
        harness.host.steering.evidence.pop("i-0002")
        harness.stall()
        assert not harness.should_avoid()

    def test_a_target_that_just_answered_callers_is_not_probed(self):
        """The platform charges for probes, and each takes a slot of the target."""
        harness = ProbeHarness()
        target = harness.host.steering.catalog.targets["i-0001"]
        harness.host.steering.evidence_of(target).last_progress_at = 99.8
        harness.stall()
        assert not harness.probed


class TestWhileSuspected:
    """Probes of suspected targets."""

    def test_an_answer_ends_the_suspicion(self):
        """The target takes new flows again."""
        harness = ProbeHarness(None, None, True, None)
        harness.stall()
        harness.host.clock.time += 1.0
        harness.prober.probe_suspected_targets()
        asyncio.run(harness.jobs.pop())
        assert not harness.should_avoid()

    def test_a_suspected_target_is_probed_over_one_connection(self):
        """Its silence adds no evidence."""
        harness = ProbeHarness(None, None, None)
        harness.stall()
        harness.host.clock.time += 1.0
        harness.prober.probe_suspected_targets()
        asyncio.run(harness.jobs.pop())
        assert (len(harness.probed), len(harness.connected)) == (3, 1)
        assert harness.should_avoid()

    def test_a_suspicion_starts_probes_of_other_targets_of_the_zone(self):
        """A zone that is cut off must be detected as a whole, by a few probes at a time."""
        harness = ProbeHarness(None, None)
        steering = harness.host.steering
        steering.catalog.put_target(build_target(102, zone="b"))
        suspect = steering.catalog.targets["i-0065"]
        steering.evidence_of(suspect).start_suspicion(100.0)
        steering.announce_suspicion(suspect, 100.0)
        asyncio.run(harness.jobs.pop())
        assert (harness.probed, harness.connected) == (["i-0066"] * 2, ["i-0002"])
