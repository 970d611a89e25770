"""The learned speeds of targets: how slow each is, and how many of its slots it can use.

Every host adds its own samples and those that its peers report, so that the hosts of a zone follow
a change together; a single one sees too few requests of each target. A sample that is reported
carries the load that it found and a running number, from which receivers tell repeated samples
from new ones.
"""

import math
from collections.abc import Iterator

from godwitway.steering._model import Route, Target
from godwitway.steering._speed_estimate import SpeedEstimate
from godwitway.steering._speed_reports import (
    LEARNED,
    SpeedReports,
    decode_log,
    encode_load,
    encode_log,
)
from godwitway.steering._usual_times import UsualTimes

__all__ = ["SpeedFactors", "SpeedTable"]

# Slowness and usable share of the slots of a target that is not as usual.
SpeedFactors = tuple[float, float]
# Measured differences of less than a fifth are treated as noise. From there to twice as far the
# effect grows to its full size, so that a target at the limit does not swing.
NOISE_LOG = math.log(1.2)
# In samples; a host's own samples outweigh it after some seconds. Only what rests on more samples
# is told to others, so that it is not passed on from host to host.
ADOPTED_WEIGHT = 8.0
KNEES_INTERVAL_S = 2.0  # Knees last, and their update takes 10 us for each target.
SLOW_RATIO, USUAL_RATIO = 2.0, 1.5  # Where a target begins and ceases to be logged as slow.


