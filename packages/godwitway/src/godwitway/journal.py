"""The log of decisions: one line for each event, found by flow, with a budget by kind."""

from collections import Counter
from collections.abc import Callable
from typing import Any

__all__ = ["FlowFormat", "Journal", "Sink"]

MAX_LINES_PER_SECOND = 200

Sink = Callable[[dict[str, Any]], None]
FlowFormat = Callable[[bytes], str]


class Journal:
    """Writes events with the host, the time and the flow that they concern.

    Attributes:
        host: The host's name.
        now: The clock.
        sink: Takes each line.
        format_flow: Returns a flow's key as text.
        budget: How many lines of one event are written in a second.
        suppressed: How many lines of each event were left out in this second.
    """

    __slots__ = (
        "budget",
        "format_flow",
        "host",
        "now",
        "second",
        "sink",
        "suppressed",
        "written",
    )

    def __init__(
        self,
        host: str,
        now: Callable[[], float],
        sink: Sink,
        format_flow: FlowFormat,
        budget: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self.host = host
        self.now = now
        self.sink = sink
        self.format_flow = format_flow
        self.budget = budget
        self.second = 0
        self.written: Counter[str] = Counter()
        self.suppressed: Counter[str] = Counter()

    def event(self, name: str, key: bytes | None = None, /, **fields: Any) -> None:
        """Write one event; an event that comes too often is counted instead."""
        now = self.now()
        if int(now) != self.second:
            self.start_second(now)
        self.written[name] += 1
        if self.written[name] > self.budget:
            self.suppressed[name] += 1
            return
        self.write(now, name, key, fields)

    def write(self, now: float, name: str, key: bytes | None, fields: dict[str, Any]) -> None:
        """Write one line."""
        flow = {} if key is None else {"flow": self.format_flow(key)}
        self.sink({"t": round(now, 6), "host": self.host, "event": name} | flow | fields)

    def start_second(self, now: float) -> None:
        """Write how many lines the last second left out, and start counting anew."""
        for name, count in sorted(self.suppressed.items()):
            self.write(now, "lines_suppressed", None, {"of": name, "count": count})
        self.second = int(now)
        self.written.clear()
        self.suppressed.clear()
