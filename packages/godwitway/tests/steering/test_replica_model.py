"""Exhaustive search for violations of the rules by which hosts relay store changes."""

from replica_model import (
    HOSTS,
    PREFIXES,
    Fleet,
    apply_step,
    build_fleet,
    possible_steps,
    settle_fleet,
    store_items_at,
    store_position,
)

from godwitway.steering._replica import Replica
from godwitway.store import FIRST_POSITION

MAX_STEPS = 7


def find_violation(before: Fleet, after: Fleet, restarted: int | None) -> str:
    """Return a description of the rule that a step violated, or an empty string.

    Args:
        before: The fleet before the step.
        after: The fleet after it.
        restarted: The host that the step restarted, which may lose its replica; else None.
    """
    for host in HOSTS:
        old, new = before.replicas[host], after.replicas[host]
        if new.position < old.position and host != restarted:
            return f"host {host} went back from {old.position} to {new.position}"
        items = {key: (value, at) for key, value, at in new.items}
        if new.has_listing and items != store_items_at(after, new.position):
            return f"host {host} has another state than the store at {new.position}"
    return ""


def is_stuck(fleet: Fleet) -> bool:
    """Whether a host still lacks an advertised change after the first host reaches the store."""
    settled = settle_fleet(fleet)
    expected = store_items_at(settled, store_position(settled))
    return any(
        {key: (value, at) for key, value, at in replica.items if key.startswith(PREFIXES)}
        != {key: entry for key, entry in expected.items() if key.startswith(PREFIXES)}
        for replica in settled.replicas
    )


def search(max_steps: int) -> tuple[int, str]:
    """Search breadth-first all states that are reachable within a number of steps.

    Returns:
        The number of states, and a description of the first violation or an empty string.
    """
    reached = {build_fleet()}
    frontier = [build_fleet()]
    for _ in range(max_steps):
        next_frontier = []
        for fleet in frontier:
            for step in possible_steps(fleet):
                after = apply_step(fleet, step)
                if after in reached:
                    continue
                restarted = step.host if step.action == "restart" else None
                failure = find_violation(fleet, after, restarted)
                if not failure and is_stuck(after):
                    failure = "a host is stuck"
                if failure:
                    return len(reached), f"{failure} by {step}: {after}"
                reached.add(after)
                next_frontier.append(after)
        frontier = next_frontier
    return len(reached), ""


class TestRelayRules:
    """Two hosts, one store, and every sequence of up to seven steps."""

    def test_no_host_goes_back_differs_from_the_store_or_is_stuck(self):
        """Messages are late, repeated or lost; hosts restart; the store loses changes."""
        states, failure = search(MAX_STEPS)
        assert failure == ""
        assert states > 10_000

    def test_the_search_finds_a_replica_that_skips_changes(self, monkeypatch):
        """The search fails if differences are applied without a check of the base revision."""
        original = Replica.apply_difference

        def apply(self, difference):
            difference.base = self.position
            return original(self, difference)

        monkeypatch.setattr(Replica, "apply_difference", apply)
        assert search(MAX_STEPS)[1]

    def test_the_search_finds_a_stale_listing(self, monkeypatch):
        """The search fails if a listing that is older than the replica is applied."""
        original = Replica.apply_listing

        def apply_listing(self, items, position):
            self.position = FIRST_POSITION
            return original(self, items, position)

        monkeypatch.setattr(Replica, "apply_listing", apply_listing)
        assert "went back" in search(MAX_STEPS)[1]

    def test_the_search_finds_a_change_that_is_not_advertised(self, monkeypatch):
        """The search fails if deletions do not raise the advertised revision."""
        original = Replica.remove_key

        def remove(self, key, revision):
            advertised_position = self.advertised_position
            original(self, key, revision)
            self.advertised_position = advertised_position

        monkeypatch.setattr(Replica, "remove_key", remove)
        assert "stuck" in search(MAX_STEPS)[1]

    def test_the_search_finds_a_watcher_that_does_not_advertise_deletions(self, monkeypatch):
        """A started host that is elected to watch never received the earlier deletions."""
        monkeypatch.setattr(Replica, "advertise_deletions", lambda self: None)
        assert "stuck" in search(MAX_STEPS)[1]

    def test_the_search_finds_a_comparison_of_revisions_of_different_eras(self, monkeypatch):
        """The search fails if a host that missed the restore gets changes since its revision."""
        original = Replica.difference_since

        def difference_since(self, base):
            return original(self, base._replace(era=self.position.era))

        monkeypatch.setattr(Replica, "difference_since", difference_since)
        assert search(MAX_STEPS)[1]

    def test_the_search_finds_a_listing_after_a_restore_that_is_ignored(self, monkeypatch):
        """The search fails if a listing of a later era with a lower revision is not applied."""
        original = Replica.apply_listing

        def apply_listing(self, items, position):
            if position.revision < self.position.revision:
                return False
            return original(self, items, position)

        monkeypatch.setattr(Replica, "apply_listing", apply_listing)
        assert search(MAX_STEPS)[1]

    def test_the_search_finds_an_item_that_is_kept_for_its_revision(self, monkeypatch):
        """The search fails if items of different eras are compared by revision."""
        monkeypatch.setattr(Replica, "begin_era", lambda self, era: None)
        assert search(MAX_STEPS)[1]
