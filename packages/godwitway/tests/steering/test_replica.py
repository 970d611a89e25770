"""Tests of the replica of the store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import at, build_replica

from godwitway.steering._replica import Replica
from godwitway.store import KeyValue, WatchEvent


class TestListing:
    """Applying listings of the store."""

    def test_a_listing_replaces_the_content(self):
        """Keys that it lacks are removed."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], at(5))
        replica.apply_listing([KeyValue("k/b", b"2", 6)], at(7))
        assert changes == [("k/a", b"1"), ("k/b", b"1"), ("k/a", None), ("k/b", b"2")]
        assert (replica.position, replica.advertised_position) == (at(7), at(7))

    def test_an_older_listing_is_ignored(self):
        """A peer with an older replica must not revert changes."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], at(7))
        assert not replica.apply_listing([KeyValue("k/a", b"1", 3)], at(5))
        assert replica.items["k/a"].value == b"2"

    def test_changes_under_other_prefixes_are_not_advertised(self):
        """Other hosts need not fetch them at once."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("x/a", b"1", 4)], at(5))
        assert len(changes) == 2
        assert replica.advertised_position == at(3)


class TestRestore:
    """A store that lost changes and gives their revisions out again."""

    def test_a_listing_of_a_later_era_replaces_changes_with_higher_revisions(self):
        """Keys that were written or changed after the copy are removed or reverted."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6), KeyValue("k/b", b"1", 7)], at(8))
        changes.clear()
        assert replica.apply_listing([KeyValue("k/a", b"1", 3)], at(5, era=2))
        assert changes == [("k/b", None), ("k/a", b"1")]
        assert replica.position == replica.advertised_position == at(5, era=2)

    def test_another_change_with_the_same_revision_is_applied(self):
        """The revision was given out twice."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 6)], at(6))
        replica.apply_listing([KeyValue("k/a", b"2", 6)], at(6, era=2))
        assert changes == [("k/a", b"1"), ("k/a", b"2")]

    def test_unchanged_values_are_not_passed_on_again(self):
        """Durations in a target's entry count from the moment when it is applied."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3)], at(6))
        restores = []
        replica.on_restore = restores.append
        replica.apply_listing([KeyValue("k/a", b"1", 3)], at(4, era=2))
        assert (changes, restores) == ([("k/a", b"1")], [at(4, era=2)])

    def test_what_was_sent_before_the_restore_is_ignored_after_it(self):
        """Hosts learn of a restore at different times."""
        before, _ = build_replica()
        before.apply_listing([KeyValue("k/a", b"2", 6)], at(7))
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3)], at(5, era=2))
        assert not replica.apply_listing([KeyValue("k/a", b"2", 6)], at(7))
        assert not replica.apply_events([WatchEvent("k/a", b"2", 6)], at(7))
        assert not replica.apply_difference(before.difference_since(at(5)))
        assert replica.items["k/a"].value == b"1"

    def test_a_host_that_missed_the_restore_gets_all_values(self):
        """Its revisions say nothing about the changes of the new era."""
        missed, _ = build_replica()
        missed.apply_listing([KeyValue("k/a", b"2", 6), KeyValue("k/b", b"1", 2)], at(7))
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 6), KeyValue("k/b", b"1", 2)], at(9, era=2))
        assert missed.apply_difference(replica.difference_since(missed.position))
        assert missed.items["k/a"].value == b"1"
        assert missed.position == at(9, era=2)

    def test_a_host_that_starts_after_a_restore_does_not_make_others_fetch(self):
        """Its first listing shows nothing that they lack."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3)], at(9, era=2))
        assert replica.advertised_position == at(3, era=2)


class TestEvents:
    """Applying changes after a listing."""

    def test_events_up_to_the_revision_are_skipped(self):
        """A watch may repeat what a listing included."""
        replica, _ = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], at(7))
        replica.apply_events([WatchEvent("k/a", b"1", 5), WatchEvent("k/a", None, 7)], at(8))
        assert replica.items["k/a"].value == b"2"
        assert replica.position == at(8)

    def test_deletions_raise_the_advertised_revision(self):
        """Otherwise other hosts would not fetch them."""
        replica, changes = build_replica()
        replica.apply_listing([KeyValue("k/a", b"2", 6)], at(7))
        replica.apply_events([WatchEvent("k/a", None, 9)], at(9))
        assert changes[-1] == ("k/a", None)
        assert replica.advertised_position == at(9)


