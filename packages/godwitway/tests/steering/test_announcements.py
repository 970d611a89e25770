"""Tests of applying entries of targets and configurations to the catalog."""

import pytest
from steering_builders import FakeClock, at, build_config, build_target

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering import EntryError
from godwitway.steering._announcements import ENTRY_HOLD_S, OUTDATED_HOLD_S, Announcements
from godwitway.steering._catalog import MAX_FLOW_LIFETIME_S, Catalog


def decode_config(value: bytes):
    """Decode a value that is a version number only."""
    if not value.isdigit():
        raise EntryError("version: expected a number")
    return build_config(int(value))


def decode_target(key: str, value: bytes, now: float):
    """Decode a value of the form ``STATE [START [UPDATE_NUMBER]]``."""
    state, _, rest = value.decode().partition(" ")
    started, _, update_number = rest.partition(" ")
    if state not in ("ready", "draining"):
        raise EntryError(f"state: unknown state {state!r}")
    number = int(key.rpartition("/")[2])
    return build_target(
        number,
        draining=state == "draining",
        started_ms=int(started or 1),
        update_number=int(update_number or 0),
    )


class AnnouncementsHarness:
    """Announcements with a catalog, a clock and recorded log events.

    Attributes:
        restarted: The ids of the targets whose restart was reported.
    """

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.catalog = Catalog()
        self.lines = []
        self.restarted = []
        journal = Journal("host-1", self.clock.now, self.lines.append, bytes.hex)
        self.announcements = Announcements(
            self.catalog, decode_config, decode_target, self.clock.now, Metrics(), journal
        )
        self.announcements.on_target_restart = self.restarted.append

    def change_entry(self, value: bytes | None, number: int = 1, revision: int = 5) -> None:
        """Apply a change of a target's entry; None deletes it."""
        self.announcements.apply_target_entry(f"servers/{number}", value, revision)

    def wait(self, seconds: float, dead: bool = False) -> None:
        """Let time pass, after which targets do not answer if they are `dead`."""
        self.clock.time += seconds
        self.announcements.apply_outdated_entries()
        self.announcements.lapse_targets()
        self.announcements.remove_lapsed_targets(lambda target: dead)


