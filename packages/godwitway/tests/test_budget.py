"""Tests of the fair rate limit on incoming packets."""

from godwitway.process._budget import IngressBudget


class TestIngressBudget:
    """Tests of `IngressBudget`."""

    def test_flooded_service_leaves_others_their_share(self):
        """While one service is flooded, another can still open flows up to its fair share."""
        budget = IngressBudget(1000, 0.0)
        for window in range(10):
            budget.update_window(window * 0.11)
            passed = {"flood": 0, "quiet": 0}
            for number in range(1000):
                passed["flood"] += budget.admit_packet("flood", True)
                if number % 25 == 0:
                    passed["quiet"] += budget.admit_packet("quiet", True)
        assert passed["quiet"] == 40
        assert passed["flood"] <= 100

    def test_existing_flows_always_pass(self):
        """Packets of existing flows pass even when the budget is spent."""
        budget = IngressBudget(100, 0.0)
        assert all(budget.admit_packet("a", False) for _ in range(1000))
