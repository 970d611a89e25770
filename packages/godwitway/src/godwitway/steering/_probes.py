"""Health checks of targets whose flows make no progress."""

import asyncio
from collections.abc import Awaitable, Callable

from godwitway.steering._evidence import TargetEvidence
from godwitway.steering._model import Target
from godwitway.steering._steering import Steering

__all__ = ["ConnectProbe", "HealthProbe", "HealthProber"]

PROBE_TIMEOUT_S = 0.2  # Twenty round trips between zones.
PROBE_CONNECTIONS = 2  # At 2.5% loss, both handshakes are lost once in 400 times.
SILENT_S = 0.1  # Half of `PROBE_TIMEOUT_S`: such an answer came after the doubt.
PROBE_PAUSE_S = 0.5  # Health checks are priced and take a slot.
CONTROL_S = 0.1  # Ten round trips between zones.
LATE_S = 0.05  # A quarter of `PROBE_TIMEOUT_S`; this process then waits for its processor.
AT_ONCE = 8  # Forty at once took a host with a sixth of a core 0.2 s.
ASKED_NEXT = 3  # Hosts of a zone share what they find, so they cover another zone together.
DOUBT_S = 0.3  # A target that just answered other callers is not dead.

HealthProbe = Callable[[Target, str, float], Awaitable[bool | None]]
ConnectProbe = Callable[[Target, float], Awaitable[bool]]


class HealthProber:
    """Asks a target's health endpoint when callers' packets cast doubt on it.

    Attributes:
        steering: Whose evidence is completed.
        probe: Asks an endpoint: True, False, or None for no answer.
        reach: Returns whether a target takes a connection within a time.
        spawn: Runs a background job.
        under_way: How many health checks are being made.
    """

    def __init__(
        self,
        steering: Steering,
        probe: HealthProbe,
        reach: ConnectProbe,
        spawn: Callable[[Awaitable[None]], None],
    ) -> None:
        self.steering = steering
        self.probe = probe
        self.reach = reach
        self.spawn = spawn
        self.under_way = 0
        steering.on_stall = self.on_stall
        steering.on_suspicion = self.on_suspicion

    def on_stall(self, target: Target) -> None:
        """Begin a health check unless the target made progress or was asked lately."""
        now = self.steering.now()
        evidence = self.steering.evidence_of(target)
        if evidence.is_probing or now - evidence.probe_started_at < PROBE_PAUSE_S:
            return
        if now - evidence.last_progress_at < DOUBT_S and not evidence.has_several_stalls(now):
            return
        self.begin(target, evidence, now)

    def on_suspicion(self, suspected: Target) -> None:
        """Ask some other targets of another zone, since the zone may be cut off.

        Each of them that does not answer leads to the next ones.
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
            and now - evidence.last_progress_at > SILENT_S
        ]
        for target, evidence in steering.rng.sample(silent, min(len(silent), ASKED_NEXT)):
            self.begin(target, evidence, now)

    def begin(self, target: Target, evidence: TargetEvidence, now: float) -> None:
        """Begin a health check, unless this host makes too many of them to judge any."""
        if self.under_way >= AT_ONCE:
            return
        self.under_way += 1
        evidence.is_probing = True
        evidence.probe_started_at = now
        self.spawn(self.check(target, evidence, now))

    async def check(self, target: Target, evidence: TargetEvidence, began: float) -> None:
        """Ask a target and take note of the answer."""
        steering = self.steering
        config = steering.catalog.config
        terms = config.services.get(target.service) if config else None
        try:
            healthy, conclusive = None, False
            if terms is not None:
                healthy, conclusive = await self.ask(target, terms.health_path, evidence)
        finally:
            evidence.is_probing = False
            self.under_way -= 1
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
        if conclusive and evidence.last_progress_at < began and evidence.start_suspicion(now):
            steering.record_suspicion(target, now)

    async def ask(
        self, target: Target, path: str, evidence: TargetEvidence
    ) -> tuple[bool | None, bool]:
        """Ask an endpoint; returns what it answers, and whether no answer means anything.

        A lost packet of a connection's handshake comes again after a second only, so several
        connections are opened at once. Silence means something only while another target that
        answered callers lately takes a connection in good time, and none failed to do so just
        before: else this host's own link may be full, or have been full when the question was
        sent. A target that is suspected already is asked by one connection.
        """
        if evidence.suspected_since is not None:
            return await self.probe(target, path, PROBE_TIMEOUT_S), False
        began = self.steering.now()
        control = self.control(target)
        answers = await asyncio.gather(
            *(self.probe(target, path, PROBE_TIMEOUT_S) for _ in range(PROBE_CONNECTIONS)),
            self.reaches(control),
        )
        healthy = next((answer for answer in answers[:-1] if answer is not None), None)
        now = self.steering.now()
        late = now - began > PROBE_TIMEOUT_S + LATE_S
        if late or (control is not None and not answers[-1]):
            self.steering.impaired_at = now
        return healthy, answers[-1] and not self.steering.is_impaired(now)

    async def reaches(self, control: Target | None) -> bool:
        """Whether there is a target to compare with, and it takes a connection in good time."""
        return control is not None and await self.reach(control, CONTROL_S)

    def control(self, doubted: Target) -> Target | None:
        """Return the target of this zone, or else of any, that answered last."""
        steering = self.steering
        now = steering.now()
        others = [
            (target.zone == steering.zone, evidence.last_progress_at, target)
            for target_id, evidence in steering.evidence.items()
            if (target := steering.catalog.targets.get(target_id)) is not None
            and target is not doubted
            and not evidence.is_suspected(now)
        ]
        return max(others, key=lambda entry: entry[:2])[2] if others else None

    def answered(self, target: Target, evidence: TargetEvidence) -> None:
        """Trust a target again whose endpoint answered."""
        evidence.last_progress_at = self.steering.now()
        evidence.stall_times.clear()
        if evidence.suspected_since is not None:
            evidence.suspected_since = None
            self.steering.flow_table.changed_targets.add(target.id)
            self.steering.journal.event("target_trusted", target=target.id, reason="probe")

    def ask_suspected(self) -> None:
        """Ask suspected targets again; called twice a second."""
        now = self.steering.now()
        for target_id, evidence in self.steering.evidence.items():
            target = self.steering.catalog.targets.get(target_id)
            if target is None or evidence.suspected_since is None or evidence.is_probing:
                continue
            if now - evidence.probe_started_at >= PROBE_PAUSE_S:
                self.begin(target, evidence, now)
