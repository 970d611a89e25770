"""Tests of decoding what the gateway of the store sends."""

from godwitway.process._etcd import encode_base64, parse_key_value


class TestParseKeyValue:
    """Keys and values of the store."""

    def test_a_key_that_is_not_utf_8_is_parsed(self):
        """It must not keep the other keys of a response from being used."""
        raw = {"key": encode_base64(b"/services/\xff"), "value": "eA==", "mod_revision": "7"}
        found = parse_key_value(raw)
        assert (found.key, found.value, found.mod_revision) == ("/services/\\xff", b"x", 7)
