"""The command line of the stand-ins and of the trace player."""

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import aiohttp
import cappa
import msgspec
from godwitway.addresses import format_address, parse_address
from rich.console import Console
from rich.table import Table

from godwitway_standins._deployments import DEPLOYMENTS
from godwitway_standins._gateway import serve_platform
from godwitway_standins._judge_real import SampleSeries, judge_real, sample_servers
from godwitway_standins._make import make_trace
from godwitway_standins._outcome import Outcome, failures, kept_by_kind
from godwitway_standins._real import (
    load_services,
    play_real,
    run_fabric,
    run_servers,
    serve_forever,
)
from godwitway_standins._replay import SCHEMES, replay_with_quiet
from godwitway_standins._scenarios import SCENARIOS, make_scenario
from godwitway_standins._trace import Outcomes, Trace, parse_event, read_trace, write_trace
from godwitway_standins.soak import Soak

__all__ = ["Standin", "main"]

REPORTED = (
    "broken_flows",
    "untrue_refusals",
    "duplicate_runs",
    "wrong_service",
    "incomplete_answers",
    "imbalance",
    "goodput",
    "path_cut",
    "unopened",
    "refused",
    "flows",
    "queue_p99",
    "wait_p99_ms",
)


@dataclass
class Platform:
    """Run the platform's key-value service and list of hosts."""

    listen: str
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Run until ended."""
        asyncio.run(self.serve())

    async def serve(self) -> None:
        """Serve until ended."""
        await serve_platform(parse_address(self.listen), self.seed)
        await serve_forever()


@cappa.command(name="fabric")
@dataclass
class FabricCommand:
    """Run the fabric that sprays packets over the entries."""

    listen: str
    services: Path
    entry: Annotated[list[str], cappa.Arg(long=True)]
    platform: Annotated[str, cappa.Arg(long=True)]
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Run until ended."""
        entries = [parse_address(text) for text in self.entry]
        platform = parse_address(self.platform)
        listen = parse_address(self.listen)
        asyncio.run(run_fabric(listen, entries, platform, self.services, self.seed))


@dataclass
class Servers:
    """Run the backend servers of one zone."""

    services: Path
    zone: str
    entry: Annotated[list[str], cappa.Arg(long=True)]
    platform: Annotated[str, cappa.Arg(long=True)]
    deployment: Annotated[str, cappa.Arg(long=True)] = "kingston"
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Run until ended."""
        entries = [parse_address(text) for text in self.entry]
        platform = parse_address(self.platform)
        job = run_servers(self.services, self.zone, self.deployment, entries, platform, self.seed)
        asyncio.run(job)


def show_outcome(outcome: Outcome) -> None:
    """Print an outcome as a table, then as one JSON object on the last line."""
    rows = {
        "flows opened": f"{outcome.opened} of {outcome.flows}",
        "flows refused": outcome.refused,
        "flows neither opened nor refused": outcome.unopened,
        "flows broken": outcome.broken_flows,
        "answers complete": outcome.answers,
        "answers incomplete or wrong": outcome.incomplete_answers,
        "requests run more than once": outcome.duplicate_runs,
        "packets at a wrong service": outcome.wrong_service,
        "refused requests that ran": outcome.untrue_refusals,
        "imbalance (highest to mean connections)": outcome.imbalance,
    }
    table = Table("outcome", "value", box=None, pad_edge=False)
    for name, value in rows.items():
        table.add_row(name, str(value))
    console = Console(width=100)
    console.print(table)
    for line in outcome.broken_list:
        console.print(f"broken: {line}")
    last = {
        "broken_flows": outcome.broken_flows,
        "incomplete_answers": outcome.incomplete_answers,
        "duplicate_runs": outcome.duplicate_runs,
        "wrong_service": outcome.wrong_service,
        "untrue_refusals": outcome.untrue_refusals,
        "flows": outcome.flows,
        "imbalance": outcome.imbalance,
    }
    sys.stdout.write(msgspec.json.encode(last).decode() + "\n")
    sys.stdout.flush()


@dataclass
class Play:
    """Play a trace through the fabric on real sockets and judge it."""

    trace: Path
    services: Path
    listen: Annotated[str, cappa.Arg(long=True)]
    fabric: Annotated[str, cappa.Arg(long=True)]
    skip: Annotated[
        list[str], cappa.Arg(long=True, help="Targets that are left out of the imbalance.")
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Play and judge."""
        trace = read_trace(self.trace)
        outcome = asyncio.run(self.play(trace))
        show_outcome(outcome)
        failed = failures(outcome, trace.header.outcomes)
        for line in failed:
            sys.stderr.write(f"stated outcome not met: {line}\n")
        if failed:
            raise cappa.Exit(code=1)

    async def play(self, trace: Trace) -> Outcome:
        """Play a trace."""
        services = load_services(self.services)
        series = SampleSeries()
        sampling = asyncio.ensure_future(sample_servers(services, set(self.skip), series))
        player = await play_real(trace, parse_address(self.listen), parse_address(self.fabric))
        sampling.cancel()
        sys.stdout.write(f"highest imbalance: {series.worst_at or 'none'}\n")
        service_s = DEPLOYMENTS[trace.header.deployment].service_s()
        return await judge_real(player.results, services, series, service_s)


