"""Tests of the copy of the store's keys."""

from hypothesis import given
from hypothesis import strategies as st

from godwitway.steering._replica import Replica
from godwitway.store import KeyValue, WatchEvent


def build_replica() -> tuple[Replica, list]:
    """Return a replica and the changes that it passes on."""
    changes = []
    return Replica("k/", lambda key, value, revision: changes.append((key, value))), changes


class TestListing:
    """Complete lists of keys."""

    def test_a_listing_replaces_the_copy(self):
        """Keys that it lacks are gone."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], 5)
        replica.apply_listing([KeyValue("k/b", b"2", 6)], 7)
        assert changes == [("k/a", b"1"), ("k/b", b"1"), ("k/a", None), ("k/b", b"2")]
        assert (replica.revision, replica.newest) == (7, 6)

    def test_an_older_listing_is_ignored(self):
        """A stale peer must not revert anything."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], 7)
        assert not replica.apply_listing([KeyValue("k/a", b"1", 3)], 5)
        assert replica.items["k/a"].value == b"2"

    def test_other_prefixes_are_left_out(self):
        """One listing of the whole store serves several replicas."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("x/a", b"1", 3)], 5)
        assert not changes


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
        assert replica.newest == 9


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
