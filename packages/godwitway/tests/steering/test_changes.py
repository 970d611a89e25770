"""Tests of the changes that hosts send each other."""

import json
import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import build_difference, build_replica

from godwitway.steering._changes import (
    MAX_DECODED_BYTES,
    PUSH,
    PUSH_BYTES,
    decode_difference,
    decode_push,
    encode_difference,
    encode_push,
)
from godwitway.steering._replica import Difference
from godwitway.store import KeyValue


class TestCodec:
    """The form of changes."""

    def test_changes_survive_the_wire(self):
        """Values are bytes."""
        decoded = decode_difference(encode_difference(build_difference()))
        assert (decoded.base_revision, decoded.revision, decoded.is_full) == (4, 9, False)
        assert [(item.key, item.value, item.mod_revision) for item in decoded.items] == [
            ("k/a", b"xxx", 8)
        ]
        assert decoded.deleted == [("k/b", 9)]

    def test_what_does_not_fit_into_a_packet_is_not_pushed(self):
        """Hosts ask for it when they hear of the newer revision."""
        noise = random.Random(1).randbytes(PUSH_BYTES)
        assert encode_push(Difference(4, 9, False, [KeyValue("k/a", noise, 8)], [])) is None
        assert encode_push(build_difference(full=True)) is None
        assert decode_push(encode_push(build_difference())).revision == 9

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"items": 5}', b"\xff"])
    def test_other_bytes_are_an_error(self, body):
        """They change nothing, compressed or not."""
        for sent in (body, zlib.compress(body)):
            with pytest.raises(ValueError, match=r"."):
                decode_difference(sent)

    def test_a_small_datagram_cannot_take_much_memory(self):
        """Anybody may send one."""
        body = zlib.compress(b" " * (MAX_DECODED_BYTES + 1))
        assert len(body) < 20_000
        with pytest.raises(ValueError, match="more than"):
            decode_difference(body)

    def test_a_large_configuration_takes_little_of_a_link(self):
        """A dozen hosts ask the same one for it within a second."""
        routes = [
            {"name": f"route-{number}", "address": f"198.18.{number // 250}.{number % 250}:443"}
            for number in range(1_400)
        ]
        item = KeyValue("config", json.dumps(routes, ensure_ascii=False).encode(), 8)
        body = encode_difference(Difference(4, 9, False, [item], []))
        assert len(body) < len(item.value) / 5
        assert decode_difference(body).items[0].value == item.value

    @given(st.binary(max_size=300))
    def test_values_are_any_bytes(self, value):
        """Not only text."""
        sent = encode_difference(Difference(4, 9, False, [KeyValue("k/a", value, 8)], []))
        assert decode_difference(sent).items[0].value == value

    @given(st.binary(max_size=100))
    def test_hostile_datagrams_raise_nothing_else(self, data):
        """Anybody may send a datagram."""
        if not data.startswith(PUSH):
            assert decode_push(data) is None
        with pytest.raises(ValueError, match=r"."):
            decode_push(PUSH + data)


class TestPush:
    """Changes that come without being asked for."""

    def test_a_gap_is_not_jumped(self):
        """A host that lacks earlier changes asks for all that it lacks."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/b", b"1", 2)], 3)
        assert not replica.apply_difference(build_difference())
        assert replica.revision == 3
        replica.apply_events([], 4)
        assert replica.apply_difference(build_difference())
        assert list(replica.items) == ["k/a"]
