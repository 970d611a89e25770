"""How hosts send each other changes of the store: compressed JSON.

A configuration of 1,400 routes is a quarter of a megabyte, and a host's link may carry one
megabyte a second for all the hosts that ask it.
"""

import json
import zlib

from godwitway.steering._replica import Difference
from godwitway.store import KeyValue

__all__ = ["decode_difference", "decode_push", "encode_difference", "encode_push"]

PUSH = b"gwC2"
PUSH_BYTES = 1_200  # What fits into one packet; hosts ask for larger changes.
LEVEL = 1  # A quarter of a megabyte takes 2 ms; higher levels take longer than they save.
MAX_DECODED_BYTES = 16_777_216  # A snapshot of 60,000 targets; bounds what a datagram can cost.
BYTES_AS_TEXT = "latin-1"  # Keeps every byte, and text as it is.


def encode_push(difference: Difference) -> bytes | None:
    """Return the datagram of some changes, or None when they do not fit into one."""
    datagram = PUSH + encode_difference(difference)
    return None if difference.is_full or len(datagram) > PUSH_BYTES else datagram


def decode_push(datagram: bytes) -> Difference | None:
    """Return the changes of a datagram, or None when it has none; raises ValueError."""
    return decode_difference(datagram[len(PUSH) :]) if datagram.startswith(PUSH) else None


def encode_difference(difference: Difference) -> bytes:
    """Return what another host lacks, as compressed JSON."""
    items = [
        (item.key, item.value.decode(BYTES_AS_TEXT), item.mod_revision) for item in difference.items
    ]
    document = json.dumps(
        {
            "base": difference.base_revision,
            "revision": difference.revision,
            "full": difference.is_full,
            "items": items,
            "deleted": difference.deleted,
            "kept": difference.unchanged_keys,
        }
    )
    return zlib.compress(document.encode(), LEVEL)


def decompress(body: bytes) -> bytes:
    """Return what was compressed; raises ValueError for more than `MAX_DECODED_BYTES`."""
    stream = zlib.decompressobj()
    document = stream.decompress(body, MAX_DECODED_BYTES)
    if stream.unconsumed_tail:
        raise ValueError(f"a list of changes has more than {MAX_DECODED_BYTES} bytes")
    return document


def decode_difference(body: bytes) -> Difference:
    """Return what another host sent; raises ValueError when it cannot be read."""
    try:
        document = json.loads(decompress(body))
        items = [
            KeyValue(str(key), value.encode(BYTES_AS_TEXT), int(revision))
            for key, value, revision in document["items"]
        ]
        deleted = [(str(key), int(revision)) for key, revision in document["deleted"]]
        base, revision = int(document["base"]), int(document["revision"])
        kept = [str(key) for key in document["kept"]]
        return Difference(base, revision, bool(document["full"]), items, deleted, kept)
    except (KeyError, TypeError, AttributeError, RecursionError, zlib.error) as error:
        raise ValueError(f"not a list of changes: {error!r}") from error
