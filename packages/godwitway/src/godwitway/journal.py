"""The decision log of a host: one structured line per event, rate-limited by event name."""

from collections import Counter
from collections.abc import Callable
from typing import Any

__all__ = ["FlowFormat", "Journal", "Sink"]

MAX_LINES_PER_SECOND = 200

Sink = Callable[[dict[str, Any]], None]
FlowFormat = Callable[[bytes], str]


class Journal:
    """Writes events as lines with the time, the host and, where there is one, the flow.

    Attributes:
        host: The name of the host, written into each line.
        now: Returns the time of the clock in seconds.
        sink: Called with each line as a dictionary.
        format_flow: Returns a packed flow key as text.
        max_lines_per_second: The limit on lines of one event name in a second.
        current_second: The second that the counters belong to.
        event_counts: Events of the current second by name, suppressed ones included.
        suppressed_counts: Events of the current second that were not written, by name.
    """

    __slots__ = (
        "current_second",
        "event_counts",
        "format_flow",
        "host",
        "max_lines_per_second",
        "now",
        "sink",
        "suppressed_counts",
    )

    def __init__(
        self,
        host: str,
        now: Callable[[], float],
        sink: Sink,
        format_flow: FlowFormat,
        max_lines_per_second: int = MAX_LINES_PER_SECOND,
    ) -> None:
        self.host = host
        self.now = now
        self.sink = sink
        self.format_flow = format_flow
        self.max_lines_per_second = max_lines_per_second
        self.current_second = 0
        self.event_counts: Counter[str] = Counter()
        self.suppressed_counts: Counter[str] = Counter()

    def event(self, name: str, key: bytes | None = None, /, **fields: Any) -> None:
        """Write one event, or only count it when its limit for this second is reached.

        Args:
            name: The event name.
            key: The packed key of the flow that the event concerns, if any.
            **fields: Further fields of the line.
        """
        now = self.now()
        if int(now) != self.current_second:
            self.start_new_second(now)
        self.event_counts[name] += 1
        if self.event_counts[name] > self.max_lines_per_second:
            self.suppressed_counts[name] += 1
            return
        self.write(now, name, key, fields)

    def write(self, now: float, name: str, key: bytes | None, fields: dict[str, Any]) -> None:
        """Pass one line to the sink without regard to the limit."""
        flow = {} if key is None else {"flow": self.format_flow(key)}
        self.sink({"t": round(now, 6), "host": self.host, "event": name} | flow | fields)

    def start_new_second(self, now: float) -> None:
        """Write how many lines of each event were suppressed, and reset the counters."""
        for name, count in sorted(self.suppressed_counts.items()):
            self.write(now, "lines_suppressed", None, {"of": name, "count": count})
        self.current_second = int(now)
        self.event_counts.clear()
        self.suppressed_counts.clear()
