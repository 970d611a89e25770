"""Tests of the map of recent flows and of the timer wheel."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from godwitway.connection import RecentFlows, TimerWheel


class TestRecentFlows:
    """Tests of `RecentFlows`."""

    def test_entries_expire_after_one_to_two_periods(self):
        """An entry is kept for at least one and at most two periods."""
        recent = RecentFlows(10.0, 100, 0.0)
        recent.put(b"a", 1, 9.0)
        recent.rotate_if_due(10.0)
        assert recent.get(b"a") == 1
        recent.rotate_if_due(20.0)
        assert recent.get(b"a") is None

    def test_size_is_bounded(self):
        """The map holds at most two full generations."""
        recent = RecentFlows(10.0, 100, 0.0)
        for number in range(1000):
            recent.put(b"%d" % number, 1, 0.0)
        assert len(recent) <= 200


class TestTimerWheel:
    """Tests of `TimerWheel`."""

    @seed(11)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.lists(st.floats(0, 50)), st.lists(st.floats(0.01, 20), min_size=1))
    def test_yields_each_key_once_and_not_early(self, times, steps):
        """Every key becomes due exactly once, and never before its time."""
        wheel = TimerWheel(0.0)
        due_at = {b"%d" % number: when for number, when in enumerate(times)}
        for key, when in due_at.items():
            wheel.schedule(key, when)
        now = 0.0
        seen = []
        for step in [*steps, 60.0]:
            now += step
            for key in wheel.pop_due(now):
                assert due_at[key] <= now
                seen.append(key)
        assert sorted(seen) == sorted(due_at)