class TestDeletedEntries:
    """Entries that are deleted from the store."""

    def test_an_entry_that_returns_in_time_changes_nothing(self):
        """Entries that lapsed during an outage of the store return within two seconds."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(2.0, dead=True)
        assert not harness.catalog.targets["i-0001"].draining
        harness.change_entry(b"ready")
        harness.wait(5.0, dead=True)
        assert not harness.catalog.targets["i-0001"].draining

    def test_a_dead_target_whose_entry_does_not_return_is_removed(self):
        """Its token is kept, so that packets of its flows are answered with a reset."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S, dead=True)
        assert not harness.catalog.targets
        assert "i-0001" in harness.catalog.departed_at

    def test_flows_of_a_live_target_whose_entry_does_not_return_are_not_reset(self):
        """It gets no new flows, and is removed once it does not answer."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S)
        assert harness.catalog.targets["i-0001"].draining
        assert not harness.catalog.by_service["desk"]
        harness.wait(1.0, dead=True)
        assert not harness.catalog.targets

    def test_a_lapsed_target_whose_address_another_one_has_is_removed(self):
        """Health probes of the address would be answered by the other one."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S)
        target = build_target(2)
        target.address = harness.catalog.targets["i-0001"].address
        harness.catalog.put_target(target)
        harness.wait(0.1)
        assert list(harness.catalog.targets) == ["i-0002"]

    def test_a_lapsed_target_is_removed_when_no_flow_can_be_left(self):
        """Nothing else may ever show that it has ended."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S)
        harness.wait(MAX_FLOW_LIFETIME_S)
        assert not harness.catalog.targets

    def test_a_lapsed_target_whose_entry_returns_gets_new_flows(self):
        """Its updates may have been lost for longer than entries are held."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S)
        harness.change_entry(b"ready")
        harness.wait(1.0, dead=True)
        assert not harness.catalog.targets["i-0001"].draining
        assert harness.catalog.by_service["desk"] == [harness.catalog.targets["i-0001"]]

    def test_a_draining_target_is_removed_at_once(self):
        """It had announced that it would leave."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"draining")
        harness.change_entry(None)
        assert not harness.catalog.targets


class TestInvalidEntries:
    """Entries that cannot be decoded."""

    @pytest.mark.parametrize("value", [b"", b"odd", b"READY"])
    def test_an_invalid_entry_adds_no_target(self, value):
        """Other entries stay in force."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready", 1)
        harness.change_entry(value, 2)
        assert list(harness.catalog.targets) == ["i-0001"]
        assert harness.lines[-1]["event"] == "entry_rejected"

    def test_a_target_whose_entry_becomes_invalid_gets_no_new_flows(self):
        """Its open flows stay, and a valid entry lets it get new flows again."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(b"odd")
        target = harness.catalog.targets["i-0001"]
        assert target.draining
        harness.change_entry(b"ready")
        assert not target.draining

    @pytest.mark.parametrize("announced", [b"ready", b"draining"])
    def test_flows_of_a_live_target_are_not_reset_after_an_invalid_entry_was_removed(
        self, announced
    ):
        """The target was removed at once, and its open flows reset until its next update."""
        harness = AnnouncementsHarness()
        harness.change_entry(announced)
        harness.change_entry(b"odd")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S - 0.1)
        assert harness.catalog.targets["i-0001"].draining
        harness.wait(0.1)
        assert "i-0001" in harness.catalog.targets
        harness.change_entry(b"ready")
        assert not harness.catalog.targets["i-0001"].draining
        assert harness.catalog.by_service["desk"] == [harness.catalog.targets["i-0001"]]

    def test_a_dead_target_is_removed_after_an_invalid_entry_was_removed(self):
        """Nothing else tells that it has ended."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(b"odd")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S, dead=True)
        assert not harness.catalog.targets

    def test_a_target_that_drains_after_an_invalid_entry_is_removed_at_once(self):
        """Only the last value before the deletion counts."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready")
        harness.change_entry(b"odd")
        harness.change_entry(b"draining")
        harness.change_entry(None)
        assert not harness.catalog.targets

    def test_an_invalid_older_or_deleted_configuration_is_ignored(self):
        """The version in force must stay."""
        harness = AnnouncementsHarness()
        harness.announcements.apply_config_entry("config", b"4", 1)
        harness.announcements.apply_config_entry("config", b"x", 2)
        harness.announcements.apply_config_entry("config", b"3", 3)
        harness.announcements.apply_config_entry("config", None, 4)
        assert harness.catalog.config.version == 4
        assert [line["event"] for line in harness.lines].count("config_ignored") == 3


class TestIncarnations:
    """Targets that restart with the same id."""

    def test_a_restart_is_reported(self):
        """Evidence about the earlier incarnation is outdated."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1")
        harness.change_entry(b"ready 1")
        assert not harness.restarted
        harness.change_entry(b"ready 2")
        assert harness.restarted == ["i-0001"]


