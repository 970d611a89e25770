"""Tests of listing and watching the store."""

import asyncio
import random
import time

import pytest
from steering_builders import FakeClock, at, build_replica

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._feed import (
    COALESCE_S,
    FIRST_WATCH_WAIT_S,
    WATCH_WAIT_S,
    StoreFeed,
)
from godwitway.store import (
    Changes,
    CompactedError,
    KeyValue,
    RangeResult,
    StoreError,
    UnusableResponseError,
    WatchEvent,
)


class ScriptedStore:
    """A store with scripted answers; a watch without an answer left fails as compacted.

    Attributes:
        listing: The answer to each call for a listing.
        answers: The answers to the next watch calls; an error is raised.
        calls: The names of the calls.
    """

    def __init__(self) -> None:
        self.listing = RangeResult(9, [KeyValue("k/a", b"1", 3)], 1)
        self.answers: list[Changes | StoreError] = []
        self.calls = []

    async def range(self, prefix):
        """Return the scripted listing."""
        self.calls.append("range")
        return self.listing

    async def changes(self, prefix, revision, wait_s):
        """Return the next answer."""
        self.calls.append("changes")
        if not self.answers:
            raise CompactedError("history is gone")
        answer = self.answers.pop(0)
        if isinstance(answer, StoreError):
            raise answer
        return answer


class FeedHarness:
    """A feed with a scripted store.

    Attributes:
        is_elected: Whether the host is elected to watch the store.
        pushed: The differences that were pushed to other hosts.
    """

    def __init__(self) -> None:
        self.is_elected = True
        self.pushed = []
        self.store = ScriptedStore()
        self.replica, _ = build_replica()
        self.feed = StoreFeed(
            self.store,
            self.replica,
            lambda: self.is_elected,
            lambda answered: None,
            self.pushed.append,
            random.Random(1),
            Metrics(),
            Journal("host-1", FakeClock().now, lambda line: None, bytes.hex),
        )


def run_feed_until(harness: FeedHarness, is_done) -> None:
    """Run the feed's job until a condition holds."""

    async def run() -> None:
        task = asyncio.ensure_future(harness.feed.run())
        while not is_done():
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(asyncio.wait_for(run(), 30.0))


