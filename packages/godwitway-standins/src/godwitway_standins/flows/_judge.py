"""What the platform's pages promise, checked from what callers and targets see."""

from collections import Counter, defaultdict
from collections.abc import Callable

from godwitway_standins.flows._caller import Attempt, Outcome
from godwitway_standins.flows._cold_flows import COLD_LIMIT, COLD_START_S, ColdFlows
from godwitway_standins.flows._segment import FlowKey
from godwitway_standins.flows._target import FlowTarget

__all__ = ["Bounds", "Judge"]


class Bounds:
    """The bounds of the platform's pages, in seconds."""

    drain_s = 3.0
    config_s = 3.0
    evacuate_s = 5.0
    restart_s = 0.5  # Hosts collect changes of the store for 0.25 s before they apply them.
    stable_s = 4.0


class Judge:
    """Collects what was seen and reports each broken promise once it shows.

    Attributes:
        now: The clock in seconds.
        broken: What went wrong, by the name of the promise.
        disturbed: When each host, target or the store was last disturbed, by name.
        harmed: The same without planned work, under which flows must be kept at all times.
        sent: The kind of each request that a caller sent, by id.
        runs: How often each request ran, by id.
        outcomes: How requests ended.
        dropped: When each route that is gone was dropped, by its address.
        routed_at: When each present route was added, by its address.
        evacuated_at: When the store acknowledged each evacuation that has not ended, by zone.
        cold_flows: The new flows of cold targets.
        known_cold_flows: Those of them that hosts sent when they could know that it was cold.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.broken: list[tuple[str, str]] = []
        self.disturbed: dict[str, float] = {}
        self.harmed: dict[str, float] = {}
        self.sent: dict[str, str] = {}
        self.at_most_once: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.homes: dict[FlowKey, list[tuple[FlowTarget, str]]] = defaultdict(list)
        self.allowed: dict[tuple[str, int], set[str]] = defaultdict(set)
        self.dropped: dict[tuple[str, int], float] = {}
        self.routed_at: dict[tuple[str, int], float] = {}
        self.draining: dict[str, float] = {}
        self.evacuated_at: dict[str, float] = {}
        self.cold_flows = ColdFlows()
        self.known_cold_flows = ColdFlows()
        self.outcomes: list[Outcome] = []

    def breach(self, promise: str, what: str) -> None:
        """Take note of a broken promise."""
        self.broken.append((promise, f"{self.now():.3f} {what}"))

    def disturb(self, *names: str, until: float = 0.0, planned: bool = False) -> None:
        """Take note that something is disturbed now, or up to a time."""
        for name in names:
            for times in (self.disturbed,) if planned else (self.disturbed, self.harmed):
                times[name] = max(times.get(name, 0.0), self.now(), until)

    def calm(self, *names: str, span_s: float = Bounds.stable_s) -> bool:
        """Whether nothing disturbed the given things for the span after which bounds hold."""
        limit = self.now() - span_s
        return all(self.disturbed.get(name, 0.0) < limit for name in names)

    def unharmed(self, name: str) -> bool:
        """Whether nothing but planned work disturbed a host for that span."""
        return self.harmed.get(name, 0.0) < self.now() - Bounds.stable_s

    def lateness(self, accepted_at: float) -> float:
        """Return how long ago the bound of a change began, in seconds.

        Bounds run from an acknowledgement that the store gave while it was stable; a change that it
        took before counts from the moment when it was stable again.
        """
        stable_at = self.disturbed.get("store", -Bounds.stable_s) + Bounds.stable_s
        return self.now() - max(accepted_at, stable_at)

    def configured(self, routes: dict[tuple[str, int], str]) -> None:
        """Take note of a configuration that the store accepted."""
        for address, service in routes.items():
            self.allowed[address].add(service)
            self.dropped.pop(address, None)
            self.routed_at.setdefault(address, self.now())
        for address in self.allowed.keys() - routes.keys():
            self.dropped.setdefault(address, self.now())
            self.routed_at.pop(address, None)

    def took(self, target: FlowTarget, key: FlowKey, host: str) -> None:
        """Check the opening packet of a flow."""
        self.homes[key].append((target, host))
        address = key[2:]
        if target.service not in self.allowed[address]:
            self.breach("ROUTE", f"{target.name} of {target.service} took a flow to {address}")
        late = self.lateness(self.draining.get(target.name, self.now()))
        if late > Bounds.drain_s and self.calm(host, "store", target.name):
            self.breach("DRAIN", f"{target.name} took a flow {late:.2f} s after it began to drain")
        late = self.lateness(self.dropped.get(address, self.now()))
        if late > Bounds.config_s and self.calm(host, "store"):
            self.breach("CONFIG", f"{host} used route {address} {late:.2f} s after it was dropped")
        self.check_evacuation(target, host)
        self.check_cold_flows(target, key, host)

    def check_evacuation(self, target: FlowTarget, host: str) -> None:
        """Check that a target that took a new flow is not in an evacuated zone."""
        late = self.lateness(self.evacuated_at.get(target.zone, self.now()))
        calm = self.calm(host, span_s=Bounds.evacuate_s) and self.calm("store")
        if late > Bounds.evacuate_s and calm:
            self.breach(
                "EVAC",
                f"{target.name} took a flow from {host} {late:.2f} s after zone {target.zone} was"
                " evacuated",
            )

    def check_cold_flows(self, target: FlowTarget, key: FlowKey, host: str) -> None:
        """Check how many new flows a cold target took within a second, from all hosts.

        Hosts learn only from the store that a target restarted under the same id. Flows within
        `Bounds.restart_s` of the restart, from a disturbed host, or with an unstable store, are
        beyond the limit under the promise `RESTARTED`, which KNOWN-RED.txt lists.
        """
        if not target.is_cold(self.now()):
            return
        started_at = target.cold_until - COLD_START_S
        is_known = self.now() > started_at + Bounds.restart_s and self.calm(host, "store")
        flows = self.cold_flows.record(target.name, key, self.now())
        if not target.restarted or is_known:
            known_flows = self.known_cold_flows.record(target.name, key, self.now())
            promise = "FAILBACK" if known_flows > COLD_LIMIT else "RESTARTED"
        else:
            promise = "RESTARTED"
        if flows > COLD_LIMIT:
            self.breach(promise, f"{target.name} took {flows} new flows in a second while cold")

    def opened(self, attempt: Attempt) -> None:
        """Take note that a caller sends the first opening packet of a flow."""
        for flows in (self.cold_flows, self.known_cold_flows):
            flows.opened_at[attempt.key] = self.now()

    def refused_route(self, host: str, address: tuple[str, int], sent_at: float) -> None:
        """Check a reset of an opening packet that was sent to a host, by IP address."""
        if address not in self.routed_at:
            return
        late = self.lateness(self.routed_at[address]) - (self.now() - sent_at)
        if late > Bounds.config_s and self.calm(host, "store"):
            self.breach("CONFIG", f"{host} refused route {address} {late:.2f} s after it was added")

    def ran(self, target: FlowTarget, request: str, key: FlowKey) -> None:
        """Check a run of a request."""
        if request not in self.sent:
            self.breach("UNASKED", f"{target.name} ran {request}, which nobody sent")
        self.runs[request] += 1

    def forged(self, where: str) -> None:
        """Take note of a packet that its sender did not write so."""
        self.breach("UNASKED", f"{where} got a packet that nobody wrote so")

    def reset(self, attempt: Attempt, by_target: bool) -> None:
        """Check a reset of a caller's flow."""
        if by_target or not attempt.opened or attempt.key[2:] in self.dropped:
            return
        for target, host in self.homes[attempt.key]:
            calm = self.calm(host, "store", target.name, f"zone {target.zone}")
            if target.alive and attempt.key in target.flows and calm:
                self.breach("FLOW", f"{attempt.key} was reset while {target.name} serves it")

    def ended(self, outcome: Outcome, repeatable: bool) -> None:
        """Check how a request ended."""
        self.outcomes.append(outcome)
        ran = [self.runs[request] for request in outcome.attempts]
        if outcome.result == "wrong":
            self.breach("MIXED", f"{outcome.request} got an answer that is not its own")
        if not repeatable and sum(ran) > 1:
            self.breach("TWICE", f"{outcome.attempts} ran {ran} times")
        if outcome.result == "refused" and ran[-1]:
            self.breach("REFUSED", f"{outcome.request} was refused, though it ran")

    def served_between(self, start: float, end: float) -> float:
        """Return which part of the requests asked in a span was served."""
        asked = [outcome for outcome in self.outcomes if start <= outcome.asked_at < end]
        return sum(o.result == "served" for o in asked) / len(asked) if asked else 1.0
