"""The log of decisions: JSON lines through absl, found by flow."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from absl import logging

from godwitway.request import format_key

__all__ = ["Journal", "write_log_line"]

MAX_LINES_PER_SECOND = 200

Sink = Callable[[dict[str, Any]], None]


def write_log_line(line: dict[str, Any]) -> None:
    """Write a line through absl, as one JSON object."""
    logging.info("%s", msgspec.json.encode(line).decode())


class Journal:
    """Writes events with the host, the time and the flow that they concern.

    Attributes:
        host: The host's name.
        now: The clock.
        sink: Takes each line.
        suppressed: How many lines of each event were left out in this second.
    """

    __slots__ = ("host", "now", "second", "sink", "suppressed", "written")

    def __init__(self, host: str, now: Callable[[], float], sink: Sink = write_log_line) -> None:
        self.host = host
        self.now = now
        self.sink = sink
        self.second = 0
        self.written: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def event(self, name: str, key: bytes | None = None, **fields: Any) -> None:
        """Write one event; an event that comes too often is counted instead."""
        now = self.now()
        if int(now) != self.second:
            self.start_second(now)
        self.written[name] += 1
        if self.written[name] > MAX_LINES_PER_SECOND:
            self.suppressed[name] += 1
            return
        self.write(now, name, key, fields)

    def write(self, now: float, name: str, key: bytes | None, fields: dict[str, Any]) -> None:
        """Write one line."""
        flow = {} if key is None else {"flow": format_key(key)}
        self.sink({"t": round(now, 6), "host": self.host, "event": name} | flow | fields)

    def start_second(self, now: float) -> None:
        """Write how many lines the last second left out, and start counting anew."""
        for name, count in sorted(self.suppressed.items()):
            self.write(now, "lines_suppressed", None, {"of": name, "count": count})
        self.second = int(now)
        self.written.clear()
        self.suppressed.clear()
