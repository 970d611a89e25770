"""The estimate of one target's speed from samples of this host and its peers.

A sample is the logarithm of the ratio of a request's time to what is usual for its route, with
waiting for slots divided out; 0.0 is usual and positive values are slow.
"""

import math

__all__ = ["LOAD_BANDS", "SpeedEstimate"]

# Follows a change within two seconds at ten samples a second, which the hosts of a zone see of each
# target together.
RECENT_S = 1.2
# A slow target gets few requests or none. After the first time without a sample the recent weights
# decay over the second one, so that the target is tried again within about two seconds.
SILENT_AFTER_S, SILENT_DECAY_S = 0.5, 0.5
LASTING_S = 20.0  # Keeps what a lone host with one sample of a target in two seconds has learned.
# The weight, in samples, of the assumption that a target is as fast as usual.
LASTING_PRIOR = 3.0
# A sample counts at most this far from the present estimate, so that the few requests that take 7
# times as long do not stand out; and from the lasting one, which a few seconds must not change.
MAX_SURPRISE = 1.0
MAX_LASTING_SURPRISE = 0.7
SAMPLE_SPREAD = 0.6  # Standard deviation of a sample: that of the work and of the known load.
# A recent difference is reduced by the share that is likely to be random: twice the variance of the
# recent mean divided by its square. The variance is that of a sample by twice the decayed weight.
RECENT_NOISE = 2.0 * SAMPLE_SPREAD**2 / 2.0
# Among the last eight answers, so many early ones show that the target rejects or fails requests.
EARLY_GAIN, MAX_EARLY_SHARE = 1 / 8, 0.25
DOUBTFUL = math.log(0.5)  # Answers in less than half of the usual time are errors as well then.
KNEE_S = 40.0  # A knee is a lasting property, and takes some hundred requests to show.
LOAD_BANDS = 4  # Samples at up to a quarter, a half, three quarters and all of the slots.
KNEE_MIN_WEIGHT = 12.0
# Standard errors by which a slowdown must exceed `KNEE_MIN_SLOWDOWN`: to be found, and to stay.
KNEE_ERRORS, KNOWN_KNEE_ERRORS = 3.0, 1.0
KNEE_MIN_SLOWDOWN = math.log(1.2)


