"""Tests of a host's registration in the store."""

import asyncio

import pytest
from steering_builders import SteeringHarness, at, build_peers, build_replica

from godwitway.steering import _membership
from godwitway.steering._membership import Registration
from godwitway.store import KeyValue, StoreError, WatchEvent


class RecordingStore:
    """A store that records what it is asked to write and remove.

    Attributes:
        is_down: Whether calls fail.
        revision: The current revision.
        era: The current era.
        written: The keys that were written.
        removed: The keys and revisions that were to be removed.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.revision = 20
        self.era = 1
        self.written = []
        self.removed = []

    async def put(self, item):
        """Record a write."""
        if self.is_down:
            raise StoreError("down")
        self.revision += 1
        self.written.append(item.key)
        return at(self.revision, self.era)

    async def remove(self, items):
        """Record a removal."""
        if self.is_down:
            raise StoreError("down")
        self.removed.append([(item.key, item.mod_revision) for item in items])
        return True


class RegistrationHarness:
    """The registration of a host with a scripted store.

    Attributes:
        store: The store.
        replica: The host's replica.
        registration: The registration under test.
        answered: Whether each call was answered.
    """

    def __init__(self) -> None:
        self.store = RecordingStore()
        self.replica, _ = build_replica()
        self.answered = []
        steering = SteeringHarness().steering
        self.peers = build_peers(steering)
        self.registration = Registration(
            self.store,
            self.peers.own_member,
            self.replica,
            self.peers,
            self.answered.append,
            steering.journal,
            steering.metrics,
        )

    def list_own_key(self, value: bytes | None = None) -> None:
        """Let the replica list this host's key at revision 9, with its own or another value."""
        item = self.registration.item
        self.replica.apply_listing([KeyValue(item.key, value or item.value, 5)], at(9))


class TestIsNeeded:
    """When a host writes its key."""

    def test_a_host_that_restarts_finds_its_key(self):
        """A restart of all hosts at once then makes no writes."""
        harness = RegistrationHarness()
        harness.list_own_key()
        assert not harness.registration.is_needed()

    @pytest.mark.parametrize("value", [None, b"{}"])
    def test_a_host_without_its_key_or_with_another_address_writes_it(self, value):
        """Another machine may have taken over the name."""
        harness = RegistrationHarness()
        if value is not None:
            harness.list_own_key(value)
        assert harness.registration.is_needed()

    def test_a_written_key_is_not_written_again_before_the_replica_can_show_it(self):
        """Changes of hosts reach a replica late."""
        harness = RegistrationHarness()
        harness.replica.apply_listing([], at(9))
        assert asyncio.run(harness.registration.register())
        assert not harness.registration.is_needed()

    def test_a_key_that_was_removed_is_written_again(self):
        """A leader that heard nothing from this host may have removed it."""
        harness = RegistrationHarness()
        harness.list_own_key()
        key = harness.registration.item.key
        harness.replica.apply_events([WatchEvent(key, None, 30)], at(30))
        assert harness.registration.is_needed()

    def test_a_key_that_the_store_lost_after_acknowledging_it_is_written_again(self):
        """The revision of the write is higher than those of the restored store."""
        harness = RegistrationHarness()
        harness.replica.apply_listing([], at(9))
        assert asyncio.run(harness.registration.register())
        harness.replica.apply_listing([], at(7, era=2))
        assert harness.registration.is_needed()


class TestCalls:
    """Calls of the store."""

    def test_a_failed_call_is_reported_and_repeated(self, monkeypatch):
        """Elections consider whether a host reaches the store."""
        monkeypatch.setattr(_membership, "RETRY_DELAY_S", 0.01)
        monkeypatch.setattr(_membership, "CHECK_INTERVAL_S", 0.01)
        harness = RegistrationHarness()
        harness.store.is_down = True

        async def run():
            task = asyncio.ensure_future(harness.registration.maintain())
            while len(harness.answered) < 2:
                await asyncio.sleep(0.01)
            harness.store.is_down = False
            while not harness.store.written:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            task.cancel()

        asyncio.run(asyncio.wait_for(run(), 5.0))
        assert harness.answered[:2] == [False, False]
        assert len(harness.store.written) == 1

    def test_keys_of_dead_hosts_are_removed_at_the_revision_that_is_known(self):
        """A host that registered again meanwhile must keep its key."""
        harness = RegistrationHarness()
        harness.replica.apply_listing([KeyValue("hosts/a/x", b"1", 5)], at(9))
        harness.peers.find_dead_hosts = lambda now: ["hosts/a/x", "hosts/a/unknown"]
        assert asyncio.run(harness.registration.remove_dead_hosts())
        assert harness.store.removed == [[("hosts/a/x", 5)]]
