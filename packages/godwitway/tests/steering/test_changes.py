"""Tests of the encoding of store changes that hosts send each other."""

import json
import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import at, build_difference, build_replica

from godwitway.steering._changes import (
    MAX_DECODED_BYTES,
    MAX_PUSH_BYTES,
    PUSH_MAGIC,
    decode_difference,
    decode_push,
    encode_difference,
    encode_push,
)
from godwitway.steering._replica import Difference
from godwitway.store import KeyValue


class TestCodec:
    """Encoding and decoding."""

    def test_a_decoded_difference_equals_the_encoded_one(self):
        """All its fields are encoded."""
        decoded = decode_difference(encode_difference(build_difference()))
        assert (decoded.base, decoded.position, decoded.is_full) == (at(4), at(9), False)
        assert [(item.key, item.value, item.mod_revision) for item in decoded.items] == [
            ("k/a", b"xxx", 8)
        ]
        assert decoded.deleted == [("k/b", 9)]

    def test_a_difference_that_exceeds_a_packet_is_not_pushed(self):
        """Hosts fetch it after a report with the newer revision."""
        noise = random.Random(1).randbytes(MAX_PUSH_BYTES)
        assert encode_push(Difference(at(4), at(9), False, [KeyValue("k/a", noise, 8)], [])) is None
        assert encode_push(build_difference(full=True)) is None
        assert decode_push(encode_push(build_difference())).position == at(9)

    @pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"items": 5}', b"\xff"])
    def test_malformed_bodies_are_rejected(self, body):
        """This applies to compressed and to plain bodies."""
        for sent in (body, zlib.compress(body)):
            with pytest.raises(ValueError, match=r"."):
                decode_difference(sent)

    def test_a_small_datagram_cannot_use_much_memory(self):
        """Any program may send compressed data that expands to a large size."""
        body = zlib.compress(b" " * (MAX_DECODED_BYTES + 1))
        assert len(body) < 20_000
        with pytest.raises(ValueError, match="more than"):
            decode_difference(body)

    def test_a_large_configuration_is_compressed_well(self):
        """A dozen hosts may fetch it from the same host within a second."""
        routes = [
            {"name": f"route-{number}", "address": f"198.18.{number // 250}.{number % 250}:443"}
            for number in range(1_400)
        ]
        item = KeyValue("config", json.dumps(routes, ensure_ascii=False).encode(), 8)
        body = encode_difference(Difference(at(4), at(9), False, [item], []))
        assert len(body) < len(item.value) / 5
        assert decode_difference(body).items[0].value == item.value

    @given(st.binary(max_size=300))
    def test_values_may_be_any_bytes(self, value):
        """JSON itself holds text only."""
        sent = encode_difference(Difference(at(4), at(9), False, [KeyValue("k/a", value, 8)], []))
        assert decode_difference(sent).items[0].value == value

    @given(st.binary(max_size=100))
    def test_malformed_pushes_raise_value_errors_only(self, data):
        """Any program may send a datagram."""
        if not data.startswith(PUSH_MAGIC):
            assert decode_push(data) is None
        with pytest.raises(ValueError, match=r"."):
            decode_push(PUSH_MAGIC + data)

    @pytest.mark.parametrize("revision", ["Infinity", "1e400", str(1 << 64)])
    def test_a_revision_outside_64_bits_is_malformed(self, revision):
        """A host that took it over would ignore the store, and could not send reports."""
        document = f'{{"base": [1, 0], "position": [1, {revision}], "full": false, "items": [], '
        document += '"deleted": [], "kept": []}'
        with pytest.raises(ValueError, match="not a revision"):
            decode_difference(zlib.compress(document.encode()))

    @pytest.mark.parametrize("era", ["-1", '"1"', str(1 << 32)])
    def test_an_era_outside_32_bits_is_malformed(self, era):
        """A host that took it over would ignore the store, and could not send reports."""
        document = f'{{"base": [1, 0], "position": [{era}, 4], "full": false, "items": [], '
        document += '"deleted": [], "kept": []}'
        with pytest.raises(ValueError, match="not an era"):
            decode_difference(zlib.compress(document.encode()))


class TestPush:
    """Changes that a host receives without a request."""

    def test_a_push_after_a_gap_is_ignored(self):
        """A host that lacks earlier changes fetches all of them instead."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/b", b"1", 2)], at(3))
        assert not replica.apply_difference(build_difference())
        assert replica.position == at(3)
        replica.apply_events([], at(4))
        assert replica.apply_difference(build_difference())
        assert list(replica.items) == ["k/a"]
