"""The usual time that a request of each route occupies a target, over all targets.

Learned speeds are relative to it, so that routes with long and with short requests do not mix. The
time between caller and target is taken from handshakes, which take the same path as a request and
its response, and is subtracted.
"""

import math

__all__ = ["UsualTimes"]

# Requests of a route until its usual time is known well enough to judge targets by it: the median
# of so many is within 20 % for work with a lognormal spread of 0.5.
MIN_SAMPLES = 16
MIN_GAIN = 1 / 128  # Remembers the last 128 requests of a route, about ten seconds.
# Tails and lost packets count as one e-fold: 3 % of requests that take 7 times as long move the
# usual time by 3 %.
MAX_DEVIATION = 1.0
# An answer in less than this share of the expected time is a rejection or an error, as in
# `_admission`; 1 % of requests are that short with a lognormal spread of 0.5.
EARLY_DEVIATION = math.log(0.3)
# If more of the answers than this are early, it is the usual time that is too high, for example
# because it was learned in an overload. Overloaded targets reject up to two thirds.
MAX_EARLY_SHARE = 0.8
EARLY_SHARE_GAIN = 1 / 32
HANDSHAKE_GAIN = 0.05
MAX_NETWORK_SHARE = 0.9  # Of a response time, so that a late handshake does not hide the work.


class UsualTime:
    """The usual time of one route's requests at the targets of one service.

    Attributes:
        first_logs: The logarithms of the first times, until `MIN_SAMPLES` are known.
        log: The logarithm of the usual time in seconds.
        count: The number of samples.
        early_share: The smoothed share of answers that came too early.
    """

    __slots__ = ("count", "early_share", "first_logs", "log")

    def __init__(self) -> None:
        self.early_share = 0.0
        self.first_logs: list[float] = []
        self.log = 0.0
        self.count = 0

    def deviation(self, log_time: float, speed_log: float) -> tuple[float, bool] | None:
        """Update the usual time, and return how far a time deviates from it.

        Args:
            log_time: The logarithm of the time in seconds, with waiting for slots divided out.
            speed_log: The learned deviation of the target, which early answers are judged by.

        Returns:
            The logarithm of the ratio, and whether the answer came too early to be that of a
            request that ran; None if the usual time is not known yet.
        """
        self.count += 1
        if self.count <= MIN_SAMPLES:
            self.first_logs.append(log_time)
            self.log = sorted(self.first_logs)[len(self.first_logs) // 2]
            return None
        deviation = log_time - self.log
        is_early = deviation < EARLY_DEVIATION + min(0.0, speed_log)
        self.early_share += EARLY_SHARE_GAIN * (is_early - self.early_share)
        if not is_early or self.early_share > MAX_EARLY_SHARE:
            gain = max(MIN_GAIN, 1.0 / self.count)
            self.log += gain * max(-MAX_DEVIATION, min(MAX_DEVIATION, deviation))
        return deviation, is_early


class UsualTimes:
    """The usual times of all routes, and the network's share of response times.

    Attributes:
        by_route: The usual times by the names of route and service.
        network_s: The smoothed time of handshakes in seconds, by the zone of the target.
    """

    __slots__ = ("by_route", "network_s")

    def __init__(self) -> None:
        self.by_route: dict[tuple[str, str], UsualTime] = {}
        self.network_s: dict[str, float] = {}

    def record_handshake(self, zone: str, handshake_s: float) -> None:
        """Update the network's share from a handshake that was not retransmitted.

        A handshake that takes more than twice the smoothed time counts as twice.
        """
        smoothed = self.network_s.get(zone)
        if smoothed is None:
            self.network_s[zone] = handshake_s
        else:
            change = min(handshake_s, 2.0 * smoothed) - smoothed
            self.network_s[zone] = smoothed + HANDSHAKE_GAIN * change

    def work_s(self, zone: str, response_s: float) -> float:
        """Return a response time without the network's share."""
        return response_s - min(self.network_s.get(zone, 0.0), MAX_NETWORK_SHARE * response_s)

    def of_route(self, route: str, service: str) -> UsualTime:
        """Return the usual time of a route's requests at a service; a new one is unknown."""
        usual = self.by_route.get((route, service))
        if usual is None:
            usual = self.by_route[route, service] = UsualTime()
        return usual
