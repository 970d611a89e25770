"""Evidence, from callers' packets and health probes, of whether a target is reachable."""

__all__ = ["NEVER_S", "TargetEvidence"]

# A single flow may stall because of packet loss; several flows at one target do not.
MIN_STALLED_FLOWS = 2
STALL_VALID_S = 1.5  # The longest interval between two retransmissions of a caller.
NEVER_S = -1e9  # Earlier than any reading of the clock.
MIN_SUSPECTING_PEERS = 2  # A single host may suspect a target because of its own link.
PEER_SUSPICION_VALID_S = 1.0  # Twice the interval of full reports, which repeat a suspicion.


class TargetEvidence:
    """Evidence about one target. All times are in seconds of the process's clock.

    There are three levels:

    - `suspected_since`: This host suspects the target after a conclusive health probe. Reports and
      the event `target_suspected` are about this level.
    - `should_avoid`: New flows go to other targets, because this host or one peer suspects the
      target, or several flows stall. The state dump calls this `suspected`.
    - `is_unreachable`: Open flows may be reset, because this host or several peers suspect the
      target, or because one peer does and a flow stalls.

    Attributes:
        last_progress_at: When a caller last completed a handshake with this target or
            acknowledged the first bytes of a response, or when a health probe was last answered;
            0.0 before.
        stall_times: When each flow, by flow key, last retransmitted a packet since the last
            progress.
        suspected_since: When this host began to suspect the target, or None.
        suspected_by: When each other host of the zone last reported that it suspects the target,
            by the boot id of that host's process.
        probe_failed_at: When a health probe was last left unanswered.
        is_probing: Whether a health probe is in progress.
        probe_started_at: When the last health probe began.
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

    def record_progress(self, now: float, forwarded_at: float) -> bool:
        """Record progress and return whether it ended this host's suspicion.

        Progress is ignored when the answered data was forwarded before the suspicion began: bytes
        that the target sent before it became unreachable may still reach callers.

        Args:
            now: The time.
            forwarded_at: When the data that the target answered was forwarded.
        """
        if self.suspected_since is not None and forwarded_at <= self.suspected_since:
            return False
        self.last_progress_at = now
        if self.stall_times:
            self.stall_times.clear()
        if self.suspected_since is None:
            return False
        self.suspected_since = None
        return True

    def record_stall(self, flow: bytes, now: float) -> None:
        """Record that a flow retransmitted a packet without progress.

        Args:
            flow: The flow key.
            now: The time.
        """
        self.stall_times[flow] = now
        if len(self.stall_times) > MIN_STALLED_FLOWS:
            self.stall_times = {
                key: at for key, at in self.stall_times.items() if now - at <= STALL_VALID_S
            }

    def has_several_stalls(self, now: float) -> bool:
        """Whether several flows make no progress.

        This is enough to prefer other targets for new flows, but not to reset open flows.
        """
        if len(self.stall_times) < MIN_STALLED_FLOWS:
            return False
        return (
            sum(now - at <= STALL_VALID_S for at in self.stall_times.values()) >= MIN_STALLED_FLOWS
        )

    def start_suspicion(self, now: float) -> bool:
        """Mark the target as suspected; returns False if it already was."""
        if self.suspected_since is not None:
            return False
        self.suspected_since = now
        return True

    def clear_suspicions(self) -> None:
        """Clear all suspicions and stalls, for example after this process was paused.

        The times of progress and of probes stay.
        """
        self.stall_times.clear()
        self.suspected_since = None
        self.suspected_by.clear()

    def count_suspecting_peers(self, now: float) -> int:
        """Return how many other hosts of the zone currently suspect the target.

        A suspicion that is older than the last progress does not count.
        """
        if not self.suspected_by:
            return 0
        return sum(
            now - at < PEER_SUSPICION_VALID_S and self.last_progress_at < at
            for at in self.suspected_by.values()
        )

    def should_avoid(self, now: float) -> bool:
        """Whether new flows should go to other targets as long as there are any."""
        if self.suspected_since is not None or self.count_suspecting_peers(now) > 0:
            return True
        return self.has_several_stalls(now)

    def is_unreachable(self, now: float) -> bool:
        """Whether open flows should be reset; needs more evidence than one peer's suspicion."""
        if self.suspected_since is not None:
            return True
        hosts = self.count_suspecting_peers(now)
        return hosts >= MIN_SUSPECTING_PEERS or (hosts > 0 and bool(self.stall_times))
