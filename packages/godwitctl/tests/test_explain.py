"""Tests of finding a request in the hosts' logs."""

import json

from godwitctl._explain import read_log_lines, select_related_lines
from godwitctl._figures import plot_scores, read_scores


def log_line(at: float, event: str, host: str = "h1", **fields) -> dict:
    """Return a log line."""
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


class TestExplain:
    """What belongs to a request."""

    def test_a_request_is_found_with_its_flow_and_targets(self):
        """Other flows, other targets and other times are left out."""
        found = [(entry["host"], entry["event"]) for entry in select_related_lines(LINES, "r1")]
        assert found == [
            ("h1", "place"),
            ("h1", "request"),
            ("h2", "target_suspected"),
            ("h2", "reset"),
            ("h1", "paused"),
        ]

    def test_a_flow_is_found_by_its_addresses(self):
        """A request whose id was not logged still has a flow."""
        assert select_related_lines(LINES, "f2")[0]["wall_s"] == 10.2

    def test_an_unknown_id_finds_nothing(self):
        """The command then ends with an error."""
        assert select_related_lines(LINES, "r9") == []


class TestReadLines:
    """Reading log files."""

    def test_what_is_no_line_is_passed_over(self, tmp_path):
        """Logs may have prefixes, tracebacks and lines that were cut off."""
        path = tmp_path / "host.log"
        good = json.dumps(log_line(1.0, "start"))
        path.write_text(f"  0.1 host-1 {good}\nTraceback\n{good[:20]}\n[1]\n{good}\n")
        assert [entry["event"] for entry in read_log_lines([path])] == ["start", "start"]


class TestFigures:
    """The figures of a journal."""

    def test_scores_are_read_and_plotted(self, tmp_path):
        """Other entries are left out."""
        day = {"slot": "quiet", "G": 0.9, "rules": {}}
        entry = {"cmd": "score", "at": ["t1", "t2"], "site": "s", "why": "w", "days": [day, day]}
        (tmp_path / "1.json").write_text(json.dumps(entry))
        (tmp_path / "2.json").write_text(json.dumps(entry | {"cmd": "run"}))
        rows = read_scores(tmp_path)
        assert [(row["site"], row["worth"], row["broken"]) for row in rows] == [("s", 0.9, 0)]
        assert "mean worth" in plot_scores(rows)
