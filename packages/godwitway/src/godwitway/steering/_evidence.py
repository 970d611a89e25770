"""What callers' packets and health checks say about whether a target is reachable and alive."""

__all__ = ["NEVER_S", "TargetEvidence"]

STALLED_FLOWS = 2  # One flow may have lost packets by itself; several at one target have not.
STALL_VALID_S = 1.5  # The longest pause between two retransmissions of a caller.
NEVER_S = -1e9  # Before any time of the clock.
AGREEING_HOSTS = 2  # One host alone may have trouble with its own link.
PEER_VALID_S = 1.0  # Peers repeat a suspicion several times a second while it lasts.


class TargetEvidence:
    """Evidence about one target.

    Attributes:
        last_progress_at: When a caller last showed bytes from this target, in seconds.
        stall_times: When each flow last repeated a packet without progress since then.
        suspected_since: Since when this host itself suspects the target, or None.
        suspected_by: When each host of the same zone last said that it suspects the target.
        probe_failed_at: When a health check last got no answer.
        is_probing: Whether a health check is under way.
        probe_started_at: When the last health check began.
    """

    __slots__ = (
        "is_probing",
        "last_progress_at",
        "probe_failed_at",
        "probe_started_at",
        "stall_times",
        "suspected_by",
        "suspected_since",
    )

    def __init__(self) -> None:
        self.last_progress_at = 0.0
        self.stall_times: dict[bytes, float] = {}
        self.suspected_since: float | None = None
        self.suspected_by: dict[int, float] = {}
        self.probe_failed_at = NEVER_S
        self.is_probing = False
        self.probe_started_at = NEVER_S

    def record_progress(self, now: float, sent_at: float) -> bool:
        """Take note of progress; returns whether it ended a suspicion.

        Args:
            now: The time.
            sent_at: When the data that was answered was sent on. Bytes that the target had sent
                before it became unreachable may still reach callers.
        """
        if self.suspected_since is not None and sent_at <= self.suspected_since:
            return False
        self.last_progress_at = now
        if self.stall_times:
            self.stall_times.clear()
        if self.suspected_since is None:
            return False
        self.suspected_since = None
        return True

    def record_stall(self, flow: bytes, now: float) -> None:
        """Take note of a repeated packet."""
        self.stall_times[flow] = now
        if len(self.stall_times) > STALLED_FLOWS:
            self.stall_times = {
                key: at for key, at in self.stall_times.items() if now - at <= STALL_VALID_S
            }

    def has_several_stalls(self, now: float) -> bool:
        """Whether several flows make no progress; enough to prefer others, not to give flows up."""
        if len(self.stall_times) < STALLED_FLOWS:
            return False
        return sum(now - at <= STALL_VALID_S for at in self.stall_times.values()) >= STALLED_FLOWS

    def start_suspicion(self, now: float) -> bool:
        """Begin a suspicion; returns whether there was none."""
        if self.suspected_since is not None:
            return False
        self.suspected_since = now
        return True

    def clear(self) -> None:
        """Drop all evidence, as after a pause of this process."""
        self.stall_times.clear()
        self.suspected_since = None
        self.suspected_by.clear()

    def hosts_suspecting(self, now: float) -> int:
        """Return how many other hosts of the zone suspect the target."""
        if not self.suspected_by:
            return 0
        return sum(
            now - at < PEER_VALID_S and self.last_progress_at < at
            for at in self.suspected_by.values()
        )

    def is_suspected(self, now: float) -> bool:
        """Whether the target takes no new flows while others can."""
        if self.suspected_since is not None or self.hosts_suspecting(now) > 0:
            return True
        return self.has_several_stalls(now)

    def is_unreachable(self, now: float) -> bool:
        """Whether open flows are better given up: more than one witness is needed."""
        if self.suspected_since is not None:
            return True
        hosts = self.hosts_suspecting(now)
        return hosts >= AGREEING_HOSTS or (hosts > 0 and bool(self.stall_times))