HISTORY = st.lists(
    st.tuples(st.sampled_from(["k/a", "k/b", "k/c"]), st.one_of(st.none(), st.binary(max_size=2))),
    max_size=20,
)


class TestConvergence:
    """Updates from several sources in any order."""

    @given(HISTORY, st.data())
    def test_any_mix_of_listings_and_events_converges_and_never_reverts(self, history, data):
        """Repeated and stale updates must neither revert keys nor prevent convergence."""
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
        replica.apply_listing([], at(0))
        expected = 0
        for _ in range(data.draw(st.integers(0, 8))):
            reached = data.draw(st.integers(0, len(history)))
            if data.draw(st.booleans()):
                items = [KeyValue(key, *item) for key, item in states[reached].items()]
                replica.apply_listing(items, at(reached))
                expected = max(expected, reached)
            elif reached >= replica.position.revision:
                start = data.draw(st.integers(0, min(reached, replica.position.revision)))
                replica.apply_events(events[start:reached], at(reached))
                expected = max(expected, reached)
            assert replica.position.revision == expected
        replica.apply_events(events[replica.position.revision :], at(len(history)))
        assert {k: (i.value, i.mod_revision) for k, i in replica.items.items()} == states[-1]


class TestDifference:
    """The differences that hosts send each other."""

    def test_a_replica_that_is_slightly_behind_gets_the_changes_only(self):
        """They include deletions."""
        ahead, _ = build_replica()
        behind, _ = build_replica()
        for replica in (ahead, behind):
            replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], at(5))
        ahead.apply_events([WatchEvent("k/a", None, 6), WatchEvent("k/c", b"1", 7)], at(7))
        difference = ahead.difference_since(behind.position)
        assert not difference.is_full
        assert behind.apply_difference(difference)
        assert sorted(behind.items) == ["k/b", "k/c"]
        assert (behind.position, behind.advertised_position) == (at(7), at(7))
        assert not behind.apply_difference(difference)

    def test_a_replica_from_before_the_recorded_deletions_gets_all_keys(self):
        """Otherwise it could keep a deleted key; values that it already has are not sent again."""
        ahead, _ = build_replica()
        ahead.apply_listing([KeyValue("k/b", b"1", 4), KeyValue("k/c", b"2", 8)], at(9))
        behind, changes = build_replica()
        behind.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 4)], at(5))
        changes.clear()
        difference = ahead.difference_since(behind.position)
        assert difference.is_full
        assert ([item.key for item in difference.items], difference.unchanged_keys) == (
            ["k/c"],
            ["k/b"],
        )
        assert behind.apply_difference(difference)
        assert changes == [("k/a", None), ("k/c", b"2")]
        assert behind.position == at(9)

    def test_a_replica_that_lacks_an_unchanged_key_needs_a_full_difference(self):
        """Otherwise it would fetch from the same revision again and again without success."""
        ahead, _ = build_replica()
        ahead.apply_listing([KeyValue("k/b", b"1", 4)], at(9))
        behind, _ = build_replica()
        behind.apply_listing([], at(5))
        assert not behind.apply_difference(ahead.difference_since(at(5)))
        assert not behind.has_listing
        assert behind.apply_difference(ahead.difference_since(at(0)))
        assert list(behind.items) == ["k/b"]

    @given(HISTORY, st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2)), max_size=12))
    def test_hosts_that_fetch_from_each_other_never_revert_and_converge(self, history, fetches):
        """Of three replicas one watches the store; any may fetch from any other at any time."""
        replicas = [build_replica()[0] for _ in range(3)]
        for replica in replicas:
            replica.apply_listing([], at(1))
        state: dict[str, bytes] = {}
        pending = list(fetches)
        for revision, (key, value) in enumerate(history, start=2):
            if value is None:
                state.pop(key, None)
            else:
                state[key] = value
            replicas[0].apply_events([WatchEvent(key, value, revision)], at(revision))
            if pending:
                receiver, sender = pending.pop()
                before = replicas[receiver].position
                replicas[receiver].apply_difference(replicas[sender].difference_since(before))
                assert replicas[receiver].position >= before
        for receiver in (1, 2):
            replicas[receiver].apply_difference(
                replicas[0].difference_since(replicas[receiver].position)
            )
            items = {key: item.value for key, item in replicas[receiver].items.items()}
            assert items == state

    def test_a_deletion_of_an_unknown_key_is_sent_to_others(self):
        """Another host may have a key that was written and deleted between two updates here."""
        replica, changes = build_replica()
        replica.apply_listing([], at(5))
        replica.apply_events([WatchEvent("k/a", None, 7)], at(7))
        assert not changes
        assert replica.advertised_position == at(7)
        assert replica.difference_since(at(6)).deleted == [("k/a", 7)]


