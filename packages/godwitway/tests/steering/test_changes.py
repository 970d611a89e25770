"""Tests of the changes that hosts send each other."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import build_replica

from godwitway.steering._changes import (
    PUSH,
    PUSH_BYTES,
    decode_difference,
    decode_push,
    encode_difference,
    encode_push,
)
from godwitway.steering._replica import Difference
from godwitway.store import KeyValue


def build_difference(size: int = 3, full: bool = False) -> Difference:
    """Return a difference with one item and one deletion."""
    return Difference(4, 9, full, [KeyValue("k/a", b"x" * size, 8)], [("k/b", 9)])


class TestCodec:
    """The form of changes."""

    def test_changes_survive_the_wire(self):
        """Values are bytes."""
        decoded = decode_difference(encode_difference(build_difference()))
        assert (decoded.base, decoded.revision, decoded.full) == (4, 9, False)
        assert [(item.key, item.value, item.mod_revision) for item in decoded.items] == [
            ("k/a", b"xxx", 8)
        ]
        assert decoded.deleted == [("k/b", 9)]

    def test_what_does_not_fit_into_a_packet_is_not_pushed(self):
        """Hosts ask for it when they hear of the newer revision."""
        assert encode_push(build_difference(size=PUSH_BYTES)) is None
        assert encode_push(build_difference(full=True)) is None
        assert decode_push(encode_push(build_difference())).revision == 9

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"items": 5}', b"\xff"])
    def test_other_bytes_are_an_error(self, body):
        """They change nothing."""
        with pytest.raises(ValueError, match=r"."):
            decode_difference(body)

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
        assert not replica.apply(build_difference())
        assert replica.revision == 3
        replica.apply_events([], 4)
        assert replica.apply(build_difference())
        assert list(replica.items) == ["k/a"]
