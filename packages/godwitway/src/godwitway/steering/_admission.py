"""Decides whether a new flow is admitted or refused when its service is overloaded.

The load that this answers: for seconds, requests arrive faster than the service's targets complete
them, for example in a burst of callers or after targets were lost. Without a limit, targets' queues
stay full, nearly every answer comes after its latency objective, the targets reject what does not
fit, and callers' retries add to the load. With it, the requests that are admitted are answered in
time, and the others are refused at once, before they have run.

A rush of a few tenths of a second is not refused: the queues drain by themselves, while refused
callers would use up their attempts at once. Nor is the rush of callers that return after all hosts
lost power, as a host that has just started does not know the load yet.

While targets reject requests, their queues are full, and they reject by the order of arrival. Then
routes that are not urgent are refused by the present load alone, so that urgent ones find room.

Only opening packets are refused. Requests on open flows use the capacity first.
"""

import math

from godwitway.steering._model import Route

__all__ = ["Admission", "ServiceLoad"]

# The expected response time beyond which a route's flows are refused, as a share of its latency
# objective. Response times vary, and reports of other hosts are up to 0.1 s old.
URGENT_SHARE = 0.5
LESS_URGENT_SHARE = 0.25  # Leaves a part of the capacity to urgent routes.
URGENT_PRIORITY = 1  # Routes with this priority, or a higher one (a lower number), are urgent.
# With fewer requests in progress, slots would be idle between a completion and the next arrival.
MIN_REQUESTS_PER_SLOT = 1.5
SERVICE_TIME_SMOOTHING = 0.05  # The weight of a new sample; remembers about twenty requests.
# Answers that come sooner than this share of the service time are rejections.
MIN_SERVICE_TIME_SHARE = 0.3
LOAD_TIME_CONSTANT_S = 1.0
# How long a rejection shows that queues are full; a full queue is worked off in less.
REJECTION_VALID_S = 1.0
WARM_UP_S = 4.0  # From the first new flow of a service on; a rush after a restart lasts 2 to 3 s.


class ServiceLoad:
    """What is known of one service's load; times are in seconds of the process's clock.

    Attributes:
        service_time_s: The smoothed time for which a request occupies a slot; 0.0 until a request
            is answered.
        response_time_s: The response time of requests, exponentially smoothed over
            `LOAD_TIME_CONSTANT_S`; 0.0 until a request is answered.
        responded_at: When `response_time_s` was last updated.
        smoothed_load: The exponentially smoothed requests in progress for each slot of the targets
            that were chosen for new flows.
        first_seen_at: When this host began to observe the service.
        rejected_at: When a target last rejected a request, as far as this host can tell.
        updated_at: When `smoothed_load` was last updated.
    """

    __slots__ = (
        "first_seen_at",
        "rejected_at",
        "responded_at",
        "response_time_s",
        "service_time_s",
        "smoothed_load",
        "updated_at",
    )

    def __init__(self, now: float) -> None:
        self.first_seen_at = now
        self.rejected_at = -math.inf
        self.service_time_s = 0.0
        self.response_time_s = 0.0
        self.responded_at = now
        self.smoothed_load = 0.0
        self.updated_at = now

    def record_response(self, response_time_s: float, requests_per_slot: float, now: float) -> None:
        """Update the service time and the response time from an answered request.

        The service time is learned from requests that found a free slot. An answer that comes much
        sooner is a rejection by the target, which says nothing about how long others wait.

        Args:
            response_time_s: The time in seconds from the request to the first byte of its answer.
            requests_per_slot: The requests in progress at the target for each of its slots when the
                request was forwarded, including itself.
            now: The time in seconds.
        """
        if response_time_s < MIN_SERVICE_TIME_SHARE * self.service_time_s:
            self.rejected_at = now
            return
        weight = smoothing_weight(now - self.responded_at)
        self.response_time_s += weight * (response_time_s - self.response_time_s)
        self.responded_at = now
        if not self.service_time_s:
            self.service_time_s = response_time_s / max(1.0, requests_per_slot)
        elif requests_per_slot <= 1.0:
            self.service_time_s += SERVICE_TIME_SMOOTHING * (response_time_s - self.service_time_s)

    def record_load(self, requests_per_slot: float, now: float) -> None:
        """Update the smoothed load from the target that was chosen for a new flow."""
        weight = smoothing_weight(now - self.updated_at)
        self.smoothed_load += weight * (requests_per_slot - self.smoothed_load)
        self.updated_at = now

    def is_overloaded(self, route: Route, requests_per_slot: float, now: float) -> bool:
        """Whether the load exceeds the limit of a route.

        The present load, the smoothed load and the smoothed response time must all do so. Counts
        alone are too high when requests are lost: those at targets behind a cut, and those of
        callers that now use other hosts, count until they time out, but delay no answer. While
        targets reject requests, the present load is enough for routes that are not urgent.

        Args:
            route: The route.
            requests_per_slot: The present requests in progress for each slot.
            now: The time in seconds.
        """
        limit = self.limit_for(route)
        are_queues_full = now - self.rejected_at < REJECTION_VALID_S
        if route.priority > URGENT_PRIORITY and are_queues_full:
            return requests_per_slot > limit
        if min(requests_per_slot, self.smoothed_load) <= limit:
            return False
        return self.response_time_s > limit * self.service_time_s

    def limit_for(self, route: Route) -> float:
        """Return the requests in progress for each slot beyond which a route's flows are refused.

        >>> load = ServiceLoad(0.0)
        >>> load.record_response(0.06, 1.0, 0.1)
        >>> routes = [Route("r", b"", None, [], priority, 0.3, 2.0) for priority in (1, 2)]
        >>> [round(load.limit_for(route), 2) for route in routes]
        [2.5, 1.5]
        """
        if self.service_time_s <= 0.0:
            return math.inf
        share = URGENT_SHARE if route.priority <= URGENT_PRIORITY else LESS_URGENT_SHARE
        return max(MIN_REQUESTS_PER_SLOT, share * route.latency_objective_s / self.service_time_s)


class Admission:
    """Limits the requests in progress for each slot, by service and by the urgency of the route.

    Attributes:
        services: The load of each service, by its name.
    """

    __slots__ = ("services",)

    def __init__(self) -> None:
        self.services: dict[str, ServiceLoad] = {}

    def load_of(self, service: str, now: float) -> ServiceLoad:
        """Return the load of a service; a new one has none."""
        load = self.services.get(service)
        if load is None:
            load = self.services[service] = ServiceLoad(now)
        return load

    def is_admitted(self, route: Route, service: str, requests_per_slot: float, now: float) -> bool:
        """Record the load that a new flow finds, and return whether the flow is admitted.

        It is refused if the load exceeds the route's limit; see `ServiceLoad.is_overloaded`.

        Args:
            route: The flow's route.
            service: The name of the service of the target that was chosen for it.
            requests_per_slot: The requests in progress at that target for each of its slots,
                including the new one.
            now: The time in seconds.
        """
        load = self.load_of(service, now)
        load.record_load(requests_per_slot, now)
        if now - load.first_seen_at < WARM_UP_S:
            return True
        return not load.is_overloaded(route, requests_per_slot, now)


def smoothing_weight(elapsed_s: float) -> float:
    """Return the weight of a new sample in a value smoothed over `LOAD_TIME_CONSTANT_S`."""
    return -math.expm1(-elapsed_s / LOAD_TIME_CONSTANT_S)
