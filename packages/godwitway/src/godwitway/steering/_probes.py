"""Health checks of targets whose flows make no progress."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitway.steering._evidence import TargetEvidence
from godwitway.steering._model import Target
from godwitway.steering._steering import Steering

__all__ = ["Probe", "Probes"]

PROBE_TIMEOUT_S = 0.2  # Twenty round trips between zones.
PROBE_CONNECTIONS = 2  # At 2.5% loss, both handshakes are lost once in 400 times.
SILENT_S = 0.1  # Half of `PROBE_TIMEOUT_S`: such an answer came after the doubt.
PROBE_PAUSE_S = 0.5  # Health checks are priced and take a slot.
DOUBT_S = 0.3  # A target that just answered other callers is not dead.

Probe = Callable[[Target, str, float], Awaitable[bool | None]]


class Probes:
    """Asks a target's health endpoint when callers' packets cast doubt on it.

    Attributes:
        steering: Whose evidence is completed.
        probe: Asks an endpoint: True, False, or None for no answer.
        spawn: Runs a background job.
    """

    def __init__(
        self, steering: Steering, probe: Probe, spawn: Callable[[Awaitable[None]], None]
    ) -> None:
        self.steering = steering
        self.probe = probe
        self.spawn = spawn
        steering.on_stall = self.on_stall
        steering.on_suspicion = self.on_suspicion

    def on_stall(self, target: Target) -> None:
        """Begin a health check unless the target made progress or was asked lately."""
        now = self.steering.now()
        evidence = self.steering.evidence_of(target)
        if evidence.probing or now - evidence.probed_at < PROBE_PAUSE_S:
            return
        if now - evidence.progress_at < DOUBT_S and not evidence.doubtful(now):
            return
        self.begin(target, evidence, now)

    def on_suspicion(self, suspected: Target) -> None:
        """Ask the other targets of another zone, since the zone may be cut off."""
        if suspected.zone == self.steering.zone:
            return
        now = self.steering.now()
        for target in self.steering.catalog.targets.values():
            if target.zone != suspected.zone or target is suspected:
                continue
            evidence = self.steering.evidence_of(target)
            silent_s = now - evidence.progress_at
            if evidence.suspected_since is None and not evidence.probing and silent_s > SILENT_S:
                self.begin(target, evidence, now)

    def begin(self, target: Target, evidence: TargetEvidence, now: float) -> None:
        """Begin a health check."""
        evidence.probing = True
        evidence.probed_at = now
        self.spawn(self.check(target, evidence, now))

    async def check(self, target: Target, evidence: TargetEvidence, began: float) -> None:
        """Ask a target and take note of the answer."""
        steering = self.steering
        config = steering.catalog.config
        terms = config.services.get(target.service) if config else None
        try:
            healthy, conclusive = None, False
            if terms is not None:
                healthy, conclusive = await self.ask(target, terms.health_path)
        finally:
            evidence.probing = False
        now = steering.now()
        steering.metrics.count("probes", str(healthy))
        steering.journal.event(
            "probe",
            target=target.id,
            healthy=healthy,
            conclusive=conclusive,
            took_s=round(now - began, 4),
        )
        if healthy is not None:
            self.answered(target, evidence)
            return
        evidence.probe_failed_at = now
        if conclusive and evidence.progress_at < began and evidence.suspect(now):
            steering.note_suspicion(target, now)

    async def ask(self, target: Target, path: str) -> tuple[bool | None, bool]:
        """Ask an endpoint; returns what it answers, and whether no answer means anything.

        A lost packet of a connection's handshake comes again after a second only, so several
        connections are opened at once. Silence means something only while a target that answered
        callers lately still takes a connection: else this host's own link may be full.
        """
        control = self.control(target)
        answers = await asyncio.gather(
            *(self.probe(target, path, PROBE_TIMEOUT_S) for _ in range(PROBE_CONNECTIONS)),
            self.ask_control(control),
        )
        healthy = next((answer for answer in answers[:-1] if answer is not None), None)
        return healthy, answers[-1] is not None

    async def ask_control(self, control: Target | None) -> bool | None:
        """Ask a target that should answer."""
        if control is None:
            return None
        terms = self.steering.catalog.config.services.get(control.service)
        return await self.probe(control, terms.health_path, PROBE_TIMEOUT_S) if terms else None

    def control(self, doubted: Target) -> Target | None:
        """Return the target of this zone, or else of any, that answered last."""
        steering = self.steering
        now = steering.now()
        others = [
            (target.zone == steering.zone, evidence.progress_at, target)
            for target_id, evidence in steering.evidence.items()
            if (target := steering.catalog.targets.get(target_id)) is not None
            and target is not doubted
            and not evidence.suspected(now)
        ]
        return max(others, key=lambda entry: entry[:2])[2] if others else None

    def answered(self, target: Target, evidence: TargetEvidence) -> None:
        """Trust a target again whose endpoint answered."""
        evidence.progress_at = self.steering.now()
        evidence.stalls.clear()
        if evidence.suspected_since is not None:
            evidence.suspected_since = None
            self.steering.table.changed.add(target.id)
            self.steering.journal.event("target_trusted", target=target.id, reason="probe")

    def ask_suspected(self) -> None:
        """Ask suspected targets again; called twice a second."""
        now = self.steering.now()
        for target_id, evidence in self.steering.evidence.items():
            target = self.steering.catalog.targets.get(target_id)
            if target is None or evidence.suspected_since is None or evidence.probing:
                continue
            if now - evidence.probed_at >= PROBE_PAUSE_S:
                self.begin(target, evidence, now)
