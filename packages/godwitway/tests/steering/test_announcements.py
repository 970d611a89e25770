"""Tests of how entries of targets and configurations take effect."""

import pytest
from steering_builders import FakeClock, build_config, build_target

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering import EntryError
from godwitway.steering._announcements import HOLD_S, Announcements
from godwitway.steering._catalog import Catalog


def decode_config(value: bytes):
    """Decode a version number."""
    if not value.isdigit():
        raise EntryError("version: expected a number")
    return build_config(int(value))


def decode_target(key: str, value: bytes, now: float):
    """Decode ``STATE [START]``."""
    state, _, started = value.decode().partition(" ")
    if state not in ("ready", "draining"):
        raise EntryError(f"state: unknown state {state!r}")
    number = int(key.rpartition("/")[2])
    return build_target(number, draining=state == "draining", started_ms=int(started or 1))


class World:
    """Announcements with a catalog and a clock."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.catalog = Catalog()
        self.lines = []
        self.restarted = []
        journal = Journal("host-1", self.clock.now, self.lines.append, bytes.hex)
        self.announcements = Announcements(
            self.catalog, decode_config, decode_target, self.clock.now, Metrics(), journal
        )
        self.announcements.on_restart = self.restarted.append

    def target(self, value: bytes | None, number: int = 1) -> None:
        """Change a target's entry."""
        self.announcements.target_changed(f"servers/{number}", value, 5)


class TestVanishedEntries:
    """Entries that disappear from the store."""

    def test_an_entry_that_comes_back_in_time_changes_nothing(self):
        """Entries that lapsed while the store was away return within two seconds."""
        world = World()
        world.target(b"ready")
        world.target(None)
        world.clock.time += 2.0
        world.announcements.expire_held()
        assert "i-0001" in world.catalog.targets
        world.target(b"ready")
        world.clock.time += 5.0
        world.announcements.expire_held()
        assert "i-0001" in world.catalog.targets

    def test_an_entry_that_stays_away_is_gone(self):
        """Later its target is taken as gone."""
        world = World()
        world.target(b"ready")
        world.target(None)
        world.clock.time += HOLD_S
        world.announcements.expire_held()
        assert not world.catalog.targets
        assert "i-0001" in world.catalog.departed_at

    def test_a_drained_target_is_gone_at_once(self):
        """It said that it would leave."""
        world = World()
        world.target(b"draining")
        world.target(None)
        assert not world.catalog.targets


class TestUnusableEntries:
    """Entries that cannot be read."""

    @pytest.mark.parametrize("value", [b"", b"odd", b"READY"])
    def test_an_entry_that_cannot_be_read_names_no_target(self, value):
        """The others hold."""
        world = World()
        world.target(b"ready", 1)
        world.target(value, 2)
        assert list(world.catalog.targets) == ["i-0001"]
        assert world.lines[-1]["event"] == "entry_rejected"

    def test_an_overwritten_entry_takes_no_new_flows(self):
        """Its open flows stay where they are."""
        world = World()
        world.target(b"ready")
        world.target(b"odd")
        target = world.catalog.targets["i-0001"]
        assert target.draining
        world.target(b"ready")
        assert not target.draining

    def test_a_configuration_that_cannot_be_read_is_ignored(self):
        """The version in force stays."""
        world = World()
        world.announcements.config_changed("config", b"4", 1)
        world.announcements.config_changed("config", b"x", 2)
        world.announcements.config_changed("config", b"3", 3)
        world.announcements.config_changed("config", None, 4)
        assert world.catalog.config.version == 4
        assert [line["event"] for line in world.lines].count("config_ignored") == 3


class TestIncarnations:
    """Targets that start again under their id."""

    def test_a_target_that_started_again_is_reported(self):
        """What was known of its earlier incarnation no longer holds."""
        world = World()
        world.target(b"ready 1")
        world.target(b"ready 1")
        assert not world.restarted
        world.target(b"ready 2")
        assert world.restarted == ["i-0001"]
