"""Checking the settings of a host."""

import json

from godwitway.process import check_settings

VALID = {
    "name": "entry-1",
    "zone": "a",
    "door": "10.0.0.1:4000",
    "peer": "10.0.0.1:4001",
    "control": "10.0.0.1:4002",
    "api": {"address": "127.0.0.1:4003"},
    "fabric": ["10.0.0.9:4100"],
    "keys": ["00112233445566778899aabbccddeeff"],
}


def fields_of(settings) -> list[str]:
    """Return the fields with problems."""
    return [problem.field for problem in check_settings(json.dumps(settings)).unwrap_err()]


class TestCheckSettings:
    """Tests of `check_settings`."""

    def test_accepts_comments(self):
        """Comments and trailing commas are allowed."""
        document = "// host\n" + json.dumps(VALID)[:-1] + ", /* two */ }"
        assert check_settings(document).unwrap().zone == "a"

    def test_reports_all_errors_at_once(self):
        """Every wrong field is named in one answer."""
        wrong = VALID | {"door": "10.0.0.1", "keys": ["zz"], "zonne": "b", "stop_bound_s": -1}
        assert set(fields_of(wrong)) == {"door", "keys[0]", "zonne", "stop_bound_s"}

    def test_api_beyond_loopback_needs_protection(self):
        """The API listens beyond loopback only with a token and TLS."""
        wrong = VALID | {"api": {"address": "10.0.0.1:4003"}}
        assert fields_of(wrong) == ["api.token", "api.certificate"]

    def test_never_repeats_a_key(self):
        """An error about a key does not show the key."""
        secret = "00ff" * 3
        problems = check_settings(json.dumps(VALID | {"keys": [secret]})).unwrap_err()
        assert secret not in str(problems)

    def test_not_json(self):
        """Text that is no JSON is one clear error."""
        assert "not JSON" in check_settings("{").unwrap_err()[0].message
