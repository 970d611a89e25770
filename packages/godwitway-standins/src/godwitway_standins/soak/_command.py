"""The `soak` command: runs the soak test once per seed and prints the reports."""

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from godwitway_standins.flows._world import Layout
from godwitway_standins.soak._plan import ALL_KINDS
from godwitway_standins.soak._report import SoakReport
from godwitway_standins.soak._run import run_soak

__all__ = ["Soak"]

# The processes of a run use addresses in 127.N.0.0/16; N differs between concurrent runs.
FIRST_LOOPBACK_OCTET = 40
LOOPBACK_OCTET_COUNT = 80
SIGTERM_EXIT_CODE = 130


@dataclass
class Soak:
    """Run the entry programs under randomized faults, and check what callers and targets see."""

    seed: Annotated[list[int], cappa.Arg(long=True, help="Seed of a run; may be repeated.")]
    folder: Annotated[Path, cappa.Arg(long=True, help="Folder for the hosts' logs.")]
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Period in seconds in which faults start.")
    ] = 30.0
    hosts: Annotated[int, cappa.Arg(long=True, help="Hosts in each of three zones.")] = 2
    callers: Annotated[int, cappa.Arg(long=True, help="Callers in each zone.")] = 6
    at_once: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of concurrent runs; at most 80.")
    ] = 1
    calm: Annotated[bool, cappa.Arg(long=True, help="Inject no faults.")] = False
    only: Annotated[
        list[str], cappa.Arg(long=True, help="Kind of fault; others are left out. May be repeated.")
    ] = field(default_factory=list)
    without: Annotated[
        list[str], cappa.Arg(long=True, help="Kind of fault to leave out. May be repeated.")
    ] = field(default_factory=list)
    plot: Annotated[bool, cappa.Arg(long=True, help="Plot request outcomes over time.")] = False

    def __call__(self) -> None:
        """Run all seeds and print the number of passed and failed runs.

        Raises:
            cappa.Exit: With code 1 if a run broke a promise, 130 if SIGTERM cancelled the command,
                2 for an unknown kind of fault.
        """
        if unknown := {*self.only, *self.without} - ALL_KINDS:
            raise cappa.Exit(f"no such kinds of faults: {', '.join(sorted(unknown))}", code=2)
        try:
            reports = asyncio.run(self.run_all())
        except asyncio.CancelledError:
            raise cappa.Exit(
                "cancelled by SIGTERM; all host processes were ended", code=SIGTERM_EXIT_CODE
            ) from None
        failed = sum(bool(report.breaches) for report in reports)
        sys.stdout.write(f"{len(reports) - failed} passed, {failed} failed\n")
        if failed:
            raise cappa.Exit(code=1)

    def kinds(self) -> frozenset[str]:
        """Return the kinds of faults that occur."""
        return (frozenset(self.only) or ALL_KINDS) - set(self.without)

    async def run_all(self) -> list[SoakReport]:
        """Run at most `at_once` seeds concurrently, and print each report when its run ends.

        Returns:
            The reports in the order of `seed`.
        """
        # Cancelling a run ends its host processes; SIGTERM's default action would leave them
        # running.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        free_octets = asyncio.Queue[int]()
        for octet in range(
            FIRST_LOOPBACK_OCTET, FIRST_LOOPBACK_OCTET + min(self.at_once, LOOPBACK_OCTET_COUNT)
        ):
            free_octets.put_nowait(octet)

        async def run_one(seed: int) -> SoakReport:
            octet = await free_octets.get()
            folder = self.folder / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            layout = Layout(octet, hosts=self.hosts, callers=self.callers)
            report = await run_soak(seed, self.seconds, layout, folder, self.calm, self.kinds())
            free_octets.put_nowait(octet)
            sys.stdout.write(report.format_text() + "\n")
            if self.plot:
                sys.stdout.write(report.render_plot() + "\n")
            sys.stdout.flush()
            return report

        return list(await asyncio.gather(*(run_one(seed) for seed in self.seed)))
