"""Tables for people and JSON for programs."""

import sys
from typing import Any

import cappa
import msgspec
from godwitway.errors import Problem, response_for
from rich.console import Console
from rich.table import Table

__all__ = ["exit_with_problems", "print_value"]

MIN_TABLE_WIDTH = 120


def print_value(value: Any, output: str, columns: list[str] | None = None) -> None:
    """Print a value as JSON, as JSON on one line, as text, or its rows as a table."""
    if output == "text":
        sys.stdout.write(value.rstrip("\n") + "\n")
        return
    if output == "line":
        sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
        return
    if output == "json" or columns is None:
        sys.stdout.write(msgspec.json.format(msgspec.json.encode(value)).decode() + "\n")
        return
    table = Table(*columns, box=None, pad_edge=False)
    for row in value:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    console = Console()
    Console(width=max(console.width, MIN_TABLE_WIDTH)).print(table)


def exit_with_problems(problems: list[Problem]) -> None:
    """Print all problems and exit with the code of the first one."""
    for problem in problems:
        sys.stderr.write(f"{problem.kind.value}: {problem}\n")
    raise cappa.Exit(code=response_for(problems[0].kind).exit_code)
