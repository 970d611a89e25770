"""Tests of the copy of the store's keys."""

from hypothesis import given
from hypothesis import strategies as st
from steering_builders import build_replica

from godwitway.store import KeyValue, WatchEvent


class TestListing:
    """Complete lists of keys."""

    def test_a_listing_replaces_the_copy(self):
        """Keys that it lacks are gone."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], 5)
        replica.apply_listing([KeyValue("k/b", b"2", 6)], 7)
        assert changes == [("k/a", b"1"), ("k/b", b"1"), ("k/a", None), ("k/b", b"2")]
        assert (replica.revision, replica.advertised_revision) == (7, 7)

    def test_an_older_listing_is_ignored(self):
        """A stale peer must not revert anything."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], 7)
        assert not replica.apply_listing([KeyValue("k/a", b"1", 3)], 5)
        assert replica.items["k/a"].value == b"2"

    def test_changes_under_other_prefixes_are_not_the_newest(self):
        """Other hosts need not hear of them at once."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("x/a", b"1", 4)], 5)
        assert len(changes) == 2
        assert replica.advertised_revision == 3


class TestEvents:
    """Changes after a list."""

    def test_events_that_are_known_are_skipped(self):
        """A watch may repeat what a listing had."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], 7)
        replica.apply_events([WatchEvent("k/a", b"1", 5), WatchEvent("k/a", None, 7)], 8)
        assert replica.items["k/a"].value == b"2"
        assert replica.revision == 8

    def test_deletions_raise_the_newest_revision(self):
        """Other hosts see that this one knows of them."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], 7)
        replica.apply_events([WatchEvent("k/a", None, 9)], 9)
        assert changes[-1] == ("k/a", None)
        assert replica.advertised_revision == 9


HISTORY = st.lists(
    st.tuples(st.sampled_from(["k/a", "k/b", "k/c"]), st.one_of(st.none(), st.binary(max_size=2))),
    max_size=20,
)


class TestConvergence:
    """Any order of sources."""

    @given(HISTORY, st.data())
    def test_any_mix_of_listings_and_events_converges_and_never_reverts(self, history, data):
        """Replayed, repeated and stale sources lead to the store's state, and never back."""
        states, state, events = [{}], {}, []
        for revision, (key, value) in enumerate(history, start=1):
            state = dict(state)
            if value is None:
                state.pop(key, None)
            else:
                state[key] = (value, revision)
            states.append(state)
            events.append(WatchEvent(key, value, revision))
        replica, _ = build_replica()
        replica.apply_listing([], 0)
        seen = 0
        for _ in range(data.draw(st.integers(0, 8))):
            at = data.draw(st.integers(0, len(history)))
            if data.draw(st.booleans()):
                items = [KeyValue(key, *item) for key, item in states[at].items()]
                replica.apply_listing(items, at)
                seen = max(seen, at)
            elif at >= replica.revision:
                start = data.draw(st.integers(0, min(at, replica.revision)))
                replica.apply_events(events[start:at], at)
                seen = max(seen, at)
            assert replica.revision == seen
        replica.apply_events(events[replica.revision :], len(history))
        assert {k: (i.value, i.mod_revision) for k, i in replica.items.items()} == states[-1]


class TestDifference:
    """What one host sends another one."""

    def test_a_copy_that_is_a_little_behind_gets_the_changes(self):
        """Deletions are among them."""
        ahead, _ = build_replica()
        behind, _ = build_replica()
        for replica in (ahead, behind):
            replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], 5)
        ahead.apply_events([WatchEvent("k/a", None, 6), WatchEvent("k/c", b"1", 7)], 7)
        difference = ahead.difference_since(behind.revision)
        assert not difference.is_full
        assert behind.apply_difference(difference)
        assert sorted(behind.items) == ["k/b", "k/c"]
        assert (behind.revision, behind.advertised_revision) == (7, 7)
        assert not behind.apply_difference(difference)

    def test_a_copy_from_before_the_known_deletions_gets_the_names_of_all_keys(self):
        """It could keep a key that is gone; values that it has are not sent again."""
        ahead, _ = build_replica()
        ahead.apply_listing([KeyValue("k/b", b"1", 4), KeyValue("k/c", b"2", 8)], 9)
        behind, changes = build_replica()
        behind.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], 5)
        changes.clear()
        difference = ahead.difference_since(behind.revision)
        assert difference.is_full
        assert ([item.key for item in difference.items], difference.unchanged_keys) == (
            ["k/c"],
            ["k/b"],
        )
        assert behind.apply_difference(difference)
        assert changes == [("k/a", None), ("k/c", b"2")]
        assert behind.revision == 9

    def test_a_copy_that_lacks_a_key_that_it_should_have_is_read_anew(self):
        """It would else ask in vain for ever."""
        ahead, _ = build_replica()
        ahead.apply_listing([KeyValue("k/b", b"1", 4)], 9)
        behind, _ = build_replica()
        behind.apply_listing([], 5)
        assert not behind.apply_difference(ahead.difference_since(5))
        assert not behind.has_listing
        assert behind.apply_difference(ahead.difference_since(0))
        assert list(behind.items) == ["k/b"]

    @given(HISTORY, st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=12))
    def test_hosts_that_ask_each_other_never_revert_and_end_alike(self, history, asks):
        """Three copies; one watches, and any of them asks any other in any order."""
        replicas = [build_replica()[0] for _ in range(3)]
        for replica in replicas:
            replica.apply_listing([], 1)
        state: dict[str, bytes] = {}
        pending = list(asks)
        for revision, (key, value) in enumerate(history, start=2):
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
            replicas[0].apply_events([WatchEvent(key, value, revision)], revision)
            if pending:
                asking, asked = pending.pop()
                before = replicas[asking].revision
                replicas[asking].apply_difference(replicas[asked].difference_since(before))
                assert replicas[asking].revision >= before
        for asking in (1, 2):
            replicas[asking].apply_difference(
                replicas[0].difference_since(replicas[asking].revision)
            )
            items = {key: item.value for key, item in replicas[asking].items.items()}
            assert items == state

    def test_a_deletion_of_an_unknown_key_is_passed_on(self):
        """A key that came and went between two asks may be known elsewhere."""
        replica, changes = build_replica()
        replica.apply_listing([], 5)
        replica.apply_events([WatchEvent("k/a", None, 7)], 7)
        assert not changes
        assert replica.advertised_revision == 7
        assert replica.difference_since(6).deleted == [("k/a", 7)]
