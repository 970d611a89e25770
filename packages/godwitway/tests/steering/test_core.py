"""Tests of a host's state, without its asyncio tasks."""

from steering_builders import at, build_core, build_target

from godwitway.steering._catalog import DEPARTED_RETENTION_S
from godwitway.store import KeyValue, RangeResult, StoreError


class TestExpiry:
    """Removal of outdated state by `expire_state`."""

    def test_evidence_about_targets_that_left_is_dropped(self):
        """Otherwise the evidence would grow with every target that ever existed."""
        core, clock = build_core()
        for number in (1, 2):
            core.catalog.put_target(build_target(number))
            core.steering.evidence_of(core.catalog.targets[f"i-{number:04x}"]).start_suspicion(
                clock.now()
            )
        core.catalog.remove_target("i-0001", clock.now())
        core.expire_state()
        assert list(core.steering.evidence) == ["i-0002"]

    def test_a_returning_target_is_not_suspected(self):
        """Evidence from before its entry lapsed is outdated."""
        core, clock = build_core()
        core.catalog.put_target(build_target(1))
        core.steering.evidence_of(core.catalog.targets["i-0001"]).start_suspicion(clock.now())
        core.catalog.remove_target("i-0001", clock.now())
        core.expire_state()
        target = core.catalog.put_target(build_target(1))
        assert not core.steering.should_avoid(target, clock.now())

    def test_tokens_of_targets_that_left_are_kept_for_the_lifetime_of_a_flow(self):
        """Packets of their flows must be answered with a reset, not dropped."""
        core, clock = build_core()
        token = core.catalog.put_target(build_target(1)).token
        core.catalog.remove_target("i-0001", clock.now())
        clock.time += DEPARTED_RETENTION_S - 1.0
        core.expire_state()
        assert token in core.catalog.by_token
        clock.time += 2.0
        core.expire_state()
        assert token not in core.catalog.by_token


class TestStart:
    """What a host that starts tells the others about the store."""

    def test_it_claims_to_reach_the_store_only_after_a_response(self):
        """Hosts that watch the store give the watch up to those with a lower rank that reach it."""
        core, _ = build_core()
        assert not core.peers.reaches_store
        core.record_failed_listing("range", StoreError("timed out"))
        assert not core.peers.reaches_store
        core.record_listing(RangeResult(9, [], 1))
        assert core.peers.reaches_store


class TestUnexpectedErrors:
    """Errors that no decoder foresees."""

    def test_an_entry_that_raises_does_not_keep_the_others_from_being_applied(self):
        """One entry of another writer must not end all hosts of a region."""
        core, _ = build_core()

        def decode_target(key, value, now):
            if key.endswith("bad"):
                raise OverflowError("int too large to convert to float")
            return build_target(int(key[-1]))

        core.announcements.decode_target = decode_target
        core.replica.apply_listing(
            [KeyValue(f"targets/{name}", b"", 3) for name in ("1", "bad", "2")], at(9)
        )
        assert sorted(core.catalog.targets) == ["i-0001", "i-0002"]
        assert core.metrics.counters["internal_errors", ""] == 1
