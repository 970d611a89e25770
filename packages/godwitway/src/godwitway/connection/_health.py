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
        endpoint_at: When the endpoint was last asked, in seconds.
        score: Rises with unanswered and reset first packets, falls with answers.
        last_failure: When a first packet last went unanswered or was reset.
        last_answer: When a first packet was last answered.
        ok_since: Since when the endpoint has called the target healthy without a break, or None.
        trust_endpoint: False when most of the service's targets look bad at once.
    """

    endpoint_ok: bool | None = None
    endpoint_draining: bool = False
    endpoint_at: float = -ENDPOINT_VALID_S
    score: float = 0.0
    last_failure: float = 0.0
    last_answer: float = 0.0
    trust_endpoint: bool = True
    ok_since: float | None = None

    def unanswered(self, now: float) -> None:
        """Count a first packet that was not answered."""
        self.score += UNANSWERED_COST
        self.last_failure = now

    def reset(self, now: float) -> None:
        """Count a first packet that the target reset."""
        self.score += RESET_COST
        self.last_failure = now

    def answered(self, now: float) -> None:
        """Count an answered first packet."""
        self.score = max(0.0, self.score - ANSWER_CREDIT)
        self.last_answer = now

    def endpoint(self, ok: bool | None, draining: bool, now: float) -> None:
        """Take over what the endpoint said; None for no answer."""
        self.endpoint_ok = ok
        if not ok:
            self.ok_since = None
        elif self.ok_since is None:
            self.ok_since = now
        self.endpoint_draining = draining
        self.endpoint_at = now

    def endpoint_bad(self, now: float) -> bool:
        """Whether a fresh answer of the endpoint calls the target bad."""
        return self.endpoint_ok is False and now - self.endpoint_at < ENDPOINT_VALID_S

    def observed_bad(self, now: float) -> bool:
        """Whether first packets failed lately, with a new try every few seconds."""
        return self.score >= SUSPECT_SCORE and now - self.last_failure < PROBE_AFTER_S

    def says_leaving(self, now: float) -> bool:
        """Whether a fresh answer of the endpoint says that the target is leaving."""
        return self.endpoint_draining and now - self.endpoint_at < ENDPOINT_VALID_S

    def looks_good(self, now: float) -> bool:
        """Whether nothing that is believed speaks against new flows."""
        if self.observed_bad(now):
            return False
        return not (self.trust_endpoint and self.endpoint_bad(now))
