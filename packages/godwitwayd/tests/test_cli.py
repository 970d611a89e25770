"""Tests of the daemon's commands and log format."""

import json
import logging

import cappa
import pytest
from godwitway.process import ApiSettings

from godwitwayd._logs import JsonLineFormatter
from godwitwayd.cli import Daemon, load_settings

VALID_SETTINGS = """{
  // Comments are allowed.
  "name": "entry-1", "zone": "a", "door": "127.0.0.1:4000", "peer": "127.0.0.1:4001",
  "control": "127.0.0.1:4002", "api": {"address": "127.0.0.1:4003"},
  "fabric": ["127.0.0.1:4100"], "keys": ["00112233445566778899aabbccddeeff"],
}"""


class TestCheck:
    """Tests of `godwitwayd check`."""

    def test_valid_file(self, tmp_path, capsys):
        """The name and the zone of the host in a valid file are printed."""
        path = tmp_path / "entry.jsonc"
        path.write_text(VALID_SETTINGS)
        cappa.invoke(Daemon, argv=["check", str(path)])
        assert "host entry-1, zone a" in capsys.readouterr().out
        assert isinstance(load_settings(path).api, ApiSettings)

    def test_all_errors_are_printed(self, tmp_path, capsys):
        """Every error is printed with its field, and the exit code is 3."""
        path = tmp_path / "entry.jsonc"
        path.write_text(VALID_SETTINGS.replace('"zone": "a"', '"zonee": "a"').replace("4000", "0"))
        with pytest.raises(cappa.Exit) as exit_info:
            cappa.invoke(Daemon, argv=["check", str(path)])
        assert exit_info.value.code == 3
        printed = capsys.readouterr().err
        for part in ("zonee: unknown key; did you mean 'zone'?", "zone: is required", "door: "):
            assert part in printed


class TestJsonLineFormatter:
    """Tests of `JsonLineFormatter`."""

    def format_message(self, message: str) -> dict:
        """Format a message and return the fields of its line."""
        record = logging.LogRecord("x", logging.INFO, "f", 1, message, None, None)
        return json.loads(JsonLineFormatter().format(record))

    def test_events_keep_their_fields(self):
        """The fields of a message that is a JSON object become fields of the line."""
        assert self.format_message('{"event": "drop", "flow": "tcp"}')["flow"] == "tcp"

    def test_text_is_wrapped(self):
        """Any other message becomes one field, even if it begins like a JSON object."""
        assert self.format_message("hello")["message"] == "hello"
        assert self.format_message("{broken")["message"] == "{broken"
