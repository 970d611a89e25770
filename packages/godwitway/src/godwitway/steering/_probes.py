"""Active health probes of targets whose flows make no progress."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitway.steering._evidence import TargetEvidence
from godwitway.steering._model import Target
from godwitway.steering._steering import Steering

__all__ = ["ConnectProbe", "HealthProbe", "HealthProber"]

PROBE_TIMEOUT_S = 0.2  # Twenty times the round trip of 10 ms between zones.
# At 2.5% loss in each direction, a handshake fails in 5% of cases, and both in 1 of 400.
PROBE_CONNECTIONS = 2
# Half of `PROBE_TIMEOUT_S`: a target with later progress answered while another one of its zone was
# already silent, so its zone is not cut off.
MIN_SILENCE_S = 0.1
PROBE_INTERVAL_S = 0.5  # The platform charges for probes, and each takes a slot of the target.
REFERENCE_TIMEOUT_S = 0.1  # Ten times the round trip of 10 ms between zones.
# A quarter of `PROBE_TIMEOUT_S`; beyond it, this process was waiting for CPU time.
MAX_PROBE_DELAY_S = 0.05
MAX_ACTIVE_PROBES = 8  # Forty at once kept a host with a sixth of a core busy for 0.2 s.
FOLLOW_UP_PROBES = 3  # Hosts of a zone share their findings, so together they cover another zone.
RECENT_PROGRESS_S = 0.3  # A target that answered other callers within this time is not dead.

HealthProbe = Callable[[Target, str, float], Awaitable[bool | None]]
ConnectProbe = Callable[[Target, float], Awaitable[bool]]


class HealthProber:
    """Probes the health endpoint of targets that callers' packets make look unreachable.

    Attributes:
        steering: Provides the targets and their evidence, which the probes update.
        probe_health: Asks a target's health endpoint at a path, with a timeout in seconds. Returns
            whether the target is healthy, or None if it did not answer.
        probe_connect: Returns whether a target accepts a connection within a timeout in seconds.
        spawn: Runs a coroutine in the background.
        active_probes: The number of targets that are being probed.
    """

    def __init__(
        self,
        steering: Steering,
        probe_health: HealthProbe,
        probe_connect: ConnectProbe,
        spawn: Callable[[Awaitable[None]], None],
    ) -> None:
        self.steering = steering
        self.probe_health = probe_health
        self.probe_connect = probe_connect
        self.spawn = spawn
        self.active_probes = 0
        steering.on_stall = self.handle_stall
        steering.on_suspicion = self.handle_suspicion

    def handle_stall(self, target: Target) -> None:
        """Probe a target that a flow stalls at.

        The target is not probed while a probe is in progress, if the last one began less than
        `PROBE_INTERVAL_S` ago, or after recent progress unless several flows stall.
        """
        now = self.steering.now()
        evidence = self.steering.evidence_of(target)
        if evidence.is_probing or now - evidence.probe_started_at < PROBE_INTERVAL_S:
            return
        if now - evidence.last_progress_at < RECENT_PROGRESS_S and not evidence.has_several_stalls(
            now
        ):
            return
        self.start_probe(target, evidence, now)

    def handle_suspicion(self, suspected: Target) -> None:
        """Probe some other targets of a suspected target's zone, if it is not this host's zone.

        The whole zone may be cut off. Each probed target that becomes suspected leads to the next
        probes.
        """
        steering = self.steering
        if suspected.zone == steering.zone:
            return
        now = steering.now()
        silent = [
            (target, evidence)
            for target in steering.catalog.targets.values()
            if target.zone == suspected.zone
            and target is not suspected
            and (evidence := steering.evidence_of(target)).suspected_since is None
            and not evidence.is_probing
            and now - evidence.last_progress_at > MIN_SILENCE_S
        ]
        for target, evidence in steering.rng.sample(silent, min(len(silent), FOLLOW_UP_PROBES)):
            self.start_probe(target, evidence, now)

    def start_probe(self, target: Target, evidence: TargetEvidence, now: float) -> None:
        """Start a probe, unless `MAX_ACTIVE_PROBES` are active.

        With more of them, probes would time out because this process lacks CPU time.
        """
        if self.active_probes >= MAX_ACTIVE_PROBES:
            return
        self.active_probes += 1
        evidence.is_probing = True
        evidence.probe_started_at = now
        self.spawn(self.run_probe(target, evidence, now))

    async def run_probe(self, target: Target, evidence: TargetEvidence, started_at: float) -> None:
        """Probe a target and update its evidence with the result.

        Any answer ends a suspicion, also that the target is unhealthy: the store's entries decide
        whether a target gets new flows, and probes only whether it is reachable.
        """
        steering = self.steering
        config = steering.catalog.config
        service = config.services.get(target.service) if config else None
        try:
            healthy, conclusive = None, False
            if service is not None:
                healthy, conclusive = await self.probe_target(target, service.health_path, evidence)
        finally:
            evidence.is_probing = False
            self.active_probes -= 1
        now = steering.now()
        steering.metrics.count("probes", str(healthy))
        steering.journal.event(
            "probe",
            target=target.id,
            healthy=healthy,
            conclusive=conclusive,
            took_s=round(now - started_at, 4),
        )
        if healthy is not None:
            self.record_answer(target, evidence)
            return
        evidence.probe_failed_at = now
        if conclusive and evidence.last_progress_at < started_at and evidence.start_suspicion(now):
            steering.announce_suspicion(target, now)

    async def probe_target(
        self, target: Target, path: str, evidence: TargetEvidence
    ) -> tuple[bool | None, bool]:
        """Probe a target's health endpoint, and connect to a reference target at the same time.

        Several connections are opened at once, because a lost handshake packet is repeated only
        after a second. Silence counts as evidence against the target only if the reference target
        accepts a connection in time, and this host was not marked as impaired shortly before: see
        `choose_reference_target` and `Steering.is_impaired`. Otherwise this host's own link may be
        full, or may have been full when the probe was sent. This host is marked as impaired if a
        reference target does not accept a connection in time, or if a probe takes more than
        `MAX_PROBE_DELAY_S` longer than `PROBE_TIMEOUT_S`, because this process was delayed. A
        target that is already suspected is probed over one connection, and its silence is not
        conclusive.

        Returns:
            Whether the target is healthy (None without an answer), and whether a missing answer is
            conclusive.
        """
        if evidence.suspected_since is not None:
            return await self.probe_health(target, path, PROBE_TIMEOUT_S), False
        started_at = self.steering.now()
        reference = self.choose_reference_target(target)
        answers = await asyncio.gather(
            *(self.probe_health(target, path, PROBE_TIMEOUT_S) for _ in range(PROBE_CONNECTIONS)),
            self.is_reference_reachable(reference),
        )
        healthy = next((answer for answer in answers[:-1] if answer is not None), None)
        now = self.steering.now()
        was_delayed = now - started_at > PROBE_TIMEOUT_S + MAX_PROBE_DELAY_S
        if was_delayed or (reference is not None and not answers[-1]):
            self.steering.impaired_at = now
        return healthy, answers[-1] and not self.steering.is_impaired(now)

    async def is_reference_reachable(self, reference: Target | None) -> bool:
        """Whether there is a reference target and it accepts a connection in time."""
        return reference is not None and await self.probe_connect(reference, REFERENCE_TIMEOUT_S)

    def choose_reference_target(self, probed: Target) -> Target | None:
        """Return a target to compare a probed one with, or None if there is none.

        Considered are targets that this host has evidence about and does not avoid. Targets of this
        host's zone precede others; among these, the one with the latest progress is chosen.
        """
        steering = self.steering
        now = steering.now()
        others = [
            (target.zone == steering.zone, evidence.last_progress_at, target)
            for target_id, evidence in steering.evidence.items()
            if (target := steering.catalog.targets.get(target_id)) is not None
            and target is not probed
            and not evidence.should_avoid(now)
        ]
        return max(others, key=lambda entry: entry[:2])[2] if others else None

    def record_answer(self, target: Target, evidence: TargetEvidence) -> None:
        """Record that a target answered a probe, which ends a suspicion."""
        evidence.last_progress_at = self.steering.now()
        evidence.stall_times.clear()
        if evidence.suspected_since is not None:
            evidence.suspected_since = None
            self.steering.flow_table.changed_targets.add(target.id)
            self.steering.journal.event("target_trusted", target=target.id, reason="probe")

    def probe_suspected_targets(self) -> None:
        """Probe each suspected target every `PROBE_INTERVAL_S`; called several times a second."""
        now = self.steering.now()
        for target_id, evidence in self.steering.evidence.items():
            target = self.steering.catalog.targets.get(target_id)
            if target is None or evidence.suspected_since is None or evidence.is_probing:
                continue
            if now - evidence.probe_started_at >= PROBE_INTERVAL_S:
                self.start_probe(target, evidence, now)
