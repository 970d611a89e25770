"""Exhaustive search of the rules by which hosts pass changes of the store on."""

from replica_model import HOSTS, PREFIXES, Fleet, initial, settle, step, steps, store_at

from godwitway.steering._replica import Replica

DEPTH = 7


def broken(before: Fleet, after: Fleet, restarted: int | None) -> str:
    """Return which rule a step broke, or an empty string."""
    for host in HOSTS:
        old, new = before.copies[host], after.copies[host]
        if new.revision < old.revision and host != restarted:
            return f"host {host} went back from {old.revision} to {new.revision}"
        present = {key: (value, at) for key, value, at in new.items}
        if new.has_listing and present != store_at(after, new.revision):
            return f"host {host} has another state than the store at {new.revision}"
    return ""


def stuck(fleet: Fleet) -> bool:
    """Whether the hosts lack a change that concerns them once the first reaches the store."""
    settled = settle(fleet)
    wanted = store_at(settled, 1 << 30)
    return any(
        {key: (value, at) for key, value, at in copy.items if key.startswith(PREFIXES)}
        != {key: entry for key, entry in wanted.items() if key.startswith(PREFIXES)}
        for copy in settled.copies
    )


def search(depth: int) -> tuple[int, str]:
    """Return how many states were reached in some steps, and the first rule that was broken."""
    reached = {initial()}
    edge = [initial()]
    for _ in range(depth):
        following = []
        for fleet in edge:
            for taken in steps(fleet):
                after = step(fleet, taken)
                if after in reached:
                    continue
                restarted = taken.host if taken.action == "restart" else None
                failure = broken(fleet, after, restarted)
                if not failure and stuck(after):
                    failure = "a host is stuck"
                if failure:
                    return len(reached), f"{failure} by {taken}: {after}"
                reached.add(after)
                following.append(after)
        edge = following
    return len(reached), ""


class TestRelayRules:
    """Two hosts, one store, and every order of up to seven steps."""

    def test_no_host_goes_back_differs_from_the_store_or_is_stuck(self):
        """Messages are late, twice, overtaken or lost; hosts restart; history is forgotten."""
        states, failure = search(DEPTH)
        assert failure == ""
        assert states > 10_000

    def test_the_search_finds_a_copy_that_jumps_a_gap(self, monkeypatch):
        """The check fails on a build without the check of the base."""
        original = Replica.apply_difference

        def apply(self, difference):
            difference.base_revision = 0
            return original(self, difference)

        monkeypatch.setattr(Replica, "apply_difference", apply)
        assert search(DEPTH)[1]

    def test_the_search_finds_a_stale_list(self, monkeypatch):
        """The check fails on a build that takes over a list that was overtaken."""
        original = Replica.apply_listing

        def apply_listing(self, items, revision):
            self.revision = 0
            return original(self, items, revision)

        monkeypatch.setattr(Replica, "apply_listing", apply_listing)
        assert "went back" in search(DEPTH)[1]

    def test_the_search_finds_a_change_that_is_not_reported(self, monkeypatch):
        """The check fails on a build that does not tell of deletions."""
        original = Replica.remove_key

        def remove(self, key, revision):
            advertised_revision = self.advertised_revision
            original(self, key, revision)
            self.advertised_revision = advertised_revision

        monkeypatch.setattr(Replica, "remove_key", remove)
        assert "stuck" in search(DEPTH)[1]

    def test_the_search_finds_a_watching_host_that_does_not_vouch(self, monkeypatch):
        """A fresh host that takes over the watch never saw what was deleted before."""
        monkeypatch.setattr(Replica, "advertise_deletions", lambda self: None)
        assert "stuck" in search(DEPTH)[1]