class TestUnusableValues:
    """Values of other writers, of which there may be any number and size."""

    @staticmethod
    def build_picky_replica() -> Replica:
        """Return a replica whose host has no use for empty values and question marks."""
        return Replica(("k/",), lambda key, value, revision: value not in (b"", b"?", b"?" * 100))

    def test_only_usable_values_are_kept(self):
        """Hosts once kept whatever the store held, up to the limit of their memory."""
        replica = self.build_picky_replica()
        replica.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"?", 4)], at(9))
        replica.apply_events([WatchEvent("k/c", b"?", 10)], at(10))
        assert list(replica.items) == ["k/a"]
        assert replica.position == at(10)

    def test_other_hosts_learn_that_a_value_cannot_be_used_any_more(self):
        """They would go on with the earlier value."""
        sender, receiver = self.build_picky_replica(), self.build_picky_replica()
        for replica in (sender, receiver):
            replica.apply_listing([KeyValue("k/a", b"1", 3)], at(9))
        sender.apply_events([WatchEvent("k/a", b"?" * 100, 10)], at(10))
        changed = []
        receiver.on_change = lambda key, value, revision: changed.append((key, value)) or False
        assert receiver.apply_difference(sender.difference_since(at(9)))
        assert changed == [("k/a", b"")]

    @pytest.mark.parametrize("base", [0, 9, 10])
    def test_replicas_that_kept_different_keys_agree_after_a_difference(self, base):
        """A key without a usable value must not make a replica fetch all changes again."""
        sender, receiver = self.build_picky_replica(), self.build_picky_replica()
        sender.apply_listing([KeyValue("k/a", b"1", 3), KeyValue("k/b", b"2", 4)], at(9))
        sender.apply_events([WatchEvent("k/a", b"?", 10), WatchEvent("k/c", b"3", 11)], at(11))
        items = [KeyValue("k/a", b"?", 10), KeyValue("k/b", b"2", 4)]
        receiver.apply_listing(items, at(10))
        sender.deletions_floor = 10
        assert receiver.apply_difference(sender.difference_since(at(base)))
        assert receiver.position == at(11)
        assert {key: item.value for key, item in receiver.items.items()} == {
            "k/b": b"2",
            "k/c": b"3",
        }


class TestItemsNewerThanTheirListing:
    """Items that changed between two pages of a listing."""

    def test_a_replica_advertises_no_position_that_it_has_not_reached(self):
        """Two hosts of a zone asked each other for a change that neither had, and nobody else."""
        listing = [KeyValue("k/a", b"1", 3), KeyValue("k/b", b"1", 12)]
        replica, _ = build_replica()
        replica.apply_listing(listing, at(9))
        assert replica.advertised_position == at(9)
        follower, _ = build_replica()
        follower.apply_listing([KeyValue("k/a", b"1", 3)], at(8))
        assert follower.apply_difference(replica.difference_since(at(8)))
        assert follower.advertised_position == follower.position == at(9)
        follower.apply_events([WatchEvent("k/b", b"1", 12)], at(12))
        assert follower.items["k/b"].mod_revision == 12
