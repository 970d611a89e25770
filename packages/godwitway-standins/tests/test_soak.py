"""Tests of the soak: its checks, its plan, and two short runs of the real programs."""

import asyncio
from pathlib import Path

import pytest

from godwitway_standins.flows._caller import Attempt, Outcome
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._target import FlowTarget
from godwitway_standins.flows._world import Layout
from godwitway_standins.soak import FAULT_KINDS, make_plan, run_soak
from godwitway_standins.soak._faults import FaultInjector

BOARD = ("198.18.0.1", 443)
KEY = ("127.1.0.1", 5_000, *BOARD)
HOST = "10.0.0.1"


class JudgeWorld:
    """A judge with a clock, a target and one route."""

    def __init__(self) -> None:
        self.time = 100.0
        self.judge = Judge(lambda: self.time)
        self.target = FlowTarget(1, "desk", "a", ("10.0.0.9", 80), self.judge, 1)
        self.target.alive = True
        self.judge.configured({BOARD: "desk"})

    def promises(self) -> list[str]:
        """Return the names of the broken promises."""
        return [promise for promise, _ in self.judge.broken]

    def open_flow(self) -> Attempt:
        """Return an open flow at the target."""
        self.judge.took(self.target, KEY, HOST)
        self.target.flows[KEY] = None
        attempt = Attempt(KEY, 1)
        attempt.opened = True
        return attempt

    def end(self, result: str, attempts: list[str], repeatable: bool = True) -> None:
        """Let a request end."""
        outcome = Outcome(attempts[-1], "bid", result, 0.1, self.time, attempts)
        self.judge.ended(outcome, repeatable)


class TestJudge:
    """Each check fails on what it is meant to find, and on nothing else."""

    def test_a_flow_at_a_wrong_service(self):
        """A packet meant for one service never reaches another."""
        world = JudgeWorld()
        world.judge.took(FlowTarget(2, "store", "a", ("10.0.0.8", 80), world.judge, 1), KEY, HOST)
        assert world.promises() == ["ROUTE"]

    @pytest.mark.parametrize(("after_s", "broken"), [(2.9, []), (3.1, ["DRAIN"])])
    def test_a_new_flow_at_a_draining_target(self, after_s, broken):
        """It gets no new work after the bound."""
        world = JudgeWorld()
        world.judge.draining[world.target.name] = world.time
        world.time += after_s
        world.judge.took(world.target, KEY, HOST)
        assert world.promises() == broken

    @pytest.mark.parametrize(("after_s", "broken"), [(2.9, []), (3.1, ["CONFIG"])])
    def test_a_new_flow_on_a_dropped_route(self, after_s, broken):
        """A configuration is in force within the bound."""
        world = JudgeWorld()
        world.judge.configured({})
        world.time += after_s
        world.judge.took(world.target, KEY, HOST)
        assert world.promises() == broken

    def test_bounds_do_not_hold_for_what_was_just_disturbed(self):
        """They hold again some seconds later."""
        world = JudgeWorld()
        world.judge.configured({})
        world.time += 10.0
        world.judge.disturb(HOST)
        world.judge.took(world.target, KEY, HOST)
        assert world.promises() == []
        world.time += 4.1
        world.judge.took(world.target, KEY, HOST)
        assert world.promises() == ["CONFIG"]

    @pytest.mark.parametrize(("after_s", "broken"), [(4.9, []), (5.1, ["DRAIN"])])
    def test_a_change_that_an_unstable_store_took(self, after_s, broken):
        """Its bound begins once the store is stable; found by seed 243."""
        world = JudgeWorld()
        world.judge.disturb("store")
        world.time += 2.0
        world.judge.draining[world.target.name] = world.time
        world.time += after_s
        world.judge.took(world.target, KEY, HOST)
        assert world.promises() == broken

    def test_a_reset_of_a_flow_that_its_target_serves(self):
        """An established flow survives."""
        world = JudgeWorld()
        world.judge.reset(world.open_flow(), by_target=False)
        assert world.promises() == ["FLOW"]

    def test_resets_that_are_allowed(self):
        """A target's own, of a dead target, and of an unopened flow."""
        world = JudgeWorld()
        attempt = world.open_flow()
        world.judge.reset(attempt, by_target=True)
        world.target.alive = False
        world.judge.reset(attempt, by_target=False)
        world.target.alive = True
        attempt.opened = False
        world.judge.reset(attempt, by_target=False)
        assert world.promises() == []

    def test_a_request_that_nobody_sent(self):
        """Targets run what callers sent."""
        world = JudgeWorld()
        world.judge.ran(world.target, "c1-1", KEY)
        assert world.promises() == ["UNASKED"]

    def test_a_forged_packet(self):
        """A host may write nothing but the token."""
        world = JudgeWorld()
        world.judge.forged("i-1")
        assert world.promises() == ["UNASKED"]

    def test_a_wrong_answer(self):
        """A caller gets the whole answer to its own request."""
        world = JudgeWorld()
        world.end("wrong", ["c1-1"])
        assert world.promises() == ["MIXED"]

    @pytest.mark.parametrize(("repeatable", "broken"), [(True, []), (False, ["TWICE"])])
    def test_a_request_that_ran_twice(self, repeatable, broken):
        """Only some requests may."""
        world = JudgeWorld()
        world.judge.sent |= {"c1-1": "bid", "c1-2": "bid"}
        for request in ("c1-1", "c1-2"):
            world.judge.ran(world.target, request, KEY)
        world.end("served", ["c1-1", "c1-2"], repeatable)
        assert world.promises() == broken

    def test_an_untrue_refusal(self):
        """A refusal that says that a request was not run is true."""
        world = JudgeWorld()
        world.judge.sent["c1-1"] = "bid"
        world.judge.ran(world.target, "c1-1", KEY)
        world.end("refused", ["c1-1"], repeatable=False)
        assert world.promises() == ["REFUSED"]