class SpeedTable:
    """What this host has learned of all targets. Times are in seconds of the process's clock.

    Attributes:
        usual_times: The usual times of routes.
        estimates: The estimates by target id.
        factors: Slowness and usable share of the slots, by target id, of those targets that are not
            as usual; looked up for each candidate of a placement.
        slow_targets: The ids of the targets that are logged as slow.
        reports: The samples to report, and the numbers of those received.
        valid_since: Requests that were forwarded before are not judged.
        knees_updated_at: When `update_knees` was last called.
    """

    __slots__ = (
        "estimates",
        "factors",
        "knees_updated_at",
        "reports",
        "slow_targets",
        "usual_times",
        "valid_since",
    )

    def __init__(self, now: float) -> None:
        self.usual_times = UsualTimes()
        self.estimates: dict[str, SpeedEstimate] = {}
        self.factors: dict[str, SpeedFactors] = {}
        self.slow_targets: set[str] = set()
        self.reports = SpeedReports()
        self.valid_since = now
        self.knees_updated_at = now

    def estimate_of(self, target_id: str, now: float) -> SpeedEstimate:
        """Return the estimate of a target; a new one has no samples."""
        estimate = self.estimates.get(target_id)
        if estimate is None:
            estimate = self.estimates[target_id] = SpeedEstimate(now)
        return estimate

    def record_response(
        self, target: Target, route: Route, response_s: float, requests: float, now: float
    ) -> None:
        """Learn from an answered request.

        Args:
            target: The target.
            route: The route.
            response_s: The time in seconds from the last byte of the request to the response.
            requests: The requests in progress at the target meanwhile, including itself.
            now: The time.
        """
        if response_s <= 0.0 or now - response_s < self.valid_since:
            return
        load = requests / target.slots
        work_s = self.usual_times.work_s(target.zone, response_s) / max(1.0, load)
        estimate = self.estimate_of(target.id, now)
        usual = self.usual_times.of_route(route.name, target.service)
        measured = usual.deviation(math.log(work_s), estimate.log())
        if measured is None:
            return
        sample, is_early = measured
        if not estimate.is_credible(sample, is_early):
            return
        self.add_sample(target.id, sample, 1.0, load, now)
        self.reports.add(target.token, sample, load)

    def add_sample(
        self, target_id: str, sample: float, weight: float, load: float, now: float
    ) -> None:
        """Add a sample to a target's estimate, and update its factors."""
        estimate = self.estimate_of(target_id, now)
        estimate.add(sample, weight, load, now)
        self.update_factors(target_id, estimate)

    def update_factors(self, target_id: str, estimate: SpeedEstimate) -> None:
        """Derive a target's factors from its estimate."""
        log, share = estimate.log(), estimate.usable_share
        size = abs(log)
        if size <= NOISE_LOG:
            if share >= 1.0:
                self.factors.pop(target_id, None)
                return
            log = 0.0
        elif size < 2.0 * NOISE_LOG:
            log = math.copysign(2.0 * (size - NOISE_LOG), log)
        self.factors[target_id] = (math.exp(log), share)

    def record_peer(self, target: Target, boot_id: int, speed: int, knee: int, now: float) -> None:
        """Learn from an entry of a peer's report; see `SpeedReports`.

        Args:
            target: The target.
            boot_id: The number that identifies the peer's process.
            speed: The first byte of the entry, the encoded logarithm of the slowness.
            knee: The second byte of the entry.
            now: The time.
        """
        count, load = self.reports.read_entry(boot_id, target.token, knee)
        if count > 0:
            self.add_sample(target.id, decode_log(speed), count, load, now)
        elif count == LEARNED:
            estimate = self.estimate_of(target.id, now)
            estimate.decay(now)
            estimate.adopt(decode_log(speed), min(1.0, load), ADOPTED_WEIGHT)
            self.update_factors(target.id, estimate)

    def entries_to_report(self) -> list[tuple[int, int, int]]:
        """Return the entries of the next report: new samples, and those of the report before."""
        return self.reports.entries()

    def entries_for_newcomer(self, targets: list[Target]) -> list[tuple[int, int, int]]:
        """Return what this host has learned of targets, for a host that has just started."""
        return [
            (
                target.token,
                encode_log(estimate.lasting_log()),
                encode_load(LEARNED, estimate.usable_share),
            )
            for target in targets
            if (estimate := self.estimates.get(target.id)) is not None
            and estimate.lasting_weight > ADOPTED_WEIGHT
        ]

    def refresh(self, targets: dict[str, Target], now: float) -> None:
        """Let estimates age, update knees and remove targets that left.

        Called several times a second.

        Args:
            targets: All targets by id.
            now: The time.
        """
        gone = [target_id for target_id in self.estimates if target_id not in targets]
        if gone:
            for target_id in gone:
                del self.estimates[target_id]
                self.factors.pop(target_id, None)
            self.reports.forget_targets({target.token for target in targets.values()})
        for target_id, estimate in self.estimates.items():
            estimate.decay(now)
            self.update_factors(target_id, estimate)
        if now - self.knees_updated_at >= KNEES_INTERVAL_S:
            self.update_knees(targets, now)

    def update_knees(self, targets: dict[str, Target], now: float) -> None:
        """Derive from which load on targets slow down; see `SpeedEstimate.update_knee`."""
        elapsed_s, self.knees_updated_at = now - self.knees_updated_at, now
        all_bands: dict[str, SpeedEstimate] = {}
        for target_id, estimate in self.estimates.items():
            usual = all_bands.setdefault(targets[target_id].service, SpeedEstimate(now))
            for band, weight in enumerate(estimate.band_weights):
                usual.band_weights[band] += weight
                usual.band_sums[band] += estimate.band_sums[band]
        for target_id, estimate in self.estimates.items():
            estimate.update_knee(all_bands[targets[target_id].service], elapsed_s)

    def crossings(self) -> Iterator[tuple[str, bool]]:
        """Yield the ids of targets that have become slow, or ceased to be, and whether they are."""
        for target_id in self.estimates.keys() | self.slow_targets:
            is_slow = target_id in self.slow_targets
            slowness = self.slowness(target_id)
            if slowness >= SLOW_RATIO and not is_slow:
                self.slow_targets.add(target_id)
                yield target_id, True
            elif slowness <= USUAL_RATIO and is_slow:
                self.slow_targets.discard(target_id)
                yield target_id, False

    def slowness(self, target_id: str) -> float:
        """Return the time of a request at a target relative to the usual time."""
        factors = self.factors.get(target_id)
        return factors[0] if factors else 1.0

    def load_factor(self, target_id: str) -> float:
        """Return by how much a request at a target counts more than at a usual one."""
        factors = self.factors.get(target_id)
        return factors[0] / factors[1] if factors else 1.0

    def room(self, target: Target, requests: float) -> float:
        """Return how many more usual requests a target can take without queueing.

        Args:
            target: The target.
            requests: The requests in progress there.
        """
        return max(0.0, target.slots / self.load_factor(target.id) - requests)

    def discard(self, target_id: str, token: int) -> None:
        """Discard what is known of a target, which was removed or has restarted."""
        self.estimates.pop(target_id, None)
        self.factors.pop(target_id, None)
        self.reports.pending.pop(token, None)
