"""Target health, from active checks of its endpoint and passive checks of its flows."""

from dataclasses import dataclass

__all__ = ["TargetHealth"]

# Score from which on a target is suspect; a score is the sum of the penalties less the credits.
SUSPECT_SCORE = 3.0
UNANSWERED_PENALTY = 1.0
RESET_PENALTY = 0.5
ANSWER_CREDIT = 1.0
ENDPOINT_REPORT_TTL_S = 10.0
SUSPECT_PERIOD_S = 2.0


@dataclass(slots=True)
class TargetHealth:
    """Health of one target as its owner sees it.

    The owner combines the reports of the target's health endpoint with the outcome of first
    packets: answered, reset or unanswered. Times are seconds of the process's clock.

    Attributes:
        endpoint_ok: Last report of the endpoint; None if it has never answered.
        endpoint_draining: Whether the endpoint last reported that the target is draining.
        endpoint_checked_at: Time of the last endpoint check; before the first one, a time at
            which a report would have expired.
        score: Failure score; unanswered and reset first packets raise it, answers lower it.
        last_failure_at: Time of the last unanswered or reset first packet; 0 if there was none.
        last_answer_at: Time of the last answered first packet; 0 if there was none.
        trust_endpoint: False while endpoints report most targets of the service as unhealthy,
            which indicates faulty endpoints rather than faulty targets.
        endpoint_ok_since: Start of the current uninterrupted run of healthy endpoint reports,
            or None.
    """

    endpoint_ok: bool | None = None
    endpoint_draining: bool = False
    endpoint_checked_at: float = -ENDPOINT_REPORT_TTL_S
    score: float = 0.0
    last_failure_at: float = 0.0
    last_answer_at: float = 0.0
    trust_endpoint: bool = True
    endpoint_ok_since: float | None = None

    def record_unanswered(self, now: float) -> None:
        """Raise the failure score for a first packet that the target did not answer."""
        self.score += UNANSWERED_PENALTY
        self.last_failure_at = now

    def record_reset(self, now: float) -> None:
        """Raise the failure score for a first packet that the target reset."""
        self.score += RESET_PENALTY
        self.last_failure_at = now

    def record_answer(self, now: float) -> None:
        """Lower the failure score, to no less than 0, for an answered first packet."""
        self.score = max(0.0, self.score - ANSWER_CREDIT)
        self.last_answer_at = now

    def record_endpoint_report(self, ok: bool | None, draining: bool, now: float) -> None:
        """Store the result of an endpoint check.

        Args:
            ok: Whether the endpoint reported the target as healthy. For no answer, None if the
                endpoint has never answered, and False if it has answered before.
            draining: Whether the endpoint reported that the target is draining.
            now: Time of the check in seconds of the process's clock.
        """
        self.endpoint_ok = ok
        if not ok:
            self.endpoint_ok_since = None
        elif self.endpoint_ok_since is None:
            self.endpoint_ok_since = now
        self.endpoint_draining = draining
        self.endpoint_checked_at = now

    def is_endpoint_unhealthy(self, now: float) -> bool:
        """Return whether an endpoint report that has not expired says unhealthy."""
        return self.endpoint_ok is False and now - self.endpoint_checked_at < ENDPOINT_REPORT_TTL_S

    def is_suspect(self, now: float) -> bool:
        """Return whether too many first packets failed, the last one recently.

        A suspect target becomes eligible again `SUSPECT_PERIOD_S` after its last failure, so
        that a new flow can test it. The score does not decay with time: unless an answer has
        lowered it, the next failure makes the target suspect again.
        """
        return self.score >= SUSPECT_SCORE and now - self.last_failure_at < SUSPECT_PERIOD_S

    def is_endpoint_draining(self, now: float) -> bool:
        """Return whether an endpoint report that has not expired says that the target drains."""
        return self.endpoint_draining and now - self.endpoint_checked_at < ENDPOINT_REPORT_TTL_S

    def is_healthy(self, now: float) -> bool:
        """Return whether neither flow outcomes nor a trusted endpoint rule out new flows."""
        if self.is_suspect(now):
            return False
        return not (self.trust_endpoint and self.is_endpoint_unhealthy(now))
