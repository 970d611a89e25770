"""How hosts send each other changes of the store."""

import binascii
import json

from godwitway.steering._replica import Difference
from godwitway.store import KeyValue

__all__ = ["decode_difference", "decode_push", "encode_difference", "encode_push"]

PUSH = b"gwC1"
PUSH_BYTES = 1_200  # What fits into one packet; hosts ask for larger changes.


def encode_push(difference: Difference) -> bytes | None:
    """Return the datagram of some changes, or None when they do not fit into one."""
    datagram = PUSH + encode_difference(difference)
    return None if difference.full or len(datagram) > PUSH_BYTES else datagram


def decode_push(datagram: bytes) -> Difference | None:
    """Return the changes of a datagram, or None when it has none; raises ValueError."""
    return decode_difference(datagram[len(PUSH) :]) if datagram.startswith(PUSH) else None


def encode_difference(difference: Difference) -> bytes:
    """Return what another host lacks, as JSON."""
    items = [
        (item.key, binascii.b2a_base64(item.value, newline=False).decode(), item.mod_revision)
        for item in difference.items
    ]
    return json.dumps(
        {
            "base": difference.base,
            "revision": difference.revision,
            "full": difference.full,
            "items": items,
            "deleted": difference.deleted,
        }
    ).encode()


def decode_difference(body: bytes) -> Difference:
    """Return what another host sent; raises ValueError when it cannot be read."""
    try:
        document = json.loads(body)
        items = [
            KeyValue(str(key), binascii.a2b_base64(value), int(revision))
            for key, value, revision in document["items"]
        ]
        deleted = [(str(key), int(revision)) for key, revision in document["deleted"]]
        base, revision = int(document["base"]), int(document["revision"])
        return Difference(base, revision, bool(document["full"]), items, deleted)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(f"not a list of changes: {error!r}") from error
