"""Tests of the order of candidate targets."""

from builders import build_service
from hypothesis import given, seed, settings
from strategies import flow_keys

from godwitway.version import rank_targets


class TestRankTargets:
    """Tests of `rank_targets`."""

    @seed(6)
    @settings(max_examples=200, deadline=None, database=None)
    @given(flow_keys)
    def test_added_target_keeps_order_of_others(self, key):
        """An added target does not change the relative order of the others."""
        small, large = build_service(6), build_service(7)
        new = large.targets[6].id
        order = [target.id for target in rank_targets(key, large.targets, large.target_seeds)]
        order.remove(new)
        before = [target.id for target in rank_targets(key, small.targets, small.target_seeds)]
        assert order == before

    def test_first_candidates_are_balanced(self):
        """Each of 7 targets is the first candidate of about a seventh of the keys."""
        service = build_service(7)
        counts = dict.fromkeys(service.targets_by_id, 0)
        for number in range(7000):
            counts[service.candidates(number.to_bytes(13, "big"))[0].id] += 1
        assert max(counts.values()) < 1150
        assert min(counts.values()) > 850
