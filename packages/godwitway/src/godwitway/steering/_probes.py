"""Health checks of targets whose flows make no progress."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitway.steering._evidence import TargetEvidence
from godwitway.steering._model import Target
from godwitway.steering._steering import Steering

__all__ = ["Probe", "Probes"]

PROBE_TIMEOUT_S = 0.2  # Twenty round trips between zones.
PROBE_CONNECTIONS = 2
SILENT_S = 0.1
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
        if now - evidence.progress_at < DOUBT_S:
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
            healthy = None
            if terms is not None:
                healthy = await self.ask(target, terms.health_path)
        finally:
            evidence.probing = False
        now = steering.now()
        steering.metrics.count("probes", str(healthy))
        steering.journal.event(
            "probe", target=target.id, healthy=healthy, took_s=round(now - began, 4)
        )
        if healthy is None:
            evidence.probe_failed_at = now
            witnessed = evidence.progress_at < began and steering.link_works(now)
            if witnessed and evidence.suspect(now):
                steering.note_suspicion(target, "probe_failed", now)
        else:
            self.answered(target, evidence, healthy)

    async def ask(self, target: Target, path: str) -> bool | None:
        """Ask an endpoint over several connections at once, and return what it answers.

        A lost packet of a connection's handshake comes again after a second only, so a single
        connection says little about the target.
        """
        answers = await asyncio.gather(
            *(self.probe(target, path, PROBE_TIMEOUT_S) for _ in range(PROBE_CONNECTIONS))
        )
        return next((answer for answer in answers if answer is not None), None)

    def answered(self, target: Target, evidence: TargetEvidence, healthy: bool) -> None:
        """Trust a target again whose endpoint answered."""
        evidence.progress_at = self.steering.now()
        evidence.stalls.clear()
        evidence.unhealthy = not healthy
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
