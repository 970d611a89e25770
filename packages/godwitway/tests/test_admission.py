"""The bound on connections and the cold start."""

from builders import build_owned

from godwitway.request import Admission, connection_bound, evaluate_admission


class TestConnectionBound:
    """Tests of `connection_bound`."""

    def test_a_part_of_the_mean_decides_among_many(self):
        """With many connections a target may go 7 % above the mean."""
        assert connection_bound(1000.0, 0.07, 1.0) == 1071

    def test_a_few_connections_decide_among_few(self):
        """With few connections a target may go some connections above the mean."""
        assert connection_bound(10.0, 0.07, 1.0) == 19

    def test_a_cold_target_takes_a_growing_share(self):
        """The share of a target in its cold start grows to its full share."""
        owned = build_owned()
        owned.usage.target.cold_start_s = 10.0
        owned.added_at = 100.0
        shares = [owned.cold_start_share(100.0 + seconds) for seconds in (0, 5, 10, 20)]
        assert shares == [0.1, 0.5, 1.0, 1.0]
        assert connection_bound(1000.0, 0.07, shares[1]) == 536

    def test_a_target_that_only_changed_its_owner_is_not_cold(self):
        """Without a time at which it was added a target has its full share."""
        owned = build_owned()
        owned.usage.target.cold_start_s = 10.0
        assert owned.cold_start_share(100.0) == 1.0


class TestAdmit:
    """Tests of `evaluate_admission`."""

    def test_connections_above_the_bound_are_passed_on(self):
        """At the bound a flow goes on; the last one asked takes it up to the hard limit."""
        owned = build_owned()
        kind = owned.usage.service.kinds[0]
        owned.usage.connections = 20
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=False) == Admission.PASS_ON
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=True) == Admission.ADMIT
        owned.usage.connections = owned.usage.target.connections
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=True) == Admission.PASS_ON
