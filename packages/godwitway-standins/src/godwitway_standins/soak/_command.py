"""The command that runs soaks."""

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from godwitway_standins.flows._world import Layout
from godwitway_standins.soak._report import SoakReport
from godwitway_standins.soak._run import run_soak

__all__ = ["Soak"]

FIRST_NET = 40  # The second number of a run's loopback addresses; runs at once use others.
NETS = 80
INTERRUPTED = 130


@dataclass
class Soak:
    """Run the entry programs under randomized faults, and check what callers and targets see."""

    seed: Annotated[list[int], cappa.Arg(long=True, help="The seed of a run; may be repeated.")]
    folder: Annotated[Path, cappa.Arg(long=True, help="Where the hosts' logs go.")]
    seconds: Annotated[float, cappa.Arg(long=True, help="For how long faults begin.")] = 30.0
    hosts: Annotated[int, cappa.Arg(long=True, help="Hosts in each of three zones.")] = 2
    callers: Annotated[int, cappa.Arg(long=True, help="Callers in each zone.")] = 6
    at_once: Annotated[int, cappa.Arg(long=True, help="How many runs at a time.")] = 1
    calm: Annotated[bool, cappa.Arg(long=True, help="Inject no faults.")] = False
    plot: Annotated[bool, cappa.Arg(long=True, help="Plot how requests ended.")] = False

    def __call__(self) -> None:
        """Run all seeds; the exit code is 1 when a promise was broken."""
        try:
            reports = asyncio.run(self.run_all())
        except asyncio.CancelledError:
            raise cappa.Exit("interrupted; all hosts were ended", code=INTERRUPTED) from None
        broken = sum(bool(report.broken) for report in reports)
        sys.stdout.write(f"{len(reports) - broken} passed, {broken} failed\n")
        if broken:
            raise cappa.Exit(code=1)

    async def run_all(self) -> list[SoakReport]:
        """Run the seeds, some at a time, each on addresses of its own."""
        # A cancelled run ends its hosts; without this SIGTERM would leave them behind.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        nets = asyncio.Queue[int]()
        for net in range(FIRST_NET, FIRST_NET + min(self.at_once, NETS)):
            nets.put_nowait(net)

        async def run_one(seed: int) -> SoakReport:
            net = await nets.get()
            folder = self.folder / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            layout = Layout(net, hosts=self.hosts, callers=self.callers)
            report = await run_soak(seed, self.seconds, layout, folder, self.calm)
            nets.put_nowait(net)
            sys.stdout.write(report.text() + "\n")
            if self.plot:
                sys.stdout.write(report.plot() + "\n")
            sys.stdout.flush()
            return report

        return list(await asyncio.gather(*(run_one(seed) for seed in self.seed)))
