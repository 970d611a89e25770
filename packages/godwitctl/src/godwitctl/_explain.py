"""Finding in hosts' logs what happened to one request."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

__all__ = ["explain", "read_lines"]

CONTEXT_S = 2.0

# Events of a host that bear on all of its flows.
HOST_EVENTS = frozenset(
    {
        "start",
        "ready",
        "stopping",
        "left_rotation",
        "stop",
        "paused",
        "rotation",
        "config_in_force",
        "store_lost",
        "store_regained",
    }
)

Line = dict[str, Any]


def read_lines(paths: Iterable[Path]) -> Iterator[Line]:
    """Yield the lines of log files; what stands before a line's JSON object is passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue  # A traceback or a line that was cut off.
                if isinstance(line, dict) and "event" in line and "wall_s" in line:
                    yield line


def explain(lines: Iterable[Line], wanted: str) -> list[Line]:
    """Return the lines that concern a request or a flow, in order of time.

    These are all lines of its flows at any host, what hosts learned of the targets involved, and
    what happened to the hosts themselves, from two seconds before to two seconds after.

    Args:
        lines: The lines of all hosts' logs.
        wanted: The id of a request, or a flow such as ``100.64.0.7:40001>198.18.0.1:443``.
    """
    known = list(lines)
    flows = {line["flow"] for line in known if wanted in (line.get("request"), line.get("flow"))}
    own = [line for line in known if line.get("flow") in flows]
    if not own:
        return []
    targets = {line.get("target") for line in own} - {None}
    hosts = {line["host"] for line in own}
    first = min(line["wall_s"] for line in own) - CONTEXT_S
    last = max(line["wall_s"] for line in own) + CONTEXT_S
    context = [
        line
        for line in known
        if "flow" not in line
        and first <= line["wall_s"] <= last
        and (
            line.get("target") in targets
            or (line["event"] in HOST_EVENTS and line["host"] in hosts)
        )
    ]
    return sorted(own + context, key=lambda line: line["wall_s"])
