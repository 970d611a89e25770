"""Finding in hosts' logs what happened to one request."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

__all__ = ["read_log_lines", "select_related_lines"]

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

LogLine = dict[str, Any]


def read_log_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
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


def select_related_lines(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Return the lines that concern a request or a flow, in order of time.

    These are all lines of its flows at any host, what hosts learned of the targets involved, and
    what happened to the hosts themselves, from two seconds before to two seconds after.

    Args:
        lines: The lines of all hosts' logs.
        wanted: The id of a request, or a flow such as ``100.64.0.7:40001>198.18.0.1:443``.
    """
    all_lines = list(lines)
    flows = {
        line["flow"] for line in all_lines if wanted in (line.get("request"), line.get("flow"))
    }
    flow_lines = [line for line in all_lines if line.get("flow") in flows]
    if not flow_lines:
        return []
    targets = {line.get("target") for line in flow_lines} - {None}
    hosts = {line["host"] for line in flow_lines}
    first = min(line["wall_s"] for line in flow_lines) - CONTEXT_S
    last = max(line["wall_s"] for line in flow_lines) + CONTEXT_S
    context = [
        line
        for line in all_lines
        if "flow" not in line
        and first <= line["wall_s"] <= last
        and (
            line.get("target") in targets
            or (line["event"] in HOST_EVENTS and line["host"] in hosts)
        )
    ]
    return sorted(flow_lines + context, key=lambda line: line["wall_s"])
