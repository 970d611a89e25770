"""Tests of restoring the platform's stand-in store."""

import asyncio
import random

from godwitway_standins.flows import MetadataServer
from godwitway_standins.flows._store_copies import StoreCopies


def build_copies() -> StoreCopies:
    """Return three copies of a store in which a key was changed, and one key of a host."""
    copies = StoreCopies(MetadataServer(), random.Random(1))
    for value in (b"1", b"2"):
        copies.store.put("op/config", value)
        copies.store.put("hosts/a/x", value)
        copies.copies.append(copies.store.copy())
    copies.store.put("op/config", b"3")
    return copies


class TestRestore:
    """What a restored store has, and what is lost."""

    def test_the_latest_copy_lacks_the_last_change(self):
        """Only writes of operator and targets are told, since only these are written again."""
        copies = build_copies()
        revision = copies.store.revision
        assert copies.restore(0.0) == {"op/config": b"3"}
        assert copies.store.items["op/config"].value == b"2"
        assert (copies.store.era, copies.store.revision) == (2, revision - 1)

    def test_copies_after_the_chosen_one_are_dropped(self):
        """They belong to the history that the store has lost."""
        copies = build_copies()
        copies.restore(0.9)
        assert not copies.store.items
        assert copies.restore(0.0) == {}
        assert not copies.store.items


class TestWriteAgain:
    """What operator and targets write again."""

    def test_lost_values_are_written_unless_there_is_a_newer_one(self):
        """The operator may have changed the configuration meanwhile."""

        async def run(change: bool) -> bytes:
            copies = build_copies()
            lost = copies.restore(0.0)
            writing = asyncio.ensure_future(copies.write_again(lost, lambda key, value: True))
            await asyncio.sleep(0)
            if change:
                copies.store.put("op/config", b"4")
            await writing
            return copies.store.items["op/config"].value

        assert asyncio.run(run(False)) == b"3"
        assert asyncio.run(run(True)) == b"4"
