"""Tables, JSON and exit codes."""

import cappa
import pytest
from godwitway.errors import ErrorKind, Problem

from godwitctl._commands import lagging_hosts
from godwitctl._output import exit_with_problems, print_value
from godwitctl.cli import Apply, Godwitctl, service_row


class TestFail:
    """Tests of `exit_with_problems`."""

    @pytest.mark.parametrize(
        ("kind", "code"),
        [
            (ErrorKind.INVALID_FIELD, 3),
            (ErrorKind.CONFLICT, 4),
            (ErrorKind.NOT_FOUND, 5),
            (ErrorKind.UNAUTHORIZED, 6),
            (ErrorKind.STORE_UNAVAILABLE, 7),
            (ErrorKind.WRITE_UNKNOWN, 8),
            (ErrorKind.TIMED_OUT, 9),
        ],
    )
    def test_exit_codes(self, kind, code, capsys):
        """Each kind of error has its stated exit code, and the field is printed."""
        with pytest.raises(cappa.Exit) as exit_:
            exit_with_problems([Problem(kind, "is wrong", "targets[0].zone")])
        assert exit_.value.code == code
        assert "targets[0].zone: is wrong" in capsys.readouterr().err


class TestShow:
    """Tests of `print_value`."""

    def test_table_and_json(self, capsys):
        """Rows are a table for people and JSON for programs."""
        rows = [{"name": "auction", "revision": 7}]
        print_value(rows, "table", ["name", "revision"])
        assert capsys.readouterr().out.split() == ["name", "revision", "auction", "7"]
        print_value(rows, "json", ["name"])
        assert '"revision": 7' in capsys.readouterr().out


class TestRows:
    """Tests of what the tables say."""

    def test_service_row(self):
        """A service's row counts its targets and those that drain."""
        service = {
            "address": "10.0.0.1",
            "kinds": [{"name": "bid"}, {"name": "board"}],
            "targets": [{"state": "draining"}, {}],
        }
        row = service_row({"name": "auction", "version": 3, "service": service})
        assert (row["kinds"], row["targets"], row["draining"]) == ("bid, board", 2, 1)

    def test_lagging_hosts(self):
        """Hosts below a revision lag."""
        status = {"hosts": [{"name": "a", "revision": 3}, {"name": "b", "revision": 4}]}
        assert [host["name"] for host in lagging_hosts(status, 4)] == ["a"]


class TestParsing:
    """Tests of the command line."""

    def test_options(self, monkeypatch):
        """Options come from the command line, the environment or the defaults."""
        monkeypatch.setenv("GODWITWAY_API", "10.0.0.1:4003")
        parsed = cappa.parse(Godwitctl, argv=["apply", "x.jsonc", "--output", "json"])
        assert isinstance(parsed.command, Apply)
        assert parsed.command.common.api == "10.0.0.1:4003"
        assert parsed.command.common.output == "json"