class TestPlan:
    """The plan of a run."""

    def test_it_comes_from_the_seed_alone(self):
        """A seed that failed can be played again."""
        assert make_plan(3, 30.0) == make_plan(3, 30.0) != make_plan(4, 30.0)

    def test_every_kind_can_be_brought_about(self):
        """The plan names no fault that the injector lacks."""
        own = [name for name in FAULT_KINDS if not name.startswith(("store_", "host_store_"))]
        assert all(hasattr(FaultInjector, name) for name in own)
        planned = {fault.kind for seed in range(30) for fault in make_plan(seed, 60.0)}
        assert planned == set(FAULT_KINDS)


class TestRuns:
    """The real programs as separate processes."""

    def test_a_calm_run_serves_everything(self, tmp_path):
        """Two hosts in each of three zones."""
        report = asyncio.run(run_soak(1, 3.0, Layout(net=37), tmp_path, without_faults=True))
        assert report.breaches == []
        assert len(report.outcomes) > 50
        assert {outcome.result for outcome in report.outcomes} == {"served"}
        assert "requests a second" in report.render_plot()

    def test_a_run_with_faults_keeps_its_promises(self, tmp_path):
        """The faults are those of one seed."""
        report = asyncio.run(run_soak(5, 8.0, Layout(net=38), tmp_path))
        assert report.breaches == [], report.format_text()
        assert report.faults
        assert report.summary()["ended"]["served"] > 100


class TestInterruption:
    """A run that is ended from outside."""

    def test_no_host_stays_behind(self, tmp_path):
        """Hosts are ended by their ids, and none is started again."""

        async def interrupt() -> None:
            run = asyncio.ensure_future(run_soak(2, 30.0, Layout(net=36), tmp_path))
            await asyncio.sleep(4.0)
            run.cancel()
            with pytest.raises(asyncio.CancelledError):
                await run
            await asyncio.sleep(1.0)

        asyncio.run(interrupt())
        folder = str(tmp_path).encode()
        left = [
            path
            for path in Path("/proc").glob("[0-9]*/environ")
            if path.exists() and folder in read_if_there(path)
        ]
        assert left == []


def read_if_there(path: Path) -> bytes:
    """Return a file's bytes, or nothing when its process has gone."""
    try:
        return path.read_bytes()
    except OSError:
        return b""
