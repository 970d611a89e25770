"""The command line of the daemon."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from godwitway.errors import ErrorKind, Problem, response_for
from godwitway.process import Settings, read_settings

from godwitwayd._logs import configure_logging
from godwitwayd._run import run_host

__all__ = ["Check", "Daemon", "Run", "main"]


def load_settings(path: Path) -> Settings:
    """Return checked settings, or print every problem and exit."""
    checked = read_settings(path)
    if checked.is_ok():
        return checked.unwrap()
    problems: list[Problem] = checked.unwrap_err()
    for problem in problems:
        print(f"{path}: {problem}", file=sys.stderr)
    raise cappa.Exit(code=response_for(ErrorKind.INVALID_FIELD).exit_code)


@dataclass
class Check:
    """Check a settings file and report every error in it."""

    file: Annotated[Path, cappa.Arg(help="The settings file: JSON with comments.")]

    def __call__(self) -> None:
        """Check the file."""
        settings = load_settings(self.file)
        print(f"{self.file}: valid settings of host {settings.name}, zone {settings.zone}")


@dataclass
class Run:
    """Run an entry host until SIGTERM, then stop it gracefully."""

    file: Annotated[Path, cappa.Arg(help="The settings file: JSON with comments.")]

    def __call__(self) -> None:
        """Run the host."""
        settings = load_settings(self.file)
        configure_logging()
        asyncio.run(run_host(settings))


@dataclass
class Daemon:
    """The godwitway daemon."""

    command: cappa.Subcommands[Check | Run]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Daemon)
