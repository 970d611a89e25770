"""Reads and plots the scores that a journal of runs contains."""

import json
from collections import defaultdict
from pathlib import Path
from typing import Any

__all__ = ["plot_scores", "read_scores"]

PLOT_WIDTH = 90
PLOT_HEIGHT = 18


def read_scores(folder: Path) -> list[dict[str, Any]]:
    """Read the scores of sites from the JSON files of a folder, in the order of the file names.

    An entry with "cmd" "score" has the results of a site in several days, the runs of a benchmark.
    The worth of a day, "G", measures how good its result is, and "rules" has the rules that were
    broken. Days without a "slot" do not count towards a score, and other entries are skipped.

    Returns:
        One row for each score: its time, its site, the mean and the lowest worth of its days, the
        number of days that broke a rule, and why the score was taken.
    """
    rows = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        days = [day for day in entry.get("days") or [] if day.get("slot")]
        if entry.get("cmd") != "score" or not days:
            continue
        rows.append(
            {
                "at": entry["at"][0],
                "site": entry["site"],
                "worth": round(sum(day["G"] for day in days) / len(days), 4),
                "lowest": round(min(day["G"] for day in days), 4),
                "broken": sum(bool(day["rules"]) for day in days),
                "why": entry["why"],
            }
        )
    return rows


def plot_scores(rows: list[dict[str, Any]]) -> str:
    """Return a text plot of the mean worth, with one line for each site."""
    import plotext

    series: dict[str, list[float]] = defaultdict(list)
    for row in rows:
        series[row["site"]].append(row["worth"])
    plotext.clear_figure()
    plotext.theme("clear")
    plotext.plotsize(PLOT_WIDTH, PLOT_HEIGHT)
    for site, values in series.items():
        plotext.plot(list(range(1, len(values) + 1)), values, label=site)
    plotext.xlabel("scores")
    plotext.title("mean worth")
    return plotext.build()
