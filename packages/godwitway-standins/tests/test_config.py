"""Tests of configuration changes: an accepted change comes into force everywhere and stays."""

import asyncio

import msgspec
from godwitway.errors import ErrorKind
from godwitway.process import HOSTS_PREFIX, REVISION_MARKER_KEY, SERVICES_PREFIX
from godwitway.process._messages import ConfigDelta, ServiceChange
from godwitway.process._writes import WRITES_PREFIX
from godwitway.version import check_service
from worlds import counted, events, hosts, in_world, revisions

IN_FORCE_S = 9.0  # The longest time from the acceptance of a change until all hosts apply it.


def changed_service(world, name="live-auction", bound=0.2):
    """Return a service with another load bound, and its document."""
    raw = changed_document(world, name, bound)
    return check_service(raw).unwrap(), msgspec.json.encode(raw)


def changed_document(world, name="live-auction", bound=0.2):
    """Return the document of a service with another load bound."""
    return msgspec.json.decode(msgspec.json.encode(world.documents[name])) | {"load_bound": bound}


def version_of(world, name="live-auction"):
    """Return the resource version of a service in the store."""
    return world.store.data[SERVICES_PREFIX + name].mod_revision


class TestWrites:
    """Tests of writes whose responses are lost, and of concurrent writes."""

    def test_lost_response_is_looked_up(self):
        """A write that took effect although its response was lost is reported as accepted."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            service, document = changed_service(world)
            await writer.current_lease()
            world.store.faults.lose_answers = 1
            outcome = await writer.put(service, document, version_of(world))
            assert outcome.unwrap().revision == world.store.data[REVISION_MARKER_KEY].mod_revision
            assert version_of(world) == outcome.unwrap().revision

        in_world(job)

    def test_lost_write_is_reported_and_its_id_cannot_be_reused(self):
        """A write that never reached the store is reported as failed; its id stays unusable."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            service, document = changed_service(world)
            await writer.current_lease()
            before = version_of(world)
            world.store.faults.lose_writes = 1
            outcome = await writer.put(service, document, before, write_id="w1")
            assert outcome.unwrap_err().kind == ErrorKind.STORE_UNAVAILABLE
            again = await writer.put(service, document, before, write_id="w1")
            assert again.is_err()
            assert version_of(world) == before

        in_world(job)

    def test_outcome_is_unknown_without_the_store(self):
        """When the lookup fails too, the problem names the write id for a later lookup."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            service, document = changed_service(world)
            await writer.current_lease()
            world.store.faults.lose_answers = 1000
            outcome = await writer.put(service, document, version_of(world))
            problem = outcome.unwrap_err()
            assert problem.kind == ErrorKind.WRITE_UNKNOWN
            world.store.faults.lose_answers = 0
            assert (await writer.resolve_outcome(problem.field)).unwrap().revision == version_of(
                world
            )

        in_world(job)

    def test_a_write_whose_lease_the_store_has_lost_is_accepted(self):
        """It has expired, or was granted after the copy from which the store was restored."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            service, document = changed_service(world)
            await writer.current_lease()
            world.store.leases.clear()
            accepted = (await writer.put(service, document, version_of(world))).unwrap()
            assert accepted.revision == version_of(world)
            assert world.store.data[WRITES_PREFIX + accepted.write_id].value == b"done"
            assert (await writer.put(service, document, version_of(world))).is_ok()

        in_world(job)

    def test_one_of_two_concurrent_writes_is_rejected(self):
        """Of two changes of one version one is accepted; the conflict names both versions."""

        async def job(world):
            first, second = (entry.host.service_writer for entry in hosts(world)[:2])
            version = version_of(world)
            change_a, change_b = (
                changed_service(world, bound=0.2),
                changed_service(world, bound=0.3),
            )
            outcomes = await asyncio.gather(
                first.put(*change_a, version), second.put(*change_b, version)
            )
            problems = [outcome.unwrap_err() for outcome in outcomes if outcome.is_err()]
            assert [problem.kind for problem in problems] == [ErrorKind.CONFLICT]
            assert problems[0].versions == (version, version_of(world))

        in_world(job)

    def test_targets_and_addresses_belong_to_one_service(self):
        """A service with a target of another service is refused with the field."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            first = await writer.put(*changed_service(world), version_of(world))
            assert first.is_ok()
            raw = msgspec.json.decode(msgspec.json.encode(world.documents["live-auction"]))
            raw["name"], raw["address"] = "other-service", "10.10.0.77"
            other_service = check_service(raw).unwrap()
            outcome = await writer.put(other_service, msgspec.json.encode(raw), 0)
            assert outcome.unwrap_err().field == "targets[0].address"
            assert SERVICES_PREFIX + "other-service" not in world.store.data

        in_world(job)

    def test_concurrent_drains_respect_max_draining(self):
        """Of two concurrent drains based on the same version, one is rejected as a conflict."""

        async def job(world):
            version = version_of(world)
            outcomes = []
            for number, entry in enumerate(hosts(world)[:2]):
                raw = msgspec.json.decode(msgspec.json.encode(world.documents["live-auction"]))
                raw["max_draining"] = 1
                raw["targets"][number]["state"] = "draining"
                service = check_service(raw).unwrap()
                writer = entry.host.service_writer
                outcomes.append(writer.put(service, msgspec.json.encode(raw), version))
            accepted = [outcome.is_ok() for outcome in await asyncio.gather(*outcomes)]
            assert sorted(accepted) == [False, True]

        in_world(job)


class TestDistribution:
    """Tests of the distribution of a change to every host."""

    def test_change_comes_into_force_at_all_hosts(self):
        """An accepted change is in force at all hosts within 9 s."""

        async def job(world):
            revision = world.write(world.documents["live-auction"])
            start = world.clock.now()
            while revisions(world) != {revision}:
                await world.clock.sleep(0.05)
            assert world.clock.now() - start <= IN_FORCE_S

        in_world(job)

    def test_few_hosts_watch_the_store(self):
        """Two hosts of each zone watch the store; the others get changes from them."""

        async def job(world):
            watching = [entry for entry in hosts(world) if entry.host.config_sync.is_watching]
            zones = [entry.zone for entry in watching]
            assert all(zones.count(zone) == 2 for zone in world.deployment.zones)
            assert len(watching) < len(hosts(world))

        in_world(job)

    def test_missed_delta_is_pulled_from_a_peer(self):
        """A host that missed a delta pulls it from a peer."""

        async def job(world):
            entry = next(entry for entry in hosts(world) if not entry.host.config_sync.is_watching)
            entry.courier.pause(True)
            revision = world.write(world.documents["live-auction"])
            await world.clock.sleep(1.0)
            entry.courier.queue = asyncio.Queue()
            entry.courier.pause(False)
            await world.clock.sleep(IN_FORCE_S - 1.0)
            assert entry.host.node.snapshot.revision == revision

        in_world(job)

    def test_lower_revision_is_never_applied(self):
        """A delta or a store read with a lower revision changes nothing."""

        async def job(world):
            host = hosts(world)[0].host
            revision = host.node.snapshot.revision
            old = ConfigDelta(b"", b"", 0, revision - 1, [ServiceChange("live-auction", None, 1)])
            assert not host.config_sync.apply_delta(old)
            await host.config_sync.apply_full_read([])
            assert host.node.snapshot.revision == revision
            assert "live-auction" in host.node.snapshot.services

        in_world(job)

    def test_change_during_an_outage_comes_into_force(self):
        """A change made during an outage and then compacted comes into force afterwards."""

        async def job(world):
            world.store.set_down(True)
            await world.clock.sleep(30.0)
            revision = world.write(world.documents["catalogue"])
            world.store.compact()
            world.store.set_down(False)
            await world.clock.sleep(IN_FORCE_S)
            assert revisions(world) == {revision}

        in_world(job)

    def test_a_change_comes_into_force_although_all_watches_are_silent(self):
        """Their connections are dead without an end; hosts waited for them for ever."""

        async def job(world):
            world.store.watchers.clear()
            service, document = changed_service(world)
            writer = hosts(world)[0].host.service_writer
            accepted = (await writer.put(service, document, version_of(world))).unwrap()
            await world.clock.sleep(IN_FORCE_S)
            assert revisions(world) == {accepted.revision}
            assert any("watch" in line["reason"] for line in events(world, "store_unavailable"))

        in_world(job)

    def test_invalid_document_leaves_the_last_valid_one(self):
        """An invalid document in the store leaves the last valid version in force."""

        async def job(world):
            world.store.put_now(SERVICES_PREFIX + "live-auction", b"{broken")
            world.store.put_now(REVISION_MARKER_KEY, b"x")
            await world.clock.sleep(IN_FORCE_S)
            assert all("live-auction" in e.host.node.snapshot.services for e in hosts(world))
            assert events(world, "config_rejected")

        in_world(job)

    def test_what_cannot_be_decoded_does_not_keep_other_changes_out(self):
        """The task that follows the store ended, and the host knew of no change any more."""

        async def job(world):
            world.store.put_now(HOSTS_PREFIX + "10.9.9.8", b"\xff\xfe")
            world.store.put_now(HOSTS_PREFIX + "10.9.9.9", b"drain")
            world.store.put_now(SERVICES_PREFIX + "catalogue", b"[" * 100_000)
            revision = world.write(changed_document(world))
            await world.clock.sleep(IN_FORCE_S)
            assert revisions(world) == {revision}
            states = [entry.host.node.platform_host_states for entry in hosts(world)]
            assert {known["10.9.9.9"][0] for known in states} == {"drain"}
            assert events(world, "config_rejected")

        in_world(job)


class TestRecovery:
    """Tests of hosts that start while the store is down."""

    def test_joining_host_gets_the_configuration_from_peers(self):
        """A host that joins during an outage gets the configuration from its peers."""

        async def job(world):
            world.store.set_down(True)
            entry = world.add_entry("kingston-a")
            await world.clock.sleep(3.0)
            assert entry.host.node.snapshot.revision == max(revisions(world))
            assert entry.host.node.admitting

        in_world(job)

    def test_restart_of_all_hosts_waits_for_the_store(self):
        """When all hosts restart during an outage, nothing is in force until the store is back."""

        async def job(world):
            revision = max(revisions(world))
            world.store.set_down(True)
            for entry in hosts(world):
                entry.kill()
            world.entries.clear()
            world.next_entry = 0
            for zone in world.deployment.entry_zones():
                world.add_entry(zone)
            await world.clock.sleep(10.0)
            assert revisions(world) == {0}
            world.store.set_down(False)
            await world.clock.sleep(IN_FORCE_S)
            assert revisions(world) == {revision}
            assert counted(world, "internal_errors") == 0

        in_world(job)


class TestRestoredStore:
    """Tests of a store that was restored from a copy and gives revisions out again."""

    def test_a_change_with_a_revision_that_is_given_out_again_comes_into_force(self):
        """Hosts order changes by revision, and would ignore it as one that they have."""

        async def job(world):
            await lose_changes(world)
            writer = hosts(world)[0].host.service_writer
            version = (await writer.read_with_claims("live-auction", {})).popitem()[1].mod_revision
            outcome = await writer.put(*changed_service(world, bound=0.4), version)
            accepted = outcome.unwrap().revision
            await world.clock.sleep(IN_FORCE_S)
            assert len(revisions(world)) == 1
            assert min(revisions(world)) >= accepted
            assert load_bounds(world) == {0.4}

        in_world(job)

    def test_a_write_through_a_host_that_does_not_watch_gets_no_lost_revision(self):
        """The operator would take the revision for one that is in force everywhere."""

        async def job(world):
            newest = await lose_changes(world)
            entries = hosts(world)
            entry = next(entry for entry in entries if not entry.host.config_sync.is_watching)
            writer = entry.host.service_writer
            version = (await writer.read_with_claims("live-auction", {})).popitem()[1].mod_revision
            outcome = await writer.put(*changed_service(world, bound=0.4), version)
            assert outcome.unwrap().revision > newest
            await world.clock.sleep(IN_FORCE_S)
            assert load_bounds(world) == {0.4}

        in_world(job)

    def test_what_the_store_has_lost_is_not_in_force_any_more(self):
        """Otherwise hosts that start later would differ from the others."""

        async def job(world):
            before = load_bounds(world)
            newest = await lose_changes(world)
            await world.clock.sleep(IN_FORCE_S)
            assert load_bounds(world) == before
            assert min(revisions(world)) > newest
            assert events(world, "store_went_back")

        in_world(job)

    def test_a_second_restore_from_before_the_first_one_is_followed(self):
        """The offset of the revisions is lost as well."""

        async def job(world):
            copy = world.store.copy()
            for bound in (0.3, 0.4):
                await lose_changes(world, copy)
                await world.clock.sleep(IN_FORCE_S)
                writer = hosts(world)[0].host.service_writer
                stored = await writer.read_with_claims("live-auction", {})
                version = stored.popitem()[1].mod_revision
                assert (await writer.put(*changed_service(world, bound=bound), version)).is_ok()
                await world.clock.sleep(IN_FORCE_S)
                assert load_bounds(world) == {bound}

        in_world(job)

    def test_a_write_that_expects_a_version_of_lost_content_is_rejected(self):
        """The store has given the version out again, for content that the writer has not seen."""

        async def job(world):
            writer = hosts(world)[0].host.service_writer
            copy = world.store.copy()
            seen = (await writer.put(*changed_service(world), version_of(world))).unwrap().revision
            world.store.restore(copy)
            await world.clock.sleep(IN_FORCE_S)
            world.store.revision = seen - 1
            world.write(changed_document(world, bound=0.5))
            outcome = await writer.put(*changed_service(world, bound=0.6), seen)
            assert outcome.unwrap_err().kind == ErrorKind.CONFLICT

        in_world(job)

    def test_a_host_that_the_platform_drains_after_the_restore_drains(self):
        """Entries of the platform's host list are ordered by revision as well."""

        async def job(world):
            await world.clock.sleep(1.0)
            await lose_changes(world)
            await world.clock.sleep(IN_FORCE_S)
            ip = "10.9.9.9"
            world.store.put_now(HOSTS_PREFIX + ip, b"drain")
            await world.clock.sleep(IN_FORCE_S)
            states = [entry.host.node.platform_host_states[ip][0] for entry in hosts(world)]
            assert set(states) == {"drain"}

        in_world(job)


async def lose_changes(world, copy=None, changes=3):
    """Change a service several times, and restore the store from a copy from before.

    Returns:
        The last revision that is in force and lost.
    """
    copy = copy or world.store.copy()
    for number in range(changes):
        world.store.put_now(HOSTS_PREFIX + "10.9.9.9", b"serve")
        revision = world.write(changed_document(world, bound=0.7 + number / 10))
    await world.clock.sleep(IN_FORCE_S)
    assert max(revisions(world)) >= revision
    world.store.restore(copy)
    return max(revisions(world))


def load_bounds(world):
    """Return the load bounds of a service that are in force."""
    return {
        msgspec.json.decode(entry.host.node.snapshot.documents["live-auction"]).get("load_bound")
        for entry in hosts(world)
    }
