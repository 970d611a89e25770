"""Tests of revisions that go on to rise after the stand-in store was restored from a copy."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from godwitway.journal import Journal
from godwitway.process import CompactedError, Compare, Get, LoopClock, Put, StoreError
from godwitway.process._renumbering import OFFSET_KEY, RenumberedStore

from godwitway_standins._store import MemoryStore
from godwitway_standins._virtual import run_virtual

KEY = "/godwitway/config/services/a"


class Stores:
    """One store, and the view of it that each of two hosts has.

    Attributes:
        memory: The store.
        views: The views of the hosts.
        learned_revision: What the hosts have learned from others.
        lines: The log lines of both hosts.
    """

    def __init__(self) -> None:
        self.lines: list[dict[str, object]] = []
        self.learned_revision = 0
        self.memory = MemoryStore(LoopClock(), random.Random(1))
        self.views = [
            RenumberedStore(
                self.memory,
                lambda: self.learned_revision,
                Journal("host", lambda: 0.0, self.lines.append, repr, 1_000),
            )
            for _ in range(2)
        ]

    async def lose_writes(self, count: int = 5) -> int:
        """Write a key, and restore the store from before; returns the last lost revision."""
        copy = self.memory.copy()
        for _ in range(count):
            self.memory.put_now(KEY, b"lost")
        for view in self.views:
            await view.range("/")
        self.memory.restore(copy)
        return self.views[0].newest_revision


def play(scenario: Callable[[Stores], Awaitable[None]]) -> None:
    """Run a scenario on virtual time."""

    async def run() -> None:
        await scenario(Stores())

    run_virtual(run())


class TestRestore:
    """Calls of a store that was restored."""

    def test_revisions_stay_as_they_are_without_a_restore(self):
        """No further calls are made."""

        async def scenario(stores):
            stores.memory.put_now(KEY, b"1")
            view = stores.views[0]
            result = await view.range("/")
            assert (result.revision, view.offset) == (stores.memory.revision, 0)
            assert stores.memory.calls == {"range": 1}

        play(scenario)

    def test_each_call_after_the_restore_has_a_higher_revision_than_any_before(self):
        """Two hosts may notice the restore at the same time."""

        async def scenario(stores):
            lost = await stores.lose_writes()
            results = await asyncio.gather(*(view.range("/") for view in stores.views))
            assert all(result.revision > lost for result in results)
            assert len({view.offset for view in stores.views}) == 1
            raised = [line for line in stores.lines if line["event"] == "store_went_back"]
            assert len(raised) == 1

        play(scenario)

    def test_a_host_that_was_away_learns_the_offset(self):
        """Another host has raised it."""

        async def scenario(stores):
            lost = await stores.lose_writes()
            first, second = stores.views
            await first.range("/")
            written = await second.txn([Compare(KEY, 0)], [Put(KEY, b"1")], [])
            assert written.succeeded
            assert written.revision > lost
            assert (await first.range("/")).revision == written.revision

        play(scenario)

    @pytest.mark.parametrize("compares", [[], [Compare(KEY, 0)]])
    def test_a_host_that_knows_lost_revisions_only_from_others_notices_the_restore(self, compares):
        """Its first call after the restore is a write, which comes into force with the offset."""

        async def scenario(stores):
            stores.learned_revision = 10
            view = stores.views[0]
            written = await view.txn(compares, [Put(KEY, b"1")], [])
            assert written.succeeded
            assert written.revision > stores.learned_revision
            listed = await view.range("/")
            assert listed.revision == written.revision

        play(scenario)

    @pytest.mark.parametrize("value", [b"", b"-1", b"x", b"\xff"])
    def test_an_invalid_offset_is_an_error_of_the_store(self, value):
        """Hosts try again after such an error; another one would end the job."""

        async def scenario(stores):
            stores.memory.put_now(OFFSET_KEY, value)
            with pytest.raises(StoreError, match="revision-offset"):
                await stores.views[0].range("/")

        play(scenario)


class TestTransactions:
    """Conditions on revisions."""

    def test_a_condition_on_a_lost_revision_does_not_hold(self):
        """The store may give it out again."""

        async def scenario(stores):
            lost = await stores.lose_writes()
            view = stores.views[0]
            await view.range("/")
            while stores.memory.put_now(KEY, b"2") < lost:
                pass
            result = await view.txn([Compare(KEY, lost)], [Put(KEY, b"3")], [Get(KEY)])
            assert not result.succeeded
            assert [item.value for item in result.found] == [b"2"]

        play(scenario)

    def test_a_condition_on_a_lost_revision_is_not_one_on_an_absent_key(self):
        """Without the offset it would stand for a revision of 0 or less."""

        async def scenario(stores):
            lost = await stores.lose_writes()
            view = stores.views[0]
            await view.range("/")
            result = await view.txn([Compare(KEY, view.offset)], [Put(KEY, b"3")], [])
            assert view.offset < lost
            assert not result.succeeded

        play(scenario)

    def test_a_transaction_returns_no_offset(self):
        """It reads the offset besides what the caller wants."""

        async def scenario(stores):
            await stores.lose_writes()
            view = stores.views[0]
            await view.range("/")
            result = await view.txn([], [Get(KEY)], [])
            assert OFFSET_KEY not in [item.key for item in result.found]

        play(scenario)


class TestWatches:
    """Watches of a store that was restored."""

    def test_a_watch_ends_when_the_offset_changes(self):
        """The revisions that its caller has are outdated."""

        async def scenario(stores):
            await stores.lose_writes()
            first, second = stores.views
            watch = second.watch("/", 1)
            await first.range("/")
            with pytest.raises(CompactedError):
                async for _ in watch:
                    pass

        play(scenario)

    def test_events_have_the_revisions_of_other_calls(self):
        """Otherwise hosts would put them in another order."""

        async def scenario(stores):
            await stores.lose_writes()
            view = stores.views[0]
            listed = await view.range("/")
            watch = view.watch("/", listed.revision + 1)
            written = await view.txn([], [Put(KEY, b"1")], [])
            events = await anext(watch)
            assert [event.mod_revision for event in events] == [written.revision]

        play(scenario)