class TestWatching:
    """What a watching host advertises and pushes to the others."""

    def test_a_newly_elected_host_advertises_the_deletions_before_its_listing(self):
        """Other hosts may have keys that were deleted before the listing."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        assert harness.replica.advertised_position == at(3)
        assert harness.feed.update_election()
        assert harness.replica.advertised_position == at(9)

    def test_a_host_that_is_not_elected_does_not_advertise_them(self):
        """Otherwise each start of a host would make all others fetch from it."""
        harness = FeedHarness()
        harness.is_elected = False
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        assert not harness.feed.update_election()
        assert harness.replica.advertised_position == at(3)

    def test_deletions_before_a_listing_after_compaction_are_advertised(self):
        """The listing does not show what was deleted since the lost history."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        with pytest.raises(CompactedError):
            asyncio.run(harness.feed.poll_store())
        harness.feed.needs_listing = True
        harness.store.listing = RangeResult(20, [KeyValue("k/a", b"1", 3)], 1)
        assert asyncio.run(harness.feed.poll_store())
        assert (harness.replica.advertised_position, harness.feed.needs_listing) == (at(20), False)

    def test_changes_are_pushed_to_other_hosts(self):
        """They need not wait for the next report."""
        harness = FeedHarness()
        assert harness.feed.update_election()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        harness.store.answers = [Changes(at(10), [WatchEvent("k/b", b"2", 10)])]
        assert asyncio.run(harness.feed.poll_store())
        assert [(pushed.base, pushed.position) for pushed in harness.pushed] == [(at(9), at(10))]

    def test_a_watch_that_is_answered_in_a_later_era_leads_to_a_listing(self):
        """The changes after the watched revision are not those that the host lacks."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        harness.store.answers = [Changes(at(10, era=2), [WatchEvent("k/b", b"2", 10)])]
        with pytest.raises(CompactedError):
            asyncio.run(harness.feed.poll_store())
        assert list(harness.replica.items) == ["k/a"]
        assert not harness.pushed

    def test_a_watch_that_began_before_another_host_sent_the_restored_content_is_ignored(self):
        """Between the position that the host has now and the watched one, changes are missing."""
        harness = FeedHarness()
        harness.replica.apply_listing([], at(4, era=2))
        with pytest.raises(StoreError):
            harness.feed.apply_changes(at(9), Changes(at(10, era=2), [WatchEvent("k/b", b"2", 10)]))
        assert harness.replica.position == at(4, era=2)

    def test_an_answer_from_before_a_restore_is_ignored(self):
        """It may arrive late."""
        harness = FeedHarness()
        harness.replica.apply_listing([], at(4, era=2))
        with pytest.raises(StoreError):
            harness.feed.apply_changes(at(4), Changes(at(5), [WatchEvent("k/b", b"2", 5)]))
        assert harness.replica.position == at(4, era=2)

    def test_the_first_watch_after_an_election_is_short(self):
        """The store may give this host no response either, and others have to take over."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        waits = []

        async def changes(prefix, revision, wait_s):
            waits.append(wait_s)
            if len(waits) == 3:
                harness.is_elected = False
            await asyncio.sleep(0.01)
            return Changes(at(9), [])

        harness.store.changes = changes

        async def run_feed():
            task = asyncio.ensure_future(harness.feed.run())
            while harness.is_elected:
                await asyncio.sleep(0.01)
            task.cancel()

        asyncio.run(asyncio.wait_for(run_feed(), 30.0))
        assert waits == [FIRST_WATCH_WAIT_S, WATCH_WAIT_S, WATCH_WAIT_S]

    def test_an_abandoned_watch_says_nothing_about_the_store(self):
        """Its connection may be dead, as after a pause of the process."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        calls = []
        harness.feed.on_store_call = calls.append

        async def changes(prefix, revision, wait_s):
            harness.feed.restart_watch()
            await asyncio.sleep(30.0)

        harness.store.changes = changes
        assert not asyncio.run(harness.feed.poll_store())
        assert calls == []

    def test_a_requested_poll_calls_the_store_once_without_an_election(self):
        """The link of the host that was asked may be too slow for the changes."""
        harness = FeedHarness()
        harness.is_elected = False
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        harness.store.answers = [
            Changes(at(10), [WatchEvent("k/b", b"2", 10)]),
            Changes(at(11), [WatchEvent("k/c", b"2", 11)]),
        ]
        harness.feed.request_poll()

        async def run_feed():
            task = asyncio.ensure_future(harness.feed.run())
            while harness.replica.position < at(10):
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * COALESCE_S)
            task.cancel()

        asyncio.run(asyncio.wait_for(run_feed(), 30.0))
        assert harness.replica.position == at(10)
        assert not harness.pushed


class TestUnusableChanges:
    """Watches whose answer cannot be used, for example because it is too large."""

    @pytest.mark.parametrize("is_elected", [True, False])
    def test_a_listing_replaces_a_watch_that_would_fail_again(self, is_elected):
        """Hosts once repeated such a watch until the store had dropped its history."""
        harness = FeedHarness()
        harness.is_elected = is_elected
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        harness.store.answers = [UnusableResponseError("too large")]
        harness.store.listing = RangeResult(20, [KeyValue("k/a", b"2", 15)], 1)
        harness.feed.request_poll()
        run_feed_until(harness, lambda: harness.replica.position == at(20))
        assert harness.store.calls[:2] == ["changes", "range"]
        assert harness.replica.items["k/a"].value == b"2"
        assert harness.feed.is_connected

    def test_watches_that_are_always_unusable_do_not_flood_the_store(self):
        """Each listing makes all other hosts fetch from this one."""
        harness = FeedHarness()
        harness.replica.apply_listing(harness.store.listing.items, at(9))
        harness.store.answers = [UnusableResponseError("too large")] * 50
        started_at = time.monotonic()
        run_feed_until(harness, lambda: harness.store.calls.count("range") == 4)
        # The first listing comes at once, and the others after 0.2, 0.4 and 0.8 s.
        assert time.monotonic() - started_at > 1.4

    def test_a_listing_that_cannot_be_used_counts_as_a_failed_call(self):
        """Another host may then watch in place of this one."""
        harness = FeedHarness()
        answered = []
        harness.feed.on_store_call = answered.append

        async def fail(prefix):
            raise UnusableResponseError("not JSON")

        harness.store.range = fail
        run_feed_until(harness, lambda: answered)
        assert answered == [False]
