"""Replays of the recorded traces against their stated outcomes."""

from pathlib import Path

import pytest
from worlds import in_world

from godwitway_standins._events import run_event
from godwitway_standins._make import make_trace
from godwitway_standins._outcome import failures
from godwitway_standins._player import Verdict
from godwitway_standins._replay import replay, replay_with_quiet
from godwitway_standins._scenarios import SCENARIOS, make_scenario
from godwitway_standins._trace import Outcomes, parse_event, read_trace

NO_NEW_AFTER_S = 3.0
TRACES = Path(__file__).parents[3] / "traces"
PLAYED = [
    "kingston-quiet-1",
    "kingston-planned-1",
    "kingston-planned-2",
    "kingston-kill-one-1",
    "kingston-kill-in-drain-1",
    "kingston-pause-1",
    "kingston-cut-zone-2",
    "kingston-shed-1",
    "almaty-planned-1",
    "almaty-kill-two-1",
    "almaty-drain-1",
    "almaty-cut-zone-1",
    "almaty-store-down-1",
    "almaty-lossy-1",
    "almaty-lying-health-1",
    "almaty-flood-least-1",
    "kingston-busy-1",
    "kingston-together-2",
    "almaty-together-1",
]


class TestReplay:
    """Tests of recorded traces."""

    @pytest.mark.parametrize("name", PLAYED)
    def test_meets_the_stated_outcomes(self, name):
        """Godwitway meets every outcome that is stated for a trace."""
        trace = read_trace(TRACES / f"{name}.jsonl")
        outcome, quiet = replay_with_quiet(trace, "godwitway")
        assert failures(outcome, trace.header.outcomes, quiet) == []

    def test_the_checks_can_fail(self):
        """The same checks find what plain rendezvous breaks when targets change."""
        trace = read_trace(TRACES / "kingston-planned-1.jsonl")
        outcome = replay(trace, "rendezvous")
        failed = failures(outcome, trace.header.outcomes)
        assert any(text.startswith("broken_flows") for text in failed)

    def test_same_verdict_every_time(self):
        """Two replays of a trace with one seed have equal outcomes."""
        trace = read_trace(TRACES / "kingston-lossy-1.jsonl")
        trace.flows = trace.flows[:300]
        assert replay(trace) == replay(trace)


class TestDrain:
    """Tests of targets that leave."""

    @pytest.mark.parametrize("way", ["configuration", "platform", "endpoint"])
    def test_a_leaving_target_gets_no_new_flow(self, way):
        """Within 3 s of any sign that a target leaves, it gets no new flow; held ones stay."""

        async def job(world):
            trace = make_trace("t", world.deployment, 3, 14.0, [], Outcomes(), held=80)
            flows = [flow for flow in trace.flows if flow.service == "live-auction"]
            world.spawn(world.player.play(flows))
            await world.clock.sleep(3.0)
            server = world.servers_of("live-auction")[0]
            if way == "configuration":
                await run_event(world, parse_event("drain:live-auction/0@0"), 0.0)
            elif way == "platform":
                await run_event(world, parse_event("list-leaving:live-auction/0@0"), 0.0)
            else:
                server.draining = True
            held = len(server.connections)
            await world.clock.sleep(NO_NEW_AFTER_S)
            closed_at = world.clock.now()
            await world.clock.sleep(6.0)
            assert held > 0
            assert len(server.connections) > 0
            assert [at for at in server.opened.values() if at > closed_at] == []
            await world.clock.sleep(20.0)
            verdicts = {result.verdict for result in world.player.results}
            assert verdicts == {Verdict.COMPLETE}

        in_world(job)


class TestMakeTrace:
    """Tests of the trace program."""

    def test_a_seed_makes_the_recorded_trace(self):
        """The recorded trace is what its seed makes."""
        scenario = next(item for item in SCENARIOS if item.name == "almaty-quiet")
        made = make_scenario(scenario, 1)
        recorded = read_trace(TRACES / "almaty-quiet-1.jsonl")
        assert made.header == recorded.header
        assert made.flows == recorded.flows

    @pytest.mark.parametrize("text", ["kill-entry", "@5", "flood:bid@x", "drain@5xx"])
    def test_refuses_wrong_events(self, text):
        """An event in another form is an error."""
        with pytest.raises(ValueError, match="event"):
            parse_event(text)