class SpeedEstimate:
    """What is known of one target's speed. Times are in seconds of the process's clock.

    Attributes:
        recent_sum: The sum of samples, with weights that decay over `RECENT_S`.
        recent_weight: The sum of these weights.
        lasting_sum: The sum of samples, with weights that decay over `LASTING_S`.
        lasting_weight: The sum of these weights.
        band_sums: The sums of samples by the load that they found, decaying over `KNEE_S`.
        band_weights: The sums of their weights.
        early_share: The smoothed share of this host's answers that came too early to be those of
            requests that ran.
        usable_share: The share of the slots up to which the target does not slow down.
        sampled_at: When the last sample was added.
        updated_at: When the weights last decayed.
    """

    __slots__ = (
        "band_sums",
        "band_weights",
        "early_share",
        "lasting_sum",
        "lasting_weight",
        "recent_sum",
        "recent_weight",
        "sampled_at",
        "updated_at",
        "usable_share",
    )

    def __init__(self, now: float) -> None:
        self.recent_sum = self.recent_weight = 0.0
        self.lasting_sum = self.lasting_weight = 0.0
        self.band_sums = [0.0] * LOAD_BANDS
        self.band_weights = [0.0] * LOAD_BANDS
        self.early_share = 0.0
        self.usable_share = 1.0
        self.sampled_at = now
        self.updated_at = now

    def decay(self, now: float) -> None:
        """Let the weights decay to the present time."""
        elapsed_s = now - self.updated_at
        if elapsed_s <= 0.0:
            return
        self.updated_at = now
        is_silent = now - self.sampled_at > SILENT_AFTER_S
        recent = math.exp(-elapsed_s / (SILENT_DECAY_S if is_silent else RECENT_S))
        self.recent_sum *= recent
        self.recent_weight *= recent
        lasting = math.exp(-elapsed_s / LASTING_S)
        self.lasting_sum *= lasting
        self.lasting_weight *= lasting

    def lasting_log(self) -> float:
        """Return the logarithm of the slowness over `LASTING_S`."""
        return self.lasting_sum / (self.lasting_weight + LASTING_PRIOR)

    def log(self) -> float:
        """Return the logarithm of the present slowness, as of `updated_at`.

        Without recent samples it returns to the lasting one, so that a target that gets no requests
        because it was slow gets some again.
        """
        lasting = self.lasting_log()
        if self.recent_weight <= 0.0:
            return lasting
        difference = self.recent_sum / self.recent_weight - lasting
        noise = RECENT_NOISE / self.recent_weight
        if difference * difference <= noise:
            return lasting
        return lasting + difference - noise / difference

    def add(self, sample: float, weight: float, load_share: float, now: float) -> None:
        """Add a sample.

        Args:
            sample: The logarithm of the ratio to the usual time.
            weight: How many samples it stands for.
            load_share: The requests in progress for each slot that it found, including itself.
            now: The time.
        """
        self.decay(now)
        self.sampled_at = now
        present, lasting = self.log(), self.lasting_log()
        if load_share <= 1.0:
            band = max(0, math.ceil(load_share * LOAD_BANDS) - 1)
            self.band_sums[band] += weight * clamp(sample, present, MAX_SURPRISE)
            self.band_weights[band] += weight
        # Beyond the knee, the slots explain less than a request takes.
        usable = self.usable_share
        if usable < 1.0:
            sample += math.log(max(1.0, load_share) / max(1.0, load_share / usable))
        self.recent_sum += weight * clamp(sample, present, MAX_SURPRISE)
        self.recent_weight += weight
        self.lasting_sum += weight * clamp(sample, lasting, MAX_LASTING_SURPRISE)
        self.lasting_weight += weight

    def is_credible(self, sample: float, is_early: bool) -> bool:
        """Whether one of this host's answers is that of a request that ran.

        While a target rejects or fails requests, other very fast answers are not credible either.

        Args:
            sample: The logarithm of the ratio to the usual time.
            is_early: Whether it is too small for a request that ran; this is recorded.
        """
        self.early_share += EARLY_GAIN * (is_early - self.early_share)
        return not is_early and (sample >= DOUBTFUL or self.early_share <= MAX_EARLY_SHARE)

    def adopt(self, log: float, usable_share: float, weight: float) -> None:
        """Take over what a peer has learned, unless as many samples are known already."""
        if self.lasting_weight < weight:
            self.lasting_sum, self.lasting_weight = log * weight, weight
            self.usable_share = usable_share

    def slowdown_above(self, band: int) -> tuple[float, float]:
        """Return how much slower the target is above a band of load, and the standard error.

        Returns:
            Two logarithms; the error is infinite if there are too few samples.
        """
        below, above = sum(self.band_weights[:band]), sum(self.band_weights[band:])
        if min(below, above) < KNEE_MIN_WEIGHT:
            return 0.0, math.inf
        slowdown = sum(self.band_sums[band:]) / above - sum(self.band_sums[:band]) / below
        return slowdown, SAMPLE_SPREAD * math.sqrt(0.5 / below + 0.5 / above)

    def update_knee(self, usual: "SpeedEstimate", elapsed_s: float) -> None:
        """Derive `usable_share` from the samples at low and at high load.

        Args:
            usual: The sums of all targets of the service; what is slower there too, is due to loads
                that are not known exactly.
            elapsed_s: The time since the last call.
        """
        self.decay_bands(elapsed_s)
        errors = KNEE_ERRORS if self.usable_share >= 1.0 else KNOWN_KNEE_ERRORS
        share = 1.0
        for band in range(1, LOAD_BANDS):
            slowdown, error = self.slowdown_above(band)
            slowdown -= max(0.0, usual.slowdown_above(band)[0])
            if slowdown - errors * error > KNEE_MIN_SLOWDOWN:
                share = min(share, max(band / LOAD_BANDS, math.exp(-slowdown)))
        self.usable_share = share

    def decay_bands(self, elapsed_s: float) -> None:
        """Let the weights of the bands of load decay."""
        decay = math.exp(-elapsed_s / KNEE_S)
        self.band_sums = [value * decay for value in self.band_sums]
        self.band_weights = [value * decay for value in self.band_weights]


def clamp(sample: float, expected: float, distance: float) -> float:
    """Return a sample, or the limit that is a distance from the expected value.

    >>> clamp(3.0, 1.0, 0.5), clamp(0.8, 1.0, 0.5)
    (1.5, 0.8)
    """
    return max(expected - distance, min(expected + distance, sample))
