"""Tests of selecting log lines, and of reading and plotting scores."""

import json

from godwitctl._explain import read_log_lines, select_related_lines
from godwitctl._figures import plot_scores, read_scores


def log_line(at: float, event: str, host: str = "h1", **fields) -> dict:
    """Return a log line with more fields."""
    return {"wall_s": at, "host": host, "event": event} | fields


LINES = [
    log_line(10.0, "place", flow="f1", target="t1"),
    log_line(10.1, "request", flow="f1", target="t1", request="r1"),
    log_line(10.2, "target_suspected", host="h2", target="t1"),
    log_line(10.3, "target_suspected", target="t2"),
    log_line(10.4, "reset", host="h2", flow="f1", target="t1", reason="target_unreachable"),
    log_line(10.5, "request", flow="f2", target="t1", request="r2"),
    log_line(10.6, "paused"),
    log_line(10.7, "paused", host="h3"),
    log_line(20.0, "paused"),
]


class TestSelectRelatedLines:
    """Tests of `select_related_lines`."""

    def test_request_has_lines_of_its_flow_targets_and_hosts(self):
        """Lines of other flows, other targets, other hosts and other times are left out."""
        events = [(entry["host"], entry["event"]) for entry in select_related_lines(LINES, "r1")]
        assert events == [
            ("h1", "place"),
            ("h1", "request"),
            ("h2", "target_suspected"),
            ("h2", "reset"),
            ("h1", "paused"),
        ]

    def test_flow_is_selected_by_its_key(self):
        """A request whose id was not logged can be found by its flow.

        The first line is the suspicion of the flow's target, less than `CONTEXT_S` before it.
        """
        assert select_related_lines(LINES, "f2")[0]["wall_s"] == 10.2

    def test_unknown_id_selects_nothing(self):
        """The command exits with an error if there are no lines."""
        assert select_related_lines(LINES, "r9") == []


class TestReadLogLines:
    """Tests of `read_log_lines`."""

    def test_invalid_lines_are_skipped(self, tmp_path):
        """Log files may contain prefixes, tracebacks and lines that were cut off."""
        path = tmp_path / "host.log"
        valid_line = json.dumps(log_line(1.0, "start"))
        path.write_text(
            f"  0.1 host-1 {valid_line}\nTraceback\n{valid_line[:20]}\n[1]\n{valid_line}\n"
        )
        assert [entry["event"] for entry in read_log_lines([path])] == ["start", "start"]


class TestReadScores:
    """Tests of `read_scores` and `plot_scores`."""

    def test_scores_are_read_and_plotted(self, tmp_path):
        """Entries of other commands than "score" are left out."""
        day = {"slot": "quiet", "G": 0.9, "rules": {}}
        entry = {"cmd": "score", "at": ["t1", "t2"], "site": "s", "why": "w", "days": [day, day]}
        (tmp_path / "1.json").write_text(json.dumps(entry))
        (tmp_path / "2.json").write_text(json.dumps(entry | {"cmd": "run"}))
        rows = read_scores(tmp_path)
        assert [(row["site"], row["worth"], row["broken"]) for row in rows] == [("s", 0.9, 0)]
        assert "mean worth" in plot_scores(rows)
