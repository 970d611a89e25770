"""The traces of the repository: what happens in each and the outcomes stated for it."""

import msgspec

from godwitway_standins._deployments import DEPLOYMENTS
from godwitway_standins._make import make_trace
from godwitway_standins._trace import Outcomes, Trace, parse_event

__all__ = ["SCENARIOS", "Scenario", "make_scenario", "quiet_trace"]


class Scenario(msgspec.Struct, frozen=True):
    """What happens in a trace.

    Attributes:
        name: The scenario's name.
        deployment: The deployment's name.
        seconds: How long it lasts.
        events: The events, as the command line writes them.
        outcomes: The outcomes that are stated for it.
        held: How many long flows each connection kind has.
        terms: Network terms that differ from the deployment's.
    """

    name: str
    deployment: str
    seconds: float
    events: list[str]
    outcomes: Outcomes
    held: int = 60
    terms: dict[str, float] = {}


class Names(msgspec.Struct, frozen=True):
    """What the scenarios of one deployment are about.

    Attributes:
        main: The service with long flows.
        other: The other service.
        least: The least urgent kind, of the other service.
        most: The most urgent kind, of the main service.
        beside: The other kind of the main service that holds a slot.
        sibling: The other kind of the other service.
        zone: The zone that is cut.
    """

    main: str
    other: str
    least: str
    most: str
    beside: str
    sibling: str
    zone: str


NAMES = {
    "kingston": Names(
        "live-auction", "catalogue", "catalogue", "bid", "lots", "index", "kingston-c"
    ),
    "almaty": Names("dispatch", "drawings", "archive", "survey", "photo", "layout", "almaty-d"),
}
SECONDS = 16.0
SAFE = Outcomes()
ALL_OPEN = Outcomes(unopened=0)
LOSSY = {"loss": 0.01, "duplication": 0.01, "late": 0.01, "late_s": 0.8}


def scenarios_of(deployment: str) -> list[Scenario]:
    """Return the scenarios of a deployment."""
    names = NAMES[deployment]
    main, other = names.main, names.other

    def scenario(name: str, events: list[str], outcomes: Outcomes, **more: object) -> Scenario:
        return Scenario(f"{deployment}-{name}", deployment, SECONDS, events, outcomes, **more)

    kept_least = {names.sibling: 0.99, names.most: 0.99, names.beside: 0.99}
    kept_most = {names.beside: 0.95, names.least: 0.99, names.sibling: 0.99}
    rolling = [
        "start-entry@3",
        "stop-entry:entry-1@4",
        f"drain:{main}/0@4.5",
        "stop-entry:entry-4@5",
        "start-entry@6",
        f"add-target:{main}@7",
        "stop-entry:entry-6@8",
        f"drain:{other}/1@8.5",
        "start-entry@9",
    ]
    together = [
        "store-down@3+8",
        "kill-entry@4",
        f"drain:{main}/1@4.5",
        f"cut-zone:{names.zone}@5.5+5",
        "start-entry@6.5",
        "pause-entry:entry-3@7.5+4",
        "kill-entry@11",
    ]
    return [
        scenario("quiet", [], ALL_OPEN),
        scenario("planned", rolling, ALL_OPEN),
        scenario("kill-one", ["kill-entry:entry-2@6"], SAFE),
        scenario("kill-two", ["kill-entry:entry-2@6", "kill-entry:entry-4@6"], SAFE),
        scenario("kill-in-drain", [f"drain:{main}/1@5", "kill-entry:entry-1@5.2"], SAFE),
        scenario("pause", ["pause-entry:entry-3@5+10"], SAFE),
        scenario("drain", [f"drain:{main}/2@5", f"list-leaving:{other}/0@6"], ALL_OPEN),
        scenario(
            "flood-least",
            [f"flood:{names.least}@6x10+5"],
            Outcomes(kept=kept_least, goodput=0.9),
        ),
        scenario(
            "flood-most",
            [f"flood:{names.most}@6x10+3"],
            Outcomes(kept=kept_most, goodput=0.9),
        ),
        scenario("cut-zone", [f"cut-zone:{names.zone}@5+8"], SAFE),
        scenario("store-down", ["store-down@3+10", "kill-entry:entry-5@6"], SAFE),
        scenario("lossy", ["kill-entry:entry-3@7"], SAFE, terms=LOSSY),
        scenario("shed", [f"shed-target:{main}/0@4+6"], ALL_OPEN),
        scenario("together", together, Outcomes(broken_flows=None), terms=LOSSY),
        # Together with the quiet load of its service this makes 85 % of the slots' time.
        scenario("busy", [f"flood:{names.most}@0x0.55+15"], Outcomes(queue_p99={names.most: 2.5})),
        scenario("lying-health", [f"lying-health:{main}@4+8"], ALL_OPEN),
    ]


SCENARIOS = [scenario for name in NAMES for scenario in scenarios_of(name)]


def make_scenario(scenario: Scenario, seed: int) -> Trace:
    """Make the trace of a scenario."""
    return make_trace(
        scenario.name,
        DEPLOYMENTS[scenario.deployment],
        seed,
        scenario.seconds,
        [parse_event(text) for text in scenario.events],
        scenario.outcomes,
        scenario.held,
        scenario.terms,
    )


def quiet_trace(trace: Trace) -> Trace:
    """Return a trace without its floods."""
    header = msgspec.structs.replace(
        trace.header,
        events=[event for event in trace.header.events if event.do != "flood"],
    )
    return Trace(header, [flow for flow in trace.flows if not flow.flood])
