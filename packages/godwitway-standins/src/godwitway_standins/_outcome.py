"""Judging a played trace: what the brief measures, beside the stated outcomes."""

from collections import Counter, defaultdict

import msgspec

from godwitway_standins._player import FlowResult, Verdict
from godwitway_standins._server import BackendServer
from godwitway_standins._trace import Outcomes

__all__ = ["FloodWindow", "Outcome", "failures", "judge", "kept_by_kind"]


class FloodWindow(msgspec.Struct):
    """What a flooded service answered while the flood lasted.

    Attributes:
        answered: The answered requests by kind.
        slot_seconds: The slot time that the service's targets had.
    """

    answered: dict[str, int]
    slot_seconds: float

    def goodput(self, slot_held_s: dict[str, float]) -> float:
        """Return the answered requests as a part of the capacity.

        Args:
            slot_held_s: How long a request of each kind holds a slot in quiet times.
        """
        used = sum(count * slot_held_s.get(kind, 0.0) for kind, count in self.answered.items())
        return round(used / self.slot_seconds, 4)


class Outcome(msgspec.Struct):
    """What came of a trace.

    Attributes:
        flows: How many flows were played.
        opened: How many opened.
        refused: How many were refused.
        unopened: How many neither opened nor were refused.
        broken_flows: How many opened and then broke.
        path_cut: How many opened flows broke whose target was behind a cut from its caller.
        answers: How many whole answers came.
        incomplete_answers: How many answers were wrong or cut off.
        duplicate_runs: How many at-most-once requests ran more than once.
        wrong_service: How many packets reached another service's target.
        untrue_refusals: How many refused requests had run.
        imbalance: The worst ratio of the highest to the mean connections, by sampling.
        answered: The answered requests by kind, floods left out.
        asked: The requests by kind, floods left out.
        flood_answered: The answered requests by kind, of floods.
        queue_p99: The 99th percentile of the wait beside the quickest answers, by kind, in
            service times.
        slot_held_s: The mean time that an owner counted a slot for a request, by kind.
        flood_window: What was answered while the flood lasted.
        goodput: The answered requests of a flooded service as a part of its capacity.
        wait_p99_ms: The 99th percentile of the time to the first answer by kind.
        broken_list: The first few broken flows.
    """

    flows: int = 0
    opened: int = 0
    refused: int = 0
    unopened: int = 0
    broken_flows: int = 0
    path_cut: int = 0
    answers: int = 0
    incomplete_answers: int = 0
    duplicate_runs: int = 0
    wrong_service: int = 0
    untrue_refusals: int = 0
    imbalance: float = 1.0
    answered: dict[str, int] = {}
    asked: dict[str, int] = {}
    flood_answered: dict[str, int] = {}
    wait_p99_ms: dict[str, float] = {}
    queue_p99: dict[str, float] = {}
    slot_held_s: dict[str, float] = {}
    flood_window: FloodWindow | None = None
    goodput: float = 1.0
    broken_list: list[str] = []


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of some values.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0


def judge(
    results: list[FlowResult],
    servers: list[BackendServer],
    at_most_once: set[str],
    imbalance: float,
    service_s: dict[str, float],
) -> Outcome:
    """Judge a played trace.

    Args:
        results: What came of each flow.
        servers: All backend servers with what they ran.
        at_most_once: The kinds whose requests must not run twice.
        imbalance: The worst imbalance that was sampled.
        service_s: How long a server works on a request of each kind, in seconds.
    """
    runs: Counter[int] = Counter()
    for server in servers:
        runs.update(server.runs)
    outcome = Outcome(flows=len(results), imbalance=round(imbalance, 4))
    outcome.wrong_service = sum(server.foreign for server in servers)
    waits: defaultdict[str, list[float]] = defaultdict(list)
    for result in results:
        count_flow(outcome, result, runs, at_most_once)
        if result.first_answer_s is not None and not result.flow.flood:
            waits[result.flow.kind].append(result.first_answer_s)
    outcome.queue_p99 = {
        kind: round((percentile(values, 0.99) - percentile(values, 0.01)) / service_s[kind], 3)
        for kind, values in sorted(waits.items())
    }
    outcome.wait_p99_ms = {
        kind: round(percentile(values, 0.99) * 1000, 1) for kind, values in sorted(waits.items())
    }
    return outcome


def count_flow(
    outcome: Outcome, result: FlowResult, runs: Counter[int], at_most_once: set[str]
) -> None:
    """Add one flow to an outcome."""
    flow = result.flow
    outcome.opened += result.opened
    outcome.refused += result.verdict == Verdict.REFUSED
    outcome.unopened += result.verdict == Verdict.UNOPENED
    outcome.answers += len(result.answered)
    outcome.incomplete_answers += result.wrong
    if result.verdict == Verdict.BROKEN:
        outcome.broken_flows += 1
        if len(outcome.broken_list) < 10:
            outcome.broken_list.append(f"{flow.kind} {flow.caller} from {flow.at}")
    if flow.kind in at_most_once:
        outcome.duplicate_runs += sum(runs[request] > 1 for request in result.requests)
    if result.verdict == Verdict.REFUSED:
        outcome.untrue_refusals += sum(runs[request] > 0 for request in result.requests)
    counts = outcome.flood_answered if flow.flood else outcome.answered
    counts[flow.kind] = counts.get(flow.kind, 0) + len(result.answered)
    if not flow.flood:
        wanted = sum(packet.flags == "D" for packet in flow.packets)
        outcome.asked[flow.kind] = outcome.asked.get(flow.kind, 0) + wanted


def failures(outcome: Outcome, stated: Outcomes, quiet: Outcome | None = None) -> list[str]:
    """Return each stated outcome that a played trace does not meet."""
    bounds = {
        "incomplete_answers": stated.incomplete_answers,
        "duplicate_runs": stated.duplicate_runs,
        "wrong_service": stated.wrong_service,
        "untrue_refusals": stated.untrue_refusals,
    }
    if stated.broken_flows is not None:
        bounds["broken_flows"] = stated.broken_flows
    if stated.imbalance is not None:
        bounds["imbalance"] = stated.imbalance
    if stated.unopened is not None:
        bounds["unopened"] = stated.unopened
    found = [
        f"{name} is {getattr(outcome, name)}, stated is at most {bound}"
        for name, bound in bounds.items()
        if getattr(outcome, name) > bound
    ]
    if stated.goodput is not None and outcome.goodput < stated.goodput:
        found.append(f"goodput is {outcome.goodput}, stated is at least {stated.goodput}")
    found += [
        f"queue_p99 of {kind} is {outcome.queue_p99.get(kind)}, stated is at most {bound}"
        for kind, bound in stated.queue_p99.items()
        if outcome.queue_p99.get(kind, bound + 1) > bound
    ]
    if quiet is not None:
        kept = kept_by_kind(outcome, quiet)
        found += [
            f"kept of {kind} is {kept.get(kind, 0.0)}, stated is at least {bound}"
            for kind, bound in stated.kept.items()
            if kept.get(kind, 0.0) < bound
        ]
    return found


def kept_by_kind(outcome: Outcome, quiet: Outcome) -> dict[str, float]:
    """Return the answered requests of each kind as a part of those of the quiet run."""
    return {
        kind: round(outcome.answered.get(kind, 0) / count, 4)
        for kind, count in sorted(quiet.answered.items())
        if count
    }
