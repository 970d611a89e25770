"""What an owner believes about the health of a target."""

from dataclasses import dataclass

__all__ = ["TargetHealth"]

SUSPECT_SCORE = 3.0
UNANSWERED_COST = 1.0
RESET_COST = 0.5
ANSWER_CREDIT = 1.0
ENDPOINT_VALID_S = 10.0
PROBE_AFTER_S = 2.0


@dataclass(slots=True)
class TargetHealth:
    """Health from a target's own endpoint and from what the owner sees.

    Attributes:
        endpoint_ok: What the endpoint said last, None when it never answered.
        endpoint_draining: Whether the endpoint says that the target is leaving.
        endpoint_checked_at: When the endpoint was last asked, in seconds.
        score: Rises with unanswered and reset first packets, falls with answers.
        last_failure_at: When a first packet last went unanswered or was reset.
        last_answer_at: When a first packet was last answered.
        endpoint_ok_since: Start of the unbroken run of healthy endpoint reports, or None.
        trust_endpoint: False when most of the service's targets look bad at once.
    """

    endpoint_ok: bool | None = None
    endpoint_draining: bool = False
    endpoint_checked_at: float = -ENDPOINT_VALID_S
    score: float = 0.0
    last_failure_at: float = 0.0
    last_answer_at: float = 0.0
    trust_endpoint: bool = True
    endpoint_ok_since: float | None = None

    def record_unanswered(self, now: float) -> None:
        """Count a first packet that was not answered."""
        self.score += UNANSWERED_COST
        self.last_failure_at = now

    def record_reset(self, now: float) -> None:
        """Count a first packet that the target reset."""
        self.score += RESET_COST
        self.last_failure_at = now

    def record_answer(self, now: float) -> None:
        """Count an answered first packet."""
        self.score = max(0.0, self.score - ANSWER_CREDIT)
        self.last_answer_at = now

    def record_endpoint_report(self, ok: bool | None, draining: bool, now: float) -> None:
        """Take over what the endpoint said; None for no answer."""
        self.endpoint_ok = ok
        if not ok:
            self.endpoint_ok_since = None
        elif self.endpoint_ok_since is None:
            self.endpoint_ok_since = now
        self.endpoint_draining = draining
        self.endpoint_checked_at = now

    def is_endpoint_unhealthy(self, now: float) -> bool:
        """Whether a fresh answer of the endpoint calls the target bad."""
        return self.endpoint_ok is False and now - self.endpoint_checked_at < ENDPOINT_VALID_S

    def is_suspect(self, now: float) -> bool:
        """Whether first packets failed lately, with a new try every few seconds."""
        return self.score >= SUSPECT_SCORE and now - self.last_failure_at < PROBE_AFTER_S

    def is_endpoint_draining(self, now: float) -> bool:
        """Whether a fresh answer of the endpoint says that the target is leaving."""
        return self.endpoint_draining and now - self.endpoint_checked_at < ENDPOINT_VALID_S

    def is_healthy(self, now: float) -> bool:
        """Whether nothing that is believed speaks against new flows."""
        if self.is_suspect(now):
            return False
        return not (self.trust_endpoint and self.is_endpoint_unhealthy(now))
