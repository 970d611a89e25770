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


ALL_OPEN = Outcomes(unopened=0)
SAFE = Outcomes()

SCENARIOS: list[Scenario] = []


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
