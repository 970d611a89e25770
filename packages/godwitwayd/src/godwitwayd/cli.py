"""Defines the commands of godwitwayd."""

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
    """Read and validate a settings file.

    Raises:
        cappa.Exit: The file is unreadable or invalid; every problem has been printed to standard
            error, and the exit code is 3.
    """
    result = read_settings(path)
    if result.is_ok():
        return result.unwrap()
    problems: list[Problem] = result.unwrap_err()
    for problem in problems:
        print(f"{path}: {problem}", file=sys.stderr)
    raise cappa.Exit(code=response_for(ErrorKind.INVALID_FIELD).exit_code)


@dataclass
class Check:
    """Check a settings file and report every error in it."""

    file: Annotated[Path, cappa.Arg(help="The settings file: JSON with comments.")]

    def __call__(self) -> None:
        """Print the host's name and zone, or every error."""
        settings = load_settings(self.file)
        print(f"{self.file}: valid settings of host {settings.name}, zone {settings.zone}")


@dataclass
class Run:
    """Run an entry host until SIGTERM, then stop it gracefully."""

    file: Annotated[Path, cappa.Arg(help="The settings file: JSON with comments.")]

    def __call__(self) -> None:
        """Run the host; returns when the stop is complete."""
        settings = load_settings(self.file)
        configure_logging()
        asyncio.run(run_host(settings))


@dataclass
class Daemon:
    """The daemon of godwitway's entry hosts."""

    command: cappa.Subcommands[Check | Run]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Daemon)