class TestRestoredStore:
    """Entries of a store that was restored from a copy."""

    def test_a_draining_target_is_not_ready_again_by_an_older_entry(self):
        """It would get new flows until it repeats that it drains."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1 7")
        harness.change_entry(b"draining 1 9")
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"ready 1 7", revision=3)
        harness.change_entry(b"ready 1 8", revision=5)
        assert harness.catalog.targets["i-0001"].draining
        assert [line["event"] for line in harness.lines].count("entry_outdated") == 2

    def test_a_target_that_left_does_not_return_by_an_older_entry(self):
        """Its address may belong to another target."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"draining 1 9")
        harness.change_entry(None)
        assert not harness.catalog.targets
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"draining 1 9", revision=3)
        assert not harness.catalog.targets

    @pytest.mark.parametrize("held_s", [0.0, ENTRY_HOLD_S])
    def test_a_target_whose_entry_had_expired_gets_no_new_flows_by_its_restored_entry(self, held_s):
        """It has probably ended, and the store drops the entry again."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1 9")
        harness.change_entry(None)
        harness.wait(held_s)
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"ready 1 9", revision=3)
        harness.wait(ENTRY_HOLD_S)
        assert not harness.catalog.by_service["desk"]

    @pytest.mark.parametrize("restores", [1, 2])
    def test_a_live_target_is_not_kept_out_by_an_older_entry_that_the_store_keeps(self, restores):
        """It writes its entry again only if the store has it with other content."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1 9")
        harness.change_entry(None)
        harness.wait(ENTRY_HOLD_S)
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"ready 1 9", revision=3)
        if restores == 2:
            harness.announcements.begin_restored_era(at(4, era=3))
        harness.wait(OUTDATED_HOLD_S - 0.1)
        assert not harness.catalog.by_service["desk"]
        harness.wait(0.1)
        assert [target.draining for target in harness.catalog.by_service["desk"]] == [False]

    def test_flows_of_a_restarted_target_do_not_go_to_its_earlier_incarnations_address(self):
        """The restored entry is of the incarnation that has ended, and draws flows to it."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1 9")
        harness.change_entry(b"ready 2 1")
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"ready 1 9", revision=3)
        assert harness.catalog.targets["i-0001"].started_ms == 2
        harness.change_entry(b"ready 2 1", revision=5)
        harness.wait(OUTDATED_HOLD_S)
        assert harness.catalog.targets["i-0001"].started_ms == 2
        assert harness.restarted == ["i-0001"]

    def test_a_target_that_starts_again_with_its_clock_set_back_is_not_kept_out(self):
        """Start times order the incarnations only while lost updates are repeated."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 5 9")
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.wait(OUTDATED_HOLD_S)
        harness.change_entry(b"ready 3 1", revision=5)
        assert harness.catalog.targets["i-0001"].started_ms == 3

    def test_an_older_entry_that_the_store_drops_is_not_applied(self):
        """Its target has ended."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"draining 1 9")
        harness.change_entry(None)
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"ready 1 7", revision=3)
        harness.change_entry(None, revision=5)
        harness.wait(OUTDATED_HOLD_S)
        assert not harness.catalog.targets

    @pytest.mark.parametrize("value", [b"ready 1 9", b"ready 1 10", b"ready 2 1"])
    def test_a_repeated_a_later_and_another_incarnations_entry_are_applied(self, value):
        """Targets write again what the store has lost, and may have restarted meanwhile."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"draining 1 9")
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(value, revision=6)
        assert not harness.catalog.targets["i-0001"].draining

    def test_entries_of_one_era_apply_in_the_order_of_their_revisions(self):
        """A number that another writer made up must not keep the target's own updates out."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"ready 1 999")
        harness.change_entry(b"draining 1 9")
        assert harness.catalog.targets["i-0001"].draining

    def test_flows_of_a_draining_target_whose_entry_was_lost_are_not_reset(self):
        """It serves them and writes its entry again; if it does not, it is removed once dead."""
        harness = AnnouncementsHarness()
        harness.change_entry(b"draining 1 9")
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(None, revision=4)
        assert "i-0001" in harness.catalog.targets
        harness.wait(ENTRY_HOLD_S)
        assert "i-0001" in harness.catalog.targets
        harness.wait(1.0, dead=True)
        assert not harness.catalog.targets

    def test_a_draining_target_that_leaves_after_the_restore_is_removed_at_once(self):
        """Its entry was deleted, not lost."""
        harness = AnnouncementsHarness()
        harness.announcements.begin_restored_era(at(4, era=2))
        harness.change_entry(b"draining 1 9", revision=5)
        harness.change_entry(None, revision=6)
        assert not harness.catalog.targets
