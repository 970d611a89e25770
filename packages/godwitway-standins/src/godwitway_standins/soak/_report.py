"""What a soak reports: a summary, and a plot of how requests ended over time."""

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from godwitway_standins.flows import Outcome
from godwitway_standins.soak._plan import Fault

__all__ = ["SoakReport"]

LATE_S = 0.3
WIDTH = 100
HEIGHT = 20


@dataclass(slots=True)
class SoakReport:
    """How a run went.

    Attributes:
        seed: The run's seed.
        seconds: Its length.
        processes: How many processes ran.
        faults: The faults that were injected.
        outcomes: How the requests ended.
        broken: The promises that were broken, with what was seen.
        began: When the callers began, in seconds of the run's clock.
        logs: Where the hosts' logs are.
    """

    seed: int
    seconds: float
    processes: int
    faults: list[Fault]
    outcomes: list[Outcome]
    broken: list[tuple[str, str]]
    began: float
    logs: str

    def summary(self) -> dict[str, Any]:
        """Return the figures of the run."""
        return {
            "seed": self.seed,
            "seconds": self.seconds,
            "processes": self.processes,
            "faults": dict(sorted(Counter(fault.kind for fault in self.faults).items())),
            "requests": len(self.outcomes),
            "ended": dict(sorted(Counter(outcome.result for outcome in self.outcomes).items())),
            "late": sum(o.result == "served" and o.took_s > LATE_S for o in self.outcomes),
            "broken": dict(Counter(promise for promise, _ in self.broken)),
        }

    def text(self) -> str:
        """Return the summary as a line, and what was broken."""
        lines = [json.dumps(self.summary())]
        lines += [f"BROKEN {promise}: {what}" for promise, what in self.broken[:20]]
        if self.broken:
            lines.append(f"logs: {self.logs}; again: --seed {self.seed} --seconds {self.seconds:g}")
        return "\n".join(lines)

    def plot(self) -> str:
        """Return a plot of served, late and failed requests a second, with the faults marked."""
        import plotext

        seconds = range(int(self.seconds) + 1)
        buckets = {name: Counter() for name in ("served", "late", "failed")}
        for outcome in self.outcomes:
            name = "failed"
            if outcome.result == "served":
                name = "late" if outcome.took_s > LATE_S else "served"
            buckets[name][int(outcome.asked_at - self.began)] += 1
        plotext.clear_figure()
        plotext.theme("clear")
        plotext.plotsize(WIDTH, HEIGHT)
        for name, counts in buckets.items():
            plotext.plot(list(seconds), [counts[second] for second in seconds], label=name)
        for fault in self.faults:
            plotext.vline(fault.at, "red")
        plotext.xlabel("seconds")
        plotext.title(f"requests a second, seed {self.seed}")
        return plotext.build()
