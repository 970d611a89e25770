"""The encoding of store changes that hosts send each other: compressed JSON.

A configuration of 1,400 routes is a quarter of a megabyte, and a host's link may carry one
megabyte a second for all the hosts that fetch from it.
"""

import json
import zlib

from godwitway.steering._replica import Difference
from godwitway.store import KeyValue, StorePosition

__all__ = ["decode_difference", "decode_push", "encode_difference", "encode_push"]

PUSH_MAGIC = b"gwC3"
MAX_PUSH_BYTES = 1_200  # Fits into one packet; hosts fetch larger changes.
COMPRESSION_LEVEL = 1  # 2 ms for a quarter of a megabyte; higher levels cost more than they save.
MAX_DECODED_BYTES = 16_777_216  # A listing with 60,000 targets; bounds what a datagram can cost.
MAX_REVISION = (1 << 63) - 1  # Reports carry revisions in 64 bits.
MAX_ERA = (1 << 32) - 1  # Reports carry eras in 32 bits.
BYTES_ENCODING = "latin-1"  # Maps every byte to one character, and leaves ASCII text readable.


def encode_push(difference: Difference) -> bytes | None:
    """Return a difference as a datagram.

    Returns:
        The datagram, or None if the difference is full or larger than `MAX_PUSH_BYTES`.
    """
    datagram = PUSH_MAGIC + encode_difference(difference)
    return None if difference.is_full or len(datagram) > MAX_PUSH_BYTES else datagram


def decode_push(datagram: bytes) -> Difference | None:
    """Return the difference in a datagram.

    Returns:
        The difference, or None if the datagram does not begin with `PUSH_MAGIC`.

    Raises:
        ValueError: The rest of the datagram is not an encoded difference.
    """
    return (
        decode_difference(datagram[len(PUSH_MAGIC) :]) if datagram.startswith(PUSH_MAGIC) else None
    )


def encode_difference(difference: Difference) -> bytes:
    """Return a difference as compressed JSON."""
    items = [
        (item.key, item.value.decode(BYTES_ENCODING), item.mod_revision)
        for item in difference.items
    ]
    document = json.dumps(
        {
            "base": difference.base,
            "position": difference.position,
            "full": difference.is_full,
            "items": items,
            "deleted": difference.deleted,
            "kept": difference.unchanged_keys,
        }
    )
    return zlib.compress(document.encode(), COMPRESSION_LEVEL)


def decompress(body: bytes) -> bytes:
    """Decompress a body; raises ValueError if the result exceeds `MAX_DECODED_BYTES`."""
    stream = zlib.decompressobj()
    document = stream.decompress(body, MAX_DECODED_BYTES)
    if stream.unconsumed_tail:
        raise ValueError(f"a list of changes has more than {MAX_DECODED_BYTES} bytes")
    return document


def decode_difference(body: bytes) -> Difference:
    """Return the difference that another host encoded.

    Raises:
        ValueError: The body is not compressed JSON of the expected form, or is too large.
    """
    try:
        document = json.loads(decompress(body))
        items = [
            KeyValue(str(key), value.encode(BYTES_ENCODING), check_revision(revision))
            for key, value, revision in document["items"]
        ]
        deleted = [(str(key), check_revision(revision)) for key, revision in document["deleted"]]
        return Difference(
            decode_position(document["base"]),
            decode_position(document["position"]),
            bool(document["full"]),
            items,
            deleted,
            [str(key) for key in document["kept"]],
        )
    except (KeyError, TypeError, AttributeError, RecursionError, zlib.error) as error:
        raise ValueError(f"not a list of changes: {error!r}") from error


def decode_position(value: list[object]) -> StorePosition:
    """Return a position of the store from its era and revision.

    Raises:
        TypeError: The value is not a list.
        ValueError: It has not two numbers in their ranges.
    """
    era, revision = value
    if not isinstance(era, int) or not 0 <= era <= MAX_ERA:
        raise ValueError(f"not an era: {era!r:.40}")
    return StorePosition(era, check_revision(revision))


def check_revision(value: object) -> int:
    """Return a revision of the store; raises ValueError unless it is an integer in its range."""
    if not isinstance(value, int) or not 0 <= value <= MAX_REVISION:
        raise ValueError(f"not a revision: {value!r:.40}")
    return value
