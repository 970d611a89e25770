"""Tests of following the store."""

import asyncio
import random

import pytest
from steering_builders import FakeClock, build_replica

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._feed import PACE_S, Feed
from godwitway.store import Changes, CompactedError, KeyValue, RangeResult, WatchEvent


class ScriptedStore:
    """A store whose answers a test sets; a watch fails when there is no answer."""

    def __init__(self) -> None:
        self.listing = RangeResult(9, [KeyValue("k/a", b"1", 3)])
        self.answers: list[Changes] = []

    async def range(self, prefix):
        """Return all keys."""
        return self.listing

    async def changes(self, prefix, revision, wait_s):
        """Return the next answer."""
        if not self.answers:
            raise CompactedError("history is gone")
        return self.answers.pop(0)


class FeedWorld:
    """A feed with a scripted store.

    Attributes:
        watching: Whether the host is chosen to watch.
        told: What other hosts were told.
    """

    def __init__(self) -> None:
        self.watching = True
        self.told = []
        self.store = ScriptedStore()
        self.replica, _ = build_replica()
        self.feed = Feed(
            self.store,
            self.replica,
            lambda: self.watching,
            lambda reached: None,
            self.told.append,
            random.Random(1),
            Metrics(),
            Journal("host-1", FakeClock().now, lambda line: None, bytes.hex),
        )


class TestWatching:
    """What a watching host passes on."""

    def test_a_host_that_begins_to_watch_vouches_for_its_list(self):
        """Others may have keys that were deleted before the list."""
        world = FeedWorld()
        world.replica.apply_listing(world.store.listing.items, 9)
        assert world.replica.advertised_revision == 3
        assert world.feed.elected()
        assert world.replica.advertised_revision == 9

    def test_a_host_that_does_not_watch_does_not_vouch(self):
        """Each start of a host would make all others ask it."""
        world = FeedWorld()
        world.watching = False
        world.replica.apply_listing(world.store.listing.items, 9)
        assert not world.feed.elected()
        assert world.replica.advertised_revision == 3

    def test_a_list_after_lost_history_is_vouched_for(self):
        """What was deleted in between does not show in it."""
        world = FeedWorld()
        world.replica.apply_listing(world.store.listing.items, 9)
        with pytest.raises(CompactedError):
            asyncio.run(world.feed.step())
        world.feed.relist = True
        world.store.listing = RangeResult(20, [KeyValue("k/a", b"1", 3)])
        assert asyncio.run(world.feed.step())
        assert (world.replica.advertised_revision, world.feed.relist) == (20, False)

    def test_changes_are_passed_on(self):
        """Others do not wait for the next report."""
        world = FeedWorld()
        assert world.feed.elected()
        world.replica.apply_listing(world.store.listing.items, 9)
        world.store.answers = [Changes(10, [WatchEvent("k/b", b"2", 10)])]
        assert asyncio.run(world.feed.step())
        assert [(told.base_revision, told.revision) for told in world.told] == [(9, 10)]

    def test_a_host_that_no_other_can_tell_asks_the_store_once(self):
        """The link of the host that it asked may be too slow for the changes."""
        world = FeedWorld()
        world.watching = False
        world.replica.apply_listing(world.store.listing.items, 9)
        world.store.answers = [
            Changes(10, [WatchEvent("k/b", b"2", 10)]),
            Changes(11, [WatchEvent("k/c", b"2", 11)]),
        ]
        world.feed.ask_once()

        async def follow():
            task = asyncio.ensure_future(world.feed.run())
            while world.replica.revision < 10:
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * PACE_S)
            task.cancel()

        asyncio.run(asyncio.wait_for(follow(), 30.0))
        assert world.replica.revision == 10
        assert not world.told
