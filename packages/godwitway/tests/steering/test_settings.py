"""Tests of the validation of a steering host's settings."""

import json
import re
from pathlib import Path

import pytest

from godwitway.steering import SettingsError, check_steering_settings, read_steering_settings

SETTINGS = {
    "name": "host-1",
    "zone": "a",
    "packets": "10.1.0.1:8172",
    "ready": "10.1.0.1:8167",
    "control": "10.1.0.1:8166",
    "peer": "10.1.0.1:7720",
    "store": "10.200.1.7:8169",
    "seeds": ["10.1.0.1:8166"],
    "stop_bound_s": 6,
}
TEMPLATE = Path(__file__).parents[4] / "deploy" / "settings.json"
TEMPLATE_VALUES = {
    "node-name": "host-1",
    "zone": "a",
    "listen-addrs.datagram-addr": "10.1.0.1:8172",
    "listen-addrs.ready": "10.1.0.1:8167",
    "listen-addrs.control": "10.1.0.1:8166",
    "ip": "10.1.0.1",
    "internal-ports.0": 7720,
    "platform.address": "10.200.1.7:8169",
    "seed-nodes": ["10.1.0.1:8166"],
    "contract-params.grace-s": 6,
    "zones": {"a": "west"},
}


def render_template(**params):
    """Render the template of the settings as the platform does, with additional parameters."""
    values = TEMPLATE_VALUES | {f"contract-params.{name}": params[name] for name in params}
    document = re.sub(
        r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
        lambda section: section[2] if values.get(section[1]) is not None else "",
        TEMPLATE.read_text(),
    )
    document = re.sub(
        r"\{\{([^}|]+)\|json\}\}", lambda field: json.dumps(values[field[1]]), document
    )
    return re.sub(r"\{\{([^}]+)\}\}", lambda field: str(values[field[1]]), document)


class TestTemplate:
    """The template with which deployments fill the settings."""

    def test_the_limit_of_cold_targets_is_absent_by_default(self):
        """Deployments without the parameters are served as before."""
        settings = check_steering_settings(render_template())
        assert (settings.cold_rate_factor, settings.cold_rate_slack) == (None, None)

    def test_the_regions_of_zones_are_filled_in(self):
        """Guards against routes that are limited to regions and then have no target."""
        assert check_steering_settings(render_template()).regions == {"a": "west"}

    def test_the_limit_of_cold_targets_is_filled_in(self):
        """The factor may be a fraction."""
        settings = check_steering_settings(render_template(**{"cold-over": 1.5, "cold-slack": 5}))
        assert (settings.cold_rate_factor, settings.cold_rate_slack) == (1.5, 5.0)


class TestCheckSteeringSettings:
    """Validation of a settings document."""

    def test_a_valid_document_is_accepted(self):
        """Addresses become pairs of IP address and port."""
        settings = check_steering_settings(json.dumps(SETTINGS))
        assert settings.store == ("10.200.1.7", 8169)
        assert settings.seeds == [("10.1.0.1", 8166)]

    def test_comments_are_allowed(self):
        """The format is JSON with comments."""
        assert check_steering_settings("// host 1\n" + json.dumps(SETTINGS)).name == "host-1"

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("packets", "10.1.0.1"),
            ("seeds", "x"),
            ("stop_bound_s", -1),
            ("name", ""),
            ("zone", "\ud83d"),
            ("odd", 1),
            ("regions", []),
            ("cold_rate_slack", -1),
        ],
    )
    def test_an_invalid_field_is_named(self, field, value):
        """The operator must see which field to correct."""
        with pytest.raises(SettingsError) as raised:
            check_steering_settings(json.dumps(SETTINGS | {field: value}))
        assert [problem.field.split("[")[0] for problem in raised.value.problems] == [field]

    def test_all_errors_are_reported_at_once(self):
        """An operator can correct a file in one pass."""
        with pytest.raises(SettingsError) as raised:
            check_steering_settings("{}")
        assert len(raised.value.problems) == 7

    @pytest.mark.parametrize("document", ["", "{", "[]", '{"name": "a", "name": "b"}'])
    def test_malformed_documents_are_rejected(self, document):
        """A document with a duplicate field is malformed too."""
        with pytest.raises(SettingsError):
            check_steering_settings(document)

    def test_a_missing_file_is_reported(self, tmp_path):
        """The message includes the system's error."""
        with pytest.raises(SettingsError, match="cannot read the settings file"):
            read_steering_settings(str(tmp_path / "none.json"))
