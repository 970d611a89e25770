"""Tests of validating the settings of an entry host."""

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


def problem_fields(settings) -> list[str]:
    """Return the fields that are reported for some settings."""
    return [problem.field for problem in check_settings(json.dumps(settings)).unwrap_err()]


class TestCheckSettings:
    """Tests of `check_settings`."""

    def test_accepts_comments(self):
        """Comments and a trailing comma are accepted."""
        document = "// host\n" + json.dumps(VALID)[:-1] + ", /* two */ }"
        assert check_settings(document).unwrap().zone == "a"

    def test_reports_all_errors_at_once(self):
        """All wrong fields are reported together."""
        wrong = VALID | {"door": "10.0.0.1", "keys": ["zz"], "zonne": "b", "stop_bound_s": -1}
        assert set(problem_fields(wrong)) == {"door", "keys[0]", "zonne", "stop_bound_s"}

    def test_api_beyond_loopback_needs_protection(self):
        """An API address beyond loopback requires a token and TLS."""
        wrong = VALID | {"api": {"address": "10.0.0.1:4003"}}
        assert problem_fields(wrong) == ["api.token", "api.certificate"]

    def test_never_repeats_a_key(self):
        """A key of a wrong length is reported without the key."""
        secret = "00ff" * 3
        problems = check_settings(json.dumps(VALID | {"keys": [secret]})).unwrap_err()
        assert secret not in str(problems)

    def test_not_json(self):
        """A document that is not JSON is reported as such."""
        assert "not JSON" in check_settings("{").unwrap_err()[0].message
