"""The report of a soak run: a summary and a plot of request outcomes over time."""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from godwitway_standins.flows import Outcome
from godwitway_standins.soak._plan import Fault

__all__ = ["SoakReport"]

MAX_LINES_PER_PROMISE = 8
# A limit that the program does not keep yet, see KNOWN-RED.txt: reported, but not a failure.
KNOWN_RED = "RESTARTED"
LATE_AFTER_S = 0.3  # The `aim-ms` of the routes in the stand-in's configuration.
PLOT_WIDTH_CHARS = 100
PLOT_HEIGHT_LINES = 20


@dataclass(slots=True)
class SoakReport:
    """Result of one run.

    Attributes:
        seed: The run's seed.
        duration_s: Seconds from the start of the callers to the end of the recovery check.
        process_count: Number of processes: the hosts and this process.
        faults: The planned faults.
        outcomes: Outcomes of the requests.
        breaches: The promises that were broken, in the order of their reports. Each item is the
            name of the promise, and the event loop time in seconds followed by a description.
        known_red: Those under `KNOWN_RED`, which do not fail a run.
        callers_started_at: Time of the event loop's clock at which the callers started, in seconds.
        log_folder: Folder of the hosts' logs.
    """

    seed: int
    duration_s: float
    process_count: int
    faults: list[Fault]
    outcomes: list[Outcome]
    breaches: list[tuple[str, str]]
    callers_started_at: float
    log_folder: str
    known_red: list[tuple[str, str]] = field(init=False)

    def __post_init__(self) -> None:
        """Separate what is listed from the other breaches."""
        self.known_red = [item for item in self.breaches if item[0] == KNOWN_RED]
        self.breaches = [item for item in self.breaches if item[0] != KNOWN_RED]

    def summary(self) -> dict[str, Any]:
        """Return the run's figures, ready to be encoded as JSON.

        "late" counts the requests that were served, but took longer than `LATE_AFTER_S`; "ended"
        counts these as "served".
        """
        return {
            "seed": self.seed,
            "seconds": self.duration_s,
            "processes": self.process_count,
            "faults": dict(sorted(Counter(fault.kind for fault in self.faults).items())),
            "requests": len(self.outcomes),
            "ended": dict(sorted(Counter(outcome.result for outcome in self.outcomes).items())),
            "late": sum(o.result == "served" and o.took_s > LATE_AFTER_S for o in self.outcomes),
            "broken": dict(Counter(promise for promise, _ in self.breaches)),
            "known_red": len(self.known_red),
        }

    def format_text(self) -> str:
        """Return the summary as one JSON line.

        If promises were broken, lines for the first breaches of each promise and a line with the
        log folder and the run's seed and duration follow.
        """
        lines = [json.dumps(self.summary())]
        counts = Counter[str]()
        for promise, description in self.breaches + self.known_red:
            counts[promise] += 1
            if counts[promise] <= MAX_LINES_PER_PROMISE:
                word = "KNOWN RED" if promise == KNOWN_RED else "BROKEN"
                lines.append(f"{word} {promise}: {description}")
        if self.breaches:
            lines.append(
                f"logs: {self.log_folder}; repeat: --seed {self.seed} --seconds {self.duration_s:g}"
            )
        return "\n".join(lines)

    def render_plot(self) -> str:
        """Return a text plot of requests per second: served in time, served late and failed.

        Requests count in the second in which they were sent; vertical lines mark the faults.
        """
        import plotext

        seconds = range(int(self.duration_s) + 1)
        buckets = {name: Counter() for name in ("served", "late", "failed")}
        for outcome in self.outcomes:
            name = "failed"
            if outcome.result == "served":
                name = "late" if outcome.took_s > LATE_AFTER_S else "served"
            buckets[name][int(outcome.asked_at - self.callers_started_at)] += 1
        plotext.clear_figure()
        plotext.theme("clear")
        plotext.plotsize(PLOT_WIDTH_CHARS, PLOT_HEIGHT_LINES)
        for name, counts in buckets.items():
            plotext.plot(list(seconds), [counts[second] for second in seconds], label=name)
        for fault in self.faults:
            plotext.vline(fault.start_s, "red")
        plotext.xlabel("seconds")
        plotext.title(f"requests a second, seed {self.seed}")
        return plotext.build()