@dataclass
class Make:
    """Make a trace from a seed."""

    out: Path
    deployment: Annotated[str, cappa.Arg(long=True)] = "kingston"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    held: Annotated[int, cappa.Arg(long=True, help="Long flows of each connection kind.")] = 100
    imbalance: Annotated[
        float | None, cappa.Arg(long=True, help="The stated imbalance, if any.")
    ] = None
    event: Annotated[
        list[str],
        cappa.Arg(long=True, help="NAME[:ON]@SECOND[xTIMES][+SECONDS], such as kill-entry@5."),
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Make and write the trace."""
        if self.deployment not in DEPLOYMENTS:
            known = ", ".join(DEPLOYMENTS)
            raise cappa.Exit(f"deployment: expected one of {known}", code=3)
        try:
            events = [parse_event(text) for text in self.event]
            trace = make_trace(
                self.out.stem,
                DEPLOYMENTS[self.deployment],
                self.seed,
                self.seconds,
                events,
                Outcomes(imbalance=self.imbalance),
                self.held,
            )
        except ValueError as error:
            raise cappa.Exit(f"event: {error}", code=3) from None
        write_trace(self.out, trace)


@dataclass
class MakeAll:
    """Make the traces of all scenarios."""

    directory: Path
    seed: Annotated[list[int], cappa.Arg(long=True)] = field(default_factory=lambda: [1])
    only: Annotated[
        list[str], cappa.Arg(long=True, help="Scenarios, without the deployment's name.")
    ] = field(default_factory=list)

    def __call__(self) -> None:
        """Make and write the traces."""
        for scenario in SCENARIOS:
            short = scenario.name.partition("-")[2]
            if self.only and short not in self.only:
                continue
            for seed in self.seed:
                path = self.directory / f"{scenario.name}-{seed}.jsonl"
                write_trace(path, make_scenario(scenario, seed))


@dataclass
class Replay:
    """Play traces on virtual time against one or all schemes; one JSON line each."""

    traces: list[Path]
    scheme: Annotated[str, cappa.Arg(long=True, help="A scheme or all.")] = "godwitway"

    def __call__(self) -> None:
        """Replay and judge."""
        schemes = list(SCHEMES) if self.scheme == "all" else [self.scheme]
        failed = 0
        for path in self.traces:
            trace = read_trace(path)
            for scheme in schemes:
                failed += replay_one(trace, scheme)
        if failed:
            raise cappa.Exit(code=1)


def replay_one(trace: Trace, scheme: str) -> int:
    """Replay a trace against one scheme, print its line and return how much failed."""
    outcome, quiet = replay_with_quiet(trace, scheme)
    kept = kept_by_kind(outcome, quiet) if quiet else {}
    line = {"trace": trace.header.trace, "seed": trace.header.seed, "scheme": scheme}
    line |= {name: getattr(outcome, name) for name in REPORTED} | {"kept": kept}
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()
    if scheme != "godwitway":
        return 0
    failed = failures(outcome, trace.header.outcomes, quiet)
    for text in failed:
        sys.stderr.write(f"{trace.header.trace}, seed {trace.header.seed}: {text}\n")
    return len(failed)


@dataclass
class Host:
    """Change the state of a host in the platform's list."""

    ip: str
    state: str
    platform: Annotated[str, cappa.Arg(long=True)]

    def __call__(self) -> None:
        """Change the list."""
        asyncio.run(self.change())

    async def change(self) -> None:
        """Put the new state."""
        url = f"http://{format_address(parse_address(self.platform))}/admin/hosts/{self.ip}"
        async with aiohttp.ClientSession() as session, session.put(url, data=self.state):
            return


@dataclass
class Standin:
    """Stand-ins for what surrounds godwitway, and the trace player."""

    command: cappa.Subcommands[
        Platform | FabricCommand | Servers | Play | Make | MakeAll | Replay | Host | Soak
    ]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Standin)
