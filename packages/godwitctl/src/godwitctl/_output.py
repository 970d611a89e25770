"""Prints results as tables, JSON or text, and problems on standard error."""

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
    """Print a value on standard output.

    Args:
        value: The value: a string for the format "text", a list of rows for a table, and else any
            value that JSON can express.
        output: The format: "text", "line" (JSON on one line), "json" (indented), or "table".
        columns: The keys of the rows to print as a table; None prints a table as "json".
    """
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
    """Print all problems on standard error and exit.

    Raises:
        cappa.Exit: Always, with the exit code of the first problem.
    """
    for problem in problems:
        sys.stderr.write(f"{problem.kind.value}: {problem}\n")
    raise cappa.Exit(code=response_for(problems[0].kind).exit_code)
