"""Selects the lines of hosts' logs that concern one request."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

__all__ = ["read_log_lines", "select_related_lines"]

CONTEXT_S = 2.0

# Events that affect all flows of a host.
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
    """Yield the log events in files.

    A prefix before the JSON object of a line is skipped, and so are lines without a valid event.
    """
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue  # Part of a traceback, or a line that was cut off.
                if isinstance(line, dict) and "event" in line and "wall_s" in line:
                    yield line


def select_related_lines(lines: Iterable[LogLine], wanted: str) -> list[LogLine]:
    """Select the log lines that concern a request or a flow.

    These are all lines of its flows at any host and, from `CONTEXT_S` before the first to
    `CONTEXT_S` after the last of them, the lines about the flows' targets at any host and the
    lines about the state of the flows' hosts.

    Args:
        lines: The lines of all hosts' logs.
        wanted: The id of a request, or a flow such as ``100.64.0.7:40001>198.18.0.1:443``.

    Returns:
        The lines in order of time; an empty list if no line has the id or the flow.
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
    start = min(line["wall_s"] for line in flow_lines) - CONTEXT_S
    end = max(line["wall_s"] for line in flow_lines) + CONTEXT_S
    context = [
        line
        for line in all_lines
        if "flow" not in line
        and start <= line["wall_s"] <= end
        and (
            line.get("target") in targets
            or (line["event"] in HOST_EVENTS and line["host"] in hosts)
        )
    ]
    return sorted(flow_lines + context, key=lambda line: line["wall_s"])
