"""Tests of the bound on connections, cold start and admission of flows."""

from builders import build_owned

from godwitway.request import Admission, connection_bound, evaluate_admission


class TestConnectionBound:
    """Tests of `connection_bound`."""

    def test_large_mean_is_exceeded_by_load_bound(self):
        """With many connections a target may exceed the mean by 7 % and one connection."""
        assert connection_bound(1000.0, 0.07, 1.0) == 1071

    def test_small_mean_is_exceeded_by_fixed_slack(self):
        """With few connections a target may exceed the mean by 8 connections and one."""
        assert connection_bound(10.0, 0.07, 1.0) == 19

    def test_cold_start_share_grows_linearly(self):
        """The share grows from 10 % to the full share over the cold start, and scales the bound."""
        owned = build_owned()
        owned.usage.target.cold_start_s = 10.0
        owned.added_at = 100.0
        shares = [owned.cold_start_share(100.0 + seconds) for seconds in (0, 5, 10, 20)]
        assert shares == [0.1, 0.5, 1.0, 1.0]
        assert connection_bound(1000.0, 0.07, shares[1]) == 536

    def test_change_of_owner_causes_no_cold_start(self):
        """A target without a time of addition has its full share."""
        owned = build_owned()
        owned.usage.target.cold_start_s = 10.0
        assert owned.cold_start_share(100.0) == 1.0


class TestEvaluateAdmission:
    """Tests of `evaluate_admission`."""

    def test_bound_applies_until_final_decision(self):
        """At the bound a flow is passed on; a final decision admits it up to the hard limit."""
        owned = build_owned()
        kind = owned.usage.service.kinds[0]
        owned.usage.connections = 20
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=False) == Admission.PASS_ON
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=True) == Admission.ADMIT
        owned.usage.connections = owned.usage.target.connections
        assert evaluate_admission(owned.usage, kind, True, 20, is_final=True) == Admission.PASS_ON
